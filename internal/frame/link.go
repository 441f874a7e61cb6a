// The connection code that client and server share: handshake, serialized writes and
// heartbeats.

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
	// silenceLimit is the time without a complete message from the peer after which the
	// connection is considered dead.
	silenceLimit     = 2 * time.Second
	writeTimeout     = 2 * time.Second
	handshakeTimeout = 2 * time.Second

	writeBufferBytes = 8 << 10
)

type (
	// link is one end of a connection between two processes.
	link struct {
		connection net.Conn
		reader     *bufio.Reader
		// pendingWrites counts the writers that have not finished, so that only the last
		// of several concurrent writers flushes and they share one system call.
		pendingWrites atomic.Int64
		writeLock     sync.Mutex
		writer        *bufio.Writer
		lastWriteAt   time.Time
		// onDemandMonitor is nil if the link sends heartbeats continuously.
		onDemandMonitor *onDemandMonitor
		// acceptsCompressed is true if the peer can read compressed bodies.
		acceptsCompressed bool
		closed            chan struct{}
		closeOnce         sync.Once
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
	link.closeOnce.Do(func() {
		close(link.closed)
		_ = link.connection.Close()
	})
}

// write buffers a message and flushes the buffer, unless another writer is waiting: then
// the last writer flushes. An error closes the connection.
func (link *link) write(message *message) error {
	if link.acceptsCompressed {
		message = compress(message)
	}
	link.pendingWrites.Add(1)
	link.writeLock.Lock()
	defer link.writeLock.Unlock()
	link.lastWriteAt = time.Now()
	_ = link.connection.SetWriteDeadline(link.lastWriteAt.Add(writeTimeout))
	err := writeMessage(link.writer, message)
	if link.pendingWrites.Add(-1) == 0 && err == nil {
		err = link.writer.Flush()
	}
	if err != nil {
		link.close()
	}
	return err
}

func (link *link) read() (*message, error) {
	if link.onDemandMonitor == nil {
		_ = link.connection.SetReadDeadline(time.Now().Add(silenceLimit))
		return readMessage(link.reader)
	}
	message, err := readMessage(link.reader)
	if err == nil {
		link.onDemandMonitor.recordMessage()
	}
	return message, err
}

// handshake sends this side's version and checks the peer's. The client chooses whether
// heartbeats are sent on demand.
func (link *link) handshake(onDemand bool) error {
	_ = link.connection.SetDeadline(time.Now().Add(handshakeTimeout))
	writeErrors := make(chan error, 1)
	go func() {
		writeErrors <- link.write(&message{Type: typeHello, Version: Version, OnDemand: onDemand, AcceptsCompressed: true})
	}()
	hello, err := readMessage(link.reader)
	if err != nil {
		return err
	}
	if err := <-writeErrors; err != nil {
		return err
	}
	if hello.Type != typeHello || hello.Version != Version {
		return fault.New(fault.Unavailable,
			fmt.Sprintf("the peer speaks protocol version %d, this process %d", hello.Version, Version),
			"run releases that share a protocol version")
	}
	link.acceptsCompressed = hello.AcceptsCompressed
	if onDemand || hello.OnDemand {
		link.onDemandMonitor = newOnDemandMonitor(link.connection)
	}
	return link.connection.SetDeadline(time.Time{})
}

// sendHeartbeats sends heartbeats until the connection closes, and skips those that are
// unnecessary because another message was just written.
func (link *link) sendHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-link.closed:
			return
		case <-ticker.C:
			if link.isWriteIdle() && link.write(&message{Type: typePing}) != nil {
				return
			}
		}
	}
}

// isWriteIdle reports whether nothing was written for one heartbeat interval.
func (link *link) isWriteIdle() bool {
	link.writeLock.Lock()
	defer link.writeLock.Unlock()
	return time.Since(link.lastWriteAt) >= heartbeatInterval
}
