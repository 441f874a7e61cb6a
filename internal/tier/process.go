// Starting and stopping individual processes of a tier.

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
		// killFlag points to a flag of the app that runs or ran last. Once it is set, that app
		// can't open connections. It is nil before the first start.
		killFlag atomic.Pointer[atomic.Bool]
	}
)

// StartReplica starts a control replica in addition to the initial ones. The replica
// joins their group only when an operator adds it with control.Client.AddReplica. Stop
// doesn't stop it, so it must be stopped with StopProcess.
func (tier *Tier) StartReplica(ctx context.Context, name, failureDomain, ip string) (*Process, error) {
	replicaSettings := tier.newSettings(name, failureDomain, ip)
	replicaSettings.Control = &settings.Control{DataFolder: filepath.Join(tier.folder, name)}
	replicaSettings.ControlReplicas = tier.replicas[0].settings.ControlReplicas
	created, err := tier.newProcess(ctx, replicaSettings)
	if err != nil {
		return nil, err
	}
	return created, tier.StartProcess(ctx, created)
}

// newSettings returns the settings of a process without a role. On loopback sockets, the
// IP address is ignored.
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

// newProcess returns a process that listens at its addresses, not yet started.
func (tier *Tier) newProcess(ctx context.Context, settings *settings.Settings) (*Process, error) {
	listeners, err := process.Listen(ctx, settings, tier.network(settings.HTTPAddress))
	if err != nil {
		return nil, err
	}
	return &Process{settings: settings, listeners: listeners}, nil
}

// network returns the network that a process at the given IP:port uses. In memory, its
// connections come from that IP address; on loopback sockets, the address makes no difference.
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
func (tier *Tier) StartProcess(ctx context.Context, toStart *Process) error {
	if err := toStart.settings.Check(); err != nil {
		return err
	}
	toStart.lifecycleLock.Lock()
	defer toStart.lifecycleLock.Unlock()
	if toStart.app != nil {
		return nil
	}
	network := tier.killableNetwork(toStart)
	if toStart.listeners == nil {
		listeners, err := process.Listen(ctx, toStart.settings, network)
		if err != nil {
			return err
		}
		toStart.listeners = listeners
	}
	logger, err := process.NewLogger(toStart.settings, tier.logs)
	if err != nil {
		return err
	}
	toStart.app = process.New(toStart.settings, toStart.listeners, network, logger, tier.logs)
	if err := toStart.app.Start(ctx); err != nil {
		return errors.Wrap(err, "start "+toStart.settings.Name)
	}
	return nil
}

// killableNetwork returns the network for one start of a process, with its file system
// if Options.Files is set, and sets the process's killFlag. After Kill, the network opens
// no connection.
func (tier *Tier) killableNetwork(toStart *Process) process.Network {
	killFlag := new(atomic.Bool)
	toStart.killFlag.Store(killFlag)
	network := tier.network(toStart.settings.HTTPAddress)
	dial := network.Dial
	network.Dial = func(ctx context.Context, kind, address string) (net.Conn, error) {
		if killFlag.Load() {
			return nil, errors.New("this process was killed")
		}
		return dial(ctx, kind, address)
	}
	if tier.options.Files != nil {
		network.FileSystem = tier.options.Files(toStart.settings.Name)
	}
	return network
}

// StopProcess stops a process gracefully. It does nothing if the process isn't running.
func (tier *Tier) StopProcess(ctx context.Context, toStop *Process) error {
	toStop.lifecycleLock.Lock()
	defer toStop.lifecycleLock.Unlock()
	if toStop.app == nil {
		return nil
	}
	app := toStop.app
	toStop.app, toStop.listeners = nil, nil
	if err := app.Stop(ctx); err != nil {
		return errors.Wrap(err, "stop "+toStop.settings.Name)
	}
	return nil
}

// Settings returns the process's settings, which its next start uses too.
func (process *Process) Settings() *settings.Settings {
	return process.settings
}
