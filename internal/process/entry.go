// This file exists so that the entry role is wired in one place.

package process

import (
	"context"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"
	"go.uber.org/zap"

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

func entryModule(settings *settings.Settings) fx.Option {
	if !settings.Entry {
		return fx.Options()
	}
	return fx.Module("entry",
		fx.Provide(newBoard, newHome, newPeers, newHomes, newCoordinator, newSpreader, newLeaseholder),
		fx.Invoke(registerEntry, runEntry),
	)
}

func newBoard() *blackboard.Board {
	return new(blackboard.Board)
}

func newHome(settings *settings.Settings, board *blackboard.Board, network Network, metrics *metrics.Metrics) *targetserver.Home {
	return targetserver.NewHome(settings.Name, board, network.Dial, metrics)
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

func newSpreader(settings *settings.Settings, board *blackboard.Board, peers *entry.Peers) *entry.Spreader {
	return entry.NewSpreader(settings.Name, board, peers)
}

func newLeaseholder(settings *settings.Settings, board *blackboard.Board, client *control.Client, logger *zap.Logger, metrics *metrics.Metrics) *entry.Leaseholder {
	member := membership.Member{
		ID:            settings.Name,
		PeerAddress:   settings.PeerAddress,
		CallerAddress: settings.HTTPAddress,
		FailureDomain: settings.FailureDomain,
		Region:        settings.Region,
		Incarnation:   uint64(time.Now().UnixNano()),
	}
	return entry.NewLeaseholder(member, board, client, logger, metrics)
}

func registerEntry(board *blackboard.Board, coordinator *entry.Coordinator, spreader *entry.Spreader, homes *entry.Homes, engine *gin.Engine, server *frame.Server) {
	callerserver.NewServer(board, coordinator).Register(engine)
	targetserver.NewServer(board, spreader).Register(engine)
	homes.Register(server)
	spreader.Register(server)
}

// runEntry keeps the lease while the process runs. At a planned stop the
// entry withdraws, serves on until no caller holds its address any more, and
// leaves the view after its last request.
func runEntry(leaseholder *entry.Leaseholder, home *targetserver.Home, peers *entry.Peers, lifecycle fx.Lifecycle, logger *zap.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go leaseholder.Run(ctx)
			return nil
		},
		OnStop: func(stopContext context.Context) error {
			if err := leaseholder.Leave(stopContext); err != nil {
				logger.Warn("left without telling control", zap.Error(err))
			}
			cancel()
			home.Close()
			peers.Close()
			return nil
		},
	})
}
