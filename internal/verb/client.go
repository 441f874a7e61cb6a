// This file exists so that the verbs which talk to a running system share one
// way of doing so.

package verb

import (
	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// addressFlag names the process to talk to.
func addressFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "address",
		Value: "127.0.0.1:8080",
		Usage: "IP:port of the HTTP interface of any process of the system",
	}
}

// newOperator returns a client for the process that the flags name.
func newOperator(command *cli.Command) *operator.Client {
	return operator.NewClient(command.String("address"))
}
