// This file exists so that the command line is made from one table of verbs.

package verb

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

// Exit codes tell scripts what kind of end it was.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitDifferent   = 6
)

const (
	outputText = "text"
	outputJSON = "json"
)

var (
	// table lists every verb in the order that help shows.
	table = []func() *cli.Command{
		serveCommand,
		demoCommand,
		checkCommand,
		applyCommand,
		diffCommand,
		getCommand,
		statusCommand,
		domainCommand,
		replicaCommand,
		queryCommand,
		explainCommand,
		versionCommand,
	}

	errUsage = errors.New("the command line is wrong")
	// errDifferent ends diff where there are differences.
	errDifferent = errors.New("the file differs from the tables; apply it to change them")
)

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	err := newRoot(stdout, stderr).Run(ctx, arguments)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "comfreythread:", err)
	}
	return exitCode(err)
}

func newRoot(stdout, stderr io.Writer) *cli.Command {
	root := &cli.Command{
		Name:           "comfreythread",
		Usage:          "a query tier over many shards",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usageError,
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Present() {
				return errors.Wrapf(errUsage, "verb %q is unknown; see comfreythread help", command.Args().First())
			}
			return cli.ShowRootCommandHelp(command)
		},
	}
	for _, newCommand := range table {
		command := newCommand()
		command.OnUsageError = usageError
		root.Commands = append(root.Commands, command)
	}
	return root
}

func usageError(_ context.Context, command *cli.Command, err error, _ bool) error {
	return errors.Wrapf(errUsage, "%s; see comfreythread help %s", err, command.Name)
}

func exitCode(err error) int {
	var refusal *caller.Refusal
	var typed *fault.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errDifferent):
		return ExitDifferent
	case errors.As(err, &refusal):
		return ExitRefused
	case errors.As(err, &typed) && typed.Kind == fault.Conflict:
		return ExitConflict
	case errors.As(err, &typed) && typed.Kind == fault.Unavailable:
		return ExitUnavailable
	}
	return ExitFailed
}

// outputFlag is the choice of output that every verb offers.
func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "output",
		Value: outputText,
		Usage: "form of the output: text or json",
		Validator: func(output string) error {
			if output != outputText && output != outputJSON {
				return errors.Errorf("output %q is unknown; use text or json", output)
			}
			return nil
		},
	}
}

// print writes a value as JSON, or as the given text.
func print(command *cli.Command, value any, text func(writer io.Writer)) error {
	if command.String("output") == outputJSON {
		return json.NewEncoder(command.Root().Writer).Encode(value)
	}
	text(command.Root().Writer)
	return nil
}
