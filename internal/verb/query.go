package verb

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
)

const (
	defaultIDLifetime = 10 * time.Minute
)

func queryCommand() *cli.Command {
	return &cli.Command{
		Name:        "query",
		Usage:       "send one request",
		Description: `Example: comfreythread query --kind buyer-desk.search --idempotent --runs 2 --payload '{"hide":"calf"}'`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "kind", Required: true, Usage: "kind of request, as in the table of routes"},
			&cli.StringFlag{Name: "payload", Value: "{}", Usage: "JSON that targets get unchanged"},
			&cli.DurationFlag{Name: "timeout", Value: time.Second, Usage: "time until the answer is of no more use"},
			&cli.BoolFlag{Name: "idempotent", Usage: "more than one run does no harm"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "runs allowed on each shard"},
			&cli.FloatFlag{Name: "minimum-coverage", Usage: "share of shards, 0 to 1, under which to refuse"},
			&cli.StringFlag{Name: "shard-key", Usage: "narrow the request to the shard that owns this key"},
			&cli.StringFlag{Name: "id", Usage: "request ID, for sending a request again; made anew where it is empty"},
			addressFlag(), outputFlag(),
		},
		Action: query,
	}
}

func query(ctx context.Context, command *cli.Command) error {
	request := &caller.Request{
		ID:              caller.RequestID(command.String("id")),
		Kind:            command.String("kind"),
		Payload:         json.RawMessage(command.String("payload")),
		Timeout:         duration.Of(command.Duration("timeout")),
		Idempotent:      command.Bool("idempotent"),
		RunsPerShard:    command.Int("runs"),
		MinimumCoverage: command.Float("minimum-coverage"),
		ShardKey:        command.String("shard-key"),
	}
	if request.ID == "" {
		request.ID = caller.NewRequestID(time.Now().Add(defaultIDLifetime))
	}
	if !json.Valid(request.Payload) {
		return errors.Wrap(errUsage, "the payload isn't JSON; quote it for the shell")
	}
	answer, err := caller.NewEntryClient(command.String("address"), nil).Send(ctx, request)
	if err != nil {
		return err
	}
	return writeOutput(command, answer, func(writer io.Writer) { printAnswer(writer, answer) })
}

func printAnswer(writer io.Writer, answer *caller.Answer) {
	_, _ = fmt.Fprintf(writer, "request %s\n", answer.RequestID)
	_, _ = fmt.Fprintf(writer, "  snapshot: layout %s, index version %d\n", answer.Snapshot.Layout, answer.Snapshot.IndexVersion)
	_, _ = fmt.Fprintf(writer, "  coverage: %d of %d shards, complete: %t\n", answer.Coverage.Answered, answer.Coverage.Total, answer.Coverage.Complete)
	for _, missing := range answer.Coverage.Missing {
		_, _ = fmt.Fprintf(writer, "    shard %d is missing: %s\n", missing.Shard, missing.Reason)
	}
	_, _ = fmt.Fprintf(writer, "  run: %s, attempts: %d\n", answer.Run, answer.Attempts)
	for _, part := range answer.Parts {
		_, _ = fmt.Fprintf(writer, "    shard %d from %s: %s\n", part.Shard, part.Target, part.Payload)
	}
}
