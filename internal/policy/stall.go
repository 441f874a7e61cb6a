// Waiting for another attempt. The load that it answers: part of the targets of every shard lose answers or
// are full for seconds, an entry has used up its budget for retries, and a query over dozens of shards fails
// within milliseconds for two of them, although most of its deadline is left and budget, connections and
// targets become free again meanwhile.

package policy

import (
	"time"
)

const (
	// firstStallDelay is the delay before a stalled dispatch looks for a target again. It doubles up to
	// maximumStallDelay, so that the attempts of many stalled dispatches at a full target stay few.
	firstStallDelay   = 40 * time.Millisecond
	maximumStallDelay = 320 * time.Millisecond
	// minimumAttemptSpan is the time that an attempt needs at least. An attempt that begins later than that
	// before the deadline only adds load.
	minimumAttemptSpan = 60 * time.Millisecond
)

type (
	// Stall is the state of a dispatch that has no attempt in progress, because the targets that it may use
	// have no room or the budget allows no further attempt.
	Stall struct {
		// PossibleRuns is the number of attempts whose request may have run, and AllowedRuns their limit.
		PossibleRuns, AllowedRuns int
		// Gathered is true if the request is a part of a query over several shards.
		Gathered bool
		// Waits is the number of times that the dispatch has waited so far.
		Waits int
		// Remaining is the time left to the deadline.
		Remaining time.Duration
	}
)

// Delay returns how long to wait before the next attempt, or false if the dispatch has failed for good. A
// single request that has certainly not run is refused at once instead, because its caller can send it to
// another entry. Random, a number in [0, 1), adds jitter.
func (stall *Stall) Delay(random float64) (time.Duration, bool) {
	if stall.PossibleRuns >= stall.AllowedRuns || !stall.Gathered && stall.PossibleRuns == 0 {
		return 0, false
	}
	delay := Jitter(min(maximumStallDelay, firstStallDelay<<min(stall.Waits, 8)), random)
	return delay, stall.Remaining >= delay+minimumAttemptSpan
}
