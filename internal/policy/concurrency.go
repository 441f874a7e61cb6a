// How many requests of a pool, or of the whole entry, may be in progress. Once targets or the entry's
// processor are saturated, each further request only makes all of them later.

package policy

import (
	"slices"
	"time"
)

const (
	// MinimumConcurrency is the least limit of a pool. An entry among 80 sees at most a few requests a second
	// of each route, of which even pauses of 300 ms leave fewer than this in progress.
	MinimumConcurrency = 8
	// AmpleConcurrency is the limit of a pool without overload. A larger one would admit, before the first slow answers
	// show an overload, more requests than targets can run in the time that callers have.
	AmpleConcurrency = 128
	// concurrencyWindow is the least time over which latencies are judged. The median over a second isn't
	// moved by a target that pauses for 200 or 300 ms.
	concurrencyWindow = time.Second
	// windowSamples is the least number of latencies of a route that are judged.
	windowSamples = 10
	// keptSamples limits the latencies that are kept of each route in a window; newer ones replace older ones.
	keptSamples = 64
	// bestSpan is the span of each of the two periods over which the best median is kept. An overload that
	// lasts longer than both becomes the usual condition of the route.
	bestSpan = 150 * time.Second
	// risenFactor and risenMargin define when a median has risen: above the best one times the factor, plus
	// the margin. The margin covers the way to another region and an entry that is briefly without processor.
	risenFactor = 2
	risenMargin = 30 * time.Millisecond
	// leastShrinkFactor is the strongest reduction of a limit in one window.
	leastShrinkFactor = 0.2
	// growthFactor and growthStep define the growth of a limit in a window in which it was reached,
	// unreachedGrowthFactor and unreachedGrowthStep that in other windows.
	growthFactor          = 1.15
	growthStep            = 1
	unreachedGrowthFactor = 1.5
	unreachedGrowthStep   = 4
	// expectedLatencyFactor is the margin of expected latencies, because many requests take longer than the mean.
	expectedLatencyFactor = 1.25
	// latencyWeight is the weight of a new latency in the recent latency of a route.
	latencyWeight = 0.1
)

type (
	// ConcurrencyBounds bounds a limit.
	ConcurrencyBounds struct {
		// Floor is the least limit. Ample is the limit at first and after an overload; beyond it the limit grows, up to
		// MaximumInFlight, only while it is reached.
		Floor, Ample int
		// Routes is the number of routes whose latencies must have risen together for the limit to shrink.
		Routes int
	}

	// Concurrency derives a limit from the latencies of the requests that it admits. Create it with NewConcurrency.
	Concurrency struct {
		bounds ConcurrencyBounds
		limit  float64
		routes map[string]*routeLatency
		// windowStart is when the current window began, and peak the highest number of requests in progress in it.
		windowStart time.Time
		peak        int
		// recent is the recent latency over all routes.
		recent time.Duration
	}

	// routeLatency holds the latencies of a route.
	routeLatency struct {
		// samples are those of the current window, and count is their number including replaced ones.
		samples []time.Duration
		count   int
		// best and previousBest are the lowest medians of the current and the previous period; zero if
		// there is none.
		best, previousBest time.Duration
		periodStart        time.Time
		recent             time.Duration
	}
)

// NewConcurrency returns the limit of a pool or an entry.
func NewConcurrency(bounds ConcurrencyBounds) *Concurrency {
	return &Concurrency{bounds: bounds, limit: float64(bounds.Ample), routes: map[string]*routeLatency{}}
}

// Limit returns how many requests may be in progress.
func (concurrency *Concurrency) Limit() int {
	return int(concurrency.limit)
}

// SetFloor sets the least limit.
func (concurrency *Concurrency) SetFloor(floor int) {
	concurrency.bounds.Floor = min(floor, MaximumInFlight)
	concurrency.limit = max(concurrency.limit, float64(concurrency.bounds.Floor))
}

// Begin records that a request was admitted, with which inProgress are in progress.
func (concurrency *Concurrency) Begin(inProgress int) {
	concurrency.peak = max(concurrency.peak, inProgress)
}

// ExpectedLatency returns the recent latency of a route with a margin, or zero if none was measured.
func (concurrency *Concurrency) ExpectedLatency(route string) time.Duration {
	if measured := concurrency.routes[route]; measured != nil {
		return time.Duration(expectedLatencyFactor * float64(measured.recent))
	}
	return 0
}

