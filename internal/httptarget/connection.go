// Connections to one target. Each carries one request at a time; those that wait
// for use are checked before they are used again.

package httptarget

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// defaultIdleSpan is how long a connection may wait for use where the target
	// doesn't say: below the idle timeouts that HTTP servers have by default.
	defaultIdleSpan = 10 * time.Second
	// idleMargin is how much earlier than the target this side gives a waiting
	// connection up, so that no request meets the target's close.
	idleMargin = 500 * time.Millisecond
	// trustedSpan is how long after its use a connection is taken to be sound. A
	// look takes a twentieth of an attempt's time.
	trustedSpan = 200 * time.Millisecond
	readerBytes = 4 << 10
	// firstRenewal is the span after which a connection for later use is opened
	// again where the target has closed one unused; it doubles each time up to
	// maximumRenewal. Load: after a restart of all entries a target still counts
	// the connections of before, and resets what is beyond its limit.
	firstRenewal   = time.Second
	maximumRenewal = 16 * time.Second
)

type (
	// connection is one open connection to a target.
	connection struct {
		net.Conn
		reader   *bufio.Reader
		idleSpan time.Duration
		idleFrom time.Time
		// used states that a request went over it.
		used bool
	}

	// idleConnections holds the connections that wait for use, the one used
	// last at the end. The zero value is empty.
	idleConnections struct {
		lock   sync.Mutex
		idle   []*connection
		open   int
		closed bool
		// renewAfter is when the next connection may be opened for later use, and
		// renewal the span that was waited for it.
		renewAfter time.Time
		renewal    time.Duration
	}
)

func newConnection(opened net.Conn) *connection {
	return &connection{Conn: opened, reader: bufio.NewReaderSize(opened, readerBytes), idleSpan: defaultIdleSpan}
}

// take returns the connection that was used last and is still sound, or nil. One
// that was used within a span is trusted without a look.
func (connections *idleConnections) take(now time.Time, trusted time.Duration) *connection {
	for {
		connections.lock.Lock()
		last := len(connections.idle) - 1
		if last < 0 {
			connections.lock.Unlock()
			return nil
		}
		taken := connections.idle[last]
		connections.idle = connections.idle[:last]
		connections.lock.Unlock()
		waited := now.Sub(taken.idleFrom)
		if waited < taken.idleSpan && (waited < trusted || taken.sound()) {
			return taken
		}
		connections.end(taken)
	}
}

// mayRenew reports whether a connection may be opened for later use.
func (connections *idleConnections) mayRenew(now time.Time) bool {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	return !now.Before(connections.renewAfter)
}

// refused notes that the target closed a connection unused. The lock is held.
func (connections *idleConnections) refused(now time.Time) {
	connections.renewal = min(maximumRenewal, max(firstRenewal, 2*connections.renewal))
	connections.renewAfter = now.Add(connections.renewal)
}

// waiting returns the number of connections that wait for use.
func (connections *idleConnections) waiting() int {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	return len(connections.idle)
}

// busy reports whether a connection is open that isn't waiting.
func (connections *idleConnections) busy() bool {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	return connections.open > len(connections.idle)
}

// expire ends waiting connections that have broken or that the target closes
// within a margin, and returns the number left.
func (connections *idleConnections) expire(now time.Time, margin time.Duration) int {
	connections.lock.Lock()
	var kept, expired []*connection
	for _, waiting := range connections.idle {
		sound := waiting.sound()
		if sound && now.Sub(waiting.idleFrom)+margin < waiting.idleSpan {
			kept = append(kept, waiting)
			continue
		}
		if !sound && !waiting.used {
			connections.refused(now)
		}
		expired = append(expired, waiting)
	}
	connections.idle = kept
	connections.lock.Unlock()
	for _, old := range expired {
		connections.end(old)
	}
	return len(kept)
}

// reserve counts a connection that is about to be opened, or returns false where
// as many are open as may be.
func (connections *idleConnections) reserve(limit int) bool {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	if connections.open >= limit {
		return false
	}
	connections.open++
	return true
}

// release gives back a reservation that led to no connection.
func (connections *idleConnections) release() {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	connections.open--
}

// keep lets a connection wait for use, and ends those that have waited too long.
func (connections *idleConnections) keep(kept *connection, now time.Time) {
	kept.idleFrom = now
	connections.lock.Lock()
	if kept.used {
		connections.renewal = 0
	}
	if connections.closed {
		connections.lock.Unlock()
		connections.end(kept)
		return
	}
	var expired []*connection
	for len(connections.idle) > 0 && now.Sub(connections.idle[0].idleFrom) >= connections.idle[0].idleSpan {
		expired = append(expired, connections.idle[0])
		connections.idle = connections.idle[1:]
	}
	connections.idle = append(connections.idle, kept)
	connections.lock.Unlock()
	for _, old := range expired {
		connections.end(old)
	}
}

func (connections *idleConnections) end(ended *connection) {
	connections.release()
	_ = ended.Close()
}

func (connections *idleConnections) closeAll() {
	connections.lock.Lock()
	waiting := connections.idle
	connections.idle, connections.closed = nil, true
	connections.lock.Unlock()
	for _, connection := range waiting {
		connections.end(connection)
	}
}

// sound reports whether a waiting connection is open and has nothing to read:
// bytes that come unasked belong to no request.
func (connection *connection) sound() bool {
	raw, isSocket := connection.Conn.(syscall.Conn)
	if !isSocket {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// heed takes the idle timeout that the target states.
func (connection *connection) heed(header http.Header) {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
			connection.idleSpan = max(time.Duration(seconds)*time.Second-idleMargin, idleMargin)
		}
	}
}
