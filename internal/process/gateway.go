// The fx module by which an entry serves HTTP routes and stops without cutting requests.

package process

import (
	"context"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/answer"
	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/dialect"
	"gitlab.com/comfreythread/comfreythread/internal/entry"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/httpcaller"
	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/inbound"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/permit"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/internal/relay"
	"gitlab.com/comfreythread/comfreythread/internal/rollout"
	"gitlab.com/comfreythread/comfreythread/internal/settings"
	"gitlab.com/comfreythread/comfreythread/internal/web"
)

const (
	// maximumGatewayConnections bounds the connections from callers, so that file descriptors remain
	// for connections to targets.
	maximumGatewayConnections = 2048
	// finalStopSpan is the last phase of a planned stop: no new connection is accepted, requests in
	// progress end, and the entry leaves. It includes leaveTimeout.
	finalStopSpan = 1500 * time.Millisecond
	// leaveTimeout is the time reserved for the last responses, which take up to finishTimeout, and the
	// steps after them.
	leaveTimeout  = 250 * time.Millisecond
	finishTimeout = 100 * time.Millisecond
	// idlePollInterval is the interval at which a stopping entry checks whether requests are in progress.
	idlePollInterval = 10 * time.Millisecond
)

func gatewayAddress(settings *settings.Settings) string {
	if settings.Gateway == nil {
		return ""
	}
	return settings.Gateway.Address
}

func gatewayModule(settings *settings.Settings) fx.Option {
	if settings.Gateway == nil {
		return fx.Options()
	}
	return fx.Module("gateway",
		fx.Provide(dialect.Default, httptarget.NewDirectory, newSender, newPermits, newRelay, newRollouts, newGateway, newGatewayServer),
		fx.Invoke((*permit.Permits).Register, registerRelay, registerIgnoredRecords, runWatcher, runConnectionKeeper, startGateway),
	)
}

func newSender(headers dialect.Headers, network Network, budget *answer.Budget, logger *zap.Logger, metrics *metrics.Metrics) *httptarget.Sender {
	sender := httptarget.NewSender(headers, network.Dial)
	sender.UseBudget(budget)
	sender.Observe(logger, metrics)
	return sender
}

func newPermits(settings *settings.Settings, board *blackboard.Board, peers *entry.Peers, logger *zap.Logger, metrics *metrics.Metrics) *permit.Permits {
	permits := permit.New(settings.Name, board, peers.Client, logger, metrics)
	if allotments := settings.Gateway.Allotments; allotments != nil {
		permits.EnforceAllotments(policy.AllotmentLimits{Window: allotments.Window.Std(), Overage: allotments.Overage, Slack: allotments.Slack})
	}
	return permits
}

func newRelay(settings *settings.Settings, board *blackboard.Board, directory *httptarget.Directory, sender *httptarget.Sender, peers *entry.Peers, logger *zap.Logger, metrics *metrics.Metrics) *relay.Relay {
	return relay.New(relay.Options{
		Self: settings.Name, FailureDomain: settings.FailureDomain, Region: settings.Region, Regions: settings.Gateway.Regions, Client: peers.Client,
	}, board, directory, sender, logger, metrics)
}

func registerRelay(relay *relay.Relay, server *frame.Server, gateway *httpcaller.Server) {
	relay.Register(server, gateway.ConnectionLimit, gateway.IsSpare, gateway.StopsWithin)
}

func registerIgnoredRecords(directory *httptarget.Directory, metrics *metrics.Metrics) {
	metrics.GaugeFunc("target_records_ignored", "Invalid records of targets that registries have sent.", func() float64 { return float64(directory.IgnoredRecords()) })
}

// newRollouts returns the tracker of rollouts, which runs until the entry stops, or nil if they are turned off.
func newRollouts(settings *settings.Settings, board *blackboard.Board, client *control.Client, logger *zap.Logger, metrics *metrics.Metrics, lifecycle fx.Lifecycle) *rollout.Tracker {
	if settings.Rollouts == nil {
		return nil
	}
	tracker := rollout.New(settings.Name, uint64(time.Now().UnixNano()), board, client, logger, metrics)
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StartStopHook(func() { go tracker.Run(ctx) }, cancel))
	return tracker
}

