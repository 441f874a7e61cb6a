package verb

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	statusPollInterval = 100 * time.Millisecond
	// defaultWaitTimeout exceeds the longest time until a change is in force
	// everywhere, even if the control leader changes meanwhile.
	defaultWaitTimeout = 15 * time.Second
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:        "apply",
		Usage:       "change the two tables",
		Description: "Example: comfreythread apply --tables tables.json --base 7 --change-id deploy-42 --wait",
		Flags: []cli.Flag{
			tablesFlag(),
			&cli.Uint64Flag{Name: "base", Usage: "version that the change starts from; 0 for the first"},
			&cli.Uint64Flag{Name: "declared", Usage: "the operator's own version number, in place of --base: the highest wins, whatever was sent before"},
			&cli.StringFlag{Name: "change-id", Required: true, Usage: "name of the change, the same when it is sent again"},
			&cli.BoolFlag{Name: "wait", Usage: "return once the change is in force everywhere"},
			&cli.DurationFlag{Name: "timeout", Value: defaultWaitTimeout, Usage: "how long --wait waits"},
			&cli.BoolFlag{Name: "dry-run", Usage: "let control check the change without making it"},
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
	if command.IsSet("base") && command.IsSet("declared") {
		return errors.Wrap(errUsage, "--base and --declared exclude each other; leave one of them out")
	}
	change := &operator.Change{
		ID: command.String("change-id"), Base: command.Uint64("base"), Declared: command.Uint64("declared"), Tables: *tables,
		AllowAllOut: command.Bool("allow-all-out"), DryRun: command.Bool("dry-run"),
	}
	reply, err := newOperatorClient(command).Change(ctx, change)
	if err != nil {
		return err
	}
	if command.Bool("wait") && !reply.DryRun {
		if err := awaitInForce(ctx, command, reply.Version); err != nil {
			return err
		}
	}
	return writeOutput(command, reply, func(writer io.Writer) { printAccepted(writer, command, reply) })
}

func printAccepted(writer io.Writer, command *cli.Command, reply *operator.ChangeReply) {
	switch {
	case reply.DryRun:
		_, _ = fmt.Fprintf(writer, "change %s would be version %d; nothing is changed\n", reply.ChangeID, reply.Version)
	case command.Bool("wait"):
		_, _ = fmt.Fprintf(writer, "change %s is version %d, in force everywhere\n", reply.ChangeID, reply.Version)
	default:
		_, _ = fmt.Fprintf(writer, "change %s is version %d\n", reply.ChangeID, reply.Version)
	}
}

// awaitInForce polls the status until no entry uses an earlier version of the
// tables. It returns an error if the timeout in the flags expires before that.
func awaitInForce(ctx context.Context, command *cli.Command, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, command.Duration("timeout"))
	defer cancel()
	for {
		status, err := newOperatorClient(command).Status(ctx)
		if err == nil && status.InForceVersion >= version {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.Unavailable, fmt.Sprintf("the change is accepted as version %d, but within %s it isn't known to be in force everywhere", version, command.Duration("timeout")),
				"look at comfreythread status; don't send the change again under another ID")
		case <-time.After(statusPollInterval):
		}
	}
}
