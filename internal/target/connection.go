// This file exists so that each connection to a target carries one message at
// a time, and it is known whether a byte of it was written. The HTTP client's
// transport is not used, because it may send a request again on its own.

package target

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

type (
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
		// closedHere states that this side closed the connection.
		closedHere bool
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
// once the connection is closed, or when a response comes that nobody waits
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
	if connection.finished {
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

// write writes a message. Where it fails, the connection is closed, which
// ends the exchange.
func (exchange *exchange) write(message []byte, deadline time.Time) {
	_ = exchange.connection.SetWriteDeadline(deadline)
	// Until the write has returned it may have written something.
	exchange.written.Store(1)
	written, err := exchange.connection.Write(message)
	exchange.written.Store(int64(written))
	if err != nil {
		_ = exchange.connection.Close()
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

// closeHere closes the connection; it returns false where that was done
// before.
func (connection *connection) closeHere() bool {
	connection.lock.Lock()
	before := connection.closedHere
	connection.closedHere = true
	connection.lock.Unlock()
	_ = connection.Close()
	return !before
}

func (connection *connection) isClosedHere() bool {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	return connection.closedHere
}
