// This file exists so that each connection to a target carries one message at
// a time, and it is known whether a byte of it was written. The HTTP client's
// transport is not used, because it may send a request again on its own.

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
	// halfCloser is a connection whose sending side can be closed alone, as
	// that of TCP connections can.
	halfCloser interface {
		CloseWrite() error
	}

	// connection is one open connection to a target. One goroutine reads it
	// for as long as it is open, so that a connection that breaks while idle
	// is noticed before it is used again.
	connection struct {
		net.Conn
		reader *bufio.Reader

		lock    sync.Mutex
		present *exchange
		// provenAt is the time of the newest byte from the target, or that of
		// the opening.
		provenAt time.Time
		// closedAt is when this side closed the connection, or zero.
		closedAt time.Time
		// giveUp closes the connection where the target doesn't.
		giveUp *time.Timer
		// finished states that nobody reads the connection any more.
		finished bool
	}

	// exchange is one message to a target and its response.
	exchange struct {
		connection *connection
		begunAt    time.Time
		written    atomic.Int64
		// end takes the response, or the error of a connection that broke.
		end func(*response, error)
	}
)

func newConnection(opened net.Conn) *connection {
	return &connection{Conn: opened, reader: bufio.NewReader(opened), provenAt: time.Now()}
}

// receive hands each response to the exchange that waits for it. It returns
// once the connection has broken, or when a response comes that nobody waits
// for, after a call to unexpected.
func (connection *connection) receive(unexpected func(err error)) {
	for {
		_, err := connection.reader.Peek(1)
		if err == nil {
			connection.prove()
		}
		var received *response
		if err == nil {
			received, err = readResponse(connection.reader)
		}
		ended := connection.takePresent(err)
		if ended == nil {
			unexpected(err)
			return
		}
		ended.end(received, err)
		if err != nil {
			return
		}
	}
}

// newExchange returns an exchange that has not begun.
func newExchange(connection *connection, end func(*response, error)) *exchange {
	return &exchange{connection: connection, begunAt: time.Now(), end: end}
}

// begin makes the connection wait for the response to a message, which the
// caller then writes. It returns false where the connection has broken.
func (exchange *exchange) begin() bool {
	connection := exchange.connection
	connection.lock.Lock()
	defer connection.lock.Unlock()
	if connection.finished || !connection.closedAt.IsZero() {
		return false
	}
	connection.present = exchange
	return true
}

// waiting reports whether no response has come yet.
func (exchange *exchange) waiting() bool {
	exchange.connection.lock.Lock()
	defer exchange.connection.lock.Unlock()
	return exchange.connection.present == exchange
}

// write writes a message. Where it fails, the connection has broken, which its
// reader finds, or the deadline has passed, at which the exchange is given up.
func (exchange *exchange) write(message []byte, deadline time.Time) {
	_ = exchange.connection.SetWriteDeadline(deadline)
	// Until the write has returned it may have written something.
	exchange.written.Store(1)
	written, err := exchange.connection.Write(message)
	exchange.written.Store(int64(written))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		exchange.connection.closeSending()
	}
}

func (connection *connection) takePresent(err error) *exchange {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	taken := connection.present
	connection.present = nil
	connection.finished = err != nil || taken == nil
	return taken
}

func (connection *connection) prove() {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	connection.provenAt = time.Now()
}

func (connection *connection) proven() time.Time {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	return connection.provenAt
}

// closeHere closes the sending side, so that the end of what the target sends
// shows that the target has closed its side too. Without that end the
// connection is given up after silentSpan.
func (connection *connection) closeHere() {
	connection.lock.Lock()
	before := !connection.closedAt.IsZero()
	if !before {
		connection.closedAt = time.Now()
		connection.giveUp = time.AfterFunc(silentSpan, func() { _ = connection.Close() })
	}
	connection.lock.Unlock()
	if !before {
		connection.closeSending()
	}
}

func (connection *connection) closeSending() {
	if half, possible := connection.Conn.(halfCloser); possible {
		_ = half.CloseWrite()
		return
	}
	_ = connection.Close()
}

// awaitEnd reads until the target has closed its side or the connection, closed
// here before, is given up. It reports whether the target has certainly closed
// its side: this side's kernel gives a silent connection up without word from
// the target.
func (connection *connection) awaitEnd() bool {
	_, err := io.Copy(io.Discard, connection.reader)
	_ = connection.Close()
	connection.lock.Lock()
	defer connection.lock.Unlock()
	connection.giveUp.Stop()
	return err == nil || errors.Is(err, syscall.ECONNRESET)
}

func (connection *connection) isClosedHere() bool {
	return !connection.closedHereAt().IsZero()
}

func (connection *connection) closedHereAt() time.Time {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	return connection.closedAt
}
