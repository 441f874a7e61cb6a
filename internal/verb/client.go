package verb

import (
	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// addressFlag selects the process that a verb sends its requests to.
func addressFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "address",
		Value: "127.0.0.1:8080",
		Usage: "IP:port of the HTTP interface of any process of the system",
	}
}

// newOperatorClient returns a client for the process at the address in the flags.
func newOperatorClient(command *cli.Command) *operator.Client {
	return operator.NewClient(command.String("address"))
}
