// Connections that are being opened. An opening continues after its attempt has
// ended, so that the next attempt can use the connection. An aborted opening
// would count as open at the target without having served any attempt.

package target

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

type (
	// opening is a connection that is being opened.
	opening struct {
		// done is closed once the connection is open or has failed.
		done       chan struct{}
		connection *connection
		err        error
	}
)

// startOpening starts to open a connection, which the caller has claimed from
// the tally. A failure turns the target cold, because it suggests a restart.
// The lock is held.
func (lane *lane) startOpening() *opening {
	started := &opening{done: make(chan struct{})}
	address, timeout := lane.address, lane.pool.ConnectTimeout.Std()
	go func() {
		dialing, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		opened, err := lane.dial(dialing, "tcp", address)
		if err != nil {
			started.err = errors.Wrap(err, "connect to target")
			lane.gate.turnCold()
			time.AfterFunc(failedOpeningDuration, lane.tally.recordClosed)
		} else {
			started.connection = newConnection(opened)
			go lane.readResponses(started.connection)
		}
		lane.finishOpening(started)
	}()
	return started
}

// popUnclaimed removes and returns an opening that no attempt waits for, or nil
// if there is none. The lock is held.
func (lane *lane) popUnclaimed() *opening {
	if len(lane.unclaimed) == 0 {
		return nil
	}
	claimed := lane.unclaimed[0]
	lane.unclaimed = lane.unclaimed[1:]
	return claimed
}

// awaitOpening waits for an opening. If ctx ends first, the opening continues
// unclaimed.
func (lane *lane) awaitOpening(ctx context.Context, awaited *opening) (*connection, error) {
	select {
	case <-awaited.done:
		return awaited.connection, awaited.err
	case <-ctx.Done():
		lane.detachOpening(awaited)
		return nil, errNoConnection
	}
}

// detachOpening leaves an opening to the next attempt. If it has already ended,
// its connection becomes idle.
func (lane *lane) detachOpening(detached *opening) {
	lane.lock.Lock()
	ended := isDone(detached.done)
	if !ended {
		lane.unclaimed = append(lane.unclaimed, detached)
		lane.tally.wakeWaiters()
	}
	lane.lock.Unlock()
	if ended && detached.connection != nil {
		lane.returnConnection(detached.connection)
	}
}

// finishOpening marks an opening as done. If no attempt waits for it, its
// connection becomes idle.
func (lane *lane) finishOpening(ended *opening) {
	lane.lock.Lock()
	index := slices.Index(lane.unclaimed, ended)
	if index >= 0 {
		lane.unclaimed = slices.Delete(lane.unclaimed, index, index+1)
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
