// The connections to one target. Each carries one request at a time; idle ones are
// checked before reuse.

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

	"gitlab.com/comfreythread/comfreythread/internal/answer"
)

const (
	// defaultIdleTimeout is how long a connection may stay idle if the target sends
	// no Keep-Alive timeout: less than the usual default of HTTP servers.
	defaultIdleTimeout = 10 * time.Second
	// idleMargin is how long before the target's idle timeout this side closes a
	// connection, so that no request is sent while the target closes it.
	idleMargin = 500 * time.Millisecond
	// uncheckedReuseSpan is how long after its last use a connection is reused
	// without a health check, which takes a twentieth of an attempt's time.
	uncheckedReuseSpan = 200 * time.Millisecond
	readerBytes        = 4 << 10
	// idleCheckInterval is the time between health checks of an idle connection that isn't used. Each takes a
	// system call, and an entry of a large deployment has a thousand.
	idleCheckInterval = 2 * time.Second
	// firstPreconnectDelay is the delay before another connection is opened in
	// advance after the target closed one unused; it doubles each time up to
	// maximumPreconnectDelay. After a restart of all entries a target still counts
	// the earlier connections and resets those beyond its limit.
	firstPreconnectDelay   = time.Second
	maximumPreconnectDelay = 16 * time.Second
	// maximumFailureDelay is the greatest delay after one that couldn't be opened. It is shorter, because the target may be
	// back at any time.
	maximumFailureDelay = 4 * time.Second
)

type (
	// connection is one open connection to a target.
	connection struct {
		net.Conn
		// bounded bounds what reader reads.
		bounded     *answer.BoundedReader
		reader      *bufio.Reader
		idleTimeout time.Duration
		openedAt    time.Time
		idleSince   time.Time
		// checkedAt is when pruneIdle last checked the connection.
		checkedAt time.Time
		// used is true once a request was sent on the connection.
		used bool
		// echoesID is true once an answer on the connection named its request.
		echoesID bool
	}

	// targetConnections holds the idle connections to a target, the most recently
	// used at the end, and counts the open ones. The zero value is empty.
	targetConnections struct {
		lock   sync.Mutex
		idle   []*connection
		open   int
		closed bool
		// preconnectAfter is when the next connection may be opened in advance, and
		// preconnectDelay the current backoff delay.
		preconnectAfter time.Time
		preconnectDelay time.Duration
	}
)

func newConnection(opened net.Conn) *connection {
	bounded := answer.NewBoundedReader(opened)
	return &connection{Conn: opened, bounded: bounded, reader: bufio.NewReaderSize(bounded, readerBytes), idleTimeout: defaultIdleTimeout, openedAt: time.Now()}
}

// acquireIdle returns the most recently used healthy connection that was opened at usableSince
// or later, or nil. A connection idle for less than uncheckedSpan is returned without a health
// check.
func (connections *targetConnections) acquireIdle(now, usableSince time.Time, uncheckedSpan time.Duration) *connection {
	for {
		connections.lock.Lock()
		last := len(connections.idle) - 1
		if last < 0 {
			connections.lock.Unlock()
			return nil
		}
		candidate := connections.idle[last]
		connections.idle = connections.idle[:last]
		connections.lock.Unlock()
		idleFor := now.Sub(candidate.idleSince)
		if idleFor < candidate.idleTimeout && !candidate.openedAt.Before(usableSince) && (idleFor < uncheckedSpan || candidate.isHealthy()) {
			return candidate
		}
		connections.discard(candidate)
	}
}

// mayPreconnect reports whether a connection may be opened in advance.
func (connections *targetConnections) mayPreconnect(now time.Time) bool {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	return !now.Before(connections.preconnectAfter)
}

// delayPreconnect doubles the delay before the next connection is opened in
// advance, up to maximum, because the target closed one unused or accepted none. The lock must be held.
func (connections *targetConnections) delayPreconnect(now time.Time, maximum time.Duration) {
	connections.preconnectDelay = min(maximum, max(firstPreconnectDelay, 2*connections.preconnectDelay))
	connections.preconnectAfter = now.Add(connections.preconnectDelay)
}

