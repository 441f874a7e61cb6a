// An in-memory network, over which tests and measurements connect the product's own code
// with the latency and the faults they set.

package standin

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/tcp"
)

const (
	// maximumBufferedBytes bounds the bytes in flight in one direction of a connection. A
	// larger write waits until nothing else is in flight.
	maximumBufferedBytes = 1 << 20
	// connectRetryInterval and connectAttempts bound the time to open a connection
	// while a Cut blocks it.
	connectRetryInterval = time.Second
	connectAttempts      = 60
)

type (
	// Network connects IP addresses by in-memory connections. The zero value has
	// no latency and no faults.
	Network struct {
		lock            sync.Mutex
		listeners       map[string]*memoryListener
		streams         map[*stream]bool
		cuts            map[direction]bool
		down            map[string]bool
		latency         func(from, to string) time.Duration
		connectDuration func(from, to string) time.Duration
		bandwidth       func(from string) int
		// sentUntil is when the bytes that an IP address has written have left it, if its bandwidth is
		// limited.
		sentUntil map[string]time.Time
		watch     func(traffic Traffic)
	}

	// Traffic is an attempt to open a connection, or a write to one.
	Traffic struct {
		// From is the sender's IP address. To is the receiver's IP:port, with
		// port 0 if the receiver dialed the connection.
		From, To string
		Opening  bool
		// Bytes is the size of the write.
		Bytes int
	}

	// direction is one direction between two IP addresses.
	direction struct {
		from, to string
	}

	memoryListener struct {
		network   *Network
		address   memoryAddress
		backlog   chan net.Conn
		closed    chan struct{}
		closeOnce sync.Once
	}

	memoryAddress string

	// memoryConnection is one end of a connection.
	memoryConnection struct {
		local, remote memoryAddress
		in, out       *stream
	}

	// stream carries the bytes of one direction of a connection.
	stream struct {
		network   *Network
		direction direction

		lock    sync.Mutex
		changed *sync.Cond
		// chunks holds the data that wasn't read yet, and bufferedBytes counts the bytes written
		// and not read, dropped ones included.
		chunks        []chunk
		bufferedBytes int
		// silent is true if all data written is dropped; see Network.Silence.
		silent bool
		// closed is set by closeRead, and reset is set by abort.
		closed        bool
		reset         bool
		readDeadline  deadline
		writeDeadline deadline
	}

	// deadline is a read or write deadline, with the timer that wakes blocked reads
	// or writes when it expires.
	deadline struct {
		at    time.Time
		timer *time.Timer
	}

	// chunk is the data of one write.
	chunk struct {
		data []byte
		// arrivesAt is when the reader can get the data, or zero while a cut holds it back.
		arrivesAt time.Time
		// endOfStream marks the end of the stream, as a TCP FIN does.
		endOfStream bool
	}
)

// SetLatency sets the one-way latency between two IP addresses.
func (network *Network) SetLatency(latency func(from, to string) time.Duration) {
	network.lock.Lock()
	defer network.lock.Unlock()
	network.latency = latency
}

// Listen returns a listener at an IP:port.
func (network *Network) Listen(address string) (net.Listener, error) {
	network.lock.Lock()
	defer network.lock.Unlock()
	if network.listeners == nil {
		network.listeners = map[string]*memoryListener{}
	}
	if _, exists := network.listeners[address]; exists {
		return nil, errors.Errorf("address %s is already in use; choose another", address)
	}
	listener := &memoryListener{network: network, address: memoryAddress(address), backlog: make(chan net.Conn, 1024), closed: make(chan struct{})}
	network.listeners[address] = listener
	return listener, nil
}

// Dialer returns a dialer that opens connections from an IP address.
func (network *Network) Dialer(from string) tcp.Dialer {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return network.dial(ctx, from, address)
	}
}

