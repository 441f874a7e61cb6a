// A loopback proxy in front of each target, which injects network faults between entries
// and targets.

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
	// forward passes all data on unchanged.
	forward linkFault = iota
	// delay forwards each read after delaySpan.
	delay
	// reset resets each connection as soon as data arrives over it.
	reset
	// dropAnswers drops all data that the target sends.
	dropAnswers
	// dropAll drops the data of both directions and keeps connections open.
	dropAll
	linkFaultCount
)

const (
	delaySpan   = 120 * time.Millisecond
	bufferBytes = 16 << 10
)

type (
	// linkFault is a fault of the connections through a proxy, or forward for none.
	linkFault int

	// proxy forwards connections from its address to the upstream address while it is open.
	proxy struct {
		address, upstreamAddress string

		lock        sync.Mutex
		listener    net.Listener
		fault       linkFault
		connections map[net.Conn]bool
	}
)

// open starts to accept connections.
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

func (proxy *proxy) setFault(fault linkFault) {
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	proxy.fault = fault
}

func (proxy *proxy) currentFault() linkFault {
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	return proxy.fault
}

// close stops accepting connections and resets the open ones.
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
		client, err := listener.Accept()
		if err != nil {
			return // closed
		}
		go proxy.serve(client)
	}
}

func (proxy *proxy) serve(client net.Conn) {
	upstream, err := tcp.Dial(context.Background(), "tcp", proxy.upstreamAddress)
	if err != nil {
		abort(client) // the target is down, so the entry gets a reset
		return
	}
	proxy.lock.Lock()
	proxy.connections[client], proxy.connections[upstream] = true, true
	proxy.lock.Unlock()
	end := func() {
		_, _ = client.Close(), upstream.Close()
		proxy.lock.Lock()
		delete(proxy.connections, client)
		delete(proxy.connections, upstream)
		proxy.lock.Unlock()
	}
	go func() {
		defer end()
		proxy.forwardDirection(upstream, client, false)
	}()
	defer end()
	proxy.forwardDirection(client, upstream, true)
}

// forwardDirection forwards the data of one direction, and applies the current fault to each
// read.
func (proxy *proxy) forwardDirection(to io.Writer, from net.Conn, isAnswer bool) {
	buffer := make([]byte, bufferBytes)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch fault := proxy.currentFault(); {
		case fault == reset:
			abort(from)
			return
		case fault == dropAll, fault == dropAnswers && isAnswer:
			continue
		case fault == delay:
			time.Sleep(delaySpan)
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// abort closes a connection with a TCP reset.
func abort(connection net.Conn) {
	if socket, isSocket := connection.(*net.TCPConn); isSocket {
		_ = socket.SetLinger(0)
	}
	_ = connection.Close()
}