// Interval returns the expected time between two places that become free while the limit is reached.
func (concurrency *Concurrency) Interval() time.Duration {
	return time.Duration(float64(concurrency.recent) / concurrency.limit)
}

// Observe records how long a request of a route was in progress, and reports whether it ended a window. A request
// without an answer counts only if it took longer than usual, because it may have failed at once.
func (concurrency *Concurrency) Observe(route string, latency time.Duration, answered bool, now time.Time) (ended bool) {
	measured := concurrency.routes[route]
	if measured == nil {
		measured = &routeLatency{periodStart: now}
		concurrency.routes[route] = measured
	}
	if !answered && !measured.hasRisen(latency) {
		return false
	}
	measured.add(latency)
	concurrency.recent = smooth(concurrency.recent, latency)
	if concurrency.windowStart.IsZero() {
		concurrency.windowStart = now
	}
	if measured.count < windowSamples || now.Sub(concurrency.windowStart) < concurrencyWindow {
		return false
	}
	concurrency.endWindow(now)
	return true
}

// endWindow changes the limit by the latencies of the window that ends. It shrinks only if the medians of all
// routes have risen, by that which has risen least: a single slow route isn't overload.
func (concurrency *Concurrency) endWindow(now time.Time) {
	excess, judged := 0.0, 0
	for route, measured := range concurrency.routes {
		if measured.count >= windowSamples {
			if own := measured.excess(now); judged == 0 || own < excess {
				excess = own
			}
			judged++
			measured.samples, measured.count = measured.samples[:0], 0
		} else if now.Sub(measured.periodStart) > 2*bestSpan && measured.count == 0 {
			delete(concurrency.routes, route)
		}
	}
	reached := float64(concurrency.peak) >= concurrency.limit-1
	switch {
	case excess > 1 && judged >= concurrency.bounds.Routes && concurrency.peak > concurrency.bounds.Floor:
		concurrency.limit = min(concurrency.limit, float64(concurrency.peak)) * max(leastShrinkFactor, 1/excess)
	case excess > 1:
		// With so few requests in progress this entry isn't what saturates the targets, and too few routes don't
		// show that the entry is saturated.
	case reached:
		concurrency.limit = concurrency.limit*growthFactor + growthStep
	default:
		concurrency.limit = max(concurrency.limit, min(float64(concurrency.bounds.Ample), concurrency.limit*unreachedGrowthFactor+unreachedGrowthStep))
	}
	concurrency.limit = min(MaximumInFlight, max(float64(concurrency.bounds.Floor), concurrency.limit))
	concurrency.windowStart, concurrency.peak = now, 0
}

func (routeLatency *routeLatency) add(latency time.Duration) {
	if len(routeLatency.samples) < keptSamples {
		routeLatency.samples = append(routeLatency.samples, latency)
	} else {
		routeLatency.samples[routeLatency.count%keptSamples] = latency
	}
	routeLatency.count++
	routeLatency.recent = smooth(routeLatency.recent, latency)
}

// excess returns the median of the window relative to that from which on it counts as risen.
func (routeLatency *routeLatency) excess(now time.Time) float64 {
	slices.Sort(routeLatency.samples)
	median := routeLatency.samples[len(routeLatency.samples)/2]
	if passed := now.Sub(routeLatency.periodStart); passed > bestSpan {
		routeLatency.previousBest, routeLatency.best = routeLatency.best, 0
		if passed > 2*bestSpan {
			routeLatency.previousBest = 0
		}
		routeLatency.periodStart = now
	}
	if routeLatency.best == 0 || median < routeLatency.best {
		routeLatency.best = median
	}
	return float64(median) / float64(routeLatency.risen())
}

// risen returns the latency above which one counts as risen, or zero if none was judged yet.
func (routeLatency *routeLatency) risen() time.Duration {
	best := routeLatency.best
	if best == 0 || routeLatency.previousBest > 0 && routeLatency.previousBest < best {
		best = routeLatency.previousBest
	}
	if best == 0 {
		return 0
	}
	return risenFactor*best + risenMargin
}

func (routeLatency *routeLatency) hasRisen(latency time.Duration) bool {
	return latency > max(risenMargin, routeLatency.risen())
}

func smooth(recent, latency time.Duration) time.Duration {
	if recent == 0 {
		return latency
	}
	return recent + time.Duration(latencyWeight*float64(latency-recent))
}
