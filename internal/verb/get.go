package verb

import (
	"context"
	"encoding/json"
	"io"

	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

func getCommand() *cli.Command {
	return &cli.Command{
		Name:        "get",
		Usage:       "print a version of the tables",
		Description: "Example: comfreythread get --version 7 > tables.json",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "version", Usage: "version to print; 0 for the newest"},
			addressFlag(), outputFlag(),
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			versioned, err := getTables(ctx, command, command.Uint64("version"))
			if err != nil {
				return err
			}
			return writeOutput(command, versioned, func(writer io.Writer) {
				encoder := json.NewEncoder(writer)
				encoder.SetIndent("", "  ")
				_ = encoder.Encode(&versioned.Tables)
			})
		},
	}
}

// getTables fetches a version of the tables, or the newest if version is zero.
func getTables(ctx context.Context, command *cli.Command, version uint64) (*operator.VersionedTables, error) {
	return newOperatorClient(command).Tables(ctx, version)
}
