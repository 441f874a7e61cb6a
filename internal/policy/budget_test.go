package policy_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

// TestBudgetHoldsInEveryWindow replays a pool whose requests are all overdue, at
// several entries with varying load. It checks the bound over every window, because
// a fixed window could miss an excess that spans two windows.
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
			spent := countBetween(extra, start, start+limits.Window)
			requestCount := max(countBetween(requests, start, start+limits.Window), countBetween(requests, start-limits.Window, start), countBetween(requests, start-limits.Window/2, start+limits.Window/2))
			if allowed := limits.Ratio*float64(requestCount) + limits.Slack; float64(spent) > allowed {
				t.Fatalf("%d extra arrivals in the window from %v on, want at most %.1f", spent, start, allowed)
			}
		}
	})
}

func countBetween(times []time.Duration, from, to time.Duration) int {
	within := 0
	for _, at := range times {
		if at >= from && at < to {
			within++
		}
	}
	return within
}

// TestRetriesOutlastHedges guards against hedges that use up the whole budget: a
// target is slow for ten seconds, and then other targets lose answers and need a
// retry.
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
		t.Error("Spend allowed no hedge, want at least one")
	}
	if !budgets.Spend("pool", false, entries, elapsed) {
		t.Errorf("Spend refused a retry after %d hedges, want it allowed", hedges)
	}
	if left := budgets.Remaining(entries, elapsed)["pool"]; left < 0 || left > 3 {
		t.Errorf("%v retries left, want 0 to 3", left)
	}
}
