// Accounting of the connections to a target. The pool's connection limit holds
// across all of the target's homes, including one that was lost without a
// release.

package target

import (
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

type (
	// connectionTally counts the connections that a target may hold open,
	// including those of earlier homes, and records how long runs of lost homes
	// may continue. The zero value counts none.
	connectionTally struct {
		lock sync.Mutex
		// initialized is true if the state left by earlier homes has been
		// applied, as it was received or as it was assumed.
		initialized bool
		// open counts this entry's own connections, over all periods in which
		// it was the target's home.
		open int
		// inherited holds the connections whose close earlier homes couldn't
		// confirm.
		inherited []inheritedConnections
		// lostHomes is how many earlier homes may have been lost with their
		// connections open. It applies until lostHomesUntil, when the target
		// has certainly closed them.
		lostHomes      int
		lostHomesUntil time.Time
		// reservedUntil is when the runs of lost homes have certainly ended.
		reservedUntil time.Time
		// freed is closed when a connection becomes idle or is certainly
		// closed.
		freed chan struct{}
	}

	// inheritedConnections is a number of connections that count as open until
	// a time.
	inheritedConnections struct {
		// view is the number of the view under which the target was released.
		view  uint64
		count int
		until time.Time
	}

	// ConnectionHandover is what a target's next home must know of earlier
	// homes' connections and runs.
	ConnectionHandover struct {
		// View is the number of the view under which the target was released.
		View uint64 `msgpack:"v"`
		// Open is how many connections the target may hold open, for at most
		// OpenFor.
		Open    int           `msgpack:"o"`
		OpenFor time.Duration `msgpack:"of"`
		// LostHomes is how many homes may have been lost with connections open,
		// which last for at most LostHomesFor.
		LostHomes    int           `msgpack:"l"`
		LostHomesFor time.Duration `msgpack:"lf"`
		// ReservedFor is how long runs of lost homes may continue.
		ReservedFor time.Duration `msgpack:"rf"`
	}
)

// connectionShare returns how many connections a home may open after a number
// of lost homes. Without a lost home it is half of the pool's connections, but
// at least as many as the pool has slots. After each further loss the next home
// gets half of the remainder, so that all shares together add up to the pool's
// connections.
func connectionShare(pool *operator.Pool, lostHomes int) int {
	remaining := pool.Connections
	share := max(remaining-remaining/2, pool.Slots)
	for range lostHomes {
		remaining -= share
		share = remaining - remaining/2
	}
	return share
}

// claim counts a new connection, if the limit allows one, and returns nil, which
// means that the connection may be opened. At the limit it counts none and returns
// a channel that is closed when the claim should be tried again.
func (connectionTally *connectionTally) claim(pool *operator.Pool) <-chan struct{} {
	connectionTally.lock.Lock()
	defer connectionTally.lock.Unlock()
	if connectionTally.open+connectionTally.inheritedOpen() < connectionShare(pool, connectionTally.currentLostHomes()) {
		connectionTally.open++
		return nil
	}
	return connectionTally.freedChannel()
}

// exhaustedUntil returns until when lost homes leave this one no connection, or zero
// if they leave some.
func (connectionTally *connectionTally) exhaustedUntil(pool *operator.Pool) time.Time {
	connectionTally.lock.Lock()
	defer connectionTally.lock.Unlock()
	lostHomes := connectionTally.currentLostHomes()
	if lostHomes == 0 || connectionTally.open > 0 || connectionShare(pool, lostHomes) > 0 {
		return time.Time{}
	}
	return connectionTally.lostHomesUntil
}

// recordClosed records that a connection of this entry is certainly closed.
func (connectionTally *connectionTally) recordClosed() {
	connectionTally.lock.Lock()
	defer connectionTally.lock.Unlock()
	connectionTally.open--
	connectionTally.wakeWaitersLocked()
}

// wakeWaiters wakes everything that waits for a connection to become idle or closed.
func (connectionTally *connectionTally) wakeWaiters() {
	connectionTally.lock.Lock()
	defer connectionTally.lock.Unlock()
	connectionTally.wakeWaitersLocked()
}

// awaitAllClosed waits until this entry has no connection open, or until the
// given time.
func (connectionTally *connectionTally) awaitAllClosed(deadline time.Time) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		connectionTally.lock.Lock()
		open, freed := connectionTally.open, connectionTally.freedChannel()
		connectionTally.lock.Unlock()
		if open == 0 {
			return
		}
		select {
		case <-freed:
		case <-timer.C:
			return
		}
	}
}

