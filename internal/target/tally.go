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
	// tally counts the connections that a target may hold open, including those
	// of earlier homes, and records how long runs of lost homes may continue.
	// The zero value counts none.
	tally struct {
		lock sync.Mutex
		// initialized states that the state left by earlier homes has been
		// applied.
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

// claim counts a new connection and returns nil. If the limit is reached, it
// returns a channel that is closed when the caller should try again.
func (tally *tally) claim(pool *operator.Pool) <-chan struct{} {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	if tally.open+tally.inheritedOpen() < connectionShare(pool, tally.currentLostHomes()) {
		tally.open++
		return nil
	}
	return tally.freedChannel()
}

// recordClosed records that a connection of this entry is certainly closed.
func (tally *tally) recordClosed() {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	tally.open--
	tally.wakeWaitersLocked()
}

// wakeWaiters wakes the callers that wait for a connection.
func (tally *tally) wakeWaiters() {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	tally.wakeWaitersLocked()
}

// awaitAllClosed waits until this entry has no connection open, or until the
// given time.
func (tally *tally) awaitAllClosed(limit time.Time) {
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	for {
		tally.lock.Lock()
		open, freed := tally.open, tally.freedChannel()
		tally.lock.Unlock()
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
func (tally *tally) handover(view uint64) ConnectionHandover {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	state := ConnectionHandover{View: view, Open: tally.open + tally.inheritedOpen(), LostHomes: tally.currentLostHomes()}
	if state.Open > 0 {
		state.OpenFor = unconfirmedCloseDuration
	}
	if state.LostHomes > 0 {
		state.LostHomesFor = time.Until(tally.lostHomesUntil)
	}
	state.ReservedFor = max(0, time.Until(tally.reservedUntil))
	return state
}

// applyHandover applies the state received from the earlier home.
func (tally *tally) applyHandover(handover ConnectionHandover, at time.Time) {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	tally.initialized = true
	tally.lostHomes, tally.lostHomesUntil = handover.LostHomes, at.Add(handover.LostHomesFor)
	tally.extendReserve(at.Add(handover.ReservedFor))
	if handover.Open > 0 {
		tally.inherited = append(tally.inherited, inheritedConnections{view: handover.View, count: handover.Open, until: at.Add(handover.OpenFor)})
	}
}

// applyUpdate applies an update that the earlier home sent after its release.
func (tally *tally) applyUpdate(update ConnectionHandover) {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	for index := range tally.inherited {
		if connections := &tally.inherited[index]; connections.view == update.View {
			connections.count = min(connections.count, update.Open)
		}
	}
	tally.wakeWaitersLocked()
}

// assumeLostHomes applies the assumed number of lost homes if no earlier home
// has sent its state.
func (tally *tally) assumeLostHomes(lostHomes int, until time.Time) {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	tally.initialized = true
	tally.lostHomes = max(lostHomes, tally.currentLostHomes())
	if until.After(tally.lostHomesUntil) {
		tally.lostHomesUntil = until
	}
	if lostHomes > 0 {
		tally.extendReserve(until)
	}
}

// markReleased records that this entry is no longer the target's home.
func (tally *tally) markReleased() {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	tally.initialized = false
}

func (tally *tally) isInitialized() bool {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	return tally.initialized
}

// isEmpty reports whether the tally holds no information and can be deleted.
func (tally *tally) isEmpty() bool {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	return !tally.initialized && !time.Now().Before(tally.reservedUntil) && tally.open+tally.inheritedOpen() == 0 && tally.currentLostHomes() == 0
}

// currentLostHomes returns the number of lost homes that still applies. The
// lock is held.
func (tally *tally) currentLostHomes() int {
	if time.Now().Before(tally.lostHomesUntil) {
		return tally.lostHomes
	}
	return 0
}

// inheritedOpen counts the connections that earlier homes may have left open.
// The lock is held.
func (tally *tally) inheritedOpen() int {
	now, count := time.Now(), 0
	for _, connections := range tally.inherited {
		if now.Before(connections.until) {
			count += connections.count
		}
	}
	if count == 0 {
		tally.inherited = nil
	}
	return count
}

// freedChannel returns a channel that wakeWaitersLocked closes. The lock is
// held.
func (tally *tally) freedChannel() <-chan struct{} {
	if tally.freed == nil {
		tally.freed = make(chan struct{})
	}
	return tally.freed
}

// wakeWaitersLocked implements wakeWaiters. The lock is held.
func (tally *tally) wakeWaitersLocked() {
	if tally.freed != nil {
		close(tally.freed)
		tally.freed = nil
	}
}
