// Package tier runs a whole system in one process: control replicas, entries
// and stand-in targets, on loopback sockets or on an in-memory network.
//
// A caller sends its request to any entry, which coordinates the runs at
// targets. Each target has one entry as its home, and gets runs from that entry
// only. The control replicas agree on the tables of routes and pools, and on the
// view: the list of entries, which determines the homes. An entry serves only
// while it holds a lease from control.
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
	pollInterval = 50 * time.Millisecond
	startTimeout = 20 * time.Second
	// probeTimeout is the timeout of a search that checks whether a pool's targets are usable.
	probeTimeout = time.Second
	// loopbackAddressMaxAge is short so that a tier on loopback sockets stops quickly: a stopping
	// entry continues to serve for this long.
	loopbackAddressMaxAge = 200 * time.Millisecond
	// loopbackReserveSpan is how much longer an entry serves, at most, if it stops while no other
	// entry serves. It is short because a tier on loopback sockets stops as a whole.
	loopbackReserveSpan = 200 * time.Millisecond

	httpPort = "80"
	peerPort = "90"
)

type (
	// Options configures a tier.
	Options struct {
		Deployment standin.Deployment
		// EntriesPerFailureDomain is the number of entries in each failure domain; values below 1
		// mean 1.
		EntriesPerFailureDomain int
		// Network is the in-memory network to run on; nil means loopback sockets.
		Network *standin.Network
		// TargetBehaviour returns a target's behaviour and may change its announcement; with nil, all
		// targets answer at once.
		TargetBehaviour func(announcement *target.Announcement) standin.Behaviour
		// Tables replaces the deployment's tables; nil means the deployment's own.
		Tables *operator.Tables
		// Files returns the file system of the process with the given name; nil means the
		// operating system's.
		Files func(process string) disk.FileSystem
		// Logs receives the logs of all processes.
		Logs io.Writer
	}

	// Tier is a running system.
	Tier struct {
		options Options
		// logs is options.Logs with a lock, because all processes write to it concurrently.
		logs          io.Writer
		folder        string
		replicas      []*Process
		entries       []*Process
		targets       []*Target
		tablesVersion uint64
		controlClient *control.Client
		// stopRenewals ends the renewal of the targets' announcements.
		stopRenewals context.CancelFunc
		running      sync.WaitGroup
	}
)

// Start starts a control replica and entries in each failure domain, applies
// the tables, and starts the deployment's targets. It returns once every entry
// answers searches of every pool with complete coverage.
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
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := tier.listenAll(ctx); err != nil {
		return err
	}
	for _, process := range append(tier.Replicas(), tier.entries...) {
		if err := tier.StartProcess(ctx, process); err != nil {
			return err
		}
	}
	if err := tier.applyTables(ctx); err != nil {
		return err
	}
	if err := tier.startTargets(ctx); err != nil {
		return err
	}
	return tier.awaitTargets(ctx)
}

// listenAll binds the addresses of all processes before any starts, because each
// process's settings contain the addresses of the control replicas.
func (tier *Tier) listenAll(ctx context.Context) error {
	var replicaAddresses []string
	for domain, failureDomain := range tier.options.Deployment.FailureDomains {
		replicaSettings := tier.newSettings("control-"+failureDomain, failureDomain, fmt.Sprintf("10.%d.0.1", domain+1))
		replicaSettings.Control = &settings.Control{DataFolder: filepath.Join(tier.folder, replicaSettings.Name)}
		created, err := tier.newProcess(ctx, replicaSettings)
		if err != nil {
			return err
		}
		tier.replicas = append(tier.replicas, created)
		replicaAddresses = append(replicaAddresses, replicaSettings.PeerAddress)
		for number := range tier.options.EntriesPerFailureDomain {
			entrySettings := tier.newSettings(fmt.Sprintf("entry-%s-%d", failureDomain, number+1), failureDomain, fmt.Sprintf("10.%d.1.%d", domain+1, number+1))
			entrySettings.Entry = true
			created, err := tier.newProcess(ctx, entrySettings)
			if err != nil {
				return err
			}
			tier.entries = append(tier.entries, created)
		}
	}
	for _, process := range append(tier.Replicas(), tier.entries...) {
		process.settings.ControlReplicas = replicaAddresses
	}
	return nil
}

