// An HTTP server whose timeouts can change while it runs. net/http fixes the timeouts of
// a server, so there is one http.Server for each set of limits that has been in force. A
// connection stays with the server whose limits were in force when it was opened.

package web

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/inbound"
)

const (
	// leastParsedHeadBytes is the head up to which net/http parses a request, so that the handler can answer one that is above a
	// limit which was changed meanwhile.
	leastParsedHeadBytes = 64 << 10
	// idleMargin is added to the idle timeout, so that a request sent just before it
	// expires doesn't cross with the close of the connection.
	idleMargin = 2 * time.Second
)

type (
	// Limits are the limits of a connection.
	Limits struct {
		// HeaderBytes bounds the head of a request. The handler has to check it as well: up to 64 KB are parsed in any case.
		HeaderBytes int
		// HeaderTimeout bounds the time to read the headers of a request.
		HeaderTimeout time.Duration
		// IdleTimeout bounds the time between two requests on a connection.
		IdleTimeout time.Duration
	}

	// LimitedServer serves a handler and applies to each connection the limits in force
	// when it was opened. Construct it with NewLimitedServer.
	LimitedServer struct {
		handler http.Handler
		limits  func() Limits
		logger  *zap.Logger

		lock     sync.Mutex
		listener net.Listener
		servers  map[Limits]*channelServer
		// closed is true once no connection is accepted.
		closed bool
	}

	// channelServer serves connections that LimitedServer has accepted.
	channelServer struct {
		*http.Server
		listener *channelListener
	}

	// channelListener is a listener that returns connections from a channel.
	channelListener struct {
		address     net.Addr
		connections chan net.Conn
		done        chan struct{}
		closeOnce   sync.Once
	}
)

// NewLimitedServer returns a server that calls limits for each new connection.
func NewLimitedServer(handler http.Handler, limits func() Limits, logger *zap.Logger) *LimitedServer {
	return &LimitedServer{handler: handler, limits: limits, logger: logger, servers: map[Limits]*channelServer{}}
}

// Serve accepts connections until the server is shut down or closed, and then returns nil. It
// returns an error if only the listener was closed.
func (limitedServer *LimitedServer) Serve(listener net.Listener) error {
	if !limitedServer.setListener(listener) {
		return listener.Close()
	}
	for {
		connection, err := listener.Accept()
		switch {
		case err == nil:
			limitedServer.dispatch(listener, connection)
		case limitedServer.isClosed():
			return nil
		default:
			return err
		}
	}
}

// StopAccepting closes the listener. Open connections are still served.
func (limitedServer *LimitedServer) StopAccepting() {
	limitedServer.lock.Lock()
	defer limitedServer.lock.Unlock()
	limitedServer.closed = true
	if limitedServer.listener != nil {
		_ = limitedServer.listener.Close()
	}
}

// Shutdown stops accepting connections and returns once the requests in progress have
// ended, or when ctx ends.
func (limitedServer *LimitedServer) Shutdown(ctx context.Context) error {
	return limitedServer.stop(func(server *http.Server) error { return server.Shutdown(ctx) })
}

// Close closes the listener and all connections immediately.
func (limitedServer *LimitedServer) Close() error {
	return limitedServer.stop((*http.Server).Close)
}

// setListener stores the listener, so that stop can close it. It returns false if the server
// is already shut down or closed.
func (limitedServer *LimitedServer) setListener(listener net.Listener) bool {
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

// dispatch passes a connection to the server for the limits in force.
func (limitedServer *LimitedServer) dispatch(listener net.Listener, connection net.Conn) {
	server := limitedServer.currentServer(listener)
	if server == nil {
		_ = connection.Close()
		return
	}
	select {
	case server.listener.connections <- connection:
	case <-server.listener.done:
		_ = connection.Close()
	}
}

// currentServer returns the server for the limits in force, and starts it if needed. It
// returns nil after a shutdown.
func (limitedServer *LimitedServer) currentServer(listener net.Listener) *channelServer {
	limits := limitedServer.limits()
	limitedServer.lock.Lock()
	defer limitedServer.lock.Unlock()
	if limitedServer.closed {
		return nil
	}
	server, found := limitedServer.servers[limits]
	if found {
		return server
	}
	server = &channelServer{
		Server: &http.Server{
			Handler: limitedServer.handler, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout + idleMargin,
			MaxHeaderBytes: max(leastParsedHeadBytes, limits.HeaderBytes), ErrorLog: zap.NewStdLog(limitedServer.logger),
			ConnContext: inbound.Context, ConnState: inbound.StateChanged,
		},
		listener: &channelListener{address: listener.Addr(), connections: make(chan net.Conn), done: make(chan struct{})},
	}
	limitedServer.servers[limits] = server
	go func() {
		if err := server.Serve(server.listener); !errors.Is(err, http.ErrServerClosed) {
			limitedServer.logger.Error("server ended", zap.Error(err))
		}
	}()
	return server
}

// stop closes the listener and calls stopServer for all servers concurrently. It returns one
// of their errors, if there are any.
func (limitedServer *LimitedServer) stop(stopServer func(*http.Server) error) error {
	limitedServer.StopAccepting()
	limitedServer.lock.Lock()
	results := make(chan error, len(limitedServer.servers))
	for _, server := range limitedServer.servers {
		go func() { results <- stopServer(server.Server) }()
	}
	count := len(limitedServer.servers)
	limitedServer.lock.Unlock()
	var lastErr error
	for range count {
		if err := <-results; err != nil {
			lastErr = err
		}
	}
	return lastErr
}

// Accept implements net.Listener.
func (channelListener *channelListener) Accept() (net.Conn, error) {
	select {
	case connection := <-channelListener.connections:
		return connection, nil
	case <-channelListener.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (channelListener *channelListener) Close() error {
	channelListener.closeOnce.Do(func() { close(channelListener.done) })
	return nil
}

// Addr returns the address of the listener that accepted the connections.
func (channelListener *channelListener) Addr() net.Addr {
	return channelListener.address
}