func newGateway(settings *settings.Settings, headers dialect.Headers, board *blackboard.Board, directory *httptarget.Directory, sender *httptarget.Sender, permits *permit.Permits, rollouts *rollout.Tracker, client *control.Client, logger *zap.Logger, metrics *metrics.Metrics) *httpcaller.Server {
	gateway := settings.Gateway
	server := httpcaller.NewServer(httpcaller.Options{
		Name: settings.Name, FailureDomain: settings.FailureDomain, Region: settings.Region, Regions: gateway.Regions, Headers: headers,
		Budget:     policy.BudgetLimits{Ratio: gateway.RetryRatio, Slack: gateway.RetrySlack, Window: gateway.RetryWindow.Std(), Unshared: gateway.DisabledMechanisms.Has(policy.MechanismSharedSlack)},
		Revocation: gateway.Revocation,
		Rollouts:   rollouts, ControlContact: client.Contact, Disabled: gateway.DisabledMechanisms,
	}, board, directory, sender, permits, logger, metrics)
	metrics.GaugeFunc("http_requests_in_flight", "Requests of HTTP routes in progress.", func() float64 { return float64(server.InFlight()) })
	metrics.GaugeFuncVec("retry_budget_left", "Hedges and retries that this entry may still send to a pool at this moment.", "pool", server.BudgetsLeft)
	return server
}

func newGatewayServer(server *httpcaller.Server, logger *zap.Logger) *web.LimitedServer {
	return web.NewLimitedServer(server, server.Limits, logger)
}

// runWatcher keeps the directory of targets up to date from the registries of the control replicas.
func runWatcher(directory *httptarget.Directory, client *control.Client, network Network, logger *zap.Logger, lifecycle fx.Lifecycle) {
	watcher := httptarget.NewWatcher(directory, client.Replicas, network.Dial, logger)
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StartStopHook(func() { go watcher.Run(ctx) }, cancel))
}

func runConnectionKeeper(gateway *httpcaller.Server, lifecycle fx.Lifecycle) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StartStopHook(func() { go gateway.KeepConnected(ctx) }, cancel))
}

func startGateway(listeners *Listeners, gate *inbound.Gate, gateway *httpcaller.Server, server *web.LimitedServer, logger *zap.Logger, lifecycle fx.Lifecycle) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go runServer(logger, "gateway ended", func() error {
				return server.Serve(gate.ListenHTTP(listeners.gateway, "gateway", maximumGatewayConnections))
			})
			return nil
		},
		OnStop: func(context.Context) error {
			gateway.Close()
			return server.Close()
		},
	})
}

// withdrawGateway performs the first phase of a planned stop: the entry continues to serve while
// callers learn that it is stopping, then closes its listener and waits for the requests in
// progress. Those that are left at the end are answered at once, because a caller learns more from that
// than from a closed connection. The whole stop takes StopSpan, whether or not control responds.
func withdrawGateway(settings *settings.Settings, board *blackboard.Board, leaseholder *entry.Leaseholder, gateway *httpcaller.Server, server *web.LimitedServer, lifecycle fx.Lifecycle, logger *zap.Logger) {
	lifecycle.Append(fx.StopHook(func(ctx context.Context) error {
		span := settings.Gateway.StopSpan.Std()
		until := time.Now().Add(span - leaveTimeout)
		servingContext, cancel := context.WithTimeout(ctx, max(0, span-finalStopSpan))
		defer cancel()
		logger.Info("withdrawing", zap.Duration("stop_span", span), zap.Int("in_flight", gateway.InFlight()))
		board.InForce().Stop()
		gateway.Stop(until)
		if err := leaseholder.Withdraw(servingContext); err != nil {
			logger.Warn("withdrawn without confirmation from all entries", zap.Error(err))
		}
		<-servingContext.Done()
		logger.Info("taking no more connections", zap.Int("in_flight", gateway.InFlight()))
		server.StopAccepting()
		awaitIdle(ctx, gateway, until)
		logger.Info("taking no more requests", zap.Int("in_flight", gateway.InFlight()))
		// Before the idle connections are closed: a request that is read meanwhile is not passed on.
		gateway.Finish()
		shutdownContext, cancelShutdown := context.WithTimeout(ctx, finishTimeout)
		defer cancelShutdown()
		if err := server.Shutdown(shutdownContext); err != nil {
			logger.Warn("requests cut at the end of the stop", zap.Int("in_flight", gateway.InFlight()), zap.Error(err))
		}
		return nil
	}))
}

// awaitIdle waits until no request is in progress, a time has come, or ctx ends.
func awaitIdle(ctx context.Context, gateway *httpcaller.Server, until time.Time) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for gateway.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
