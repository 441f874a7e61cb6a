// Congestion windows for requests. Under overload a request is refused as a
// whole before any of its attempts takes a slot that another request needs
// for a complete answer.

package entry

import (
	"sync"
	"time"
)

const (
	// toleratedWaitDivisor determines the average wait for a slot above which the
	// pool counts as congested: the request's timeout divided by it. Homes refuse
	// attempts at about a quarter of the timeout.
	toleratedWaitDivisor = 8
	// waitSmoothing is the divisor of the moving average of the wait: each
	// request contributes an eighth.
	waitSmoothing = 8
	// windowGrowth is the number of requests by which a fully used window grows
	// each time as many requests as it holds have ended.
	windowGrowth = 3
	// minimumWindowShare is the smallest share of a window that remains after it
	// shrinks.
	minimumWindowShare = 0.25
	// congestionSpan is the time without congestion after which the limit of a
	// window is removed.
	congestionSpan = time.Second
)

type (
	// congestionWindows bounds the attempts in progress for this entry's
	// requests, by pool. The zero value has no bounds.
	congestionWindows struct {
		lock  sync.Mutex
		pools map[string]*congestionWindow
	}

	// congestionWindow has a limit from the first sign of congestion until some
	// time after the last one. It shrinks by the ratio of the tolerated wait to
	// the actual one, and grows by a few requests each time as many requests as it
	// holds have ended with short waits. However late the signs of congestion arrive,
	// requests are still admitted as others end.
	congestionWindow struct {
		// limit is zero while the window is unlimited.
		limit float64
		// previousLimit is the limit before the window last shrank.
		previousLimit float64
		// smoothedWait is the moving average of the wait for a slot.
		smoothedWait time.Duration
		// inFlight is the number of attempts of the admitted requests.
		inFlight int
		// congestedAt is when the last sign of congestion was seen, and reducedAt when
		// previousLimit was last set.
		congestedAt time.Time
		reducedAt   time.Time
	}

	// admission is the share of one admitted request in a window.
	admission struct {
		congestionWindows *congestionWindows
		pool              string
		shards            int
		admittedAt        time.Time
		// toleratedWait is the wait above which the pool counts as congested.
		toleratedWait time.Duration
		// totalWait is the sum of the waits for a slot, and reports their number.
		totalWait time.Duration
		reports   int
	}
)

// enter admits a request with one attempt per shard, or returns false. The last
// admitted request may exceed the limit, so that requests with few shards don't
// keep out one with many.
func (congestionWindows *congestionWindows) enter(pool string, shards int, timeout time.Duration) (*admission, bool) {
	congestionWindows.lock.Lock()
	defer congestionWindows.lock.Unlock()
	now := time.Now()
	window := findOrCreate(&congestionWindows.pools, pool)
	if window.limit > 0 && now.Sub(window.congestedAt) > congestionSpan {
		window.limit, window.smoothedWait = 0, 0
	}
	if window.limit > 0 && float64(window.inFlight) >= window.limit {
		return nil, false
	}
	window.inFlight += shards
	return &admission{congestionWindows: congestionWindows, pool: pool, shards: shards, admittedAt: now, toleratedWait: timeout / toleratedWaitDivisor}, true
}

// observe records the wait for a slot at the target of one attempt.
func (admission *admission) observe(wait time.Duration) {
	admission.totalWait += wait
	admission.reports++
}

// release ends the request's share and adapts the window.
func (admission *admission) release() {
	admission.congestionWindows.lock.Lock()
	defer admission.congestionWindows.lock.Unlock()
	window := admission.congestionWindows.pools[admission.pool]
	window.smoothedWait += (admission.totalWait/time.Duration(max(1, admission.reports)) - window.smoothedWait) / waitSmoothing
	if window.smoothedWait > admission.toleratedWait {
		window.shrink(admission, float64(admission.toleratedWait)/float64(window.smoothedWait))
	} else {
		window.grow(admission)
	}
	window.inFlight -= admission.shards
}

// shrink reduces the limit. All requests that were admitted before the last
// reduction reduce the same previous limit, so that together they shrink the
// window only as far as the longest wait among them demands. Ratio is that of the
// tolerated wait to the actual one.
func (congestionWindow *congestionWindow) shrink(admission *admission, ratio float64) {
	congestionWindow.congestedAt = time.Now()
	if congestionWindow.limit == 0 {
		congestionWindow.limit = float64(congestionWindow.inFlight)
	}
	if !admission.admittedAt.Before(congestionWindow.reducedAt) {
		congestionWindow.reducedAt, congestionWindow.previousLimit = congestionWindow.congestedAt, congestionWindow.limit
	}
	congestionWindow.limit = max(1, min(congestionWindow.limit, congestionWindow.previousLimit*max(minimumWindowShare, ratio)))
}

// grow raises the limit while the window is fully used.
func (congestionWindow *congestionWindow) grow(admission *admission) {
	if congestionWindow.limit > 0 && float64(congestionWindow.inFlight) >= congestionWindow.limit {
		congestionWindow.limit += windowGrowth * float64(admission.shards*admission.shards) / congestionWindow.limit
	}
}
