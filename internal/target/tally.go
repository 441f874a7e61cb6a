// This file exists so that a target never bears more connections than its pool
// allows, all its homes together, also where one was lost without word.

package target

import (
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

type (
	// tally counts the connections that a target may hold open, those of
	// earlier homes included, and knows how long runs of lost homes may go on.
	// The zero value counts none.
	tally struct {
		lock sync.Mutex
		// inherited states that it is known what earlier homes left.
		inherited bool
		// open counts this entry's, over all its times as the target's home.
		open int
		// others counts what released homes could not close for certain.
		others []leftOpen
		// level is how many homes before this one may have been lost with
		// their connections open, until the time at which the target has
		// certainly closed them.
		level      int
		levelUntil time.Time
		// reservedUntil is when the runs of lost homes have certainly ended.
		reservedUntil time.Time
		// freed is closed when a connection becomes idle or certainly closed.
		freed chan struct{}
	}

	// leftOpen is a number of connections that count as open until a time.
	leftOpen struct {
		// view is the one under which the target was released.
		view  uint64
		count int
		until time.Time
	}

	// Inheritance is what the next home of a target must heed of earlier
	// homes' connections.
	Inheritance struct {
		// View is the one under which the target was released.
		View uint64 `msgpack:"v"`
		// Open counts connections that the target may hold open for OpenFor.
		Open    int           `msgpack:"o"`
		OpenFor time.Duration `msgpack:"of"`
		// Level counts the homes that may have been lost with connections
		// open, which last for at most LevelFor.
		Level    int           `msgpack:"l"`
		LevelFor time.Duration `msgpack:"lf"`
		// ReservedFor is for how long runs of lost homes may go on.
		ReservedFor time.Duration `msgpack:"rf"`
	}
)

// shareOf returns how many connections a home may open at a level. A home that
// follows none that was lost has half, or as many as there are slots. Each
// lost home leaves to the next half of what remains, so that all levels
// together make up the pool's connections.
func shareOf(pool *operator.Pool, level int) int {
	rest := pool.Connections
	share := max(rest-rest/2, pool.Slots)
	for range level {
		rest -= share
		share = rest - rest/2
	}
	return share
}

// claim counts a new connection and returns nil, or returns a channel that is
// closed when another try makes sense.
func (tally *tally) claim(pool *operator.Pool) <-chan struct{} {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	if tally.open+tally.othersOpen() < shareOf(pool, tally.presentLevel()) {
		tally.open++
		return nil
	}
	return tally.awaitFreed()
}

// closed records that a connection of this entry is certainly closed.
func (tally *tally) closed() {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	tally.open--
	tally.wake()
}

// signal wakes those who wait for a connection.
func (tally *tally) signal() {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	tally.wake()
}

// awaitNone waits until no connection of this entry is open, until a time.
func (tally *tally) awaitNone(limit time.Time) {
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	for {
		tally.lock.Lock()
		open, freed := tally.open, tally.awaitFreed()
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

// bequeath returns what the next home must heed.
func (tally *tally) bequeath(view uint64) Inheritance {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	left := Inheritance{View: view, Open: tally.open + tally.othersOpen(), Level: tally.presentLevel()}
	if left.Open > 0 {
		left.OpenFor = silentSpan
	}
	if left.Level > 0 {
		left.LevelFor = time.Until(tally.levelUntil)
	}
	left.ReservedFor = max(0, time.Until(tally.reservedUntil))
	return left
}

// inherit takes what the earlier home told.
func (tally *tally) inherit(left Inheritance, at time.Time) {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	tally.inherited = true
	tally.level, tally.levelUntil = left.Level, at.Add(left.LevelFor)
	tally.raiseReserve(at.Add(left.ReservedFor))
	if left.Open > 0 {
		tally.others = append(tally.others, leftOpen{view: left.View, count: left.Open, until: at.Add(left.OpenFor)})
	}
}

// amend takes what the earlier home told since it released the target.
func (tally *tally) amend(left Inheritance) {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	for index := range tally.others {
		if other := &tally.others[index]; other.view == left.View {
			other.count = min(other.count, left.Open)
		}
	}
	tally.wake()
}

// suppose takes what may be so where no earlier home told anything.
func (tally *tally) suppose(level int, until time.Time) {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	tally.inherited = true
	tally.level = max(level, tally.presentLevel())
	if until.After(tally.levelUntil) {
		tally.levelUntil = until
	}
	if level > 0 {
		tally.raiseReserve(until)
	}
}

// leave records that this entry is no longer the target's home.
func (tally *tally) leave() {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	tally.inherited = false
}

func (tally *tally) isInherited() bool {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	return tally.inherited
}

// isEmpty reports whether nothing would be lost without the tally.
func (tally *tally) isEmpty() bool {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	return !tally.inherited && !time.Now().Before(tally.reservedUntil) && tally.open+tally.othersOpen() == 0 && tally.presentLevel() == 0
}

// presentLevel returns the level at present. The lock is held.
func (tally *tally) presentLevel() int {
	if time.Now().Before(tally.levelUntil) {
		return tally.level
	}
	return 0
}

// othersOpen counts what earlier homes may have left open. The lock is held.
func (tally *tally) othersOpen() int {
	now, count := time.Now(), 0
	for _, left := range tally.others {
		if now.Before(left.until) {
			count += left.count
		}
	}
	if count == 0 {
		tally.others = nil
	}
	return count
}

// awaitFreed returns a channel that wake closes. The lock is held.
func (tally *tally) awaitFreed() <-chan struct{} {
	if tally.freed == nil {
		tally.freed = make(chan struct{})
	}
	return tally.freed
}

// wake wakes those who wait for a connection. The lock is held.
func (tally *tally) wake() {
	if tally.freed != nil {
		close(tally.freed)
		tally.freed = nil
	}
}
