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

// Exit codes of the command line, from which scripts can tell kinds of failure apart.
// ExitRefused means that an entry refused a request, and ExitDifferent that diff found
// differences.
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
	// verbs lists the constructors of all verbs, in the order of the help text.
	verbs = []func() *cli.Command{
		serveCommand,
		demoCommand,
		checkCommand,
		applyCommand,
		diffCommand,
		getCommand,
		statusCommand,
		domainCommand,
		rolloutCommand,
		replicaCommand,
		queryCommand,
		explainCommand,
		keyDigestCommand,
		versionCommand,
	}

	errUsage = errors.New("the command line is wrong")
	// errDifferent is the result of diff if there are differences.
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
	for _, newCommand := range verbs {
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
	var faultError *fault.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errDifferent):
		return ExitDifferent
	case errors.As(err, &refusal):
		return ExitRefused
	case errors.As(err, &faultError) && faultError.Kind == fault.Conflict:
		return ExitConflict
	case errors.As(err, &faultError) && faultError.Kind == fault.Unavailable:
		return ExitUnavailable
	}
	return ExitFailed
}

// outputFlag selects the form of a verb's output: text or JSON.
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

// writeOutput writes value as JSON if --output asks for it, and otherwise calls
// writeText.
func writeOutput(command *cli.Command, value any, writeText func(writer io.Writer)) error {
	if command.String("output") == outputJSON {
		return json.NewEncoder(command.Root().Writer).Encode(value)
	}
	writeText(command.Root().Writer)
	return nil
}
