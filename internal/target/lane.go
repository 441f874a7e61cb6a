// State and connections of one target. The pool's connection limit also holds
// while some connections don't respond.

package target

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/answer"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// failedDialDuration is how long a connection that couldn't be opened
	// still counts as open at the target, which may have accepted it after this
	// side gave up.
	failedDialDuration = time.Second
	// unconfirmedCloseDuration is how long a closed connection still counts as
	// open if the target doesn't confirm the close, which may not have reached
	// it.
	unconfirmedCloseDuration = time.Minute
)

var (
	errNoConnection = errors.New("no connection to the target was free in time; raise the pool's connections")
	errTurnedCold   = errors.New("the target has turned cold since the run was admitted; use another replica")
	errBroken       = errors.New("the connection to the target broke; another one is opened")
)

type (
	// lane is a home's state of one target: admission, attempts and
	// connections. Lock order: lane, gate.
	lane struct {
		// announcement is the one with which the lane was created. A later
		// announcement only updates address, pool and incarnation.
		announcement target.Announcement
		gate         gate
		usage        usage
		dial         tcp.Dialer
		// budget bounds the memory of answers.
		budget *answer.Budget

		lock sync.Mutex
		// closed is true if the lane was dropped, so that connections returned
		// to it are closed instead of kept.
		closed      bool
		address     string
		pool        operator.Pool
		incarnation uint64
		// idle holds the unused connections, ordered by last use, the most
		// recent last.
		idle []*connection
		// detached holds the pending dials whose attempts ended before the
		// connection was open.
		detached []*pendingDial
		// tally counts the connections that the target may hold open. It
		// outlives the lane.
		tally *connectionTally
	}
)

// update applies the address and the incarnation of the target's announcement,
// and its pool's limits. A new incarnation turns the target cold.
func (lane *lane) update(announcement *target.Announcement, pool operator.Pool) {
	lane.lock.Lock()
	lane.address = announcement.Address
	changed := lane.pool != pool
	lane.pool = pool
	lane.lock.Unlock()
	if changed {
		lane.gate.setLimits(pool)
	}
	lane.observeIncarnation(announcement.Incarnation)
}

// observeIncarnation turns the target cold if the incarnation is new, and
// reports whether it is the current one.
func (lane *lane) observeIncarnation(incarnation uint64) bool {
	lane.lock.Lock()
	defer lane.lock.Unlock()
	if incarnation > lane.incarnation {
		lane.incarnation = incarnation
		lane.gate.turnCold()
	}
	return incarnation == lane.incarnation
}

// acquireConnection returns an idle connection that was opened, or on which the
// target has sent data, at activeSince or later. If there is none, it takes over
// a detached dial or opens a new connection. At the connection limit it first
// closes the oldest idle connection. It waits until ctx ends.
func (lane *lane) acquireConnection(ctx context.Context, activeSince time.Time) (*connection, error) {
	for {
		lane.lock.Lock()
		if last := len(lane.idle) - 1; last >= 0 && !lane.idle[last].lastReadTime().Before(activeSince) {
			acquired := lane.idle[last]
			lane.idle = lane.idle[:last]
			lane.lock.Unlock()
			return acquired, nil
		}
		if pending := lane.popDetached(); pending != nil {
			lane.lock.Unlock()
			return lane.awaitDial(ctx, pending)
		}
		freed := lane.tally.claim(&lane.pool)
		if freed == nil {
			pending := lane.startDial()
			lane.lock.Unlock()
			return lane.awaitDial(ctx, pending)
		}
		stale := lane.popOldestIdle()
		lane.lock.Unlock()
		if stale != nil {
			stale.beginClose()
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, errNoConnection
		}
	}
}

// refuseUnconnectable returns a refusal if no connection can be opened before the
// deadline, and otherwise nil.
func (lane *lane) refuseUnconnectable(deadline time.Time) Outcome {
	lane.lock.Lock()
	pool := lane.pool
	lane.lock.Unlock()
	if lane.tally.exhaustedUntil(&pool).Before(deadline) {
		return nil
	}
	return NotRun{Reason: caller.MissingNoReplica, RetryAfter: notHomeRetryAfter}
}

