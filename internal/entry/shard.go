// This file exists so that each shard gets its attempts at the replicas that
// answer soonest, and never more than its caller allows.

package entry

import (
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/target"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

const (
	// maximumLosses is the number of targets that one shard of one request
	// may lose.
	maximumLosses = 2
	// unreachablePenalty puts homes that can't be reached last.
	unreachablePenalty = time.Hour
)

type (
	// shardProgress is the progress of one shard.
	shardProgress struct {
		plan    shardPlan
		tried   map[string]bool
		latest  *attemptProgress
		pending int
		begunAt time.Time
		// runs counts the attempts that ran or may have run, in all
		// snapshots of the request.
		runs int
		// losses counts the connections that broke under its attempts.
		losses int
		parked int
		part   *caller.Part
		reason caller.MissingReason
		lost   bool
		retry  time.Duration
		held   bool
		// waits states that a target, or another version, is tried again soon.
		waits bool
		// versionGone states that a replica shed the shard's snapshot, or that
		// the shard was moved to one that not all of its replicas may have yet.
		versionGone bool
		// versionPauses counts the waits for another version.
		versionPauses int
		// done states that the shard is answered or given up.
		done bool
		// generation counts the snapshots that were tried.
		generation int
	}

	// candidate is a replica that can be attempted next.
	candidate struct {
		target      string
		incarnation uint64
		home        membership.Member
		// again states that an attempt at the target is in progress.
		again bool
	}

	// dueTimer says when something is due.
	dueTimer struct {
		at  time.Time
		due due
	}

	// due is lateAttempt, anotherTry or anotherVersion.
	due interface {
		isDue()
	}

	// lateAttempt is an attempt that is to be hedged.
	lateAttempt struct {
		attempt *attemptProgress
	}

	// anotherTry is an attempt that may be made again.
	anotherTry struct {
		attempt *attemptProgress
	}

	// anotherVersion is a shard that has waited for another version since a
	// generation.
	anotherVersion struct {
		shard      *shardProgress
		generation int
	}

	// timerQueue implements heap.Interface.
	timerQueue []dueTimer
)

func (lateAttempt) isDue()    {}
func (anotherTry) isDue()     {}
func (anotherVersion) isDue() {}

// mayRun reports whether the allowed runs permit one more attempt.
func (fanOut *fanOut) mayRun(shard *shardProgress) bool {
	allowed := fanOut.request.AllowedRuns()
	if fanOut.once {
		allowed = 1
	}
	return shard.losses < maximumLosses && shard.runs+shard.pending < allowed
}

// choose returns the replica that would answer soonest among those that were
// not tried. Where none is left, a hedge goes to the same target on a new
// connection, because the old one may have gone silent.
func (fanOut *fanOut) choose(shard *shardProgress, why target.Why) (candidate, bool) {
	if !fanOut.mayRun(shard) {
		return candidate{}, false
	}
	if shard.tried == nil {
		shard.tried = map[string]bool{}
	}
	coordinator := fanOut.coordinator
	var best candidate
	var bestSpan time.Duration
	for index := range shard.plan.candidates {
		announcement := &shard.plan.candidates[index]
		if shard.tried[announcement.ID] || fanOut.unserved[snapshotOf{announcement.ID, fanOut.plan.snapshot}] {
			continue
		}
		home, found := coordinator.board.HomeOf(announcement)
		if !found {
			continue
		}
		next := candidate{target: announcement.ID, incarnation: announcement.Incarnation, home: home}
		span := coordinator.estimates.expected(&next, home.ID == coordinator.self || home.FailureDomain == fanOut.plan.failureDomain)
		if !coordinator.homes.Reachable(&home) {
			span += unreachablePenalty
		}
		if best.target == "" || span < bestSpan {
			best, bestSpan = next, span
		}
	}
	if best.target == "" && why == target.Hedge && shard.latest != nil && !shard.latest.resolved {
		best = shard.latest.candidate
		best.again = true
	}
	return best, best.target != ""
}

// giveUpIdle gives a shard up that waits for no attempt.
func (fanOut *fanOut) giveUpIdle(shard *shardProgress) {
	if shard.pending > 0 || shard.done {
		return
	}
	shard.done = true
	fanOut.unfinished--
	fanOut.givenUp++
}

// idle reports whether the shard waits for nothing, though it is neither
// answered nor given up.
func (shardProgress *shardProgress) idle() bool {
	return !shardProgress.done && shardProgress.pending == 0 && !shardProgress.held && !shardProgress.waits
}

// hopeless reports whether the coverage that the caller wants can no longer
// be reached, so that the refusal is final.
func (fanOut *fanOut) hopeless() bool {
	if fanOut.request.MinimumCoverage <= 0 {
		return false
	}
	reachable := len(fanOut.shards) - fanOut.givenUp
	return float64(reachable) < fanOut.request.MinimumCoverage*float64(len(fanOut.shards))
}

// Len implements heap.Interface.
func (queue timerQueue) Len() int { return len(queue) }

// Less implements heap.Interface.
func (queue timerQueue) Less(left, right int) bool { return queue[left].at.Before(queue[right].at) }

// Swap implements heap.Interface.
func (queue timerQueue) Swap(left, right int) { queue[left], queue[right] = queue[right], queue[left] }

// Push implements heap.Interface.
func (queue *timerQueue) Push(pushed any) {
	added, _ := pushed.(dueTimer)
	*queue = append(*queue, added)
}

// Pop implements heap.Interface.
func (queue *timerQueue) Pop() any {
	last := len(*queue) - 1
	popped := (*queue)[last]
	(*queue)[last] = dueTimer{}
	*queue = (*queue)[:last]
	return popped
}
