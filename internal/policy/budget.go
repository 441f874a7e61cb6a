// Budgets for hedges and retries, which are the extra arrivals at a pool. When a
// whole pool slows down, every entry would hedge and retry, and the extra load would
// slow the pool further.

package policy

import (
	"math"
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets into which a window is divided. Extra
	// arrivals are summed over windowBuckets+1 buckets and requests over windowBuckets,
	// so that the bound holds for windows that begin anywhere.
	windowBuckets = 20
	// ratioShare is the share of BudgetLimits.Ratio that may be used. The bound for a
	// window counts the requests in that window, in the previous one, or in the one
	// that begins half a window earlier, whichever holds the most. One of these three
	// always covers at least three quarters of the time over which requests are
	// summed: 7.25 of 9.5 buckets if a window has ten.
	ratioShare = 0.75
	// slackShare is the share of BudgetLimits.Slack that may be used. A restarted process
	// has lost its counts and may use the slack once more.
	slackShare = 0.5
	// hedgeShare is the share of a budget that hedges may use. The rest is reserved
	// for retries, without which a request fails: if some targets are slow for
	// seconds and others then lose answers, hedges alone would use the budget up.
	hedgeShare = 0.7
	// sharedBudgetEntries is the number of entries from which on the slack is counted at one place for all
	// of them. The part of each would be about one arrival in a window, which is idle at most entries while
	// others need several.
	sharedBudgetEntries = 30
	// sharedSlackShare is the share of BudgetLimits.Slack that may then be used. The place that counts
	// starts without any, so that a restart can't use the slack once more.
	sharedSlackShare = 0.75

	// HedgeRetryDelay is the delay before a hedge that the budget didn't allow is considered again.
	HedgeRetryDelay = 150 * time.Millisecond
)

type (
	// BudgetLimits bounds the extra arrivals, hedges and retries, at a pool in any
	// window.
	BudgetLimits struct {
		// Ratio is the number of extra arrivals allowed per request, and Slack the
		// number allowed on top of that for all entries together. Window is the
		// period over which both are counted. See SharedSlack for many entries.
		Ratio  float64
		Slack  float64
		Window time.Duration
		// Unshared gives each entry its own part of the slack, however many there are.
		Unshared bool
	}

	// Budgets counts requests and extra arrivals by pool. Use NewBudgets to
	// construct it.
	Budgets struct {
		limits BudgetLimits

		lock  sync.Mutex
		pools map[string]*budget
	}

	// budget holds the counts of one pool by bucket, in rings. The index of a
	// bucket is its number modulo the length of the ring.
	budget struct {
		// newest is the number of the newest bucket.
		newest   int64
		requests [windowBuckets + 1]int
		extra    [windowBuckets + 1]int
	}
)

// NewBudgets returns empty budgets.
func NewBudgets(limits BudgetLimits) *Budgets {
	return &Budgets{limits: limits, pools: map[string]*budget{}}
}

// Count counts a request to a pool. Elapsed is the time since the process started.
func (budgets *Budgets) Count(pool string, elapsed time.Duration) {
	budgets.lock.Lock()
	defer budgets.lock.Unlock()
	budget := budgets.current(pool, elapsed)
	budget.requests[budget.newest%int64(len(budget.requests))]++
}

// Spend takes one extra arrival from the budget of a pool. It returns false if the
// budget is exhausted. Entries is the number of entries that share the slack. A
// hedge can't use the part of the budget that is reserved for retries.
func (budgets *Budgets) Spend(pool string, hedge bool, entries int, elapsed time.Duration) bool {
	budgets.lock.Lock()
	defer budgets.lock.Unlock()
	budget := budgets.current(pool, elapsed)
	share := 1.0
	if hedge {
		share = hedgeShare
	}
	allowed, spent := budgets.windowTotals(budget, entries)
	if float64(spent+1) > share*allowed {
		return false
	}
	budget.extra[budget.newest%int64(len(budget.extra))]++
	return true
}

// Refund gives back an extra arrival that Spend allowed and that didn't arrive.
func (budgets *Budgets) Refund(pool string, elapsed time.Duration) {
	budgets.lock.Lock()
	defer budgets.lock.Unlock()
	budget := budgets.current(pool, elapsed)
	for age := range int64(len(budget.extra)) {
		index := (budget.newest - age + int64(len(budget.extra))) % int64(len(budget.extra))
		if budget.extra[index] > 0 {
			budget.extra[index]--
			return
		}
	}
}

// SharedSlack returns the rate and the burst of the extra arrivals that all entries together may send to a
// pool beyond what Spend allows, or false if each entry has its own part of the slack instead.
func (limits BudgetLimits) SharedSlack(entries int) (perSecond, burst float64, shared bool) {
	if entries < sharedBudgetEntries || limits.Window <= 0 || limits.Unshared {
		return 0, 0, false
	}
	// In any window a token bucket grants its burst and what the rate adds in the window.
	burst = sharedSlackShare * limits.Slack / 2
	return burst / limits.Window.Seconds(), burst, true
}

// Remaining returns the number of retries that Spend would allow now, by pool.
func (budgets *Budgets) Remaining(entries int, elapsed time.Duration) map[string]float64 {
	budgets.lock.Lock()
	defer budgets.lock.Unlock()
	remaining := make(map[string]float64, len(budgets.pools))
	for pool := range budgets.pools {
		allowed, spent := budgets.windowTotals(budgets.current(pool, elapsed), entries)
		remaining[pool] = max(0, math.Floor(allowed-float64(spent)))
	}
	return remaining
}

// windowTotals returns the number of extra arrivals that a pool is allowed in the
// current window, and the number that was used. The lock must be held.
func (budgets *Budgets) windowTotals(budget *budget, entries int) (allowed float64, spent int) {
	oldest := (budget.newest + 1) % int64(len(budget.requests))
	requests := -budget.requests[oldest]
	for index := range budget.requests {
		requests += budget.requests[index]
		spent += budget.extra[index]
	}
	slack := 0.0
	if _, _, shared := budgets.limits.SharedSlack(entries); !shared {
		slack = slackShare * budgets.limits.Slack / float64(max(1, entries))
	}
	return ratioShare*budgets.limits.Ratio*float64(requests) + slack, spent
}

// current returns the budget of a pool, with expired buckets reset. The lock must
// be held.
func (budgets *Budgets) current(pool string, elapsed time.Duration) *budget {
	newest := int64(elapsed / max(1, budgets.limits.Window/windowBuckets))
	found := budgets.pools[pool]
	if found == nil {
		found = &budget{newest: newest}
		budgets.pools[pool] = found
	}
	if newest-found.newest >= int64(len(found.requests)) {
		*found = budget{newest: newest}
	}
	for found.newest < newest {
		found.newest++
		index := found.newest % int64(len(found.requests))
		found.requests[index], found.extra[index] = 0, 0
	}
	return found
}