// recordPreconnectFailure records that a connection couldn't be opened in advance.
func (connections *targetConnections) recordPreconnectFailure(now time.Time) {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	connections.delayPreconnect(now, maximumFailureDelay)
}

// idleCount returns the number of idle connections.
func (connections *targetConnections) idleCount() int {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	return len(connections.idle)
}

// anyInUse reports whether any open or reserved connection is not idle.
func (connections *targetConnections) anyInUse() bool {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	return connections.open > len(connections.idle)
}

// pruneIdle closes idle connections that have broken or reach their idle timeout
// within margin, or were opened before usableSince, and returns the number left.
func (connections *targetConnections) pruneIdle(now, usableSince time.Time, margin time.Duration) int {
	connections.lock.Lock()
	var remaining, expired []*connection
	for _, candidate := range connections.idle {
		isHealthy := true
		if now.Sub(candidate.checkedAt) >= idleCheckInterval {
			candidate.checkedAt = now
			isHealthy = candidate.isHealthy()
		}
		if isHealthy && !candidate.openedAt.Before(usableSince) && now.Sub(candidate.idleSince)+margin < candidate.idleTimeout {
			remaining = append(remaining, candidate)
			continue
		}
		if !isHealthy && !candidate.used {
			connections.delayPreconnect(now, maximumPreconnectDelay)
		}
		expired = append(expired, candidate)
	}
	connections.idle = remaining
	connections.lock.Unlock()
	for _, old := range expired {
		connections.discard(old)
	}
	return len(remaining)
}

// hasRoom reports whether a connection is idle or may be opened.
func (connections *targetConnections) hasRoom(limit int) bool {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	return len(connections.idle) > 0 || connections.open < limit
}

// reserve counts a connection that is about to be opened, or returns false if limit
// connections are already open.
func (connections *targetConnections) reserve(limit int) bool {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	if connections.open >= limit {
		return false
	}
	connections.open++
	return true
}

// releaseReservation undoes reserve, for a connection that failed to open or is
// closed.
func (connections *targetConnections) releaseReservation() {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	connections.open--
}

// addIdle makes a connection available for reuse, and closes expired idle ones.
// After closeAll it closes the added connection instead.
func (connections *targetConnections) addIdle(added *connection, now time.Time) {
	added.idleSince = now
	connections.lock.Lock()
	if added.used {
		connections.preconnectDelay = 0
	}
	if connections.closed {
		connections.lock.Unlock()
		connections.discard(added)
		return
	}
	var expired []*connection
	for len(connections.idle) > 0 && now.Sub(connections.idle[0].idleSince) >= connections.idle[0].idleTimeout {
		expired = append(expired, connections.idle[0])
		connections.idle = connections.idle[1:]
	}
	connections.idle = append(connections.idle, added)
	connections.lock.Unlock()
	for _, old := range expired {
		connections.discard(old)
	}
}

// discard closes a connection and stops counting it.
func (connections *targetConnections) discard(discarded *connection) {
	connections.releaseReservation()
	_ = discarded.Close()
}

// closeAll closes the idle connections, and makes addIdle close the others.
func (connections *targetConnections) closeAll() {
	connections.lock.Lock()
	toClose := connections.idle
	connections.idle, connections.closed = nil, true
	connections.lock.Unlock()
	for _, connection := range toClose {
		connections.discard(connection)
	}
}

// isHealthy reports whether an idle connection is open and has nothing to read:
// bytes that arrive between requests belong to no request.
func (connection *connection) isHealthy() bool {
	raw, isSocket := connection.Conn.(syscall.Conn)
	if !isSocket {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	err = control.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothingToRead = err == unix.EAGAIN
		return true
	})
	return err == nil && nothingToRead
}

// updateIdleTimeout applies the timeout of the target's Keep-Alive header, less
// idleMargin.
func (connection *connection) updateIdleTimeout(header http.Header) {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
			connection.idleTimeout = max(time.Duration(seconds)*time.Second-idleMargin, idleMargin)
		}
	}
}
