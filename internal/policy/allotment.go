// Allotments of tenants. One count holds for all entries together; the load that it answers is a tenant
// whose requests come evenly to all entries, so that none of them sees more than a few.

package policy

import (
	"math"
	"time"
)

const (
	// allotmentReserve is the share of the tolerance that a bucket holds on top of the burst, and at
	// which a home begins to count. A window with one change of home uses it twice.
	allotmentReserve = 0.3
	// allotmentSeparateShare is the share of the tolerance that entries which can't reach the home may
	// use in a window, all of them together. It has to fit beside the requests that the home grants,
	// because such an entry can't know whether others still reach it.
	allotmentSeparateShare = 0.2
	// allotmentLowShare and allotmentHighShare are the levels, as shares of the capacity, below which
	// entries ask before each request, and from which they needn't any more. The gap bounds how often
	// entries have to be told. Half of the capacity covers a flood of four times the rate, with a burst
	// of a second's requests, for more than 150 ms, which is longer than it takes to tell all entries.
	allotmentLowShare  = 0.5
	allotmentHighShare = 0.8
	// allotmentUnsettledShare is the share of the rate at which a bucket fills while another entry may still
	// count for those that don't know the newest view. That lasts for up to a lease after a loss of the home,
	// or of all entries, and without it tenants within their rates would be refused meanwhile.
	allotmentUnsettledShare = 0.5
	// allotmentCreditSpan is the time for which one entry may send at the tenant's rate before its
	// report has been answered: a batch of reports and a round trip between regions.
	allotmentCreditSpan = 100 * time.Millisecond
	// allotmentFirstMultiple is the multiple of the tolerance up to which entries have a first credit. Most of
	// them are told to ask before they use it. allotmentStartShare is the share for entries that have just
	// started, which may all use it before they hear of a home.
	allotmentFirstMultiple = 2
	allotmentStartShare    = 0.5
	// minimumTolerance is the tolerance below which entries always ask, because one request that
	// isn't counted yet at each of a few entries would exceed it.
	minimumTolerance = 5
)

type (
	// AllotmentLimits defines how exactly allotments are kept. In any window, the requests of a tenant are
	// at most (rate x Window + burst) x (1 + Overage) + Slack.
	AllotmentLimits struct {
		Window  time.Duration
		Overage float64
		Slack   float64
	}

	// Allotment is the token bucket of one tenant at its home. The zero value is empty; set its limit with
	// SetLimit, and start it with Start once no other entry counts the tenant's requests.
	Allotment struct {
		perSecond, burst, tolerance float64
		// level may be negative, by requests that were admitted before they were counted. Its least value is
		// floor, at which nothing is granted for a window; what is older has no effect on the bound.
		level, floor float64
		updatedAt    time.Time
		set          bool
		started      bool
		low          bool
	}
)

// Tolerance returns the number of requests by which a tenant may exceed rate x window + burst.
func (limits *AllotmentLimits) Tolerance(perSecond, burst float64) float64 {
	return limits.Overage*(perSecond*limits.Window.Seconds()+burst) + limits.Slack
}

// AllotmentFirstCredits returns how many entries may admit one request before the home has counted anything.
func AllotmentFirstCredits(tolerance float64, justStarted bool) float64 {
	if justStarted {
		return allotmentStartShare * tolerance
	}
	return allotmentFirstMultiple * tolerance
}

// SeparateRate returns the rate to pass to SeparateLimit.Take for an allotment. The limit draws separateShare
// of it for all entries together, which stays below allotmentSeparateShare of the tolerance in a window.
func (limits *AllotmentLimits) SeparateRate(perSecond, burst float64) float64 {
	return min(perSecond, allotmentSeparateShare*limits.Tolerance(perSecond, burst)/limits.Window.Seconds()/separateShare)
}

// SetLimit sets the rate and burst from now on. A new bucket holds the reserve alone, because its home
// doesn't know what the home before it has granted.
func (allotment *Allotment) SetLimit(perSecond, burst float64, limits *AllotmentLimits, now time.Time) {
	allotment.refill(now)
	allotment.perSecond, allotment.burst, allotment.tolerance = perSecond, burst, limits.Tolerance(perSecond, burst)
	allotment.floor = -perSecond * limits.Window.Seconds()
	if !allotment.set {
		allotment.set = true
		allotment.level = allotment.reserve()
	}
	allotment.level = min(allotment.level, allotment.capacity())
}

// Start lets the bucket fill at the whole rate, and up to its capacity.
func (allotment *Allotment) Start(now time.Time) {
	allotment.refill(now)
	allotment.started = true
}

// Restart takes the bucket back to what a new home has, because another home may have granted requests
// in between.
func (allotment *Allotment) Restart(now time.Time) {
	allotment.refill(now)
	allotment.level = min(allotment.level, allotment.reserve())
}

// Take takes a token, or returns how long it takes until one is there.
func (allotment *Allotment) Take(now time.Time) (granted bool, wait time.Duration) {
	allotment.refill(now)
	if allotment.level >= 1 {
		allotment.level--
		return true, 0
	}
	return false, time.Duration((1 - allotment.level) / allotment.perSecond * float64(time.Second))
}

// Count takes the tokens of requests that were admitted without asking. A negative count returns those
// of requests that haven't run.
func (allotment *Allotment) Count(requests float64, now time.Time) {
	allotment.refill(now)
	allotment.level = max(allotment.floor, min(allotment.capacity(), allotment.level-requests))
}

// Low reports whether entries have to ask before each request.
func (allotment *Allotment) Low(now time.Time) bool {
	allotment.refill(now)
	switch level := allotment.level / allotment.capacity(); {
	case level < allotmentLowShare || allotment.tolerance < minimumTolerance:
		allotment.low = true
	case level >= allotmentHighShare:
		allotment.low = false
	}
	return allotment.low
}

// Credit returns the number of requests that one of several entries may admit before its report on them
// has been answered. It is zero if the entry has to ask before each request.
func (allotment *Allotment) Credit(entries int, now time.Time) int {
	if allotment.Low(now) {
		return 0
	}
	spare := (allotment.level - allotmentLowShare*allotment.capacity()) / float64(max(1, entries))
	return int(max(1, min(spare, 1+allotment.perSecond*allotmentCreditSpan.Seconds())))
}

// reserve is what a bucket holds on top of the burst.
func (allotment *Allotment) reserve() float64 {
	return allotmentReserve * allotment.tolerance
}

func (allotment *Allotment) capacity() float64 {
	return max(1, allotment.burst+allotment.reserve())
}

func (allotment *Allotment) refill(now time.Time) {
	if !allotment.updatedAt.IsZero() {
		added, capacity := allotment.perSecond*math.Max(0, now.Sub(allotment.updatedAt).Seconds()), allotment.capacity()
		if !allotment.started {
			added, capacity = allotmentUnsettledShare*added, max(allotment.level, min(capacity, allotment.reserve()))
		}
		allotment.level = min(capacity, allotment.level+added)
	}
	if now.After(allotment.updatedAt) {
		allotment.updatedAt = now
	}
}
