// Package demo runs a whole system in one process on loopback: control
// replicas, entries and stand-in targets, on real sockets.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/process"
	"gitlab.com/comfreythread/comfreythread/internal/settings"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	anywhere      = "127.0.0.1:0"
	targetWork    = 3 * time.Millisecond
	readyInterval = 50 * time.Millisecond
	readyTimeout  = 20 * time.Second
	// readyRequestTimeout bounds one query that looks for targets.
	readyRequestTimeout = time.Second
)

type (
	// System is a running system.
	System struct {
		deployment standin.Deployment
		apps       []*fx.App
		entries    []string
		targets    []*standin.Target
		version    uint64
		folder     string
		client     *control.Client
		cancel     context.CancelFunc
		running    sync.WaitGroup
	}

	member struct {
		settings  *settings.Settings
		listeners *process.Listeners
	}
)

// Start starts a control replica and an entry for each failure domain, applies
// tables, and starts the deployment's targets. It returns once every target
// is known at every entry.
func Start(ctx context.Context, deployment standin.Deployment, logs io.Writer) (*System, error) {
	folder, err := os.MkdirTemp("", "comfreythread-demo-")
	if err != nil {
		return nil, errors.Wrap(err, "make data folder")
	}
	system := &System{deployment: deployment, folder: folder}
	if err := system.start(ctx, logs); err != nil {
		_ = system.Stop(context.WithoutCancel(ctx))
		return nil, err
	}
	return system, nil
}

func (system *System) start(ctx context.Context, logs io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	members, err := system.listen(ctx)
	if err != nil {
		return err
	}
	for _, member := range members {
		if err := system.run(ctx, member, logs); err != nil {
			return err
		}
	}
	if err := system.apply(ctx, members[0].settings.ControlReplicas); err != nil {
		return err
	}
	if err := system.startTargets(ctx); err != nil {
		return err
	}
	return system.awaitTargets(ctx)
}

// listen binds all addresses first, because each process's settings name the
// addresses of the control replicas.
func (system *System) listen(ctx context.Context) ([]*member, error) {
	var members []*member
	var replicas []string
	for _, failureDomain := range system.deployment.FailureDomains {
		replica := &settings.Settings{Name: "control-" + failureDomain, FailureDomain: failureDomain, HTTPAddress: anywhere, PeerAddress: anywhere, LogLevel: "warn"}
		replica.Control = &settings.Control{DataFolder: filepath.Join(system.folder, replica.Name)}
		entry := &settings.Settings{Name: "entry-" + failureDomain, FailureDomain: failureDomain, Region: failureDomain, HTTPAddress: anywhere, PeerAddress: anywhere, LogLevel: "warn", Entry: true}
		for _, settings := range []*settings.Settings{replica, entry} {
			listeners, err := process.Listen(ctx, settings)
			if err != nil {
				return nil, err
			}
			members = append(members, &member{settings: settings, listeners: listeners})
		}
		replicas = append(replicas, replica.PeerAddress)
		system.entries = append(system.entries, entry.HTTPAddress)
	}
	for _, member := range members {
		member.settings.ControlReplicas = replicas
	}
	return members, nil
}

func (system *System) run(ctx context.Context, member *member, logs io.Writer) error {
	if err := member.settings.Check(); err != nil {
		return err
	}
	logger, err := process.NewLogger(member.settings, logs)
	if err != nil {
		return err
	}
	app := process.New(member.settings, member.listeners, logger, logs)
	if err := app.Start(ctx); err != nil {
		return errors.Wrap(err, "start "+member.settings.Name)
	}
	logger.Debug("started", zap.String("name", member.settings.Name))
	system.apps = append(system.apps, app)
	return nil
}

func (system *System) apply(ctx context.Context, replicas []string) error {
	system.client = control.NewClient(replicas, tcp.Dial)
	accepted, err := system.client.Change(ctx, &operator.Change{ID: "demo", Tables: system.deployment.Tables()})
	if err != nil {
		return errors.Wrap(err, "apply tables")
	}
	system.version = accepted.Version
	for {
		status, err := system.client.Status(ctx)
		if err == nil && status.InForce && len(status.Entries) == len(system.entries) {
			return nil
		}
		if err := pause(ctx); err != nil {
			return errors.Wrap(err, "wait until the tables are in force")
		}
	}
}

func (system *System) startTargets(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	system.cancel = cancel
	for _, pool := range system.deployment.Pools {
		for index, announcement := range system.deployment.Announcements(pool) {
			listener, err := tcp.Listen(ctx, anywhere)
			if err != nil {
				return errors.Wrap(err, "listen as target")
			}
			announcement.Address = listener.Addr().String()
			started := standin.NewTarget(announcement, standin.Behaviour{Work: work}, tcp.Dial)
			system.targets = append(system.targets, started)
			system.running.Go(func() { _ = started.Serve(listener) })
			entry := system.entries[index%len(system.entries)]
			if err := started.Announce(ctx, entry); err != nil {
				return err
			}
			system.running.Go(func() { started.Renew(running, entry) })
		}
	}
	return nil
}

func work(*target.Run) time.Duration {
	return targetWork
}

// awaitTargets waits until a query of every pool is complete at every entry.
func (system *System) awaitTargets(ctx context.Context) error {
	for _, entry := range system.entries {
		for _, pool := range system.deployment.Pools {
			if err := system.awaitPool(ctx, entry, pool); err != nil {
				return err
			}
		}
	}
	return nil
}

func (system *System) awaitPool(ctx context.Context, entry string, pool standin.PoolShape) error {
	client := caller.NewEntryClient(entry)
	for {
		answer, err := client.Send(ctx, &caller.Request{
			ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: pool.Name + ".search", Idempotent: true,
			RunsPerShard: 3, Timeout: duration.Of(readyRequestTimeout),
		})
		if err == nil && answer.Coverage.Complete && answer.Coverage.Total == pool.Shards {
			return nil
		}
		if err := pause(ctx); err != nil {
			return errors.Wrap(err, fmt.Sprintf("wait for the targets of pool %s", pool.Name))
		}
	}
}

func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(readyInterval):
		return nil
	}
}

// Addresses asks an entry for addresses, as a caller does.
func (system *System) Addresses(ctx context.Context) (*caller.Addresses, error) {
	return caller.NewEntryClient(system.entries[0]).Addresses(ctx)
}

// Entries returns the IP:port addresses of all entries.
func (system *System) Entries() []string {
	return system.entries
}

// Targets returns the stand-in targets.
func (system *System) Targets() []*standin.Target {
	return system.targets
}

// Version returns the version of the tables that was applied.
func (system *System) Version() uint64 {
	return system.version
}

// Runs returns how often all targets together ran a request.
func (system *System) Runs(requestID caller.RequestID) int {
	runs := 0
	for _, target := range system.targets {
		runs += target.Record().Runs[string(requestID)]
	}
	return runs
}

// Stop stops entries, control replicas and targets, in this order.
func (system *System) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, process.StopTimeout)
	defer cancel()
	var first error
	for index := len(system.apps) - 1; index >= 0; index-- {
		if err := system.apps[index].Stop(ctx); err != nil && first == nil {
			first = err
		}
	}
	if system.client != nil {
		system.client.Close()
	}
	if system.cancel != nil {
		system.cancel()
	}
	for _, target := range system.targets {
		target.Stop()
	}
	system.running.Wait()
	_ = os.RemoveAll(system.folder)
	return first
}
