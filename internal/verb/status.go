package verb

import (
	"context"
	"fmt"
	"io"
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
			status, err := newOperatorClient(command).Status(ctx)
			if err != nil {
				return err
			}
			return writeOutput(command, status, func(writer io.Writer) { printStatus(writer, status) })
		},
	}
}

func printStatus(writer io.Writer, status *operator.Status) {
	_, _ = fmt.Fprintf(writer, "version %d, in force everywhere: version %d\n", status.Version, status.InForceVersion)
	_, _ = fmt.Fprintf(writer, "view %d, settled: view %d\n", status.View, status.SettledView)
	_, _ = fmt.Fprintf(writer, "leader %s, term %d\n", status.Leader, status.Term)
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "FAILURE DOMAIN\tSTATE\tENTRIES")
	for _, domain := range status.FailureDomains {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\n", domain.Name, choose(domain.Out, "out", "in"), domain.Entries)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintln(table, "ENTRY\tADDRESS\tFAILURE DOMAIN\tVERSION\tVIEW\tSTATE")
	for _, entry := range status.Entries {
		state := choose(entry.Fenced, "fenced", choose(entry.Stopping, "stopping", "serving"))
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%s\n", entry.ID, entry.Address, entry.FailureDomain, entry.Version, entry.View, state)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintln(table, "REPLICA\tADDRESS\tINDEX\tLAG\tSTATE")
	for _, replica := range status.Replicas {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\n", replica.ID, replica.Address, replica.Index, replica.Lag, choose(replica.Voter, "counted", "catching up"))
	}
	_ = table.Flush()
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