func (network *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "dial; write the address as IP:port")
	}
	network.notifyWatch(Traffic{From: from, To: address, Opening: true})
	outbound, inbound := direction{from, to}, direction{to, from}
	if network.isDown(from) || network.isDown(to) {
		return nil, errors.Errorf("connection to %s refused", address)
	}
	if err := network.awaitUncut(ctx, outbound, inbound); err != nil {
		return nil, err
	}
	if err := sleep(ctx, network.latencyOf(outbound)+network.latencyOf(inbound)+network.connectTime(outbound)); err != nil {
		return nil, err
	}
	network.lock.Lock()
	listener, found := network.listeners[address]
	local := memoryAddress(net.JoinHostPort(from, "0"))
	network.lock.Unlock()
	if !found {
		return nil, errors.Errorf("connection to %s refused", address)
	}
	dialed, accepted := network.pair(local, listener.address, outbound, inbound)
	select {
	case listener.backlog <- accepted:
		return dialed, nil
	case <-listener.closed:
		return nil, errors.Errorf("connection to %s refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// awaitUncut retries at intervals while either direction is cut, as TCP does, and returns
// ETIMEDOUT after connectAttempts tries.
func (network *Network) awaitUncut(ctx context.Context, outbound, inbound direction) error {
	for range connectAttempts {
		if !network.isCut(outbound) && !network.isCut(inbound) {
			return nil
		}
		if err := sleep(ctx, connectRetryInterval); err != nil {
			return err
		}
	}
	return syscall.ETIMEDOUT
}

// pair returns the two ends of a new connection.
func (network *Network) pair(local, remote memoryAddress, outbound, inbound direction) (dialed, accepted *memoryConnection) {
	out, in := network.newStream(outbound), network.newStream(inbound)
	dialed = &memoryConnection{local: local, remote: remote, in: in, out: out}
	accepted = &memoryConnection{local: remote, remote: local, in: out, out: in}
	return dialed, accepted
}

func (network *Network) newStream(direction direction) *stream {
	opened := &stream{network: network, direction: direction}
	opened.changed = sync.NewCond(&opened.lock)
	network.lock.Lock()
	defer network.lock.Unlock()
	if network.streams == nil {
		network.streams = map[*stream]bool{}
	}
	network.streams[opened] = true
	return opened
}

func (network *Network) removeStream(stream *stream) {
	network.lock.Lock()
	defer network.lock.Unlock()
	delete(network.streams, stream)
}

func sleep(ctx context.Context, span time.Duration) error {
	if span <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Accept implements net.Listener.
func (memoryListener *memoryListener) Accept() (net.Conn, error) {
	select {
	case accepted := <-memoryListener.backlog:
		return accepted, nil
	case <-memoryListener.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (memoryListener *memoryListener) Close() error {
	memoryListener.closeOnce.Do(func() {
		close(memoryListener.closed)
		memoryListener.network.lock.Lock()
		defer memoryListener.network.lock.Unlock()
		delete(memoryListener.network.listeners, string(memoryListener.address))
	})
	return nil
}

// Addr implements net.Listener.
func (memoryListener *memoryListener) Addr() net.Addr { return memoryListener.address }

// Network implements net.Addr.
func (memoryAddress) Network() string { return "tcp" }

// String implements net.Addr.
func (address memoryAddress) String() string { return string(address) }

// Read implements net.Conn.
func (connection *memoryConnection) Read(data []byte) (int, error) { return connection.in.read(data) }

// Write implements net.Conn.
func (connection *memoryConnection) Write(data []byte) (int, error) {
	connection.out.network.notifyWatch(Traffic{From: connection.out.direction.from, To: string(connection.remote), Bytes: len(data)})
	return connection.out.write(data)
}

// Close implements net.Conn.
func (connection *memoryConnection) Close() error {
	connection.out.closeWrite()
	connection.in.closeRead()
	return nil
}

// CloseWrite shuts down the writing side, as net.TCPConn.CloseWrite does.
func (connection *memoryConnection) CloseWrite() error {
	connection.out.closeWrite()
	return nil
}

// LocalAddr implements net.Conn.
func (connection *memoryConnection) LocalAddr() net.Addr { return connection.local }

// RemoteAddr implements net.Conn.
func (connection *memoryConnection) RemoteAddr() net.Addr { return connection.remote }

// SetDeadline implements net.Conn.
func (connection *memoryConnection) SetDeadline(deadline time.Time) error {
	_ = connection.SetReadDeadline(deadline)
	return connection.SetWriteDeadline(deadline)
}

// SetReadDeadline implements net.Conn.
func (connection *memoryConnection) SetReadDeadline(deadline time.Time) error {
	connection.in.setDeadline(&connection.in.readDeadline, deadline)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (connection *memoryConnection) SetWriteDeadline(deadline time.Time) error {
	connection.out.setDeadline(&connection.out.writeDeadline, deadline)
	return nil
}

// setDeadline replaces a deadline of the stream. It wakes blocked reads and writes when the new
// deadline expires, or at once if it is in the past or zero, which means no deadline.
func (stream *stream) setDeadline(changed *deadline, at time.Time) {
	stream.lock.Lock()
	defer stream.lock.Unlock()
	changed.stopTimer()
	changed.at = at
	changed.timer = stream.wakeAt(at)
	if changed.timer == nil {
		stream.changed.Broadcast()
	}
}

// wakeAt starts a timer that wakes waiting readers and writers. It returns nil if the time is zero
// or has passed. The lock must be held.
func (stream *stream) wakeAt(at time.Time) *time.Timer {
	if wait := time.Until(at); !at.IsZero() && wait > 0 {
		return time.AfterFunc(wait, stream.wake)
	}
	return nil
}

func (stream *stream) wake() {
	stream.lock.Lock()
	defer stream.lock.Unlock()
	stream.changed.Broadcast()
}

// stopTimer stops the timer of a deadline that is replaced or no longer needed. Servers set a
// deadline a minute ahead for each request, so otherwise a long run would accumulate a timer for
// each request of the last minute.
func (deadline *deadline) stopTimer() {
	if deadline.timer != nil {
		deadline.timer.Stop()
		deadline.timer = nil
	}
}

func (deadline *deadline) expired() bool {
	return !deadline.at.IsZero() && !time.Now().Before(deadline.at)
}
