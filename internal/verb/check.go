package verb

import (
	"context"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/internal/settings"
)

type (
	checkOutput struct {
		Checked []string `json:"checked"`
	}
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check settings and tables offline",
		Description: "Example: comfreythread check --settings settings.json --tables tables.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "file with the settings, in JSON"},
			&cli.StringFlag{Name: "tables", Usage: "file with the two tables, in JSON"},
			outputFlag(),
		},
		Action: func(_ context.Context, command *cli.Command) error {
			var output checkOutput
			if path := command.String("settings"); path != "" {
				if _, err := settings.Load(path); err != nil {
					return err
				}
				output.Checked = append(output.Checked, path)
			}
			if path := command.String("tables"); path != "" {
				if _, err := loadTables(path); err != nil {
					return err
				}
				output.Checked = append(output.Checked, path)
			}
			if len(output.Checked) == 0 {
				return errors.Wrap(errUsage, "nothing to check; name a file with --settings or --tables")
			}
			return writeOutput(command, output, func(writer io.Writer) {
				for _, path := range output.Checked {
					_, _ = fmt.Fprintf(writer, "%s: ok\n", path)
				}
			})
		},
	}
}
