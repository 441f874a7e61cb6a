// The listeners of a process and the connections that they may hold together.

package inbound

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/metrics"
)

const (
	// callersDivisor and peersDivisor are the shares of the process's memory for callers over HTTP and for peers.
	callersDivisor = 4
	peersDivisor   = 5

	// connectionsShare is the share of the descriptors that connections of clients may take; the rest is for connections to
	// targets and peers, and for files.
	connectionsNumerator, connectionsDenominator = 2, 3
	// listenerNumerator and listenerDenominator are the share of these that one listener may take.
	listenerNumerator, listenerDenominator = 3, 4
	// slowReadSpan is the time after which a client that is still sending a request loses its descriptor before clients with
	// idle connections do.
	slowReadSpan = time.Second
	// acceptRetryDelay is the delay after a failed Accept, for example when the process is out of descriptors. It is short
	// compared with the timeouts of clients.
	acceptRetryDelay = 10 * time.Millisecond
)

const (
	// phaseSilent is that of a connection on which nothing has arrived yet, phaseReading that of one whose client is sending a
	// request, and phaseIdle that of one that waits for the next request.
	phaseSilent phase = iota
	phaseReading
	phaseIdle
	// phaseServing is that of a connection which serves a request or belongs to a peer. It isn't closed for another one.
	phaseServing
	phaseCount

	// Reasons in metrics and the log for connections that were closed. A malformed request, or one whose head is far over its limit,
	// is answered by net/http.
	reasonMemory      = "memory"
	reasonConnections = "connections"
	reasonFull        = "full"
	reasonMalformed   = "malformed"
)

type (
	phase int

	// Gate holds the limits of a process for its clients. Create it with NewGate.
	Gate struct {
		callers, peers *Account
		maximum        int
		logger         *zap.Logger
		metrics        *metrics.Metrics

		drops dropLog

		lock      sync.Mutex
		open      int
		listeners []*listener
	}

	// Limits are those of the operating system or the platform for a process; 0 stands for one that isn't known.
	Limits struct {
		MemoryBytes int64
		Descriptors int
	}

	// listener accepts connections within the limits of its gate.
	listener struct {
		net.Listener
		gate    *Gate
		name    string
		maximum int
		isHTTP  bool

		closed    chan struct{}
		closeOnce sync.Once
		// The lock of the gate protects the following fields. The connections of each phase are in the order in which they entered it.
		open   int
		phases [phaseCount]list.List
	}
)

// NewGate returns the gate of a process.
func NewGate(limits Limits, logger *zap.Logger, metrics *metrics.Metrics) *Gate {
	gate := &Gate{
		callers: NewAccount(limits.MemoryBytes / callersDivisor), peers: NewAccount(limits.MemoryBytes / peersDivisor),
		maximum: limits.Descriptors / connectionsDenominator * connectionsNumerator, logger: metrics.Sample(logger), metrics: metrics, drops: dropLog{logger: logger},
	}
	metrics.GaugeFuncVec("client_bytes_held", "Bytes that are held for clients, by kind of client.", "client", func() map[string]float64 {
		callers, _ := gate.callers.Held()
		peers, _ := gate.peers.Held()
		return map[string]float64{"caller": float64(callers), "peer": float64(peers)}
	})
	metrics.GaugeFuncVec("client_connections", "Open connections of clients, by listener.", "listener", gate.openByListener)
	return gate
}

// Peers returns the account of peers.
func (gate *Gate) Peers() *Account {
	return gate.peers
}

// ListenHTTP returns a listener for HTTP that accepts up to maximum connections, and counts what they send toward the account of
// callers. Metrics and log lines have its name.
func (gate *Gate) ListenHTTP(inner net.Listener, name string, maximum int) net.Listener {
	return gate.add(&listener{Listener: inner, name: name, maximum: maximum, isHTTP: true})
}

// ListenPeers is like ListenHTTP, but for peers, whose server counts what they send.
func (gate *Gate) ListenPeers(inner net.Listener, name string, maximum int) net.Listener {
	return gate.add(&listener{Listener: inner, name: name, maximum: maximum})
}

func (gate *Gate) add(added *listener) net.Listener {
	added.gate, added.closed = gate, make(chan struct{})
	if gate.maximum > 0 {
		added.maximum = max(1, min(added.maximum, gate.maximum/listenerDenominator*listenerNumerator))
	}
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.listeners = append(gate.listeners, added)
	return added
}

func (gate *Gate) openByListener() map[string]float64 {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	open := map[string]float64{}
	for _, listener := range gate.listeners {
		open[listener.name] += float64(listener.open)
	}
	return open
}

// Accept implements net.Listener. If too many connections are open, it closes one that waits for its client, or the new one if there
// is none. An error means that the listener was closed.
func (listener *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if err != nil {
			if listener.isClosed() || errors.Is(err, net.ErrClosed) {
				return nil, err
			}
			listener.gate.logger.Warn("accepting a connection failed; retrying", zap.String("listener", listener.name), zap.Error(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		if connection := listener.admit(accepted); connection != nil {
			return connection, nil
		}
	}
}

// Close implements net.Listener.
func (listener *listener) Close() error {
	listener.closeOnce.Do(func() { close(listener.closed) })
	return listener.Listener.Close()
}

func (listener *listener) isClosed() bool {
	select {
	case <-listener.closed:
		return true
	default:
		return false
	}
}

// admit returns the connection to serve for an accepted one, or nil if it was closed for lack of room.
func (listener *listener) admit(accepted net.Conn) *Connection {
	gate := listener.gate
	gate.lock.Lock()
	var victim *Connection
	isFull := listener.open >= listener.maximum
	switch {
	case isFull:
		victim = listener.victim()
	case gate.maximum > 0 && gate.open >= gate.maximum:
		isFull, victim = true, gate.victim()
	}
	if isFull && victim == nil {
		gate.lock.Unlock()
		_ = accepted.Close()
		gate.dropped(listener, reasonFull, accepted.RemoteAddr())
		return nil
	}
	connection := newConnection(accepted, listener)
	listener.open++
	gate.open++
	connection.enter(phaseSilent)
	gate.lock.Unlock()
	if victim != nil {
		_ = victim.Close()
		gate.dropped(victim.listener, reasonConnections, victim.RemoteAddr())
	}
	return connection
}

// victim returns a connection to close so that another client gets a descriptor, from the listener with the most connections that
// has one, or nil. The lock must be held.
func (gate *Gate) victim() *Connection {
	var chosen *Connection
	most := 0
	for _, listener := range gate.listeners {
		if victim := listener.victim(); victim != nil && listener.open > most {
			chosen, most = victim, listener.open
		}
	}
	return chosen
}

// victim returns the connection of a listener that may be closed for another one, or nil: the one that has said nothing for the
// longest time, the one that has been sending a request for the longest time, or the one that has been idle for the longest time. The
// lock must be held.
func (listener *listener) victim() *Connection {
	reading := listener.oldest(phaseReading)
	if reading != nil && time.Since(reading.since) < slowReadSpan {
		reading = nil
	}
	for _, candidate := range []*Connection{listener.oldest(phaseSilent), reading, listener.oldest(phaseIdle), listener.oldest(phaseReading)} {
		if candidate != nil {
			return candidate
		}
	}
	return nil
}

func (listener *listener) oldest(phase phase) *Connection {
	if first := listener.phases[phase].Front(); first != nil {
		return first.Value.(*Connection)
	}
	return nil
}