// popOldestIdle removes and returns the least recently used idle connection, or
// returns nil if none is idle. The returned connection must be closed, to make room
// for a new one. The lock must be held.
func (lane *lane) popOldestIdle() *connection {
	if len(lane.idle) == 0 {
		return nil
	}
	oldest := lane.idle[0]
	lane.idle = lane.idle[1:]
	return oldest
}

// readResponses reads from a connection until it breaks or an unsolicited response
// arrives, and then closes it. The connection counts as open until the target has
// certainly closed it, or until unconfirmedCloseDuration after beginClose.
func (lane *lane) readResponses(connection *connection) {
	connection.readResponses(func(err error) { lane.handleIdleEnd(connection, err) })
	connection.beginClose()
	if connection.awaitRemoteClose() {
		lane.tally.recordClosed()
		return
	}
	time.AfterFunc(unconfirmedCloseDuration-time.Since(connection.closeBegunTime()), lane.tally.recordClosed)
}

// returnConnection makes a connection idle, or closes it if the lane is closed.
// The most recently used connection is reused first.
func (lane *lane) returnConnection(connection *connection) {
	lane.lock.Lock()
	closed := lane.closed || connection.isClosing()
	if !closed {
		lane.idle = append(lane.idle, connection)
		lane.tally.wakeWaiters()
	}
	lane.lock.Unlock()
	if closed {
		connection.beginClose()
	}
}

// handleIdleEnd handles an idle connection that broke, which suggests a
// restart of the target, or that received an unsolicited answer.
func (lane *lane) handleIdleEnd(connection *connection, err error) {
	lane.lock.Lock()
	if index := slices.Index(lane.idle, connection); index >= 0 {
		lane.idle = slices.Delete(lane.idle, index, index+1)
	}
	lane.lock.Unlock()
	if err != nil && !connection.isClosing() {
		lane.gate.turnCold()
	}
}

// probeSilent removes the idle connections on which the target has sent nothing
// since silentSince, and probes them, because another connection has stopped
// responding. Those that respond become idle again.
func (lane *lane) probeSilent(silentSince time.Time) {
	lane.lock.Lock()
	var suspects []*connection
	lane.idle = slices.DeleteFunc(lane.idle, func(idle *connection) bool {
		if idle.lastReadTime().Before(silentSince) {
			suspects = append(suspects, idle)
			return true
		}
		return false
	})
	lane.lock.Unlock()
	for _, connection := range suspects {
		go lane.probe(connection)
	}
}

// probe sends a health check on a connection and closes the connection if no
// response arrives. The reported health is ignored.
func (lane *lane) probe(connection *connection) {
	lane.lock.Lock()
	address, timeout := lane.address, lane.pool.ConnectTimeout.Std()
	lane.lock.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, _ = lane.roundTrip(ctx, connection, http.MethodGet, address, target.HealthPath, struct{}{})
}

// roundTrip sends one message on an acquired connection. It then returns the
// connection to the lane, or closes it if no response arrived before ctx ended.
func (lane *lane) roundTrip(ctx context.Context, connection *connection, method, address, path string, message any) (*response, error) {
	encoded, err := encodeRequest(ctx, method, address, path, message)
	if err != nil {
		lane.returnConnection(connection)
		return nil, err
	}
	responses := make(chan *response, 1)
	exchange := newExchange(connection, func(received *response, err error) {
		switch {
		case err != nil || received.closesConnection:
			connection.beginClose()
		default:
			lane.returnConnection(connection)
		}
		responses <- received
	})
	if !exchange.start() {
		return nil, errBroken
	}
	deadline, _ := ctx.Deadline()
	exchange.write(encoded, deadline)
	select {
	case received := <-responses:
		if received == nil {
			return nil, errBroken
		}
		return received, nil
	case <-ctx.Done():
		connection.beginClose()
		return nil, ctx.Err()
	}
}

// closeIdle closes the idle connections. Connections that are returned later
// are closed as well.
func (lane *lane) closeIdle() {
	lane.lock.Lock()
	idle := lane.idle
	lane.idle, lane.closed = nil, true
	lane.lock.Unlock()
	for _, connection := range idle {
		connection.beginClose()
	}
}
