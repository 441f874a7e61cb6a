// The fx module of the control role.

package process

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/disk"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/pause"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/internal/replica"
	"gitlab.com/comfreythread/comfreythread/internal/settings"
)

const (
	// registryFolderName is the subfolder of the data folder that stores the announced targets.
	registryFolderName = "registry"
)

func controlModule(settings *settings.Settings) fx.Option {
	if settings.Control == nil {
		return fx.Options()
	}
	return fx.Module("control",
		fx.Provide(newState, newReplica, newControlService, newRegistry, newRegistryGroup, newAnnouncementAPI),
		fx.Invoke(registerControl, registerAnnouncementAPI, runRegistry),
	)
}

// replicaLifecycleModule is invoked after the servers, so that the replica stops before them: it
// transfers its leadership while the other replicas can still reach it.
func replicaLifecycleModule(settings *settings.Settings) fx.Option {
	if settings.Control == nil {
		return fx.Options()
	}
	return fx.Invoke(runReplica)
}

func newState() *control.State {
	return new(control.State)
}

func newReplica(settings *settings.Settings, state *control.State, network Network, logger *zap.Logger, metrics *metrics.Metrics) *replica.Replica {
	fileSystem := disk.NewTimed(network.FileSystem, func(span time.Duration) { metrics.DiskSync().Observe(span.Seconds()) })
	return replica.New(replica.Options{
		Name: settings.Name, Address: settings.PeerAddress, Peers: settings.ControlReplicas,
		Dial: network.Dial, Logger: logger, Folder: settings.Control.DataFolder, FileSystem: fileSystem,
		JoinOnly: settings.Control.JoinOnly, SelfManaged: settings.Control.SelfManaged,
		CountMemberChange: func(kind, reason string) { metrics.GroupChanges().WithLabelValues(kind, reason).Inc() },
	}, state)
}

func newControlService(settings *settings.Settings, replica *replica.Replica, state *control.State, metrics *metrics.Metrics, logger *zap.Logger) *control.Service {
	service := control.NewService(replica, state)
	if rollouts := settings.Rollouts; rollouts != nil {
		service.EnableRollouts(control.RolloutOptions{
			Limits: policy.RolloutLimits{Share: rollouts.Share, Slack: rollouts.Slack}, Logger: logger, Metrics: metrics,
		})
	}
	return service
}

func newRegistry(logger *zap.Logger) *httptarget.Registry {
	return httptarget.NewRegistry(rand.Uint64(), logger)
}

// newRegistryGroup returns the group of the registries of the control replicas.
func newRegistryGroup(settings *settings.Settings, registry *httptarget.Registry, replica *replica.Replica, network Network, logger *zap.Logger) *httptarget.Group {
	return httptarget.NewGroup(registry, func() []string {
		var addresses []string
		for _, member := range replica.Status().Replicas {
			if member.Address != settings.PeerAddress {
				addresses = append(addresses, member.Address)
			}
		}
		return addresses
	}, network.Dial, logger)
}

// newAnnouncementAPI returns the interface for announcements, which refuses them until the replica
// belongs to a group, because entries watch only the registries of the group.
func newAnnouncementAPI(registry *httptarget.Registry, group *httptarget.Group, replica *replica.Replica, pauses *pause.Monitor) *httptarget.AnnouncementAPI {
	return httptarget.NewAnnouncementAPI(registry, group, func() bool { return len(replica.Status().Replicas) > 0 }, pauses)
}

func registerAnnouncementAPI(announcementAPI *httptarget.AnnouncementAPI, engine *gin.Engine) {
	announcementAPI.Register(engine)
}

// runRegistry loads the registry, the list of announced targets, from the disk, and then keeps it up
// to date and saves it until the process stops.
func runRegistry(settings *settings.Settings, network Network, registry *httptarget.Registry, group *httptarget.Group, server *frame.Server, lifecycle fx.Lifecycle) {
	registry.Register(server)
	store := httptarget.NewStore(filepath.Join(settings.Control.DataFolder, registryFolderName), network.FileSystem)
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StartStopHook(func() {
		registry.Load(store)
		go registry.Run(ctx)
		go group.Run(ctx)
		go registry.Save(ctx, store)
	}, func() {
		cancel()
		group.Close()
	}))
}

func registerControl(service *control.Service, replica *replica.Replica, server *frame.Server, metrics *metrics.Metrics) {
	service.Register(server)
	replica.Register(server)
	metrics.GaugeFunc("replica_leading", "1 while this replica leads.", func() float64 {
		if replica.Status().Leading {
			return 1
		}
		return 0
	})
	metrics.GaugeFunc("replica_applied_index", "Last log entry that this replica has applied.", func() float64 { return float64(replica.Status().Applied) })
	metrics.GaugeFuncVec("replica_lag_entries", "Log entries that a replica of the group still lacks, as the leader knows it.", "replica", func() map[string]float64 {
		lags := map[string]float64{}
		if status := replica.Status(); status.Leading {
			for _, member := range status.Replicas {
				lags[member.ID] = float64(member.Lag)
			}
		}
		return lags
	})
}

func runReplica(replica *replica.Replica, service *control.Service, lifecycle fx.Lifecycle) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go service.Run(ctx)
			return replica.Start()
		},
		OnStop: func(stopContext context.Context) error {
			cancel()
			return replica.Stop(stopContext)
		},
	})
}
