// Verdict on a new release during a rollout, and how many requests it may get before the verdict.

package policy

import (
	"time"
)

const (
	// RolloutLatencyBuckets is the number of buckets of a latency histogram. Bucket 0 ends at
	// rolloutFirstBucket, and each further one at the square root of two times the end of the previous one.
	RolloutLatencyBuckets = 32
	// rolloutFirstBucket is the upper bound of the first bucket.
	rolloutFirstBucket = time.Millisecond
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
)
