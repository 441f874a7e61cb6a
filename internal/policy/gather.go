// When a query over shards is answered. Load: each target pauses now and then and
// some are slow, so that of many shards a few are late in most queries.

package policy

import (
	"math"
	"time"
)

const (
	// ReturnMargin is the time that an answer takes from the decision to the
	// caller: the merge, the way to the caller, and the caller's own way here,
	// which this side doesn't see.
	ReturnMargin = 21 * time.Millisecond
	// finalMargin is how long before the last moment a final answer is sent.
	finalMargin = 25 * time.Millisecond
)

const (
	// Wait goes on waiting for parts.
	Wait GatherVerdict = iota
	// Answer answers with the parts that are in.
	Answer
	// GiveUp refuses, because the minimum coverage can't be reached any more.
	GiveUp
)

type (
	// GatherVerdict says what becomes of a query.
	GatherVerdict uint8

	// Gathering is how far a query has come.
	Gathering struct {
		// Elapsed is the time since the request arrived.
		Elapsed time.Duration
		// TargetLatency is the time within which an answer is of full use, and
		// Limit the time after which it is of none.
		TargetLatency time.Duration
		Limit         time.Duration
		// Shards is their number, In that of the parts that are in, and Failed
		// that of the shards from which none will come.
		Shards, In, Failed int
		MinimumCoverage    float64
	}
)

// Least returns the number of parts that an answer needs.
func (gathering *Gathering) Least() int {
	// The share of a whole number of shards may be a little off in binary.
	return max(1, int(math.Ceil(gathering.MinimumCoverage*float64(gathering.Shards)-1e-9)))
}

// Decide returns what to do now and, for Wait, the elapsed time at which to
// decide again. The worth of an answer grows with the square of its coverage and
// drops sharply at the target latency: up to there every part is waited for, and
// then no part is worth the wait once the minimum is in.
func (gathering *Gathering) Decide() (GatherVerdict, time.Duration) {
	least := gathering.Least()
	enough := gathering.In >= least
	settled := gathering.In+gathering.Failed >= gathering.Shards
	switch {
	case gathering.Shards-gathering.Failed < least:
		return GiveUp, 0
	case settled, enough && gathering.Elapsed >= gathering.useful():
		return Answer, 0
	case gathering.Elapsed >= gathering.final() && !enough:
		return GiveUp, 0
	case gathering.Elapsed < gathering.useful():
		return Wait, gathering.useful()
	}
	return Wait, gathering.final()
}

// useful is the elapsed time until which an answer reaches the caller within the
// target latency.
func (gathering *Gathering) useful() time.Duration {
	if gathering.TargetLatency <= 0 {
		return gathering.final()
	}
	return min(gathering.final(), max(gathering.TargetLatency/2, gathering.TargetLatency-ReturnMargin))
}

func (gathering *Gathering) final() time.Duration {
	return FinalMoment(gathering.Limit)
}

// FinalMoment returns the elapsed time at which the final answer is sent, where
// after limit it is of no use.
func FinalMoment(limit time.Duration) time.Duration {
	return max(limit/2, limit-finalMargin)
}
