// This file exists so that a target never bears more connections than its
// pool allows, also while some of them have gone silent.

package target

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// refusedSpan is how long a connection that couldn't be opened counts as
	// open at the target, which may have accepted what this side gave up on.
	refusedSpan = time.Second
	// silentSpan is how long a connection counts as open after its close where
	// the target doesn't confirm the close, of which it may not have heard.
	silentSpan = time.Minute
)

var (
	errNoConnection = errors.New("no connection to the target was free in time; raise the pool's connections")
	errTurnedCold   = errors.New("the target has turned cold since the run was admitted; use another replica")
	errBroken       = errors.New("the connection to the target broke; another one is opened")
)

type (
	// lane is the home's state of one target. Lock order: lane, gate.
	lane struct {
		announcement target.Announcement
		gate         gate
		usage        usage
		dial         tcp.Dialer

		lock sync.Mutex
		// closed states that the lane was given up.
		closed      bool
		address     string
		pool        operator.Pool
		incarnation uint64
		// idle holds the unused connections, the newest used last.
		idle []*connection
		// unattended holds the openings whose attempts were given up.
		unattended []*opening
		// tally counts the connections that the target may hold open. It
		// outlasts the lane.
		tally *tally
	}
)

// update takes the target's announcement and its pool's limits. A new
// incarnation turns the target cold.
func (lane *lane) update(announcement *target.Announcement, pool operator.Pool) {
	lane.lock.Lock()
	lane.address = announcement.Address
	changed := lane.pool != pool
	lane.pool = pool
	lane.lock.Unlock()
	if changed {
		lane.gate.limit(pool)
	}
	lane.observe(announcement.Incarnation)
}

// observe turns the target cold where its incarnation is new, and reports
// whether the incarnation is the present one.
func (lane *lane) observe(incarnation uint64) bool {
	lane.lock.Lock()
	defer lane.lock.Unlock()
	if incarnation > lane.incarnation {
		lane.incarnation = incarnation
		lane.gate.turnCold()
	}
	return incarnation == lane.incarnation
}

// take returns an idle connection that the target has answered on since the
// given time, or one that is being opened for nobody, or opens one within the
// limit. It waits until ctx ends.
func (lane *lane) take(ctx context.Context, since time.Time) (*connection, error) {
	for {
		lane.lock.Lock()
		if last := len(lane.idle) - 1; last >= 0 && !lane.idle[last].proven().Before(since) {
			taken := lane.idle[last]
			lane.idle = lane.idle[:last]
			lane.lock.Unlock()
			return taken, nil
		}
		if begun := lane.takeUnattended(); begun != nil {
			lane.lock.Unlock()
			return lane.await(ctx, begun)
		}
		freed := lane.tally.claim(&lane.pool)
		if freed == nil {
			begun := lane.open()
			lane.lock.Unlock()
			return lane.await(ctx, begun)
		}
		stale := lane.takeOldest()
		lane.lock.Unlock()
		if stale != nil {
			stale.closeHere()
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, errNoConnection
		}
	}
}

// takeOldest takes the idle connection that was not used for longest, to be
// closed in favour of a new one; nil where there is none. The lock is held.
func (lane *lane) takeOldest() *connection {
	if len(lane.idle) == 0 {
		return nil
	}
	oldest := lane.idle[0]
	lane.idle = lane.idle[1:]
	return oldest
}

// receive reads a connection until it has ended and counts it as open until
// the target has certainly closed it.
func (lane *lane) receive(connection *connection) {
	connection.receive(func(err error) { lane.unexpected(connection, err) })
	connection.closeHere()
	if connection.awaitEnd() {
		lane.tally.closed()
		return
	}
	time.AfterFunc(silentSpan-time.Since(connection.closedHereAt()), lane.tally.closed)
}

// put makes a connection idle. The newest used is taken first.
func (lane *lane) put(connection *connection) {
	lane.lock.Lock()
	closed := lane.closed || connection.isClosedHere()
	if !closed {
		lane.idle = append(lane.idle, connection)
		lane.tally.signal()
	}
	lane.lock.Unlock()
	if closed {
		connection.closeHere()
	}
}

// unexpected deals with an idle connection that broke, which is a sign of a
// restart, or that brought an answer that nobody waits for.
func (lane *lane) unexpected(connection *connection, err error) {
	lane.lock.Lock()
	if at := slices.Index(lane.idle, connection); at >= 0 {
		lane.idle = slices.Delete(lane.idle, at, at+1)
	}
	lane.lock.Unlock()
	if err != nil && !connection.isClosedHere() {
		lane.gate.turnCold()
	}
}

// suspect checks the idle connections on which the target hasn't answered
// since the given time, because one of their age has gone silent.
func (lane *lane) suspect(since time.Time) {
	lane.lock.Lock()
	var suspects []*connection
	lane.idle = slices.DeleteFunc(lane.idle, func(idle *connection) bool {
		if idle.proven().Before(since) {
			suspects = append(suspects, idle)
			return true
		}
		return false
	})
	lane.lock.Unlock()
	for _, connection := range suspects {
		go lane.check(connection)
	}
}

// check asks for a sign of life on a connection and closes it where none
// comes. What the target says of its health doesn't matter.
func (lane *lane) check(connection *connection) {
	lane.lock.Lock()
	address, timeout := lane.address, lane.pool.ConnectTimeout.Std()
	lane.lock.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, _ = lane.ask(ctx, connection, http.MethodGet, address, target.HealthPath, struct{}{})
}

// ask sends one message on a connection that the caller has taken and puts
// the connection back, or closes it where no response came before ctx ended.
func (lane *lane) ask(ctx context.Context, connection *connection, method, address, path string, message any) (*response, error) {
	encoded, err := encode(ctx, method, address, path, message)
	if err != nil {
		lane.put(connection)
		return nil, err
	}
	replies := make(chan *response, 1)
	exchange := newExchange(connection, func(received *response, err error) {
		switch {
		case err != nil || received.last:
			connection.closeHere()
		default:
			lane.put(connection)
		}
		replies <- received
	})
	if !exchange.begin() {
		return nil, errBroken
	}
	deadline, _ := ctx.Deadline()
	exchange.write(encoded, deadline)
	select {
	case received := <-replies:
		if received == nil {
			return nil, errBroken
		}
		return received, nil
	case <-ctx.Done():
		connection.closeHere()
		return nil, ctx.Err()
	}
}

// closeIdle closes the connections that no run uses, and from then on each one
// that comes back.
func (lane *lane) closeIdle() {
	lane.lock.Lock()
	idle := lane.idle
	lane.idle, lane.closed = nil, true
	lane.lock.Unlock()
	for _, connection := range idle {
		connection.closeHere()
	}
}
