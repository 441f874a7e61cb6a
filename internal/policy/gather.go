// Decision when to answer a query over shards. Targets pause at times and some are
// slow, so that in most queries over many shards a few parts are late.

package policy

import (
	"math"
	"time"
)

const (
	// ReturnMargin is the time reserved for the merge and the transfer of the
	// answer to the caller, and for the transfer of the request to this entry,
	// which the entry can't measure.
	ReturnMargin = 21 * time.Millisecond
	// finalMargin is the time before the limit at which the final answer is sent.
	finalMargin = 25 * time.Millisecond
)

const (
	// Wait keeps waiting for parts.
	Wait GatherVerdict = iota
	// Answer answers with the parts that have arrived.
	Answer
	// GiveUp refuses the query, because the minimum coverage can no longer be
	// reached in time.
	GiveUp
)

type (
	// GatherVerdict is what to do next with a query.
	GatherVerdict uint8

	// Gathering is the progress of a query.
	Gathering struct {
		// Elapsed is the time since the request arrived.
		Elapsed time.Duration
		// TargetLatency is the time within which an answer has its full value, and
		// Limit the time after which it has none.
		TargetLatency time.Duration
		Limit         time.Duration
		// Shards is the number of shards, In the number of parts that have
		// arrived, and Failed the number of shards that will send none.
		Shards, In, Failed int
		MinimumCoverage    float64
	}
)

// MinimumParts returns the number of parts that an answer needs for the minimum
// coverage.
func (gathering *Gathering) MinimumParts() int {
	// The tolerance allows for rounding errors in the product.
	return max(1, int(math.Ceil(gathering.MinimumCoverage*float64(gathering.Shards)-1e-9)))
}

// Decide returns what to do now and, for Wait, the elapsed time at which to decide
// again. The value of an answer grows with the square of its coverage and drops
// sharply at the target latency. The query therefore waits for all parts up to the
// target latency, and after that only until the minimum has arrived.
func (gathering *Gathering) Decide() (GatherVerdict, time.Duration) {
	minimum := gathering.MinimumParts()
	enough := gathering.In >= minimum
	allResolved := gathering.In+gathering.Failed >= gathering.Shards
	switch {
	case gathering.Shards-gathering.Failed < minimum:
		return GiveUp, 0
	case allResolved, enough && gathering.Elapsed >= gathering.preferredDeadline():
		return Answer, 0
	case gathering.Elapsed >= gathering.finalDeadline() && !enough:
		return GiveUp, 0
	case gathering.Elapsed < gathering.preferredDeadline():
		return Wait, gathering.preferredDeadline()
	}
	return Wait, gathering.finalDeadline()
}

// preferredDeadline returns the elapsed time at which an answer must be sent to
// reach the caller within the target latency.
func (gathering *Gathering) preferredDeadline() time.Duration {
	if gathering.TargetLatency <= 0 {
		return gathering.finalDeadline()
	}
	return min(gathering.finalDeadline(), max(gathering.TargetLatency/2, gathering.TargetLatency-ReturnMargin))
}

func (gathering *Gathering) finalDeadline() time.Duration {
	return FinalMoment(gathering.Limit)
}

// FinalMoment returns the elapsed time at which the final answer must be sent to
// arrive within limit.
func FinalMoment(limit time.Duration) time.Duration {
	return max(limit/2, limit-finalMargin)
}
