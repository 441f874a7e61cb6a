// Package tier runs a whole system in one process: control replicas, entries
// and stand-in targets, on loopback sockets or on a network in memory.
package tier

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/fx"

	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/disk"
	"gitlab.com/comfreythread/comfreythread/internal/process"
	"gitlab.com/comfreythread/comfreythread/internal/settings"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
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
		options  Options
		folder   string
		replicas []*Process
		entries  []*Process
		targets  []*Target
		version  uint64
		client   *control.Client
		cancel   context.CancelFunc
		running  sync.WaitGroup
	}

	// Process is one process of the system.
	Process struct {
		settings  *settings.Settings
		listeners *process.Listeners
		// starting is held while the process starts or stops.
		starting sync.Mutex
		app      *fx.App
		// killed states that nothing of the running app may reach the network.
		killed atomic.Pointer[atomic.Bool]
	}

	// Target is a running stand-in target.
	Target struct {
		*standin.Target
		ip string
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
	tier := &Tier{options: options, folder: folder}
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

// StartReplica starts a control replica beside those that founded the group,
// which may then add it. The caller stops it with StopProcess.
func (tier *Tier) StartReplica(ctx context.Context, name, failureDomain, ip string) (*Process, error) {
	replica := tier.newSettings(name, failureDomain, ip)
	replica.Control = &settings.Control{DataFolder: filepath.Join(tier.folder, name)}
	replica.ControlReplicas = tier.replicas[0].settings.ControlReplicas
	bound, err := tier.bind(ctx, replica)
	if err != nil {
		return nil, err
	}
	return bound, tier.StartProcess(ctx, bound)
}

func (tier *Tier) newSettings(name, failureDomain, ip string) *settings.Settings {
	created := &settings.Settings{
		Name: name, FailureDomain: failureDomain, Region: failureDomain, LogLevel: "warn",
		HTTPAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", AddressMaxAge: duration.Of(demoAddressMaxAge),
	}
	if tier.options.Memory != nil {
		created.HTTPAddress = net.JoinHostPort(ip, httpPort)
		created.PeerAddress = net.JoinHostPort(ip, peerPort)
		created.AddressMaxAge = duration.Of(settings.DefaultAddressMaxAge)
	}
	return created
}

func (tier *Tier) bind(ctx context.Context, settings *settings.Settings) (*Process, error) {
	listeners, err := process.Listen(ctx, settings, tier.network(settings.HTTPAddress))
	if err != nil {
		return nil, err
	}
	return &Process{settings: settings, listeners: listeners}, nil
}

// network returns the network as seen from an IP:port.
func (tier *Tier) network(address string) process.Network {
	memory := tier.options.Memory
	if memory == nil {
		return process.Sockets()
	}
	ip, _, _ := net.SplitHostPort(address)
	return process.Network{
		Listen: func(_ context.Context, address string) (net.Listener, error) { return memory.Listen(address) },
		Dial:   memory.Dialer(ip),
	}
}

// StartProcess starts a process that is not running, also after its stop.
func (tier *Tier) StartProcess(ctx context.Context, started *Process) error {
	if err := started.settings.Check(); err != nil {
		return err
	}
	started.starting.Lock()
	defer started.starting.Unlock()
	if started.app != nil {
		return nil
	}
	network := tier.processNetwork(started)
	if started.listeners == nil {
		listeners, err := process.Listen(ctx, started.settings, network)
		if err != nil {
			return err
		}
		started.listeners = listeners
	}
	logger, err := process.NewLogger(started.settings, tier.options.Logs)
	if err != nil {
		return err
	}
	started.app = process.New(started.settings, started.listeners, network, logger, tier.options.Logs)
	if err := started.app.Start(ctx); err != nil {
		return errors.Wrap(err, "start "+started.settings.Name)
	}
	return nil
}

// processNetwork returns the network of a process from its start until it is
// killed.
func (tier *Tier) processNetwork(started *Process) process.Network {
	killed := new(atomic.Bool)
	started.killed.Store(killed)
	network := tier.network(started.settings.HTTPAddress)
	dial := network.Dial
	network.Dial = func(ctx context.Context, kind, address string) (net.Conn, error) {
		if killed.Load() {
			return nil, errors.New("this process was killed")
		}
		return dial(ctx, kind, address)
	}
	if tier.options.Files != nil {
		network.FileSystem = tier.options.Files(started.settings.Name)
	}
	return network
}

// StopProcess stops a process gracefully.
func (tier *Tier) StopProcess(ctx context.Context, stopped *Process) error {
	stopped.starting.Lock()
	defer stopped.starting.Unlock()
	if stopped.app == nil {
		return nil
	}
	app := stopped.app
	stopped.app, stopped.listeners = nil, nil
	if err := app.Stop(ctx); err != nil {
		return errors.Wrap(err, "stop "+stopped.settings.Name)
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

func (tier *Tier) startTargets(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	tier.cancel = cancel
	for _, pool := range tier.options.Deployment.Pools {
		for _, announcement := range tier.options.Deployment.Announcements(pool) {
			if err := tier.startTarget(ctx, running, announcement); err != nil {
				return err
			}
		}
	}
	return nil
}

func (tier *Tier) startTarget(ctx, running context.Context, announcement target.Announcement) error {
	number := len(tier.targets)
	ip, address := "127.0.0.1", "127.0.0.1:0"
	if tier.options.Memory != nil {
		ip = fmt.Sprintf("10.%d.%d.%d", tier.domainNumber(announcement.FailureDomain), 2+number/250, 1+number%250)
		address = net.JoinHostPort(ip, httpPort)
	}
	network := tier.network(address)
	listener, err := network.Listen(ctx, address)
	if err != nil {
		return errors.Wrap(err, "listen as target")
	}
	announcement.Address = listener.Addr().String()
	behaviour := standin.Behaviour{}
	if tier.options.Behave != nil {
		behaviour = tier.options.Behave(&announcement)
	}
	started := &Target{Target: standin.NewTarget(announcement, behaviour, network.Dial), ip: ip}
	tier.targets = append(tier.targets, started)
	tier.running.Go(func() { _ = started.Serve(listener) })
	entry := tier.entries[number%len(tier.entries)].settings.HTTPAddress
	if err := started.Announce(ctx, entry); err != nil {
		return err
	}
	tier.running.Go(func() { started.Renew(running, entry) })
	return nil
}

func (tier *Tier) domainNumber(failureDomain string) int {
	for number, candidate := range tier.options.Deployment.FailureDomains {
		if candidate == failureDomain {
			return number + 1
		}
	}
	return 0
}

// awaitTargets waits until a query of every pool is complete at every entry.
func (tier *Tier) awaitTargets(ctx context.Context) error {
	for _, entry := range tier.entries {
		for _, pool := range tier.options.Deployment.Pools {
			if err := tier.awaitPool(ctx, entry, pool); err != nil {
				return err
			}
		}
	}
	return nil
}

func (tier *Tier) awaitPool(ctx context.Context, entry *Process, pool standin.PoolShape) error {
	client := tier.Client(entry)
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

// Settings returns the settings that the process runs with.
func (process *Process) Settings() *settings.Settings {
	return process.settings
}

// IP returns the target's IP address.
func (target *Target) IP() string {
	return target.ip
}
