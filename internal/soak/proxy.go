// A loopback proxy before each target, which brings about faults of the way
// between entries and targets.

package main

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/tcp"
)

const (
	// pass forwards as it is.
	pass wayFault = iota
	// delay holds each piece back for slowSpan.
	delay
	// reset ends each connection as soon as something comes over it.
	reset
	// oneWay drops what the target answers.
	oneWay
	// silent drops both ways and keeps connections open.
	silent
	wayFaults
)

const (
	slowSpan   = 120 * time.Millisecond
	pieceBytes = 16 << 10
)

type (
	wayFault int

	// proxy forwards connections at its address to another one, while it is open.
	proxy struct {
		address, to string

		lock        sync.Mutex
		listener    net.Listener
		fault       wayFault
		connections map[net.Conn]bool
	}
)

// open listens, so that the target can be reached.
func (proxy *proxy) open() error {
	listener, err := tcp.Listen(context.Background(), proxy.address)
	if err != nil {
		return err
	}
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	proxy.listener, proxy.connections = listener, map[net.Conn]bool{}
	go proxy.accept(listener)
	return nil
}

func (proxy *proxy) set(fault wayFault) {
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	proxy.fault = fault
}

func (proxy *proxy) now() wayFault {
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	return proxy.fault
}

// close refuses connections and resets those that are open.
func (proxy *proxy) close() {
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	if proxy.listener == nil {
		return
	}
	_ = proxy.listener.Close()
	for connection := range proxy.connections {
		abort(connection)
	}
}

func (proxy *proxy) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return // closed
		}
		go proxy.join(near)
	}
}

func (proxy *proxy) join(near net.Conn) {
	far, err := tcp.Dial(context.Background(), "tcp", proxy.to)
	if err != nil {
		abort(near) // a target that is down refuses
		return
	}
	proxy.lock.Lock()
	proxy.connections[near], proxy.connections[far] = true, true
	proxy.lock.Unlock()
	end := func() {
		_, _ = near.Close(), far.Close()
		proxy.lock.Lock()
		delete(proxy.connections, near)
		delete(proxy.connections, far)
		proxy.lock.Unlock()
	}
	go func() {
		defer end()
		proxy.copy(far, near, false)
	}()
	defer end()
	proxy.copy(near, far, true)
}

// copy forwards one way under the fault that is in force at each piece.
func (proxy *proxy) copy(to io.Writer, from net.Conn, answers bool) {
	piece := make([]byte, pieceBytes)
	for {
		count, err := from.Read(piece)
		if err != nil {
			return
		}
		switch fault := proxy.now(); {
		case fault == reset:
			abort(from)
			return
		case fault == silent, fault == oneWay && answers:
			continue
		case fault == delay:
			time.Sleep(slowSpan)
		}
		if _, err := to.Write(piece[:count]); err != nil {
			return
		}
	}
}

// abort closes a connection by a reset.
func abort(connection net.Conn) {
	if socket, isSocket := connection.(*net.TCPConn); isSocket {
		_ = socket.SetLinger(0)
	}
	_ = connection.Close()
}
