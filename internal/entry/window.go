// This file exists so that under overload a request is refused as a whole,
// before any of its attempts takes a slot that a whole answer needs.

package entry

import (
	"sync"
	"time"
)

const (
	// waitShare is the part of a request's timeout that its attempts may wait
	// for slots, on average, before their pool counts as congested. Homes
	// refuse attempts at about a quarter.
	waitShare = 8
	// waitWeight is the part of the smoothed wait that one request makes up.
	waitWeight = 8
	// growth is the number of requests by which a window in use grows while
	// it is passed once.
	growth = 3
	// leastReduction is the least share of a window that a reduction leaves.
	leastReduction = 0.25
	// congestionSpan is how long a window lasts without congestion.
	congestionSpan = time.Second
)

type (
	// windows bounds the attempts in progress of this entry's requests, by
	// pool. The zero value bounds nothing.
	windows struct {
		lock  sync.Mutex
		pools map[string]*window
	}

	// window is bounded from the first sign of congestion to the last: it
	// shrinks by the share of the wait that is too long, and grows by a few
	// requests for each window of requests that waited little. A request is
	// admitted as others end, whatever the delay of the signs.
	window struct {
		// limit is zero while there is no bound.
		limit float64
		// before is the limit before it last shrank.
		before float64
		// wait is the smoothed average wait for a slot.
		wait        time.Duration
		inFlight    int
		congestedAt time.Time
		reducedAt   time.Time
	}

	// passage is one request's part of a window.
	passage struct {
		windows *windows
		pool    string
		shards  int
		beganAt time.Time
		// tolerable is the wait above which the pool counts as congested.
		tolerable time.Duration
		// waits and reports give the average wait for a slot.
		waits   time.Duration
		reports int
	}
)

// enter admits a request that needs so many attempts, or returns false. The
// last one admitted may exceed the window, so that a request with many shards
// isn't kept out by those with few.
func (windows *windows) enter(pool string, shards int, timeout time.Duration) (*passage, bool) {
	windows.lock.Lock()
	defer windows.lock.Unlock()
	now := time.Now()
	window := find(&windows.pools, pool)
	if window.limit > 0 && now.Sub(window.congestedAt) > congestionSpan {
		window.limit, window.wait = 0, 0
	}
	if window.limit > 0 && float64(window.inFlight) >= window.limit {
		return nil, false
	}
	window.inFlight += shards
	return &passage{windows: windows, pool: pool, shards: shards, beganAt: now, tolerable: timeout / waitShare}, true
}

// observe takes the wait for a slot at the target of one of the request's
// attempts.
func (passage *passage) observe(wait time.Duration) {
	passage.waits += wait
	passage.reports++
}

// leave ends the request's part and adapts the window.
func (passage *passage) leave() {
	passage.windows.lock.Lock()
	defer passage.windows.lock.Unlock()
	window := passage.windows.pools[passage.pool]
	window.wait += (passage.waits/time.Duration(max(1, passage.reports)) - window.wait) / waitWeight
	if window.wait > passage.tolerable {
		window.reduce(passage, float64(passage.tolerable)/float64(window.wait))
	} else {
		window.extend(passage)
	}
	window.inFlight -= passage.shards
}

// reduce shrinks the window. The requests that were admitted before it shrank
// can only shrink it as far as the longest wait that they tell of.
func (window *window) reduce(passage *passage, share float64) {
	window.congestedAt = time.Now()
	if window.limit == 0 {
		window.limit = float64(window.inFlight)
	}
	if !passage.beganAt.Before(window.reducedAt) {
		window.reducedAt, window.before = window.congestedAt, window.limit
	}
	window.limit = max(1, min(window.limit, window.before*max(leastReduction, share)))
}

// extend lets the window grow where it is in use.
func (window *window) extend(passage *passage) {
	if window.limit > 0 && float64(window.inFlight) >= window.limit {
		window.limit += growth * float64(passage.shards*passage.shards) / window.limit
	}
}
