package verb

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// domainCommand takes a failure domain out of service or back in without
// sending new tables.
func domainCommand() *cli.Command {
	return &cli.Command{
		Name:  "domain",
		Usage: "take a failure domain out, or in again",
		Commands: []*cli.Command{
			newDomainCommand("out", "give targets and entries of a failure domain no new work", true),
			newDomainCommand("in", "let a failure domain take work again", false),
		},
	}
}

func newDomainCommand(name, usage string, out bool) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, OnUsageError: usageError,
		Description: "Example: comfreythread domain " + name + " --name nord-a",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Required: true, Usage: "failure domain as the settings name it"},
			addressFlag(), outputFlag(),
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			change := &operator.DomainChange{FailureDomain: command.String("name"), Out: out}
			if err := change.Check(); err != nil {
				return err
			}
			reply, err := newOperatorClient(command).SetDomainOut(ctx, change)
			if err != nil {
				return err
			}
			return writeOutput(command, reply, func(writer io.Writer) {
				_, _ = fmt.Fprintf(writer, "failure domain %s is %s as of version %d\n", change.FailureDomain, name, reply.Version)
			})
		},
	}
}
