package verb

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	demoRequestTimeout = 5 * time.Second
	demoRunDuration    = 3 * time.Millisecond
)

type (
	// demoSummary is the last line of the demo's output. FileOutcome and FileRuns describe
	// the request whose kind ends in ".file", which isn't idempotent. ResendRefused is true if
	// the resend of that request was refused because it had already run.
	demoSummary struct {
		Deployment    string            `json:"deployment"`
		Version       uint64            `json:"version"`
		Targets       int               `json:"targets"`
		Entries       []string          `json:"entries"`
		QueryComplete bool              `json:"query_complete"`
		QueryShards   int               `json:"query_shards"`
		FileOutcome   caller.RunOutcome `json:"file_outcome"`
		FileRuns      int               `json:"file_runs"`
		ResendRefused bool              `json:"resend_refused"`
		OK            bool              `json:"ok"`
	}
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run a whole system in one process on loopback",
		Description: "Example: comfreythread demo --deployment banaag --keep",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: standin.Atelier.Name, Usage: "whose sizes to use: atelier or banaag"},
			&cli.BoolFlag{Name: "keep", Usage: "leave it running until a signal and print addresses to try"},
			outputFlag(),
		},
		Action: runDemo,
	}
}

// runDemo starts a whole system in this process, sends sample requests and
// checks their answers, so that one command shows the system at work.
func runDemo(ctx context.Context, command *cli.Command) error {
	deployment, found := standin.DeploymentOf(command.String("deployment"))
	if !found {
		return errors.Wrapf(errUsage, "deployment %q is unknown; use atelier or banaag", command.String("deployment"))
	}
	system, err := tier.Start(ctx, tier.Options{Deployment: deployment, TargetBehaviour: demoBehaviour, Logs: command.Root().ErrWriter})
	if err != nil {
		return err
	}
	summary, err := sendDemoRequests(ctx, command, system, deployment)
	if err == nil && command.Bool("keep") {
		keepDemoRunning(ctx, command.Root().Writer, system, deployment)
	}
	stopError := system.Stop(context.WithoutCancel(ctx))
	if err != nil {
		return err
	}
	if stopError != nil {
		return errors.Wrap(stopError, "stop")
	}
	if err := json.NewEncoder(command.Root().Writer).Encode(summary); err != nil {
		return err
	}
	if !summary.OK {
		return errors.New("an answer was wrong; see the summary")
	}
	return nil
}

// sendDemoRequests fetches the addresses of the entries as a caller does. It
// then sends a query and a non-idempotent request of kind file, and sends the
// latter again through another entry, which must refuse it. It also prints the
// answers.
func sendDemoRequests(ctx context.Context, command *cli.Command, system *tier.Tier, deployment standin.Deployment) (*demoSummary, error) {
	addresses, err := system.Client(system.Entries()[0]).Addresses(ctx)
	if err != nil {
		return nil, err
	}
	address := addresses.Entries[0]
	pool := deployment.Pools[0]
	queryAnswer, err := caller.NewEntryClient(address, nil).Send(ctx, &caller.Request{
		ID: newDemoID(), Kind: pool.Name + ".search", Payload: json.RawMessage(`{"text":"spare part"}`),
		Timeout: duration.Of(demoRequestTimeout), Idempotent: true, RunsPerShard: 3, MinimumCoverage: 1,
	})
	if err != nil {
		return nil, errors.Wrap(err, "query")
	}
	fileRequest := &caller.Request{
		ID: newDemoID(), Kind: pool.Name + ".file", Payload: json.RawMessage(`{"card":17}`),
		Timeout: duration.Of(demoRequestTimeout), ShardKey: "card-17",
	}
	fileAnswer, err := caller.NewEntryClient(address, nil).Send(ctx, fileRequest)
	if err != nil {
		return nil, errors.Wrap(err, "request that may not be repeated")
	}
	_, resendError := caller.NewEntryClient(addresses.Entries[len(addresses.Entries)-1], nil).Send(ctx, fileRequest)
	var refusal *caller.Refusal
	resendRefused := errors.As(resendError, &refusal) && refusal.Kind == caller.RefusedAlreadySent && refusal.Run == caller.DidRun
	err = writeOutput(command, []*caller.Answer{queryAnswer, fileAnswer}, func(writer io.Writer) {
		printAnswer(writer, queryAnswer)
		printAnswer(writer, fileAnswer)
		_, _ = fmt.Fprintf(writer, "resend of %s: %v\n", fileRequest.ID, resendError)
	})
	summary := &demoSummary{
		Deployment: deployment.Name, Version: system.TablesVersion(), Targets: len(system.Targets()), Entries: addresses.Entries,
		QueryComplete: queryAnswer.Coverage.Complete, QueryShards: queryAnswer.Coverage.Answered,
		FileOutcome: fileAnswer.Run, FileRuns: system.Runs(fileRequest.ID), ResendRefused: resendRefused,
	}
	summary.OK = summary.QueryComplete && summary.QueryShards == pool.Shards &&
		summary.FileOutcome == caller.DidRun && summary.FileRuns == 1 && summary.ResendRefused
	return summary, err
}

func demoBehaviour(*target.Announcement) standin.Behaviour {
	return standin.Behaviour{RunDuration: func(*target.Run) time.Duration { return demoRunDuration }}
}

func newDemoID() caller.RequestID {
	return caller.NewRequestID(time.Now().Add(defaultIDLifetime))
}

// keepDemoRunning prints addresses and commands to try, and waits for ctx to end.
func keepDemoRunning(ctx context.Context, writer io.Writer, system *tier.Tier, deployment standin.Deployment) {
	for _, entry := range system.Entries() {
		_, _ = fmt.Fprintf(writer, "entry http://%s\n", entry.Settings().HTTPAddress)
	}
	address := system.Entries()[0].Settings().HTTPAddress
	_, _ = fmt.Fprintf(writer, "try:\n  curl http://%s/v1/entries\n  curl http://%s/v1/status\n", address, address)
	_, _ = fmt.Fprintf(writer, "  curl http://%s/v1/requests -d '{\"id\":\"%s\",\"kind\":\"%s.search\",\"timeout\":\"1s\",\"idempotent\":true}'\n",
		address, caller.NewRequestID(time.Now().Add(time.Hour)), deployment.Pools[0].Name)
	<-ctx.Done()
}
