// This file exists so that operators see the state of the system.

package verb

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "print the state of the system",
		Description: "Example: comfreythread status --address 10.0.0.7:8080 --output json",
		Flags:       []cli.Flag{addressFlag(), outputFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			status, err := exchange[operator.Status](ctx, command, http.MethodGet, "/v1/status", nil)
			if err != nil {
				return err
			}
			return print(command, status, func(writer io.Writer) { printStatus(writer, status) })
		},
	}
}

func printStatus(writer io.Writer, status *operator.Status) {
	_, _ = fmt.Fprintf(writer, "version %d, in force everywhere: %t, view %d, leader %s\n", status.Version, status.InForce, status.View, status.Leader)
	_, _ = fmt.Fprintf(writer, "failure domains out: %v\n", status.FailureDomainsOut)
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ENTRY\tADDRESS\tFAILURE DOMAIN\tVERSION\tVIEW\tFENCED\tSTOPPING")
	for _, entry := range status.Entries {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%t\t%t\n", entry.ID, entry.Address, entry.FailureDomain, entry.Version, entry.View, entry.Fenced, entry.Stopping)
	}
	_, _ = fmt.Fprintln(table, "REPLICA\tADDRESS\tINDEX\tLAG")
	for _, replica := range status.Replicas {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\n", replica.ID, replica.Address, replica.Index, replica.Lag)
	}
	_ = table.Flush()
}
