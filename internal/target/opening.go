// This file exists so that a connection that is being opened outlasts the
// attempt that asked for it and serves the next one. An opening that is given
// up halfway counts as open at the target and has served nobody.

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
		// done is closed once the opening has ended.
		done       chan struct{}
		connection *connection
		err        error
	}
)

// open begins to open a connection, for which the tally has been claimed. That
// the target can't be connected to is a sign of a restart. The lock is held.
func (lane *lane) open() *opening {
	begun := &opening{done: make(chan struct{})}
	address, timeout := lane.address, lane.pool.ConnectTimeout.Std()
	go func() {
		dialing, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		opened, err := lane.dial(dialing, "tcp", address)
		if err != nil {
			begun.err = errors.Wrap(err, "connect to target")
			lane.gate.turnCold()
			time.AfterFunc(refusedSpan, lane.tally.closed)
		} else {
			begun.connection = newConnection(opened)
			go lane.receive(begun.connection)
		}
		lane.finish(begun)
	}()
	return begun
}

// takeUnattended takes an opening that nobody waits for; nil where there is
// none. The lock is held.
func (lane *lane) takeUnattended() *opening {
	if len(lane.unattended) == 0 {
		return nil
	}
	taken := lane.unattended[0]
	lane.unattended = lane.unattended[1:]
	return taken
}

// await waits for an opening. Where ctx ends first, the opening goes on
// unattended.
func (lane *lane) await(ctx context.Context, awaited *opening) (*connection, error) {
	select {
	case <-awaited.done:
		return awaited.connection, awaited.err
	case <-ctx.Done():
		lane.leave(awaited)
		return nil, errNoConnection
	}
}

// leave leaves an opening to the next attempt.
func (lane *lane) leave(left *opening) {
	lane.lock.Lock()
	ended := isDone(left.done)
	if !ended {
		lane.unattended = append(lane.unattended, left)
		lane.tally.signal()
	}
	lane.lock.Unlock()
	if ended && left.connection != nil {
		lane.put(left.connection)
	}
}

// finish ends an opening. Its connection becomes idle where nobody waits.
func (lane *lane) finish(ended *opening) {
	lane.lock.Lock()
	at := slices.Index(lane.unattended, ended)
	if at >= 0 {
		lane.unattended = slices.Delete(lane.unattended, at, at+1)
	}
	close(ended.done)
	lane.lock.Unlock()
	if at >= 0 && ended.connection != nil {
		lane.put(ended.connection)
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