// handover returns the state for the target's next home.
func (connectionTally *connectionTally) handover(view uint64) ConnectionHandover {
	connectionTally.lock.Lock()
	defer connectionTally.lock.Unlock()
	state := ConnectionHandover{View: view, Open: connectionTally.open + connectionTally.inheritedOpen(), LostHomes: connectionTally.currentLostHomes()}
	if state.Open > 0 {
		state.OpenFor = unconfirmedCloseDuration
	}
	if state.LostHomes > 0 {
		state.LostHomesFor = time.Until(connectionTally.lostHomesUntil)
	}
	state.ReservedFor = max(0, time.Until(connectionTally.reservedUntil))
	return state
}

// applyHandover applies the state that was received from the earlier home at the
// given time.
func (connectionTally *connectionTally) applyHandover(handover ConnectionHandover, receivedAt time.Time) {
	connectionTally.lock.Lock()
	defer connectionTally.lock.Unlock()
	connectionTally.initialized = true
	connectionTally.lostHomes, connectionTally.lostHomesUntil = handover.LostHomes, receivedAt.Add(handover.LostHomesFor)
	connectionTally.extendReserve(receivedAt.Add(handover.ReservedFor))
	if handover.Open > 0 {
		connectionTally.inherited = append(connectionTally.inherited, inheritedConnections{view: handover.View, count: handover.Open, until: receivedAt.Add(handover.OpenFor)})
	}
}

// applyUpdate applies an update that the earlier home sent after its release. It
// reduces the inherited connections of that release to those that may still be open.
func (connectionTally *connectionTally) applyUpdate(update ConnectionHandover) {
	connectionTally.lock.Lock()
	defer connectionTally.lock.Unlock()
	for index := range connectionTally.inherited {
		if connections := &connectionTally.inherited[index]; connections.view == update.View {
			connections.count = min(connections.count, update.Open)
		}
	}
	connectionTally.wakeWaitersLocked()
}

// assumeLostHomes applies an assumed number of lost homes, whose connections
// count as open and whose runs as in progress until the given time. A larger number
// or a later time that applied before is kept. It is used if no earlier home has
// sent its state.
func (connectionTally *connectionTally) assumeLostHomes(lostHomes int, until time.Time) {
	connectionTally.lock.Lock()
	defer connectionTally.lock.Unlock()
	connectionTally.initialized = true
	connectionTally.lostHomes = max(lostHomes, connectionTally.currentLostHomes())
	if until.After(connectionTally.lostHomesUntil) {
		connectionTally.lostHomesUntil = until
	}
	if lostHomes > 0 {
		connectionTally.extendReserve(until)
	}
}

// markReleased records that this entry is no longer the target's home.
func (connectionTally *connectionTally) markReleased() {
	connectionTally.lock.Lock()
	defer connectionTally.lock.Unlock()
	connectionTally.initialized = false
}

func (connectionTally *connectionTally) isInitialized() bool {
	connectionTally.lock.Lock()
	defer connectionTally.lock.Unlock()
	return connectionTally.initialized
}

// isEmpty reports whether the tally holds no information and can be deleted.
func (connectionTally *connectionTally) isEmpty() bool {
	connectionTally.lock.Lock()
	defer connectionTally.lock.Unlock()
	return !connectionTally.initialized && !time.Now().Before(connectionTally.reservedUntil) && connectionTally.open+connectionTally.inheritedOpen() == 0 && connectionTally.currentLostHomes() == 0
}

// currentLostHomes returns the number of lost homes that still applies. The
// lock must be held.
func (connectionTally *connectionTally) currentLostHomes() int {
	if time.Now().Before(connectionTally.lostHomesUntil) {
		return connectionTally.lostHomes
	}
	return 0
}

// inheritedOpen counts the connections that earlier homes may have left open, and
// discards their records once none of them counts as open. The lock must be held.
func (connectionTally *connectionTally) inheritedOpen() int {
	now, count := time.Now(), 0
	for _, connections := range connectionTally.inherited {
		if now.Before(connections.until) {
			count += connections.count
		}
	}
	if count == 0 {
		connectionTally.inherited = nil
	}
	return count
}

// freedChannel returns a channel that wakeWaitersLocked closes. The lock must be
// held.
func (connectionTally *connectionTally) freedChannel() <-chan struct{} {
	if connectionTally.freed == nil {
		connectionTally.freed = make(chan struct{})
	}
	return connectionTally.freed
}

// wakeWaitersLocked implements wakeWaiters. The lock must be held.
func (connectionTally *connectionTally) wakeWaitersLocked() {
	if connectionTally.freed != nil {
		close(connectionTally.freed)
		connectionTally.freed = nil
	}
}
