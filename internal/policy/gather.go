// Decides when to answer a query over shards. Targets pause at times and some are
// slow, so that in most queries over many shards a few parts are late.

package policy

import (
	"math"
	"time"
)

const (
	// ResponseMargin is the time reserved for the merge and the transfer of the
	// answer to the caller, and for the transfer of the request to this entry,
	// which the entry can't measure.
	ResponseMargin = 21 * time.Millisecond
	// finalMargin is the time before the limit at which the final answer is sent.
	finalMargin = 25 * time.Millisecond
	// stalledShare is the share of the target latency for which a query with enough parts waits for shards
	// that are stalled.
	stalledShare = 0.5
)

const (
	// Wait keeps waiting for parts.
	Wait QueryDecision = iota
	// Answer answers with the parts that have arrived.
	Answer
	// GiveUp refuses the query, because the minimum coverage can no longer be
	// reached in time.
	GiveUp
)

type (
	// QueryDecision is what to do next with a query.
	QueryDecision uint8

	// QueryProgress is how far a query has come, and the times and the coverage
	// that its answer must keep to.
	QueryProgress struct {
		// Elapsed is the time since the request arrived.
		Elapsed time.Duration
		// TargetLatency is the time within which an answer has its full value, and
		// Limit the time after which it has none.
		TargetLatency time.Duration
		Limit         time.Duration
		// Shards is the number of shards, PartsReceived the number of parts that have
		// arrived, and Failed the number of shards that will send none.
		Shards, PartsReceived, Failed int
		// Stalled is the number of shards that have no attempt in progress and wait for the next one.
		Stalled int
		// MinimumCoverage is the least share of the shards, 0 to 1, that an answer may
		// cover.
		MinimumCoverage float64
	}
)

// MinimumParts returns the number of parts that an answer needs for the minimum
// coverage.
func (queryProgress *QueryProgress) MinimumParts() int {
	// The tolerance allows for rounding errors in the product.
	return max(1, int(math.Ceil(queryProgress.MinimumCoverage*float64(queryProgress.Shards)-1e-9)))
}

// Decide returns what to do now and, for Wait, the elapsed time at which to decide
// again. The value of an answer grows with the square of its coverage and drops
// sharply at the target latency. The query therefore waits for all parts up to the
// target latency, and after that only until the minimum has arrived. It doesn't wait as
// long if the only shards left have no attempt in progress.
func (queryProgress *QueryProgress) Decide() (QueryDecision, time.Duration) {
	minimum := queryProgress.MinimumParts()
	enough := queryProgress.PartsReceived >= minimum
	allResolved := queryProgress.PartsReceived+queryProgress.Failed >= queryProgress.Shards
	switch {
	case queryProgress.Shards-queryProgress.Failed < minimum:
		return GiveUp, 0
	case allResolved, enough && queryProgress.Elapsed >= queryProgress.preferredDeadline():
		return Answer, 0
	case queryProgress.Elapsed >= queryProgress.finalDeadline() && !enough:
		return GiveUp, 0
	case enough && queryProgress.PartsReceived+queryProgress.Failed+queryProgress.Stalled >= queryProgress.Shards:
		if queryProgress.Elapsed >= queryProgress.stalledDeadline() {
			return Answer, 0
		}
		return Wait, queryProgress.stalledDeadline()
	case queryProgress.Elapsed < queryProgress.preferredDeadline():
		return Wait, queryProgress.preferredDeadline()
	}
	return Wait, queryProgress.finalDeadline()
}

// DecideNow returns what to do if there is no more time to wait.
func (queryProgress *QueryProgress) DecideNow() QueryDecision {
	if queryProgress.PartsReceived >= queryProgress.MinimumParts() {
		return Answer
	}
	return GiveUp
}

// preferredDeadline returns the elapsed time at which an answer must be sent to
// reach the caller within the target latency.
func (queryProgress *QueryProgress) preferredDeadline() time.Duration {
	if queryProgress.TargetLatency <= 0 {
		return queryProgress.finalDeadline()
	}
	return min(queryProgress.finalDeadline(), max(queryProgress.TargetLatency/2, queryProgress.TargetLatency-ResponseMargin))
}

// stalledDeadline returns the elapsed time up to which a query with enough parts waits for stalled shards.
func (queryProgress *QueryProgress) stalledDeadline() time.Duration {
	return time.Duration(stalledShare * float64(queryProgress.preferredDeadline()))
}

// finalDeadline returns the elapsed time at which the final answer must be sent to
// arrive within the limit.
func (queryProgress *QueryProgress) finalDeadline() time.Duration {
	return FinalDeadline(queryProgress.Limit)
}

// FinalDeadline returns the elapsed time at which the final answer must be sent to
// arrive within limit.
func FinalDeadline(limit time.Duration) time.Duration {
	return max(limit/2, limit-finalMargin)
}
