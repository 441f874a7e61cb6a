// Starting and stopping single processes of a tier.

package tier

import (
	"context"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"go.uber.org/fx"

	"gitlab.com/comfreythread/comfreythread/internal/process"
	"gitlab.com/comfreythread/comfreythread/internal/settings"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
)

type (
	// Process is an entry or a control replica of a tier.
	Process struct {
		settings  *settings.Settings
		listeners *process.Listeners
		// lifecycleLock serializes starts and stops of the process.
		lifecycleLock sync.Mutex
		app           *fx.App
		// killed points to a flag of the running app; once it is set, the app can't open connections.
		killed atomic.Pointer[atomic.Bool]
	}
)

// StartReplica starts a control replica in addition to the initial ones. It
// isn't a member of their group until it is added. The caller stops it with
// StopProcess.
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
		HTTPAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", AddressMaxAge: duration.Of(loopbackAddressMaxAge), ReserveSpan: duration.Of(loopbackReserveSpan),
	}
	if tier.options.Network != nil {
		created.HTTPAddress = net.JoinHostPort(ip, httpPort)
		created.PeerAddress = net.JoinHostPort(ip, peerPort)
		created.AddressMaxAge = duration.Of(settings.DefaultAddressMaxAge)
		created.ReserveSpan = duration.Of(settings.DefaultReserveSpan)
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

// network returns the network as a process at the given IP:port uses it.
func (tier *Tier) network(address string) process.Network {
	memoryNetwork := tier.options.Network
	if memoryNetwork == nil {
		return process.Sockets()
	}
	ip, _, _ := net.SplitHostPort(address)
	return process.Network{
		Listen: func(_ context.Context, address string) (net.Listener, error) { return memoryNetwork.Listen(address) },
		Dial:   memoryNetwork.Dialer(ip),
	}
}

// StartProcess starts a process, for the first time or after a stop. It does nothing if the
// process is running.
func (tier *Tier) StartProcess(ctx context.Context, started *Process) error {
	if err := started.settings.Check(); err != nil {
		return err
	}
	started.lifecycleLock.Lock()
	defer started.lifecycleLock.Unlock()
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
	logger, err := process.NewLogger(started.settings, tier.logs)
	if err != nil {
		return err
	}
	started.app = process.New(started.settings, started.listeners, network, logger, tier.logs)
	if err := started.app.Start(ctx); err != nil {
		return errors.Wrap(err, "start "+started.settings.Name)
	}
	return nil
}

// processNetwork returns a process's network for one start. After Kill, it
// opens no connection.
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

// StopProcess stops a process gracefully. It does nothing if the process isn't running.
func (tier *Tier) StopProcess(ctx context.Context, stopped *Process) error {
	stopped.lifecycleLock.Lock()
	defer stopped.lifecycleLock.Unlock()
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

// Settings returns the process's settings, which its next start uses too.
func (process *Process) Settings() *settings.Settings {
	return process.settings
}
