package pause

import (
	"sync"
	"time"
)

const (
	// latenessWindow is the time for which lateness is remembered, at least once and at most twice.
	latenessWindow = 250 * time.Millisecond
	// LateLimit is the lateness from which on a process is too short of processor time to judge others: what they sent may
	// have arrived, and wasn't read yet.
	LateLimit = 40 * time.Millisecond
)

type (
	// Lateness estimates how late this process gets to its work, from timers whose moment has passed when they are noticed.
	// The zero value works.
	Lateness struct {
		lock            sync.Mutex
		greatest        time.Duration
		greatestBefore  time.Duration
		windowStartedAt time.Time
	}
)

// Observe records that something due at a time is noticed now, and returns how late that is.
func (lateness *Lateness) Observe(dueAt, now time.Time) time.Duration {
	late := max(0, now.Sub(dueAt))
	lateness.lock.Lock()
	defer lateness.lock.Unlock()
	lateness.advance(now)
	lateness.greatest = max(lateness.greatest, late)
	return late
}

// Recent returns the greatest lateness observed lately.
func (lateness *Lateness) Recent(now time.Time) time.Duration {
	lateness.lock.Lock()
	defer lateness.lock.Unlock()
	lateness.advance(now)
	return max(lateness.greatest, lateness.greatestBefore)
}

// advance begins a new window if the current one has passed. The lock must be held.
func (lateness *Lateness) advance(now time.Time) {
	switch elapsed := now.Sub(lateness.windowStartedAt); {
	case elapsed >= 2*latenessWindow:
		lateness.greatestBefore, lateness.greatest, lateness.windowStartedAt = 0, 0, now
	case elapsed >= latenessWindow:
		lateness.greatestBefore, lateness.greatest, lateness.windowStartedAt = lateness.greatest, 0, now
	}
}
