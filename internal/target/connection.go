// Connections to targets. A connection carries one message at a time and tracks
// whether any byte of it was written. http.Transport isn't used because it may
// resend a request on its own.

package target

import (
	"bufio"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

type (
	// halfCloser is a connection whose write side can be closed alone, such as
	// a TCP connection.
	halfCloser interface {
		CloseWrite() error
	}

	// connection is one open connection to a target. One goroutine reads from
	// it for as long as it is open, so that a connection that breaks while idle
	// is detected before it is used again.
	connection struct {
		net.Conn
		reader *bufio.Reader

		lock    sync.Mutex
		current *exchange
		// lastReadAt is when the last byte arrived from the target, or when the
		// connection was opened.
		lastReadAt time.Time
		// locallyClosedAt is when this side closed the connection, or zero.
		locallyClosedAt time.Time
		// closeTimer closes the connection if the target doesn't.
		closeTimer *time.Timer
		// readerStopped reports that no goroutine waits for responses any more.
		readerStopped bool
	}

	// exchange is one message to a target and its response.
	exchange struct {
		connection *connection
		startedAt  time.Time
		// written is the number of bytes written, or 1 while Write is in progress.
		written atomic.Int64
		// onResponse is called with the response, or with the error if the
		// connection broke.
		onResponse func(*response, error)
	}
)

func newConnection(opened net.Conn) *connection {
	return &connection{Conn: opened, reader: bufio.NewReader(opened), lastReadAt: time.Now()}
}

// readResponses passes each response, or the error of a broken connection, to
// the pending exchange. It returns once the connection has broken, or once a
// response arrives without a pending exchange. If no exchange is pending at that
// time, it calls onUnsolicited before it returns.
func (connection *connection) readResponses(onUnsolicited func(err error)) {
	for {
		_, err := connection.reader.Peek(1)
		if err == nil {
			connection.recordRead()
		}
		var received *response
		if err == nil {
			received, err = readResponse(connection.reader)
		}
		completed := connection.detachCurrent(err)
		if completed == nil {
			onUnsolicited(err)
			return
		}
		completed.onResponse(received, err)
		if err != nil {
			return
		}
	}
}

// newExchange returns an exchange that has not been started.
func newExchange(connection *connection, onResponse func(*response, error)) *exchange {
	return &exchange{connection: connection, startedAt: time.Now(), onResponse: onResponse}
}

// start registers the exchange as the one that receives the next response; the
// caller then writes the message. It returns false if the connection has
// broken.
func (exchange *exchange) start() bool {
	connection := exchange.connection
	connection.lock.Lock()
	defer connection.lock.Unlock()
	if connection.readerStopped || !connection.locallyClosedAt.IsZero() {
		return false
	}
	connection.current = exchange
	return true
}

// isPending reports whether the response is still outstanding.
func (exchange *exchange) isPending() bool {
	exchange.connection.lock.Lock()
	defer exchange.connection.lock.Unlock()
	return exchange.connection.current == exchange
}

// write writes a message. It doesn't return a write error: if the connection
// broke, its reader detects that, and if the deadline passed, the caller's own
// timeout ends the exchange.
func (exchange *exchange) write(message []byte, deadline time.Time) {
	_ = exchange.connection.SetWriteDeadline(deadline)
	// Until Write returns, part of the message may have been written.
	exchange.written.Store(1)
	written, err := exchange.connection.Write(message)
	exchange.written.Store(int64(written))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		exchange.connection.closeWriteSide()
	}
}

func (connection *connection) detachCurrent(err error) *exchange {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	detached := connection.current
	connection.current = nil
	connection.readerStopped = err != nil || detached == nil
	return detached
}

func (connection *connection) recordRead() {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	connection.lastReadAt = time.Now()
}

func (connection *connection) lastRead() time.Time {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	return connection.lastReadAt
}

// closeLocally closes the write side. The connection still reads, and the end
// of the stream confirms that the target has closed its side too. Without that
// confirmation the connection is closed after unconfirmedCloseDuration.
func (connection *connection) closeLocally() {
	connection.lock.Lock()
	alreadyClosed := !connection.locallyClosedAt.IsZero()
	if !alreadyClosed {
		connection.locallyClosedAt = time.Now()
		connection.closeTimer = time.AfterFunc(unconfirmedCloseDuration, func() { _ = connection.Close() })
	}
	connection.lock.Unlock()
	if !alreadyClosed {
		connection.closeWriteSide()
	}
}

func (connection *connection) closeWriteSide() {
	if half, supported := connection.Conn.(halfCloser); supported {
		_ = half.CloseWrite()
		return
	}
	_ = connection.Close()
}

// awaitRemoteClose reads from a locally closed connection until the target
// closes its side or closeTimer closes the connection. It reports whether the
// target has certainly closed its side: other read errors don't prove that,
// because the local kernel drops an unresponsive connection without any message
// from the target.
func (connection *connection) awaitRemoteClose() bool {
	_, err := io.Copy(io.Discard, connection.reader)
	_ = connection.Close()
	connection.lock.Lock()
	defer connection.lock.Unlock()
	connection.closeTimer.Stop()
	return err == nil || errors.Is(err, syscall.ECONNRESET)
}

func (connection *connection) isLocallyClosed() bool {
	return !connection.localCloseTime().IsZero()
}

func (connection *connection) localCloseTime() time.Time {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	return connection.locallyClosedAt
}
