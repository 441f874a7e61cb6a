// This file exists so that operators put new tables in force.

package verb

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	waitInterval = 200 * time.Millisecond
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:        "apply",
		Usage:       "change the two tables",
		Description: "Example: comfreythread apply --tables tables.json --base 7 --change-id deploy-42 --wait",
		Flags: []cli.Flag{
			tablesFlag(),
			&cli.Uint64Flag{Name: "base", Usage: "version that the change starts from; 0 for the first"},
			&cli.StringFlag{Name: "change-id", Required: true, Usage: "name of the change, the same when it is sent again"},
			&cli.BoolFlag{Name: "wait", Usage: "return once the change is in force everywhere"},
			&cli.BoolFlag{Name: "dry-run", Usage: "check only"},
			&cli.BoolFlag{Name: "allow-all-out", Usage: "accept tables that take out every failure domain"},
			addressFlag(), outputFlag(),
		},
		Action: apply,
	}
}

func apply(ctx context.Context, command *cli.Command) error {
	tables, err := loadTables(command.String("tables"))
	if err != nil {
		return err
	}
	change := &operator.Change{ID: command.String("change-id"), Base: command.Uint64("base"), Tables: *tables, AllowAllOut: command.Bool("allow-all-out")}
	if command.Bool("dry-run") {
		return print(command, change, func(writer io.Writer) { _, _ = fmt.Fprintln(writer, "the tables are well formed; nothing was sent") })
	}
	accepted, err := exchange[operator.Accepted](ctx, command, http.MethodPut, "/v1/tables", change)
	if err != nil {
		return err
	}
	if command.Bool("wait") {
		if err := awaitInForce(ctx, command, accepted.Version); err != nil {
			return err
		}
	}
	return print(command, accepted, func(writer io.Writer) {
		_, _ = fmt.Fprintf(writer, "change %s is version %d\n", accepted.ChangeID, accepted.Version)
	})
}

func awaitInForce(ctx context.Context, command *cli.Command, version uint64) error {
	for {
		status, err := exchange[operator.Status](ctx, command, http.MethodGet, "/v1/status", nil)
		if err == nil && status.Version >= version && status.InForce {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.Unavailable, "the change is accepted, but it isn't known to be in force everywhere", "look at comfreythread status")
		case <-time.After(waitInterval):
		}
	}
}