func (tier *Tier) applyTables(ctx context.Context) error {
	var addresses []string
	for _, replica := range tier.replicas {
		addresses = append(addresses, replica.settings.PeerAddress)
	}
	tier.controlClient = control.NewClient(addresses, tier.network("10.0.0.1:0").Dial)
	if err := tier.awaitEntries(ctx); err != nil {
		return err
	}
	tables := tier.options.Tables
	if tables == nil {
		derived := tier.options.Deployment.Tables()
		tables = &derived
	}
	reply, err := tier.controlClient.Change(ctx, &operator.Change{ID: "first", Tables: *tables})
	if err != nil {
		return errors.Wrap(err, "apply tables")
	}
	tier.tablesVersion = reply.Version
	return tier.awaitEntries(ctx)
}

// awaitEntries waits until all entries are in the view and act on the newest
// tables. Before the first tables are applied, it lets the entries learn from
// control that no target has ever been used; otherwise an entry would wrongly
// assume that targets had an earlier home that was lost.
func (tier *Tier) awaitEntries(ctx context.Context) error {
	for {
		status, err := tier.controlClient.Status(ctx)
		if err == nil && status.InForce && len(status.Entries) == len(tier.entries) && isSettled(status) {
			// The entries learn of this state at their next lease renewal.
			time.Sleep(control.RenewInterval)
			return nil
		}
		if err := waitPollInterval(ctx); err != nil {
			return errors.Wrap(err, "wait until the tables are in force")
		}
	}
}

// isSettled reports whether all entries have acknowledged the newest view. Until
// then, one failure domain's targets could become usable before another's.
func isSettled(status *operator.Status) bool {
	for _, entry := range status.Entries {
		if entry.View < status.View {
			return false
		}
	}
	return true
}

func waitPollInterval(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pollInterval):
		return nil
	}
}

// Client returns a caller's client of an entry.
func (tier *Tier) Client(entry *Process) *caller.EntryClient {
	return caller.NewEntryClient(entry.settings.HTTPAddress, tier.network("10.0.0.2:0").Dial)
}

// Control returns a client of the control replicas.
func (tier *Tier) Control() *control.Client {
	return tier.controlClient
}

// Replicas returns the control replicas that Start started.
func (tier *Tier) Replicas() []*Process {
	return append([]*Process(nil), tier.replicas...)
}

// Entries returns the entries.
func (tier *Tier) Entries() []*Process {
	return append([]*Process(nil), tier.entries...)
}

// Targets returns the stand-in targets.
func (tier *Tier) Targets() []*Target {
	return tier.targets
}

// TablesVersion returns the version of the tables that Start applied.
func (tier *Tier) TablesVersion() uint64 {
	return tier.tablesVersion
}

// Runs returns how often a request ran, summed over all targets.
func (tier *Tier) Runs(requestID caller.RequestID) int {
	runs := 0
	for _, target := range tier.targets {
		runs += target.Record().Runs[string(requestID)]
	}
	return runs
}

// Stop stops the entries, the control replicas and the targets, in this order. It returns the
// first error.
func (tier *Tier) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, process.StopTimeout)
	defer cancel()
	var firstErr error
	for _, process := range append(tier.Entries(), tier.replicas...) {
		if err := tier.StopProcess(ctx, process); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	if tier.controlClient != nil {
		tier.controlClient.Close()
	}
	if tier.stopRenewals != nil {
		tier.stopRenewals()
	}
	for _, target := range tier.targets {
		target.Stop()
	}
	tier.running.Wait()
	_ = os.RemoveAll(tier.folder)
	return firstErr
}
