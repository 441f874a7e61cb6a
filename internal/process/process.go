// Package process builds a process from the roles that its settings enable: control, entry, and the
// gateway of an entry.
package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/disk"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/inbound"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	operatorserver "gitlab.com/comfreythread/comfreythread/internal/operator"
	"gitlab.com/comfreythread/comfreythread/internal/pause"
	"gitlab.com/comfreythread/comfreythread/internal/settings"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/internal/tracing"
	"gitlab.com/comfreythread/comfreythread/internal/web"
)

const (
	// StartTimeout bounds the start of a process.
	StartTimeout = 15 * time.Second
	// StopTimeout bounds a graceful shutdown: the maximum age of addresses, the longest request and
	// a margin.
	StopTimeout = settings.MaximumAddressMaxAge + time.Minute + 15*time.Second

	metricsPath = "/metrics"
	// maximumScrapes and scrapeTimeout bound the scrapes that are prepared at a time. A scrape is written after its preparation, so
	// that one that isn't read keeps no other waiting.
	maximumScrapes = 4
	scrapeTimeout  = 5 * time.Second
)

type (
	// Network provides everything outside a process that the process uses: its connections, and also
	// its file system, so that a test can simulate the network and the disk of a machine with one
	// value. The zero value uses TCP sockets and the operating system's files.
	Network struct {
		// Listen returns a listener at an IP:port.
		Listen func(ctx context.Context, address string) (net.Listener, error)
		Dial   tcp.Dialer
		// FileSystem stores the state of a control process; nil stands for the operating system's.
		FileSystem disk.FileSystem
	}

	// Listeners holds the listeners of a process. They are bound before anything starts, so that a
	// port that is in use fails the start at once.
	Listeners struct {
		http net.Listener
		peer net.Listener
		// gateway and metrics are nil if the settings have no address for them.
		gateway net.Listener
		metrics net.Listener
	}
)

// New returns the process that the settings describe. It serves on listeners from Listen, and
// writes tracing spans to stdout if the settings select that exporter. Additional options add
// servers that start after the entry and gateway modules and stop before them.
func New(settings *settings.Settings, listeners *Listeners, network Network, logger *zap.Logger, stdout io.Writer, additional ...fx.Option) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(StartTimeout),
		fx.StopTimeout(StopTimeout),
		fx.Supply(settings, listeners, network.withDefaults(), logger, fx.Annotate(stdout, fx.As(new(io.Writer)))),
		fx.Provide(newAnswerBudget, newGate, newControlClient, newPauseMonitor, metrics.New, web.NewEngine, newPeerServer),
		fx.Invoke(limitMemory, startTracing, registerCommonRoutes),
		controlModule(settings),
		// Stop hooks run in reverse order: the entry withdraws while it still serves, the HTTP server
		// completes its last request, the entry leaves the view, and only then does the peer server
		// stop.
		fx.Invoke(startPeerServer),
		entryModule(settings),
		gatewayModule(settings),
		fx.Invoke(startHTTPServer, startMetricsServer),
		fx.Options(additional...),
		replicaLifecycleModule(settings),
		entryStopModule(settings),
	)
}

// NewLogger returns a logger that writes JSON lines to the sink, from the level in the settings on,
// or from info on if they name none.
func NewLogger(settings *settings.Settings, sink io.Writer) (*zap.Logger, error) {
	level := zap.NewAtomicLevelAt(zap.InfoLevel)
	if settings.LogLevel != "" {
		if err := level.UnmarshalText([]byte(settings.LogLevel)); err != nil {
			return nil, errors.Wrap(err, "read log_level")
		}
	}
	return zap.New(newCore(newEncoder(), sink, level)).With(zap.String("process", settings.Name), zap.String("failure_domain", settings.FailureDomain)), nil
}

// Listen binds the addresses in the settings. It replaces a port 0 in the settings by the port that
// was bound.
func Listen(ctx context.Context, settings *settings.Settings, network Network) (*Listeners, error) {
	network = network.withDefaults()
	listeners := &Listeners{}
	for _, binding := range []struct {
		address  *string
		listener *net.Listener
		name     string
	}{
		{&settings.HTTPAddress, &listeners.http, "http_address"},
		{&settings.PeerAddress, &listeners.peer, "peer_address"},
		{gatewayAddressField(settings), &listeners.gateway, "gateway.address"},
		{&settings.MetricsAddress, &listeners.metrics, "metrics_address"},
	} {
		if *binding.address == "" {
			continue
		}
		listener, err := network.Listen(ctx, *binding.address)
		if err != nil {
			listeners.close()
			return nil, errors.Wrap(err, "listen; choose a free "+binding.name)
		}
		*binding.listener = listener
		// A later start of the process binds the same addresses, which others may be reading.
		if bound := listener.Addr().String(); bound != *binding.address {
			*binding.address = bound
		}
	}
	return listeners, nil
}

// gatewayAddressField returns a pointer to the gateway's address in the settings, or to an empty
// string if there is no gateway.
func gatewayAddressField(settings *settings.Settings) *string {
	if settings.Gateway == nil {
		return new(string)
	}
	return &settings.Gateway.Address
}

