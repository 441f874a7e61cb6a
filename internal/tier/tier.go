// Package tier runs a whole system in one process: control replicas, entries
// and stand-in targets, on loopback sockets or on a network in memory.
package tier

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap/zapcore"

	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/disk"
	"gitlab.com/comfreythread/comfreythread/internal/process"
	"gitlab.com/comfreythread/comfreythread/internal/settings"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	readyInterval = 50 * time.Millisecond
	readyTimeout  = 20 * time.Second
	// readyRequestTimeout bounds one query that looks for targets.
	readyRequestTimeout = time.Second
	// demoAddressMaxAge lets a tier on real sockets stop soon.
	demoAddressMaxAge = 200 * time.Millisecond
	// demoReserveSpan is short because a tier on real sockets ends as a whole.
	demoReserveSpan = 200 * time.Millisecond

	httpPort = "80"
	peerPort = "90"
)

type (
	// Options say what to run.
	Options struct {
		Deployment standin.Deployment
		// EntriesPerFailureDomain is one where it is zero.
		EntriesPerFailureDomain int
		// Memory joins everything by a network in memory; nil uses loopback
		// sockets.
		Memory *standin.Network
		// Behave gives each target its behaviour; nil lets all answer at once.
		Behave func(announcement *target.Announcement) standin.Behaviour
		// Tables replaces the deployment's tables where it is not nil.
		Tables *operator.Tables
		// Files gives each process the files of its disk; nil uses the operating
		// system's.
		Files func(process string) disk.FileSystem
		// Logs takes the logs of all processes.
		Logs io.Writer
	}

	// Tier is a running system.
	Tier struct {
		options Options
		// logs is options.Logs, which processes write to side by side.
		logs     io.Writer
		folder   string
		replicas []*Process
		entries  []*Process
		targets  []*Target
		version  uint64
		client   *control.Client
		cancel   context.CancelFunc
		running  sync.WaitGroup
	}
)

// Start starts a control replica and entries for each failure domain, applies
// tables, and starts the deployment's targets. It returns once every pool can
// be queried whole at every entry.
func Start(ctx context.Context, options Options) (*Tier, error) {
	folder, err := os.MkdirTemp("", "comfreythread-tier-")
	if err != nil {
		return nil, errors.Wrap(err, "make data folder")
	}
	options.EntriesPerFailureDomain = max(1, options.EntriesPerFailureDomain)
	tier := &Tier{options: options, folder: folder, logs: zapcore.Lock(zapcore.AddSync(options.Logs))}
	if err := tier.start(ctx); err != nil {
		_ = tier.Stop(context.WithoutCancel(ctx))
		return nil, err
	}
	return tier, nil
}

func (tier *Tier) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := tier.listen(ctx); err != nil {
		return err
	}
	for _, process := range append(tier.Replicas(), tier.entries...) {
		if err := tier.StartProcess(ctx, process); err != nil {
			return err
		}
	}
	if err := tier.apply(ctx); err != nil {
		return err
	}
	if err := tier.startTargets(ctx); err != nil {
		return err
	}
	return tier.awaitTargets(ctx)
}

// listen binds all addresses first, because each process's settings name the
// addresses of the control replicas.
func (tier *Tier) listen(ctx context.Context) error {
	var replicas []string
	for domain, failureDomain := range tier.options.Deployment.FailureDomains {
		replica := tier.newSettings("control-"+failureDomain, failureDomain, fmt.Sprintf("10.%d.0.1", domain+1))
		replica.Control = &settings.Control{DataFolder: filepath.Join(tier.folder, replica.Name)}
		bound, err := tier.bind(ctx, replica)
		if err != nil {
			return err
		}
		tier.replicas = append(tier.replicas, bound)
		replicas = append(replicas, replica.PeerAddress)
		for number := range tier.options.EntriesPerFailureDomain {
			entry := tier.newSettings(fmt.Sprintf("entry-%s-%d", failureDomain, number+1), failureDomain, fmt.Sprintf("10.%d.1.%d", domain+1, number+1))
			entry.Entry = true
			bound, err := tier.bind(ctx, entry)
			if err != nil {
				return err
			}
			tier.entries = append(tier.entries, bound)
		}
	}
	for _, process := range append(tier.Replicas(), tier.entries...) {
		process.settings.ControlReplicas = replicas
	}
	return nil
}

func (tier *Tier) apply(ctx context.Context) error {
	var addresses []string
	for _, replica := range tier.replicas {
		addresses = append(addresses, replica.settings.PeerAddress)
	}
	tier.client = control.NewClient(addresses, tier.network("10.0.0.1:0").Dial)
	if err := tier.awaitEntries(ctx); err != nil {
		return err
	}
	tables := tier.options.Tables
	if tables == nil {
		made := tier.options.Deployment.Tables()
		tables = &made
	}
	accepted, err := tier.client.Change(ctx, &operator.Change{ID: "first", Tables: *tables})
	if err != nil {
		return errors.Wrap(err, "apply tables")
	}
	tier.version = accepted.Version
	return tier.awaitEntries(ctx)
}

// awaitEntries waits until all entries are in the view and act on the newest
// tables. Before there are tables it lets them learn that no target was ever
// used, so that none of them supposes that a home was lost before its time.
func (tier *Tier) awaitEntries(ctx context.Context) error {
	for {
		status, err := tier.client.Status(ctx)
		if err == nil && status.InForce && len(status.Entries) == len(tier.entries) && isSettled(status) {
			// The entries learn of it with their next renewal.
			time.Sleep(control.RenewInterval)
			return nil
		}
		if err := pause(ctx); err != nil {
			return errors.Wrap(err, "wait until the tables are in force")
		}
	}
}

// isSettled reports whether all entries have acknowledged the newest view, so
// that no failure domain's targets are usable before those of another.
func isSettled(status *operator.Status) bool {
	for _, entry := range status.Entries {
		if entry.View < status.View {
			return false
		}
	}
	return true
}

func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(readyInterval):
		return nil
	}
}

// Client returns a caller's client for one entry.
func (tier *Tier) Client(entry *Process) *caller.EntryClient {
	return caller.NewEntryClient(entry.settings.HTTPAddress, tier.network("10.0.0.2:0").Dial)
}

// Control returns a client for the control replicas.
func (tier *Tier) Control() *control.Client {
	return tier.client
}

// Replicas returns the control processes.
func (tier *Tier) Replicas() []*Process {
	return append([]*Process(nil), tier.replicas...)
}

// Entries returns the entry processes.
func (tier *Tier) Entries() []*Process {
	return append([]*Process(nil), tier.entries...)
}

// Targets returns the stand-in targets.
func (tier *Tier) Targets() []*Target {
	return tier.targets
}

// Version returns the version of the tables that Start applied.
func (tier *Tier) Version() uint64 {
	return tier.version
}

// Runs returns how often all targets together ran a request.
func (tier *Tier) Runs(requestID caller.RequestID) int {
	runs := 0
	for _, target := range tier.targets {
		runs += target.Record().Runs[string(requestID)]
	}
	return runs
}

// Stop stops entries, control replicas and targets, in this order.
func (tier *Tier) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, process.StopTimeout)
	defer cancel()
	var first error
	for _, process := range append(tier.Entries(), tier.replicas...) {
		if err := tier.StopProcess(ctx, process); err != nil && first == nil {
			first = err
		}
	}
	if tier.client != nil {
		tier.client.Close()
	}
	if tier.cancel != nil {
		tier.cancel()
	}
	for _, target := range tier.targets {
		target.Stop()
	}
	tier.running.Wait()
	_ = os.RemoveAll(tier.folder)
	return first
}
