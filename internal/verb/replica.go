package verb

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

func replicaCommand() *cli.Command {
	return &cli.Command{
		Name:  "replica",
		Usage: "add or remove a control replica",
		Commands: []*cli.Command{
			{
				Name:         "add",
				Usage:        "add a control replica and wait until it counts",
				Description:  "Example: comfreythread replica add --name control-ouest-2 --peer-address 10.3.0.2:9090",
				OnUsageError: usageError,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "name", Required: true, Usage: "name in the settings of the replica's process, which must run"},
					&cli.StringFlag{Name: "peer-address", Required: true, Usage: "peer_address in its settings, IP:port"},
					addressFlag(), outputFlag(),
				},
				Action: addReplica,
			},
			{
				Name:         "remove",
				Usage:        "remove a control replica, also one that is lost",
				Description:  "Example: comfreythread replica remove --id control-ouest",
				OnUsageError: usageError,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "id", Required: true, Usage: "ID as status shows it, or the process's name"},
					addressFlag(), outputFlag(),
				},
				Action: removeReplica,
			},
		},
	}
}

func addReplica(ctx context.Context, command *cli.Command) error {
	replica := &operator.Replica{Name: command.String("name"), Address: command.String("peer-address")}
	if err := replica.Check(); err != nil {
		return err
	}
	result, err := newOperatorClient(command).AddReplica(ctx, replica)
	if err != nil {
		return err
	}
	return writeOutput(command, result, func(writer io.Writer) {
		_, _ = fmt.Fprintf(writer, "replica %s is caught up and counted\n", replica.Name)
	})
}

func removeReplica(ctx context.Context, command *cli.Command) error {
	id := command.String("id")
	result, err := newOperatorClient(command).RemoveReplica(ctx, id)
	if err != nil {
		return err
	}
	return writeOutput(command, result, func(writer io.Writer) {
		_, _ = fmt.Fprintf(writer, "replica %s doesn't belong to the group; where status listed it before, its data folder may be deleted\n", id)
	})
}
