// Choice of the shards that a query leaves out from the start. A shard of which a single
// target is left gets more requests than that target can run. Its queue then delays
// nearly every query, although most routes accept an answer without one of the shards.

package policy

import (
	"slices"
	"time"
)

const (
	// maximumSpareShare bounds the probability that a query leaves out an overloaded
	// shard, so that some queries still show when its targets have recovered.
	maximumSpareShare = 0.9
	// spareFactor is the ratio of that probability to the share of recent attempts that
	// failed.
	spareFactor = 4
)

// SpareShards returns the indexes of the shards to leave out, at most allowance.
// The best target of each of them isn't expected to answer within remaining. The longer
// the expected latency, the more queries leave the shard out. Random holds a number in
// [0, 1) for each shard.
func SpareShards(best []*Candidate, remaining time.Duration, allowance int, random []float64) []int {
	var spared []int
	for len(spared) < allowance {
		chosen, margin := -1, 0.0
		for index, candidate := range best {
			share := spareShare(candidate, remaining)
			if share-random[index] > margin && !slices.Contains(spared, index) {
				chosen, margin = index, share-random[index]
			}
		}
		if chosen < 0 {
			break
		}
		spared = append(spared, chosen)
	}
	return spared
}

// spareShare returns the probability that a query leaves out a shard with the given best
// target. It grows with the target's recent failures and with the time by which its answer
// is expected to be late.
func spareShare(best *Candidate, remaining time.Duration) float64 {
	share := spareFactor * best.FailureShare
	if expected := best.ExpectedLatency(); expected > remaining {
		share = max(share, 1-float64(max(0, remaining))/float64(expected))
	}
	return min(maximumSpareShare, share)
}
