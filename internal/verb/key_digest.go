package verb

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// maximumKeyBytes bounds what is read. It is the size of the largest head that entries take from
	// callers where the tables set no limit.
	maximumKeyBytes = 16 << 10
)

type (
	keyDigestOutput struct {
		Digest string `json:"digest"`
	}
)

func keyDigestCommand() *cli.Command {
	return &cli.Command{
		Name:        "key-digest",
		Usage:       "print the digest of a tenant's key for the tables",
		Description: "Example: comfreythread key-digest < key.txt\n\nThe key is read from standard input, so that it isn't in the list of processes. A line end behind it is left out.",
		Flags:       []cli.Flag{outputFlag()},
		Action: func(_ context.Context, command *cli.Command) error {
			data, err := io.ReadAll(io.LimitReader(command.Root().Reader, maximumKeyBytes+1))
			if err != nil {
				return errors.Wrap(err, "read the key from standard input")
			}
			key := strings.TrimSuffix(strings.TrimSuffix(string(data), "\n"), "\r")
			if key == "" || len(data) > maximumKeyBytes || strings.TrimSpace(key) != key || strings.ContainsAny(key, "\r\n") {
				return errors.Wrapf(errUsage, "no key; write one line of up to %d bytes, without spaces at its ends, to standard input", maximumKeyBytes)
			}
			output := keyDigestOutput{Digest: operator.KeyDigest(key)}
			return writeOutput(command, output, func(writer io.Writer) { _, _ = fmt.Fprintln(writer, output.Digest) })
		},
	}
}
