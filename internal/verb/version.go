package verb

import (
	"context"
	"fmt"
	"io"
	"runtime"

	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
)

const (
	release = "0.1.0"
)

type (
	versionOutput struct {
		Release         string `json:"release"`
		ProtocolVersion int    `json:"protocol_version"`
		Go              string `json:"go"`
	}
)

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:        "version",
		Usage:       "print the release",
		Description: "Example: comfreythread version --output json",
		Flags:       []cli.Flag{outputFlag()},
		Action: func(_ context.Context, command *cli.Command) error {
			output := versionOutput{Release: release, ProtocolVersion: frame.Version, Go: runtime.Version()}
			return writeOutput(command, output, func(writer io.Writer) {
				_, _ = fmt.Fprintf(writer, "comfreythread %s, protocol version %d, %s\n", output.Release, output.ProtocolVersion, output.Go)
			})
		},
	}
}
