// Evidence on a new release during a rollout, and how many requests it may get before the verdict.

package policy

import (
	"math"
	"math/bits"
	"time"
)

const (
	// RolloutLatencyBuckets is the number of buckets of a latency histogram. Bucket 0 ends at
	// rolloutFirstBucket, and each further one at the square root of two times the end of the previous one.
	RolloutLatencyBuckets = 32
	// rolloutFirstBucket is the upper bound of the first bucket.
	rolloutFirstBucket = time.Millisecond

	// rolloutShareUsed and rolloutSlackUsed are the parts of the share and of the slack that grants
	// use. The rest is reserved for what is in flight when the verdict is reached.
	rolloutShareUsed = 0.8
	rolloutSlackUsed = 0.4
	// In a trial the new release gets at most a part of the requests, and a few more, so that there
	// are answers of the other releases to compare with in a pool with little traffic.
	rolloutTrialShare = 0.25
	rolloutTrialSlack = 4
)

type (
	// RolloutEvidence is what entries have seen of the two sides of a rollout. It can be merged. The
	// zero value holds none.
	RolloutEvidence struct {
		Cells []RolloutCell `msgpack:"c"`
	}

	// RolloutCell counts the answers of one target to the requests of one route from entries of one
	// locality.
	RolloutCell struct {
		Route    string `msgpack:"r"`
		Locality string `msgpack:"l"`
		Target   string `msgpack:"t"`
		// New is true if the target has the new release.
		New bool `msgpack:"n,omitempty"`
		// Answers counts the attempts with an outcome, and Failures those among them without a usable
		// answer by the target's fault.
		Answers  uint64 `msgpack:"a"`
		Failures uint64 `msgpack:"f,omitempty"`
		// Latencies counts the usable answers of a target that is not in cold start, by bucket.
		Latencies [RolloutLatencyBuckets]uint32 `msgpack:"h"`
	}

	// RolloutSummary counts the evidence on the two sides of a rollout.
	RolloutSummary struct {
		NewTargets, NewAnswers, NewFailures uint64
		OldTargets, OldAnswers, OldFailures uint64
	}

	// RolloutLimits limits what a release may get before it has proved to be good: Share of the requests
	// of the pool, and Slack requests on top.
	RolloutLimits struct {
		Share, Slack float64
	}

	// rolloutCellKey identifies a cell.
	rolloutCellKey struct {
		route, locality, target string
		isNew                   bool
	}
)

// RolloutLatencyBucket returns the bucket of a latency.
func RolloutLatencyBucket(latency time.Duration) int {
	if latency <= rolloutFirstBucket {
		return 0
	}
	// The bucket is the logarithm to the base of the square root of two.
	bucket := math.Ceil(2 * math.Log2(float64(latency)/float64(rolloutFirstBucket)))
	return min(int(bucket), RolloutLatencyBuckets-1)
}

// rolloutBucketEnd returns the upper bound of a bucket.
func rolloutBucketEnd(bucket int) time.Duration {
	return time.Duration(float64(rolloutFirstBucket) * math.Pow(2, float64(bucket)/2))
}

// MergeRolloutEvidence returns the sum of the parts.
func MergeRolloutEvidence(parts ...*RolloutEvidence) RolloutEvidence {
	var merged RolloutEvidence
	indexes := map[rolloutCellKey]int{}
	for _, part := range parts {
		for index := range part.Cells {
			cell := &part.Cells[index]
			key := cell.key()
			mergedIndex, known := indexes[key]
			if !known {
				indexes[key] = len(merged.Cells)
				merged.Cells = append(merged.Cells, *cell)
				continue
			}
			merged.Cells[mergedIndex].add(cell)
		}
	}
	return merged
}

// Summary returns the totals of the evidence.
func (evidence *RolloutEvidence) Summary() RolloutSummary {
	var summary RolloutSummary
	targets := map[rolloutCellKey]bool{}
	for index := range evidence.Cells {
		cell := &evidence.Cells[index]
		target := rolloutCellKey{target: cell.Target, isNew: cell.New}
		first := !targets[target]
		targets[target] = true
		side := [3]*uint64{&summary.OldTargets, &summary.OldAnswers, &summary.OldFailures}
		if cell.New {
			side = [3]*uint64{&summary.NewTargets, &summary.NewAnswers, &summary.NewFailures}
		}
		if first {
			*side[0]++
		}
		*side[1] += cell.Answers
		*side[2] += cell.Failures
	}
	return summary
}

func (rolloutCell *RolloutCell) key() rolloutCellKey {
	return rolloutCellKey{route: rolloutCell.Route, locality: rolloutCell.Locality, target: rolloutCell.Target, isNew: rolloutCell.New}
}

// add adds the counts of another cell of the same key.
func (rolloutCell *RolloutCell) add(other *RolloutCell) {
	rolloutCell.Answers += other.Answers
	rolloutCell.Failures += other.Failures
	for bucket, count := range other.Latencies {
		sum, carry := bits.Add32(rolloutCell.Latencies[bucket], count, 0)
		if carry != 0 {
			sum = math.MaxUint32
		}
		rolloutCell.Latencies[bucket] = sum
	}
}

// since returns the counts that a cell got since an earlier state of the same cell.
func (rolloutCell *RolloutCell) since(earlier *RolloutCell) RolloutCell {
	difference := *rolloutCell
	difference.Answers -= min(earlier.Answers, difference.Answers)
	difference.Failures -= min(earlier.Failures, difference.Failures)
	for bucket := range difference.Latencies {
		difference.Latencies[bucket] -= min(earlier.Latencies[bucket], difference.Latencies[bucket])
	}
	return difference
}

// RolloutAllowance returns how many more requests may be granted to the new release of a trial. The
// pool has had that many requests so far, of which the new release got those in sent; outstanding
// counts the grants that may be spent. Only requests that the pool has had count, never expected ones.
func RolloutAllowance(requests, sent, outstanding uint64, limits RolloutLimits) int {
	total := float64(requests)
	limit := min(rolloutShareUsed*limits.Share*total+rolloutSlackUsed*limits.Slack, rolloutTrialShare*total+rolloutTrialSlack)
	return int(min(max(0, math.Floor(limit)-float64(sent)-float64(outstanding)), math.MaxInt32))
}
