// How often a request may be sent to a second target. Load: a pool slows down as
// a whole, and every entry would hedge and retry, which slows it further.

package policy

import (
	"math"
	"sync"
	"time"
)

const (
	// budgetParts is the number of parts that a window is counted in. Extra
	// arrivals are counted over one part more than a window, and requests over one
	// less, so that the bound holds for windows that begin anywhere.
	budgetParts = 20
	// ratioShare is the share of the ratio that is spent. A window's bound counts
	// the requests in it, in the one before or in the one half a window before;
	// of those before a moment, such a window holds at least 7.25 of 9.5 parts.
	ratioShare = 0.75
	// slackShare is the share of the slack that is spent: processes that restart
	// have forgotten what they spent, and may spend it once more.
	slackShare = 0.5
	// hedgeShare is the share of a budget that hedges may use; the rest is left for
	// retries, without which a request fails. Load: some targets are slow for
	// seconds, and then others lose answers.
	hedgeShare = 0.7
)

type (
	// BudgetLimits bound the extra arrivals at a pool in any window.
	BudgetLimits struct {
		// Ratio is the share of the requests that may be extra, and Slack the
		// number beyond, for all entries together.
		Ratio  float64
		Slack  float64
		Window time.Duration
	}

	// Budgets counts requests and extra arrivals by pool. Construct it with
	// NewBudgets.
	Budgets struct {
		limits BudgetLimits

		lock  sync.Mutex
		pools map[string]*budget
	}

	// budget holds counts by part of the window, the newest at the index of the
	// part's number.
	budget struct {
		part     int64
		requests [budgetParts + 1]int
		extra    [budgetParts + 1]int
	}
)

// NewBudgets returns empty budgets.
func NewBudgets(limits BudgetLimits) *Budgets {
	return &Budgets{limits: limits, pools: map[string]*budget{}}
}

// Count counts a request for a pool. Elapsed is the time since the start of the
// process.
func (budgets *Budgets) Count(pool string, elapsed time.Duration) {
	budgets.lock.Lock()
	defer budgets.lock.Unlock()
	budget := budgets.present(pool, elapsed)
	budget.requests[budget.part%int64(len(budget.requests))]++
}

// Spend allows one extra arrival at a pool, or returns false. Entries is the
// number of entries among which the slack is shared. A hedge leaves a part of the
// budget for retries.
func (budgets *Budgets) Spend(pool string, hedge bool, entries int, elapsed time.Duration) bool {
	budgets.lock.Lock()
	defer budgets.lock.Unlock()
	budget := budgets.present(pool, elapsed)
	share := 1.0
	if hedge {
		share = hedgeShare
	}
	allowed, spent := budgets.sums(budget, entries)
	if float64(spent+1) > share*allowed {
		return false
	}
	budget.extra[budget.part%int64(len(budget.extra))]++
	return true
}

// Left returns by pool how many extra arrivals Spend would allow now.
func (budgets *Budgets) Left(entries int, elapsed time.Duration) map[string]float64 {
	budgets.lock.Lock()
	defer budgets.lock.Unlock()
	left := make(map[string]float64, len(budgets.pools))
	for pool := range budgets.pools {
		allowed, spent := budgets.sums(budgets.present(pool, elapsed), entries)
		left[pool] = max(0, math.Floor(allowed-float64(spent)))
	}
	return left
}

// sums returns how many extra arrivals a pool is allowed in the window, and how
// many there were. The lock is held.
func (budgets *Budgets) sums(budget *budget, entries int) (allowed float64, spent int) {
	oldest := (budget.part + 1) % int64(len(budget.requests))
	requests := -budget.requests[oldest]
	for index := range budget.requests {
		requests += budget.requests[index]
		spent += budget.extra[index]
	}
	slack := slackShare * budgets.limits.Slack / float64(max(1, entries))
	return ratioShare*budgets.limits.Ratio*float64(requests) + slack, spent
}

// present returns a pool's budget with the parts that have passed emptied. The
// lock is held.
func (budgets *Budgets) present(pool string, elapsed time.Duration) *budget {
	part := int64(elapsed / max(1, budgets.limits.Window/budgetParts))
	known := budgets.pools[pool]
	if known == nil {
		known = &budget{part: part}
		budgets.pools[pool] = known
	}
	if part-known.part >= int64(len(known.requests)) {
		*known = budget{part: part}
	}
	for known.part < part {
		known.part++
		index := known.part % int64(len(known.requests))
		known.requests[index], known.extra[index] = 0, 0
	}
	return known
}
