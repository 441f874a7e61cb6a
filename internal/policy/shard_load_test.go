package policy_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

const (
	// weakShards is the number of shards, of all, that have one target left.
	weakShards, allShards = 5, 36
	// queriesPerSecond is the rate of queries, and weakPerSecond that of the parts that a weak shard sends in time.
	queriesPerSecond, weakPerSecond = 200.0, 130.0
	// weakQueue is the number of requests that a weak shard keeps waiting.
	weakQueue = 24
)

// replayWeakShards sends queries for a span to shards, some of which serve fewer parts in time than there are queries, and
// returns the share of the queries with enough parts in the second half, and the share of those that were refused.
func replayWeakShards(span time.Duration, allowedMissing int, omit bool) (served, refused float64) {
	random, start := rand.New(rand.NewPCG(1, 2)), time.Unix(1e9, 0)
	var loads policy.ShardLoads
	shards, room := make([]string, allShards), make([]float64, weakShards)
	for index := range shards {
		shards[index] = string(rune('a' + index))
	}
	interval := time.Duration(float64(time.Second) / queriesPerSecond)
	queries := 0.0
	for elapsed := time.Duration(0); elapsed < span; elapsed += interval {
		now := start.Add(elapsed)
		for shard := range room {
			room[shard] = min(weakQueue, room[shard]+random.ExpFloat64()*weakPerSecond/queriesPerSecond)
		}
		counted := 0.0
		if elapsed >= span/2 {
			counted = 1
		}
		queries += counted
		omitted, admitted := policy.OmitShards(loads.Shares(shards, now), allowedMissing, random.Float64())
		if !omit {
			omitted, admitted = nil, true
		}
		if !admitted {
			refused += counted
			continue
		}
		left := map[int]bool{}
		for _, shard := range omitted {
			left[shard] = true
		}
		missing := len(omitted)
		for shard := range shards {
			switch {
			case left[shard]:
			case shard >= weakShards || room[shard] >= 1:
				if shard < weakShards {
					room[shard]--
				}
				loads.Observe(shards[shard], false, now)
			default:
				missing++
				loads.Observe(shards[shard], true, now)
			}
		}
		if missing <= allowedMissing {
			served += counted
		}
	}
	return served / queries, refused / queries
}

// Replays shards that can serve 65 in 100 queries while a query may miss one part. Guards against each of them leaving out
// other queries, so that few are complete.
func TestTheSameQueriesAreLeftOut(t *testing.T) {
	without, _ := replayWeakShards(20*time.Second, 1, false)
	with, refused := replayWeakShards(20*time.Second, 1, true)
	if possible := weakPerSecond / queriesPerSecond; with < 0.85*possible || with < without {
		t.Errorf("%.2f of the queries have enough parts, %.2f without shares", with, without)
	}
	if refused > 1-0.5*weakPerSecond/queriesPerSecond {
		t.Errorf("%.2f of the queries are refused", refused)
	}
}

// Guards against refusals of queries that may do without all shards in trouble.
func TestQueriesThatSpareTheWeakShardsAreServed(t *testing.T) {
	if served, refused := replayWeakShards(20*time.Second, weakShards, true); served < 0.99 || refused > 0 {
		t.Errorf("served %.2f, refused %.2f", served, refused)
	}
}

// Guards against queries that give way to a queue that is full for a moment, to refusals without end, or after the trouble.
func TestShardSharesFollowTheTrouble(t *testing.T) {
	var loads policy.ShardLoads
	now := time.Unix(1e9, 0)
	share := func() float64 { return loads.Shares([]string{"a"}, now)[0] }
	for part := range 40 {
		now = now.Add(30 * time.Millisecond)
		if loads.Observe("a", part >= 10 && part < 20, now); share() != 1 {
			t.Fatalf("share %.2f after refusals for 300 ms", share())
		}
	}
	for range 100 {
		now = now.Add(300 * time.Millisecond)
		loads.Observe("a", true, now)
	}
	if share() > 0.3 || share() <= 0 {
		t.Errorf("share %.2f while the targets are full", share())
	}
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		loads.Observe("a", false, now)
	}
	if share() < 0.9 {
		t.Errorf("share %.2f after 5 s without refusals", share())
	}
	now = now.Add(30 * time.Second)
	if share() != 1 {
		t.Errorf("share %.2f half a minute later", share())
	}
}
