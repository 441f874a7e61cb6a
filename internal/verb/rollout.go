package verb

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// rolloutCommand orders rollouts and prints their state.
func rolloutCommand() *cli.Command {
	return &cli.Command{
		Name:     "rollout",
		Usage:    "move the requests of a pool to a new release, if it is good",
		Commands: []*cli.Command{rolloutStartCommand(), rolloutStatusCommand()},
	}
}

func rolloutStartCommand() *cli.Command {
	return &cli.Command{
		Name: "start", Usage: "order a rollout; sending the order again is safe", OnUsageError: usageError,
		Description: "Example: comfreythread rollout start --pool cards --release v2 --duration 5m\n\nThe exit code is 4 if another rollout of the pool is in progress.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "pool", Required: true, Usage: "pool whose requests move"},
			&cli.StringFlag{Name: "release", Required: true, Usage: "release as its targets announce it"},
			&cli.DurationFlag{Name: "duration", Required: true, Usage: "time within which the rollout is completed or rolled back, up to " + operator.MaximumRolloutDuration.String()},
			addressFlag(), outputFlag(),
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			order := &operator.RolloutOrder{Pool: command.String("pool"), Release: command.String("release"), Duration: duration.Of(command.Duration("duration"))}
			if err := order.Check(); err != nil {
				return err
			}
			rollout, err := newOperatorClient(command).StartRollout(ctx, order)
			if err != nil {
				return err
			}
			return writeOutput(command, rollout, func(writer io.Writer) { printRollout(writer, rollout) })
		},
	}
}

func rolloutStatusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "print the newest rollout of a pool", OnUsageError: usageError,
		Description: "Example: comfreythread rollout status --pool cards",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "pool", Required: true, Usage: "pool whose rollout is printed"},
			addressFlag(), outputFlag(),
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			rollout, err := newOperatorClient(command).Rollout(ctx, command.String("pool"))
			if err != nil {
				return err
			}
			return writeOutput(command, rollout, func(writer io.Writer) { printRollout(writer, rollout) })
		},
	}
}

func printRollout(writer io.Writer, rollout *operator.Rollout) {
	_, _ = fmt.Fprintf(writer, "pool %s to release %s: %s (%s)\n", rollout.Pool, rollout.Release, rollout.Phase, rollout.Reason)
	_, _ = fmt.Fprintf(writer, "started at %s, over %s\n", rollout.StartedAt.Format(time.RFC3339Nano), rollout.Duration)
}
