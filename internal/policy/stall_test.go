package policy_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

// Guards against a query that fails within milliseconds because the budget or the targets of a shard allow no
// attempt at that moment: two of 36 shards lost an answer after 60 ms, and 3.9 s are left.
func TestStalledShardIsTriedAgainUntilItsDeadline(t *testing.T) {
	elapsed, waits := 60*time.Millisecond, 0
	for {
		stall := policy.Stall{PossibleRuns: 1, AllowedRuns: 2, Gathered: true, Waits: waits, Remaining: 4*time.Second - elapsed}
		delay, again := stall.Delay(0.5)
		if !again {
			break
		}
		elapsed, waits = elapsed+delay, waits+1
	}
	if elapsed < 3500*time.Millisecond || elapsed > 4*time.Second || waits > 24 {
		t.Errorf("gave up after %v and %d waits", elapsed, waits)
	}
}

// Guards against waiting where it can't help: the request has run as often as it may, it is a single request that
// its caller can send elsewhere, or no time is left.
func TestStallEndsWhereNoAttemptMayFollow(t *testing.T) {
	for name, stall := range map[string]policy.Stall{
		"all runs used":  {PossibleRuns: 2, AllowedRuns: 2, Gathered: true, Remaining: time.Second},
		"single, unsent": {AllowedRuns: 2, Remaining: time.Second},
		"no time left":   {AllowedRuns: 2, Gathered: true, Remaining: 70 * time.Millisecond},
	} {
		if delay, again := stall.Delay(0); again {
			t.Errorf("%s: waits for %v", name, delay)
		}
	}
	lost := policy.Stall{PossibleRuns: 1, AllowedRuns: 2, Remaining: time.Second}
	if _, again := lost.Delay(0); !again {
		t.Error("a single request that may have run isn't tried again")
	}
}

// Guards against an answer that is held up for shards without an attempt in progress, such as those whose targets
// are all down: all other parts are in after 60 ms, with an objective of 400 ms.
func TestQueryWaitsBrieflyForStalledShards(t *testing.T) {
	progress := policy.QueryProgress{TargetLatency: 400 * time.Millisecond, Limit: 4 * time.Second, Shards: 36, PartsReceived: 35, Stalled: 1, MinimumCoverage: 0.95}
	progress.Elapsed = 60 * time.Millisecond
	decision, until := progress.Decide()
	if decision != policy.Wait || until > 200*time.Millisecond {
		t.Errorf("decision %v until %v with enough parts", decision, until)
	}
	progress.Elapsed = until
	if decision, _ = progress.Decide(); decision != policy.Answer {
		t.Errorf("decision %v after the wait", decision)
	}
	progress.PartsReceived, progress.Stalled = 33, 3
	if decision, _ = progress.Decide(); decision != policy.Wait {
		t.Errorf("decision %v without enough parts", decision)
	}
}

// Guards against resets by a target that accepts fewer connections than all entries open: a shard loses two of its
// three targets, and 80 entries turn to the one that is left, which accepts 72.
func TestConnectionLimitsOfAllEntriesFitTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := policy.EntryCounts{
			Domain: rapid.IntRange(1, 60).Draw(t, "domain"), Region: rapid.IntRange(0, 60).Draw(t, "region"), Other: rapid.IntRange(0, 220).Draw(t, "other"),
		}
		connections := rapid.IntRange(entries.Domain+entries.Region, 2000).Draw(t, "connections")
		total := entries.Domain*policy.ConnectionLimit(connections, policy.SameDomain, entries) +
			entries.Region*policy.ConnectionLimit(connections, policy.SameRegion, entries) +
			entries.Other*policy.ConnectionLimit(connections, policy.OtherRegion, entries)
		if total > connections {
			t.Fatalf("%d connections of all entries, the target accepts %d", total, connections)
		}
	})
	for _, expected := range []struct {
		connections        int
		entries            policy.EntryCounts
		domain, other, far int
	}{
		{25, policy.EntryCounts{Domain: 2, Other: 4}, 3, 3, 3},
		{46, policy.EntryCounts{Domain: 3, Other: 4}, 5, 5, 5},
		{72, policy.EntryCounts{Domain: 13, Region: 14, Other: 53}, 2, 2, 0},
		{0, policy.EntryCounts{}, 2, 2, 2},
	} {
		limits := [3]int{}
		for index, locality := range []policy.Locality{policy.SameDomain, policy.SameRegion, policy.OtherRegion} {
			limits[index] = policy.ConnectionLimit(expected.connections, locality, expected.entries)
		}
		if limits != [3]int{expected.domain, expected.other, expected.far} {
			t.Errorf("limits %v for %+v", limits, expected)
		}
	}
}

// Guards against a slack of the retry budget that is exceeded because 80 entries share it: in every window the shared
// part stays below the whole slack, also when the entry that counts is replaced in the middle of a flood.
func TestSharedSlackHoldsInEveryWindow(t *testing.T) {
	limits := policy.BudgetLimits{Ratio: 0.2, Slack: 200, Window: 10 * time.Second}
	if _, _, shared := limits.SharedSlack(8); shared {
		t.Error("few entries share the slack")
	}
	perSecond, burst, shared := limits.SharedSlack(80)
	if !shared {
		t.Fatal("80 entries don't share the slack")
	}
	for _, restartAt := range []time.Duration{time.Hour, 12 * time.Second} {
		t.Run(fmt.Sprint(restartAt), func(t *testing.T) {
			start := time.Unix(0, 0)
			counted := newSharedSlack(perSecond, burst, start, time.Minute)
			var granted []time.Duration
			for elapsed := time.Duration(0); elapsed < 30*time.Second; elapsed += 10 * time.Millisecond {
				if elapsed == restartAt {
					counted = newSharedSlack(perSecond, burst, start.Add(elapsed), 0)
				}
				if taken, _ := counted.Take(false, start.Add(elapsed)); taken {
					granted = append(granted, elapsed)
				}
			}
			for from := time.Duration(0); from < 20*time.Second; from += 100 * time.Millisecond {
				if within := countBetween(granted, from, from+limits.Window); float64(within) > limits.Slack {
					t.Fatalf("%d extra arrivals from %v on, want at most %v", within, from, limits.Slack)
				}
			}
		})
	}
}

func newSharedSlack(perSecond, burst float64, now time.Time, uptime time.Duration) *policy.RateLimit {
	counted := new(policy.RateLimit)
	counted.SetRate(perSecond, now)
	counted.SetBurst(burst)
	counted.Credit(uptime)
	return counted
}
