// Package process wires the roles that the settings name into one running
// process.
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
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	operatorserver "gitlab.com/comfreythread/comfreythread/internal/operator"
	"gitlab.com/comfreythread/comfreythread/internal/settings"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/internal/tracing"
	"gitlab.com/comfreythread/comfreythread/internal/web"
)

const (
	// StartTimeout bounds the start of a process.
	StartTimeout = 15 * time.Second
	// StopTimeout bounds a graceful shutdown: the addresses' maximum age, the
	// longest request and some room.
	StopTimeout = settings.MaximumAddressMaxAge + time.Minute + 15*time.Second

	metricsPath = "/metrics"
)

type (
	// Network is how a process reaches others and its disk. The zero value
	// uses sockets and files.
	Network struct {
		// Listen accepts connections at an IP:port.
		Listen func(ctx context.Context, address string) (net.Listener, error)
		Dial   tcp.Dialer
		// FileSystem holds the state of control; nil is the operating
		// system's.
		FileSystem disk.FileSystem
	}

	// Listeners are bound before anything starts, so that a port that is
	// taken is told at once.
	Listeners struct {
		http net.Listener
		peer net.Listener
		// gateway and metrics are nil where the settings have none.
		gateway net.Listener
		metrics net.Listener
	}
)

// New returns the process that the settings describe, on listeners from
// Listen. More options add servers that begin after the roles and end before
// them.
func New(settings *settings.Settings, listeners *Listeners, network Network, logger *zap.Logger, stdout io.Writer, more ...fx.Option) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(StartTimeout),
		fx.StopTimeout(StopTimeout),
		fx.Supply(settings, listeners, network.withDefaults(), logger, fx.Annotate(stdout, fx.As(new(io.Writer)))),
		fx.Provide(newControlClient, metrics.New, web.NewEngine, newPeerServer),
		fx.Invoke(startTracing, registerCommon),
		controlModule(settings),
		// Stops run in the reverse order: the entry withdraws while it still
		// serves, the HTTP server ends its last request, the entry leaves the
		// view, and only then do peers lose this process.
		fx.Invoke(startPeerServer),
		entryModule(settings),
		gatewayModule(settings),
		fx.Invoke(startHTTPServer, startMetricsServer),
		fx.Options(more...),
		controlLifecycle(settings),
		entryStopModule(settings),
	)
}

// NewLogger returns a logger that writes JSON lines.
func NewLogger(settings *settings.Settings, sink io.Writer) (*zap.Logger, error) {
	level := zap.NewAtomicLevelAt(zap.InfoLevel)
	if settings.LogLevel != "" {
		if err := level.UnmarshalText([]byte(settings.LogLevel)); err != nil {
			return nil, errors.Wrap(err, "read log_level")
		}
	}
	return zap.New(newCore(newEncoder(), sink, level)).With(zap.String("process", settings.Name), zap.String("failure_domain", settings.FailureDomain)), nil
}

// Listen binds the addresses in the settings. A port 0 is replaced in the
// settings by the port that was bound.
func Listen(ctx context.Context, settings *settings.Settings, network Network) (*Listeners, error) {
	network = network.withDefaults()
	listeners := &Listeners{}
	for _, bound := range []struct {
		address  *string
		listener *net.Listener
		name     string
	}{
		{&settings.HTTPAddress, &listeners.http, "http_address"},
		{&settings.PeerAddress, &listeners.peer, "peer_address"},
		{gatewayAddressOf(settings), &listeners.gateway, "gateway.address"},
		{&settings.MetricsAddress, &listeners.metrics, "metrics_address"},
	} {
		if *bound.address == "" {
			continue
		}
		listener, err := network.Listen(ctx, *bound.address)
		if err != nil {
			listeners.close()
			return nil, errors.Wrap(err, "listen; choose a free "+bound.name)
		}
		*bound.address, *bound.listener = listener.Addr().String(), listener
	}
	return listeners, nil
}

func gatewayAddressOf(settings *settings.Settings) *string {
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

// Sockets returns the network of real sockets.
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

func newControlClient(settings *settings.Settings, network Network, lifecycle fx.Lifecycle) *control.Client {
	client := control.NewClient(settings.ControlReplicas, network.Dial)
	lifecycle.Append(fx.StopHook(client.Close))
	return client
}

func newPeerServer() *frame.Server {
	return new(frame.Server)
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

// registerCommon adds the routes that every process serves.
func registerCommon(engine *gin.Engine, client *control.Client, metrics *metrics.Metrics, logger *zap.Logger) {
	registerDropped(logger, metrics.Registry())
	operatorserver.NewServer(client).Register(engine)
	engine.GET(metricsPath, gin.WrapH(promhttp.HandlerFor(metrics.Registry(), promhttp.HandlerOpts{})))
	engine.GET("/v1/live", func(ginContext *gin.Context) { ginContext.Status(http.StatusNoContent) })
}

func startPeerServer(listeners *Listeners, peers *frame.Server, logger *zap.Logger, lifecycle fx.Lifecycle) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go report(logger, "peer server ended", func() error { return peers.Serve(listeners.peer) })
			return nil
		},
		OnStop: func(context.Context) error {
			peers.Stop()
			return nil
		},
	})
}

func startHTTPServer(listeners *Listeners, engine *gin.Engine, logger *zap.Logger, lifecycle fx.Lifecycle) {
	server := web.NewServer(engine)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go report(logger, "HTTP server ended", func() error { return web.Serve(server, listeners.http) })
			logger.Info("listening", zap.Stringer("http", listeners.http.Addr()), zap.Stringer("peer", listeners.peer.Addr()))
			return nil
		},
		OnStop: func(ctx context.Context) error { return web.Shutdown(ctx, server) },
	})
}

func startMetricsServer(listeners *Listeners, metrics *metrics.Metrics, logger *zap.Logger, lifecycle fx.Lifecycle) {
	if listeners.metrics == nil {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, promhttp.HandlerFor(metrics.Registry(), promhttp.HandlerOpts{}))
	server := web.NewServer(mux)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go report(logger, "metrics server ended", func() error { return web.Serve(server, listeners.metrics) })
			return nil
		},
		OnStop: func(context.Context) error { return server.Close() },
	})
}

func report(logger *zap.Logger, message string, serve func() error) {
	if err := serve(); err != nil {
		logger.Error(message, zap.Error(err))
	}
}
