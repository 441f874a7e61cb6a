package policy_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

// TestBudgetHoldsInEveryWindow replays a pool whose every request is overdue, at
// several entries whose load rises and falls, and looks at every window.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 8).Draw(t, "entries")
		limits := policy.BudgetLimits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var requests, extra []time.Duration
		for range entries {
			budgets := policy.NewBudgets(limits)
			elapsed := time.Duration(0)
			rate := 1 + random.Float64()*80
			for elapsed < 40*time.Second {
				if random.IntN(200) == 0 {
					rate = random.Float64() * 80
					elapsed += time.Duration(random.Float64() * float64(3*time.Second))
				}
				elapsed += time.Duration(float64(time.Second) / (rate + 0.1))
				budgets.Count("pool", elapsed)
				requests = append(requests, elapsed)
				for range 3 {
					if budgets.Spend("pool", false, entries, elapsed) {
						extra = append(extra, elapsed)
					}
				}
			}
		}
		for start := time.Duration(0); start < 40*time.Second; start += 100 * time.Millisecond {
			spent := count(extra, start, start+limits.Window)
			served := max(count(requests, start, start+limits.Window), count(requests, start-limits.Window, start), count(requests, start-limits.Window/2, start+limits.Window/2))
			if allowed := limits.Ratio*float64(served) + limits.Slack; float64(spent) > allowed {
				t.Fatalf("%d extra arrivals from %v on, allowed %.1f", spent, start, allowed)
			}
		}
	})
}

func count(times []time.Duration, from, to time.Duration) int {
	within := 0
	for _, at := range times {
		if at >= from && at < to {
			within++
		}
	}
	return within
}

// TestRetriesOutlastHedges replays ten seconds of a target that is slow, after
// which others lose answers: hedges alone would have used the budget up.
func TestRetriesOutlastHedges(t *testing.T) {
	budgets := policy.NewBudgets(policy.BudgetLimits{Ratio: 0.2, Slack: 192, Window: 10 * time.Second})
	const entries = 76
	hedges, elapsed := 0, time.Duration(0)
	for ; elapsed < 10*time.Second; elapsed += 660 * time.Millisecond {
		budgets.Count("pool", elapsed)
		if budgets.Spend("pool", true, entries, elapsed) {
			hedges++
		}
	}
	if hedges == 0 {
		t.Error("no hedge was allowed")
	}
	if !budgets.Spend("pool", false, entries, elapsed) {
		t.Errorf("%d hedges left nothing for a retry", hedges)
	}
	if left := budgets.Left(entries, elapsed)["pool"]; left < 0 || left > 3 {
		t.Errorf("%v left", left)
	}
}
