// The connection code that client and server share: handshake, serialized writes and
// heartbeats.

package frame

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

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
		openedAt   time.Time
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
		// holders is nil for the links of a client, and of a server without an account.
		holders   *holders
		closed    chan struct{}
		closeOnce sync.Once
	}
)

func newLink(connection net.Conn) *link {
	return &link{
		connection: connection,
		reader:     bufio.NewReader(connection),
		openedAt:   time.Now(),
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
	return link.writeWanted(context.Background(), message)
}

// writeWanted is like write. It writes nothing and returns ErrNotSent if ctx has ended by the time at which no other
// message is being written. The deadline of ctx becomes the timeout of a call, and the time is noted in messages of a client.
func (link *link) writeWanted(ctx context.Context, message *message) error {
	if link.acceptsCompressed {
		message = compress(message)
	}
	link.pendingWrites.Add(1)
	link.writeLock.Lock()
	defer link.writeLock.Unlock()
	link.lastWriteAt = time.Now()
	_ = link.connection.SetWriteDeadline(link.lastWriteAt.Add(writeTimeout))
	unwanted := message.stamp(ctx, link.lastWriteAt.Sub(link.openedAt))
	err := error(nil)
	if unwanted == nil {
		err = writeMessage(link.writer, message)
	}
	if link.pendingWrites.Add(-1) == 0 && err == nil {
		err = link.writer.Flush()
	}
	if err != nil {
		link.close()
	}
	if unwanted != nil {
		return unwanted
	}
	return err
}

// stamp sets what depends on the moment at which a message is written, so that the time that it waited for the link
// counts. It returns ErrNotSent if ctx has ended.
func (message *message) stamp(ctx context.Context, sinceOpened time.Duration) error {
	if err := ctx.Err(); err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	switch message.Type {
	case typeCall:
		if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
			message.Timeout = time.Until(deadline)
			if message.Timeout <= 0 {
				return errors.Wrap(ErrNotSent, context.DeadlineExceeded.Error())
			}
		}
		message.SentAt = sinceOpened
	case typeCancel, typePing:
		message.SentAt = sinceOpened
	case typeHello, typePart, typeReply, typePong:
	}
	return nil
}

func (link *link) read() (*message, error) {
	if link.onDemandMonitor == nil {
		_ = link.connection.SetReadDeadline(time.Now().Add(silenceLimit))
		return link.readFrame(nil)
	}
	message, err := link.readFrame(link.onDemandMonitor.beginFrame)
	if err == nil {
		link.onDemandMonitor.recordMessage()
	}
	return message, err
}

// readFrame reads a message within the link's allowance. The function begun is called when the rest of it has to be waited for.
func (link *link) readFrame(begun func()) (*message, error) {
	allowance := link.holders.frame(begun)
	defer allowance.release()
	return readFrame(link.reader, MaximumFrameBytes, allowance)
}

// handshake sends this side's version and checks the peer's. The client chooses whether
// heartbeats are sent on demand.
func (link *link) handshake(onDemand bool) error {
	_ = link.connection.SetDeadline(time.Now().Add(handshakeTimeout))
	writeErrors := make(chan error, 1)
	go func() {
		writeErrors <- link.write(&message{Type: typeHello, Version: Version, OnDemand: onDemand, AcceptsCompressed: true})
	}()
	hello, err := readFrame(link.reader, maximumHelloBytes, &allowance{})
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
	if peer, counted := link.connection.(interface{ Establish() }); counted {
		peer.Establish()
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
