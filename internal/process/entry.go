// The fx module of the entry role.

package process

import (
	"context"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/answer"
	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	callerserver "gitlab.com/comfreythread/comfreythread/internal/caller"
	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/entry"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/settings"
	targetserver "gitlab.com/comfreythread/comfreythread/internal/target"
)

const (
	// viewPollInterval is the interval at which a stopping entry checks whether another entry serves.
	viewPollInterval = 100 * time.Millisecond
)

func entryModule(settings *settings.Settings) fx.Option {
	if !settings.Entry {
		return fx.Options()
	}
	return fx.Module("entry",
		fx.Provide(newBoard, newHome, newPeers, newHomes, newCoordinator, newDirectoryReplicator, newBalancer, newHandover, newLeaseholder),
		fx.Invoke(registerEntry, runEntry),
	)
}

// entryStopModule is invoked last, so that its stop hook runs first.
func entryStopModule(settings *settings.Settings) fx.Option {
	if !settings.Entry {
		return fx.Options()
	}
	if settings.Gateway != nil {
		return fx.Invoke(withdrawGateway)
	}
	return fx.Invoke(withdrawEntry)
}

func newBoard() *blackboard.Board {
	return new(blackboard.Board)
}

func newHome(settings *settings.Settings, board *blackboard.Board, network Network, budget *answer.Budget, metrics *metrics.Metrics) *targetserver.Home {
	home := targetserver.NewHome(settings.Name, board, network.Dial, metrics)
	home.UseBudget(budget)
	return home
}

func newBalancer(settings *settings.Settings, board *blackboard.Board, client *control.Client, logger *zap.Logger) *entry.Balancer {
	return entry.NewBalancer(settings.Name, board, client, logger)
}

func newHandover(settings *settings.Settings, board *blackboard.Board, home *targetserver.Home, peers *entry.Peers) *entry.Handover {
	return entry.NewHandover(settings.Name, board, home, peers)
}

func newPeers(network Network) *entry.Peers {
	return entry.NewPeers(network.Dial)
}

func newHomes(settings *settings.Settings, board *blackboard.Board, home *targetserver.Home, peers *entry.Peers) *entry.Homes {
	return entry.NewHomes(settings.Name, board, home, peers)
}

func newCoordinator(settings *settings.Settings, board *blackboard.Board, homes *entry.Homes, client *control.Client, metrics *metrics.Metrics) *entry.Coordinator {
	return entry.NewCoordinator(settings.Name, board, homes, client, metrics)
}

func newDirectoryReplicator(settings *settings.Settings, board *blackboard.Board, peers *entry.Peers, metrics *metrics.Metrics) *entry.DirectoryReplicator {
	return entry.NewDirectoryReplicator(settings.Name, board, peers, metrics)
}

func newLeaseholder(settings *settings.Settings, board *blackboard.Board, client *control.Client, home *targetserver.Home, handover *entry.Handover, logger *zap.Logger, metrics *metrics.Metrics) *entry.Leaseholder {
	metrics.GaugeFunc("lease_left_seconds", "Time until the entry's lease from control runs out; negative once it has.", func() float64 {
		return time.Until(board.InForce().LeaseUntil()).Seconds()
	})
	metrics.GaugeFunc("tables_newest_version", "Newest version of the tables that control has named to this entry.", func() float64 {
		return float64(board.InForce().Newest())
	})
	member := membership.Member{
		ID:             settings.Name,
		PeerAddress:    settings.PeerAddress,
		CallerAddress:  settings.HTTPAddress,
		GatewayAddress: gatewayAddress(settings),
		FailureDomain:  settings.FailureDomain,
		Region:         settings.Region,
		Incarnation:    uint64(time.Now().UnixNano()),
	}
	return entry.NewLeaseholder(member, board, client, home, handover, logger, metrics)
}

func registerEntry(settings *settings.Settings, board *blackboard.Board, coordinator *entry.Coordinator, directoryReplicator *entry.DirectoryReplicator, homes *entry.Homes, handover *entry.Handover, leaseholder *entry.Leaseholder, engine *gin.Engine, server *frame.Server) {
	callerServer := callerserver.NewServer(settings.Name, settings.AddressMaxAge.Std(), board, coordinator)
	callerServer.Register(engine)
	targetserver.NewServer(board).Register(engine)
	homes.Register(server)
	directoryReplicator.Register(server)
	handover.Register(server, leaseholder.Wake)
}

// runEntry runs the entry's background work, such as the renewal of its lease. It stops after the
// HTTP server, so that the entry leaves the view, which is control's list of entries, after its last
// request.
func runEntry(leaseholder *entry.Leaseholder, home *targetserver.Home, directoryReplicator *entry.DirectoryReplicator, balancer *entry.Balancer, peers *entry.Peers, lifecycle fx.Lifecycle, logger *zap.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go leaseholder.Run(ctx)
			go home.EnforceLease(ctx)
			go directoryReplicator.Run(ctx)
			go balancer.Run(ctx)
			return nil
		},
		OnStop: func(stopContext context.Context) error {
			home.Drain(stopContext)
			if err := leaseholder.Leave(stopContext); err != nil {
				logger.Warn("can't remove this entry from the view", zap.Error(err))
			}
			cancel()
			home.Close()
			peers.Close()
			return nil
		},
	})
}

// withdrawEntry performs the first phase of a planned stop, in which the entry still serves: it
// withdraws from the view, hands its targets over to other entries, and waits until no caller has
// its address cached.
func withdrawEntry(settings *settings.Settings, board *blackboard.Board, leaseholder *entry.Leaseholder, handover *entry.Handover, lifecycle fx.Lifecycle, logger *zap.Logger) {
	lifecycle.Append(fx.StopHook(func(ctx context.Context) error {
		board.InForce().Stop()
		logger.Info("withdrawing", zap.Duration("address_max_age", settings.AddressMaxAge.Std()))
		go handover.NotifyWithdrawal(ctx)
		if err := leaseholder.Withdraw(ctx); err != nil {
			logger.Warn("withdrawn without confirmation from all entries", zap.Error(err))
		}
		waitForAddressExpiry(ctx, settings, board, logger)
		return nil
	}))
}

// waitForAddressExpiry waits until no caller has this entry's address cached. Callers still get
// this address while no other entry serves, so the wait then lasts up to ReserveSpan longer.
func waitForAddressExpiry(ctx context.Context, settings *settings.Settings, board *blackboard.Board, logger *zap.Logger) {
	maxAge, reserveSpan := settings.AddressMaxAge.Std(), settings.ReserveSpan.Std()
	start := time.Now()
	lastAdvertised := start
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(viewPollInterval):
		}
		view := board.Membership().View()
		now := time.Now()
		switch {
		case now.Sub(start) >= maxAge+reserveSpan:
			logger.Warn("stopping although no other entry serves", zap.Uint64("view", view.Number))
			return
		case !view.OthersServe(settings.Name):
			if lastAdvertised.Equal(start) {
				logger.Info("continuing to serve because no other entry serves", zap.Uint64("view", view.Number), zap.Duration("reserve_span", reserveSpan))
			}
			lastAdvertised = now
		case now.Sub(lastAdvertised) >= maxAge:
			return
		}
	}
}
