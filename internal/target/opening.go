// Connections that are being opened. A dial continues after its attempt has
// ended, so that the next attempt can use the connection. An aborted dial would
// count as a connection open at the target without having served any attempt.

package target

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

type (
	// pendingDial is a connection that is being opened.
	pendingDial struct {
		// done is closed once the connection is open or has failed.
		done       chan struct{}
		connection *connection
		err        error
	}
)

// startDial starts to open a connection, which the caller has claimed from the
// tally. A failure turns the target cold, because it suggests a restart. The
// lock must be held.
func (lane *lane) startDial() *pendingDial {
	created := &pendingDial{done: make(chan struct{})}
	address, timeout := lane.address, lane.pool.ConnectTimeout.Std()
	go func() {
		dialContext, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		opened, err := lane.dial(dialContext, "tcp", address)
		if err != nil {
			created.err = errors.Wrap(err, "connect to target")
			lane.gate.turnCold()
			time.AfterFunc(failedDialDuration, lane.tally.recordClosed)
		} else {
			created.connection = newConnection(opened, lane.budget)
			go lane.readResponses(created.connection)
		}
		lane.finishDial(created)
	}()
	return created
}

// popDetached removes and returns a pending dial that no attempt waits for, or
// returns nil if there is none. The lock must be held.
func (lane *lane) popDetached() *pendingDial {
	if len(lane.detached) == 0 {
		return nil
	}
	popped := lane.detached[0]
	lane.detached = lane.detached[1:]
	return popped
}

// awaitDial waits for a pending dial and returns its connection. If ctx ends
// first, the dial continues detached.
func (lane *lane) awaitDial(ctx context.Context, awaited *pendingDial) (*connection, error) {
	select {
	case <-awaited.done:
		return awaited.connection, awaited.err
	case <-ctx.Done():
		lane.detachDial(awaited)
		return nil, errNoConnection
	}
}

// detachDial leaves a dial to the next attempt. If it has already ended, its
// connection becomes idle.
func (lane *lane) detachDial(detached *pendingDial) {
	lane.lock.Lock()
	ended := isDone(detached.done)
	if !ended {
		lane.detached = append(lane.detached, detached)
		lane.tally.wakeWaiters()
	}
	lane.lock.Unlock()
	if ended && detached.connection != nil {
		lane.returnConnection(detached.connection)
	}
}

// finishDial marks a dial as done. If no attempt waits for it, its connection
// becomes idle.
func (lane *lane) finishDial(ended *pendingDial) {
	lane.lock.Lock()
	index := slices.Index(lane.detached, ended)
	if index >= 0 {
		lane.detached = slices.Delete(lane.detached, index, index+1)
	}
	close(ended.done)
	lane.lock.Unlock()
	if index >= 0 && ended.connection != nil {
		lane.returnConnection(ended.connection)
	}
}

func isDone(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
