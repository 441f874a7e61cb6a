// This file exists so that tests and measurements join the product's own code
// by connections in memory, whose latency, silence and cuts they choose.

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
	// maximumBuffered bounds the bytes on their way in one direction.
	maximumBuffered = 1 << 20
	// connectRetryInterval and connectTries bound the opening of a connection
	// over a way that is cut.
	connectRetryInterval = time.Second
	connectTries         = 60
)

type (
	// Network joins IP addresses by connections in memory. The zero value has
	// no latency and no faults.
	Network struct {
		lock      sync.Mutex
		listeners map[string]*memoryListener
		streams   map[*stream]bool
		cuts      map[direction]bool
		down      map[string]bool
		latency   func(from, to string) time.Duration
		connect   func(from, to string) time.Duration
		watch     func(traffic Traffic)
	}

	// Traffic is a connection being opened, or bytes being sent.
	Traffic struct {
		// From is an IP address. To is the IP:port of a listener on the way
		// to it, and has port 0 on the way back.
		From, To string
		Opening  bool
	}

	// direction is one way between two IP addresses.
	direction struct {
		from, to string
	}

	memoryListener struct {
		network *Network
		address memoryAddress
		backlog chan net.Conn
		closed  chan struct{}
		closing sync.Once
	}

	memoryAddress string

	// memoryConnection is one end of a connection.
	memoryConnection struct {
		local, remote memoryAddress
		in, out       *stream
	}

	// stream carries bytes one way.
	stream struct {
		network   *Network
		direction direction

		lock      sync.Mutex
		changed   *sync.Cond
		chunks    []chunk
		buffered  int
		silent    bool
		closed    bool
		reset     bool
		readLimit limit
		sendLimit limit
	}

	// limit is the time at which reads or writes fail, and what wakes those
	// that wait at it.
	limit struct {
		at    time.Time
		timer *time.Timer
	}

	chunk struct {
		data    []byte
		arrives time.Time
		// end marks the close of the sending end.
		end bool
	}
)

// SetLatency sets the one-way latency between two IP addresses.
func (network *Network) SetLatency(latency func(from, to string) time.Duration) {
	network.lock.Lock()
	defer network.lock.Unlock()
	network.latency = latency
}

// Listen accepts connections at an IP:port.
func (network *Network) Listen(address string) (net.Listener, error) {
	network.lock.Lock()
	defer network.lock.Unlock()
	if network.listeners == nil {
		network.listeners = map[string]*memoryListener{}
	}
	if _, taken := network.listeners[address]; taken {
		return nil, errors.Errorf("address %s is taken; choose another", address)
	}
	listener := &memoryListener{network: network, address: memoryAddress(address), backlog: make(chan net.Conn, 1024), closed: make(chan struct{})}
	network.listeners[address] = listener
	return listener, nil
}

// Dialer opens connections from an IP address.
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
	network.tell(Traffic{From: from, To: address, Opening: true})
	there, back := direction{from, to}, direction{to, from}
	if network.isDown(from) || network.isDown(to) {
		return nil, errors.Errorf("connection to %s refused", address)
	}
	if err := network.awaitWay(ctx, there, back); err != nil {
		return nil, err
	}
	if err := sleep(ctx, network.delay(there)+network.delay(back)+network.connectTime(there)); err != nil {
		return nil, err
	}
	network.lock.Lock()
	listener, found := network.listeners[address]
	local := memoryAddress(net.JoinHostPort(from, "0"))
	network.lock.Unlock()
	if !found {
		return nil, errors.Errorf("connection to %s refused", address)
	}
	here, far := network.pair(local, listener.address, there, back)
	select {
	case listener.backlog <- far:
		return here, nil
	case <-listener.closed:
		return nil, errors.Errorf("connection to %s refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// awaitWay tries again and again while there is a cut, as TCP does, and gives
// up in the end.
func (network *Network) awaitWay(ctx context.Context, there, back direction) error {
	for range connectTries {
		if !network.isCut(there) && !network.isCut(back) {
			return nil
		}
		if err := sleep(ctx, connectRetryInterval); err != nil {
			return err
		}
	}
	return syscall.ETIMEDOUT
}

func (network *Network) pair(local, remote memoryAddress, there, back direction) (here, far *memoryConnection) {
	out, in := network.newStream(there), network.newStream(back)
	here = &memoryConnection{local: local, remote: remote, in: in, out: out}
	far = &memoryConnection{local: remote, remote: local, in: out, out: in}
	return here, far
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

func (network *Network) forget(stream *stream) {
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
	memoryListener.closing.Do(func() {
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
	connection.out.network.tell(Traffic{From: connection.out.direction.from, To: string(connection.remote)})
	return connection.out.write(data)
}

// Close implements net.Conn.
func (connection *memoryConnection) Close() error {
	connection.out.finish()
	connection.in.drop()
	return nil
}

// CloseWrite ends the sending side, as that of net.TCPConn does.
func (connection *memoryConnection) CloseWrite() error {
	connection.out.finish()
	return nil
}

// LocalAddr implements net.Conn.
func (connection *memoryConnection) LocalAddr() net.Addr { return connection.local }

// RemoteAddr implements net.Conn.
func (connection *memoryConnection) RemoteAddr() net.Addr { return connection.remote }

// SetDeadline implements net.Conn.
func (connection *memoryConnection) SetDeadline(limit time.Time) error {
	_ = connection.SetReadDeadline(limit)
	return connection.SetWriteDeadline(limit)
}

// SetReadDeadline implements net.Conn.
func (connection *memoryConnection) SetReadDeadline(limit time.Time) error {
	connection.in.limit(&connection.in.readLimit, limit)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (connection *memoryConnection) SetWriteDeadline(limit time.Time) error {
	connection.out.limit(&connection.out.sendLimit, limit)
	return nil
}

func (stream *stream) limit(changed *limit, at time.Time) {
	stream.lock.Lock()
	defer stream.lock.Unlock()
	changed.stop()
	changed.at = at
	changed.timer = stream.wakeAt(at)
	if changed.timer == nil {
		stream.changed.Broadcast()
	}
}

// wakeAt wakes waiting readers and writers at a time; it returns nil where
// that has come. The lock is held.
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

// stop forgets the waking. Servers set a limit a minute off for each request,
// so that a long run would have as many timers as requests in that time.
func (limit *limit) stop() {
	if limit.timer != nil {
		limit.timer.Stop()
		limit.timer = nil
	}
}

func (limit *limit) expired() bool {
	return !limit.at.IsZero() && !time.Now().Before(limit.at)
}