func (listeners *Listeners) close() {
	for _, listener := range []net.Listener{listeners.http, listeners.peer, listeners.gateway, listeners.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Sockets returns the Network that uses TCP sockets and the operating system's files. In contrast to
// the zero value, its Listen and Dial are set.
func Sockets() Network {
	return Network{}.withDefaults()
}

func (network Network) withDefaults() Network {
	if network.Listen == nil {
		network.Listen = tcp.Listen
	}
	if network.Dial == nil {
		network.Dial = tcp.Dial
	}
	return network
}

// newPauseMonitor returns the monitor of pauses of this process, which runs until the process stops.
func newPauseMonitor(logger *zap.Logger, lifecycle fx.Lifecycle) *pause.Monitor {
	monitor := pause.NewMonitor(logger)
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StartStopHook(func() { go monitor.Run(ctx) }, cancel))
	return monitor
}

func newControlClient(settings *settings.Settings, network Network, pauses *pause.Monitor, lifecycle fx.Lifecycle) *control.Client {
	client := control.NewClient(settings.ControlReplicas, network.Dial)
	client.RefuseOrdersAfterPauses(pauses)
	lifecycle.Append(fx.StopHook(client.Close))
	return client
}

func newPeerServer(gate *inbound.Gate, logger *zap.Logger, metrics *metrics.Metrics) *frame.Server {
	sampled := metrics.Sample(logger)
	return &frame.Server{
		Account: gate.Peers(),
		OnPanic: func(method string, recovered any, stack []byte) {
			metrics.Panics().Inc()
			logger.Error("call of a peer panicked", zap.String("method", method), zap.Any("panic", recovered), zap.ByteString("stack", stack))
		},
		OnUnwanted: func(method, reason string, waited time.Duration) {
			metrics.UnwantedCalls().WithLabelValues(method, reason).Inc()
			sampled.Info("call unwanted", zap.String("method", method), zap.String("reason", reason), zap.Duration("waited", waited))
		},
	}
}

func startTracing(settings *settings.Settings, stdout io.Writer, lifecycle fx.Lifecycle) error {
	provider, err := tracing.NewProvider(context.Background(), settings.Tracing, stdout)
	if err != nil {
		return err
	}
	otel.SetTracerProvider(provider)
	lifecycle.Append(fx.StopHook(provider.Shutdown))
	return nil
}

// registerCommonRoutes adds the HTTP routes that every process serves, and registers the metric of
// dropped log lines.
func registerCommonRoutes(engine *gin.Engine, client *control.Client, metrics *metrics.Metrics, logger *zap.Logger) {
	registerDroppedMetric(logger, metrics.Registry())
	operatorserver.NewServer(client).Register(engine)
	engine.GET(metricsPath, gin.WrapH(metricsHandler(metrics)))
	engine.GET("/v1/live", func(ginContext *gin.Context) { ginContext.Status(http.StatusNoContent) })
}

// metricsHandler returns the handler for scrapes, of which a few are prepared at a time.
func metricsHandler(metrics *metrics.Metrics) http.Handler {
	return promhttp.HandlerFor(metrics.Registry(), promhttp.HandlerOpts{MaxRequestsInFlight: maximumScrapes, Timeout: scrapeTimeout})
}

func startPeerServer(listeners *Listeners, gate *inbound.Gate, peers *frame.Server, logger *zap.Logger, lifecycle fx.Lifecycle) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go runServer(logger, "peer server ended", func() error { return peers.Serve(gate.ListenPeers(listeners.peer, "peer", frame.MaximumConnections)) })
			return nil
		},
		OnStop: func(context.Context) error {
			peers.Stop()
			return nil
		},
	})
}

func startHTTPServer(listeners *Listeners, gate *inbound.Gate, engine *gin.Engine, logger *zap.Logger, lifecycle fx.Lifecycle) {
	server := web.NewServer(engine)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go runServer(logger, "HTTP server ended", func() error {
				return web.Serve(server, gate.ListenHTTP(listeners.http, "http", web.MaximumConnections))
			})
			logger.Info("listening", zap.Stringer("http", listeners.http.Addr()), zap.Stringer("peer", listeners.peer.Addr()))
			return nil
		},
		OnStop: func(ctx context.Context) error { return web.Shutdown(ctx, server) },
	})
}

func startMetricsServer(listeners *Listeners, gate *inbound.Gate, metrics *metrics.Metrics, logger *zap.Logger, lifecycle fx.Lifecycle) {
	if listeners.metrics == nil {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, metricsHandler(metrics))
	server := web.NewServer(mux)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go runServer(logger, "metrics server ended", func() error {
				return web.Serve(server, gate.ListenHTTP(listeners.metrics, "metrics", web.MaximumConnections))
			})
			return nil
		},
		OnStop: func(context.Context) error { return server.Close() },
	})
}

func runServer(logger *zap.Logger, message string, serve func() error) {
	if err := serve(); err != nil {
		logger.Error(message, zap.Error(err))
	}
}
