// A server whose time limits change while it runs. The HTTP library fixes them
// for a server's life, so there is one server for each pair of limits that was
// in force, and a connection stays with the one that it was opened under.

package web

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

const (
	// acceptRetry is the span after which a listener is asked again that was
	// out of descriptors: short beside the time that a caller waits.
	acceptRetry = 10 * time.Millisecond
	// idleMargin is added to the allowed idle time, so that a request sent just
	// within it doesn't meet the close on its way.
	idleMargin = 2 * time.Second
)

type (
	// Limits bound how long a peer may take.
	Limits struct {
		// HeaderTimeout is the time for a head.
		HeaderTimeout time.Duration
		// IdleTimeout is the time between two requests of a connection.
		IdleTimeout time.Duration
	}

	// LimitedServer serves a handler under the limits in force when a
	// connection is opened. Construct it with NewLimitedServer.
	LimitedServer struct {
		handler http.Handler
		limits  func() Limits
		logger  *zap.Logger

		lock     sync.Mutex
		listener net.Listener
		servers  map[Limits]*handedServer
		closed   bool
	}

	// handedServer serves connections that were accepted elsewhere.
	handedServer struct {
		*http.Server
		handed *handedListener
	}

	// handedListener is a listener of accepted connections.
	handedListener struct {
		address     net.Addr
		connections chan net.Conn
		ended       chan struct{}
		end         sync.Once
	}
)

// NewLimitedServer returns a server that asks for the limits at each new
// connection.
func NewLimitedServer(handler http.Handler, limits func() Limits, logger *zap.Logger) *LimitedServer {
	return &LimitedServer{handler: handler, limits: limits, logger: logger, servers: map[Limits]*handedServer{}}
}

// Serve accepts connections until the server is shut down or closed.
func (limitedServer *LimitedServer) Serve(listener net.Listener) error {
	if !limitedServer.begin(listener) {
		return listener.Close()
	}
	for {
		connection, err := listener.Accept()
		switch {
		case err == nil:
			limitedServer.hand(listener, connection)
		case limitedServer.isClosed():
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			limitedServer.logger.Warn("connection not accepted", zap.Error(err))
			time.Sleep(acceptRetry)
		}
	}
}

// Shutdown takes no more connections and returns once the requests in progress
// have ended, or with ctx.
func (limitedServer *LimitedServer) Shutdown(ctx context.Context) error {
	return limitedServer.stop(func(server *http.Server) error { return server.Shutdown(ctx) })
}

// Close ends all connections at once.
func (limitedServer *LimitedServer) Close() error {
	return limitedServer.stop((*http.Server).Close)
}

func (limitedServer *LimitedServer) begin(listener net.Listener) bool {
	limitedServer.lock.Lock()
	defer limitedServer.lock.Unlock()
	limitedServer.listener = listener
	return !limitedServer.closed
}

func (limitedServer *LimitedServer) isClosed() bool {
	limitedServer.lock.Lock()
	defer limitedServer.lock.Unlock()
	return limitedServer.closed
}

// hand gives a connection to the server with the limits in force.
func (limitedServer *LimitedServer) hand(listener net.Listener, connection net.Conn) {
	server := limitedServer.current(listener)
	if server == nil {
		_ = connection.Close()
		return
	}
	select {
	case server.handed.connections <- connection:
	case <-server.handed.ended:
		_ = connection.Close()
	}
}

func (limitedServer *LimitedServer) current(listener net.Listener) *handedServer {
	limits := limitedServer.limits()
	limitedServer.lock.Lock()
	defer limitedServer.lock.Unlock()
	if limitedServer.closed {
		return nil
	}
	server, known := limitedServer.servers[limits]
	if known {
		return server
	}
	server = &handedServer{
		Server: &http.Server{
			Handler: limitedServer.handler, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout + idleMargin,
			ErrorLog: zap.NewStdLog(limitedServer.logger),
		},
		handed: &handedListener{address: listener.Addr(), connections: make(chan net.Conn), ended: make(chan struct{})},
	}
	limitedServer.servers[limits] = server
	go func() {
		if err := server.Serve(server.handed); !errors.Is(err, http.ErrServerClosed) {
			limitedServer.logger.Error("server ended", zap.Error(err))
		}
	}()
	return server
}

// stop closes the listener and stops all servers at the same time.
func (limitedServer *LimitedServer) stop(stop func(*http.Server) error) error {
	limitedServer.lock.Lock()
	limitedServer.closed = true
	if limitedServer.listener != nil {
		_ = limitedServer.listener.Close()
	}
	results := make(chan error, len(limitedServer.servers))
	for _, server := range limitedServer.servers {
		go func() { results <- stop(server.Server) }()
	}
	count := len(limitedServer.servers)
	limitedServer.lock.Unlock()
	var failed error
	for range count {
		if err := <-results; err != nil {
			failed = err
		}
	}
	return failed
}

// Accept returns the next connection that was handed over.
func (handedListener *handedListener) Accept() (net.Conn, error) {
	select {
	case connection := <-handedListener.connections:
		return connection, nil
	case <-handedListener.ended:
		return nil, net.ErrClosed
	}
}

// Close ends the handing over.
func (handedListener *handedListener) Close() error {
	handedListener.end.Do(func() { close(handedListener.ended) })
	return nil
}

// Addr returns the address at which the connections were accepted.
func (handedListener *handedListener) Addr() net.Addr {
	return handedListener.address
}
