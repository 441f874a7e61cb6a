package verb

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/internal/logline"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "show the decisions on one request, and what the processes believed then",
		ArgsUsage:   "FILE...",
		Description: "Example: comfreythread explain --id 9c41d07be2a35f68 entry-1.log entry-2.log\n\nFILE is a log of a process, or - for standard input.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Required: true, Usage: "the request's ID"},
			outputFlag(),
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if !command.Args().Present() {
				return errors.Wrap(errUsage, "no log is named; give one or more files")
			}
			explanation, err := explain(command.String("id"), command.Args().Slice(), command.Root().Reader)
			if err != nil {
				return err
			}
			return writeOutput(command, explanation, func(writer io.Writer) { writeExplanation(writer, explanation) })
		},
	}
}

// explain collects the decisions on one request from the logs of several
// processes.
func explain(id string, paths []string, stdin io.Reader) (*logline.Explanation, error) {
	var allLines []logline.Line
	totalSkipped := 0
	for _, path := range paths {
		lines, skippedCount, err := readLog(path, stdin)
		if err != nil {
			return nil, err
		}
		if len(lines) == 0 {
			return nil, errors.Errorf("%s holds no log line of a comfreythread process; name a log in its JSON form", path)
		}
		allLines, totalSkipped = append(allLines, lines...), totalSkipped+skippedCount
	}
	explanation, err := logline.Explain(id, allLines)
	if err != nil {
		return nil, err
	}
	explanation.Skipped = totalSkipped
	return explanation, nil
}

// readLog returns the lines of a log and the number of lines that couldn't be parsed.
func readLog(path string, stdin io.Reader) ([]logline.Line, int, error) {
	if path == "-" {
		return logline.Read(stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, errors.Wrap(err, "open a log; name files that exist and can be read")
	}
	defer func() { _ = file.Close() }()
	return logline.Read(file)
}

func writeExplanation(writer io.Writer, explanation *logline.Explanation) {
	_, _ = fmt.Fprintf(writer, "request %s\n", explanation.Request)
	for _, line := range explanation.Decisions {
		_, _ = fmt.Fprintf(writer, "  %s\n", line)
	}
	_, _ = fmt.Fprintln(writer, "believed before")
	for _, line := range explanation.StateBefore {
		_, _ = fmt.Fprintf(writer, "  %s\n", line)
	}
	if explanation.Skipped > 0 {
		_, _ = fmt.Fprintf(writer, "%d lines of other forms were passed over\n", explanation.Skipped)
	}
}
