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
	// oneConnection is a listener to which one connection comes at once.
	oneConnection struct {
		come     chan net.Conn
		accepted chan struct{}
		closed   chan struct{}
		once     sync.Once
	}
)

// Accept implements net.Listener.
func (oneConnection *oneConnection) Accept() (net.Conn, error) {
	select {
	case connection := <-oneConnection.come:
		close(oneConnection.accepted)
		return connection, nil
	case <-oneConnection.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (oneConnection *oneConnection) Close() error {
	oneConnection.once.Do(func() { close(oneConnection.closed) })
	return nil
}

// Addr implements net.Listener.
func (oneConnection *oneConnection) Addr() net.Addr { return &net.TCPAddr{} }

// TestStopWaitsForAConnectionThatComes stops servers while a connection comes;
// the race detector tells where Stop doesn't count it.
func TestStopWaitsForAConnectionThatComes(t *testing.T) {
	for range stopRounds {
		near, far := net.Pipe()
		listener := &oneConnection{come: make(chan net.Conn, 1), accepted: make(chan struct{}), closed: make(chan struct{})}
		listener.come <- near
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
