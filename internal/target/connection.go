// Connections to targets. A connection carries one message at a time and tracks
// whether any byte of it was written. http.Transport isn't used because it may
// resend a request on its own.

package target

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/answer"
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
		responses *responseReader

		lock sync.Mutex
		// current is the pending exchange, or nil.
		current *exchange
		// lastReadAt is when the last byte arrived from the target, or when the
		// connection was opened.
		lastReadAt time.Time
		// closeBegunAt is when beginClose was first called, or zero.
		closeBegunAt time.Time
		// closeTimer closes the connection unconfirmedCloseDuration after
		// closeBegunAt, in case the target doesn't.
		closeTimer *time.Timer
		// readerStopped is true if no goroutine waits for responses any more.
		readerStopped bool
	}

	// exchange is one message to a target and its response.
	exchange struct {
		connection *connection
		createdAt  time.Time
		// bytesWritten is the number of bytes of the message that were written.
		// While Write is in progress it is 1, because part of the message may
		// already be written.
		bytesWritten atomic.Int64
		// onResponse is called with the response, or with the error if the
		// connection broke.
		onResponse func(*response, error)
	}
)

func newConnection(opened net.Conn, budget *answer.Budget) *connection {
	return &connection{Conn: opened, responses: newResponseReader(opened, budget), lastReadAt: time.Now()}
}

// readResponses passes each response, or the error of a broken connection, to
// the pending exchange. It returns once the connection has broken, or once a
// response arrives without a pending exchange. If the connection was idle, that
// is if no exchange was pending, it calls onIdleEnd before it returns, with the
// error or, after an unsolicited response, with nil.
func (connection *connection) readResponses(onIdleEnd func(err error)) {
	for {
		err := connection.responses.await()
		if err == nil {
			connection.recordRead()
		}
		var received *response
		if err == nil {
			received, err = connection.responses.read()
		}
		completed := connection.finishRead(err)
		if completed == nil {
			onIdleEnd(err)
			return
		}
		completed.onResponse(received, err)
		if err != nil {
			return
		}
	}
}

// newExchange returns an exchange that has not been started and whose response
// or error will be passed to onResponse.
func newExchange(connection *connection, onResponse func(*response, error)) *exchange {
	return &exchange{connection: connection, createdAt: time.Now(), onResponse: onResponse}
}

// start registers the exchange as the one that receives the next response. After
// that the message must be written. It returns false if the connection has broken
// or is closing.
func (exchange *exchange) start() bool {
	connection := exchange.connection
	connection.lock.Lock()
	defer connection.lock.Unlock()
	if connection.readerStopped || !connection.closeBegunAt.IsZero() {
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

// write writes a message. It doesn't return a write error: if the deadline passed,
// the timeout of the wait for the response ends the exchange. After any other error
// write closes the write side, and the connection's reader detects that the
// connection broke.
func (exchange *exchange) write(message []byte, deadline time.Time) {
	_ = exchange.connection.SetWriteDeadline(deadline)
	// Until Write returns, part of the message may have been written.
	exchange.bytesWritten.Store(1)
	written, err := exchange.connection.Write(message)
	exchange.bytesWritten.Store(int64(written))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		exchange.connection.closeWriteSide()
	}
}

// finishRead removes and returns the exchange to which the response or error just
// read belongs, or nil if none is pending. It also records that the reader stops,
// if there was an error or no pending exchange.
func (connection *connection) finishRead(err error) *exchange {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	completed := connection.current
	connection.current = nil
	connection.readerStopped = err != nil || completed == nil
	return completed
}

func (connection *connection) recordRead() {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	connection.lastReadAt = time.Now()
}

func (connection *connection) lastReadTime() time.Time {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	return connection.lastReadAt
}

// beginClose closes the write side. The connection still reads, and the end of
// the stream confirms that the target has closed its side too. Without that
// confirmation closeTimer closes the connection after unconfirmedCloseDuration.
// Only the first call has an effect.
func (connection *connection) beginClose() {
	connection.lock.Lock()
	alreadyClosed := !connection.closeBegunAt.IsZero()
	if !alreadyClosed {
		connection.closeBegunAt = time.Now()
		connection.closeTimer = time.AfterFunc(unconfirmedCloseDuration, func() { _ = connection.Close() })
	}
	connection.lock.Unlock()
	if !alreadyClosed {
		connection.closeWriteSide()
	}
}

// closeWriteSide closes the write side alone, or the whole connection if it isn't
// a halfCloser.
func (connection *connection) closeWriteSide() {
	if half, supported := connection.Conn.(halfCloser); supported {
		_ = half.CloseWrite()
		return
	}
	_ = connection.Close()
}

// awaitRemoteClose reads from a connection after beginClose, until the target
// closes its side or closeTimer closes the connection, and then closes the
// connection completely. It reports whether the target has certainly closed its
// side, which only the end of the stream or a reset proves. Any other read error
// doesn't, because the local kernel drops an unresponsive connection without any
// message from the target.
func (connection *connection) awaitRemoteClose() bool {
	err := connection.responses.drain()
	_ = connection.Close()
	connection.lock.Lock()
	defer connection.lock.Unlock()
	connection.closeTimer.Stop()
	return err == nil || errors.Is(err, syscall.ECONNRESET)
}

// isClosing reports whether beginClose has been called.
func (connection *connection) isClosing() bool {
	return !connection.closeBegunTime().IsZero()
}

func (connection *connection) closeBegunTime() time.Time {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	return connection.closeBegunAt
}
