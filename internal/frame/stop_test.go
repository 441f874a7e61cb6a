package frame_test

import (
	"net"
	"sync"
	"testing"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
)

const (
	stopRounds = 500
)

type (
	// oneConnectionListener is a listener that accepts exactly one connection.
	oneConnectionListener struct {
		incoming chan net.Conn
		accepted chan struct{}
		closed   chan struct{}
		once     sync.Once
	}
)

// Accept implements net.Listener.
func (oneConnectionListener *oneConnectionListener) Accept() (net.Conn, error) {
	select {
	case connection := <-oneConnectionListener.incoming:
		close(oneConnectionListener.accepted)
		return connection, nil
	case <-oneConnectionListener.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (oneConnectionListener *oneConnectionListener) Close() error {
	oneConnectionListener.once.Do(func() { close(oneConnectionListener.closed) })
	return nil
}

// Addr implements net.Listener.
func (oneConnectionListener *oneConnectionListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestStopWaitsForAnAcceptedConnection stops servers while they accept a connection. If
// Stop doesn't wait for that connection, the race detector reports it.
func TestStopWaitsForAnAcceptedConnection(t *testing.T) {
	for range stopRounds {
		near, far := net.Pipe()
		listener := &oneConnectionListener{incoming: make(chan net.Conn, 1), accepted: make(chan struct{}), closed: make(chan struct{})}
		listener.incoming <- near
		server := new(frame.Server)
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		<-listener.accepted
		server.Stop()
		_ = far.Close()
		if err := <-served; err != nil {
			t.Fatal(err)
		}
	}
}
