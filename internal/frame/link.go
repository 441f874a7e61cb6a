// This file exists so that client and server share what both do with a
// connection: the handshake, writes in turn, and heartbeats.

package frame

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// silenceLimit is the span without a byte from the peer after which the
	// connection counts as dead.
	silenceLimit = 2 * time.Second
	writeTimeout = 2 * time.Second
	helloTimeout = 2 * time.Second

	writeBufferBytes = 8 << 10
)

type (
	link struct {
		connection net.Conn
		reader     *bufio.Reader
		// waiting counts the writers that are not done, so that only the last
		// of those that meet flushes, and they share one write.
		waiting atomic.Int64
		writing sync.Mutex
		writer  *bufio.Writer
		wroteAt time.Time
		// demand is nil where the link beats all the time.
		demand *demand
		// packs states that the peer reads packed bodies.
		packs   bool
		closed  chan struct{}
		closing sync.Once
	}
)

func newLink(connection net.Conn) *link {
	return &link{
		connection: connection,
		reader:     bufio.NewReader(connection),
		writer:     bufio.NewWriterSize(connection, writeBufferBytes),
		closed:     make(chan struct{}),
	}
}

func (link *link) close() {
	link.closing.Do(func() {
		close(link.closed)
		_ = link.connection.Close()
	})
}

// write sends a message, or leaves it to the writer that comes next. The
// connection is closed where that fails.
func (link *link) write(message *message) error {
	if link.packs {
		message = pack(message)
	}
	link.waiting.Add(1)
	link.writing.Lock()
	defer link.writing.Unlock()
	link.wroteAt = time.Now()
	_ = link.connection.SetWriteDeadline(link.wroteAt.Add(writeTimeout))
	err := writeMessage(link.writer, message)
	if link.waiting.Add(-1) == 0 && err == nil {
		err = link.writer.Flush()
	}
	if err != nil {
		link.close()
	}
	return err
}

func (link *link) read() (*message, error) {
	if link.demand == nil {
		_ = link.connection.SetReadDeadline(time.Now().Add(silenceLimit))
		return readMessage(link.reader)
	}
	message, err := readMessage(link.reader)
	if err == nil {
		link.demand.heard()
	}
	return message, err
}

// shakeHands sends this side's version and checks the peer's. The client says
// whether the link beats on demand.
func (link *link) shakeHands(onDemand bool) error {
	_ = link.connection.SetDeadline(time.Now().Add(helloTimeout))
	failure := make(chan error, 1)
	go func() {
		failure <- link.write(&message{Type: typeHello, Version: Version, OnDemand: onDemand, Packs: true})
	}()
	hello, err := readMessage(link.reader)
	if err != nil {
		return err
	}
	if err := <-failure; err != nil {
		return err
	}
	if hello.Type != typeHello || hello.Version != Version {
		return fault.New(fault.Unavailable,
			fmt.Sprintf("the peer speaks protocol version %d, this process %d", hello.Version, Version),
			"run releases that share a protocol version")
	}
	link.packs = hello.Packs
	if onDemand || hello.OnDemand {
		link.demand = newDemand(link.connection)
	}
	return link.connection.SetDeadline(time.Time{})
}

// beat sends heartbeats until the connection closes, but none while other
// messages show the peer that this end is alive.
func (link *link) beat() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-link.closed:
			return
		case <-ticker.C:
			if link.quiet() && link.write(&message{Type: typePing}) != nil {
				return
			}
		}
	}
}

// quiet reports whether nothing was written for the span between heartbeats.
func (link *link) quiet() bool {
	link.writing.Lock()
	defer link.writing.Unlock()
	return time.Since(link.wroteAt) >= heartbeatInterval
}
