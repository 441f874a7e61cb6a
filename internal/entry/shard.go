// State of the shards of a request, and the choice of the replica for the
// next attempt. The number of attempts at a shard stays within the runs that
// its caller allows.

package entry

import (
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/target"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

const (
	// maximumBrokenConnections is the number of connections broken during attempts at
	// one shard of one request after which the shard isn't attempted any more.
	maximumBrokenConnections = 2
	// unreachablePenalty ranks candidates with unreachable homes last.
	unreachablePenalty = time.Hour
)

type (
	// shardProgress is the progress of one shard.
	shardProgress struct {
		plan shardPlan
		// triedTargets are the IDs of the targets attempted under the current snapshot.
		triedTargets  map[string]bool
		latestAttempt *attemptProgress
		// pending counts the attempts without a report.
		pending int
		// firstSentAt is when the shard's first attempt was sent.
		firstSentAt time.Time
		// runs counts the attempts that ran or may have run, in all snapshots of
		// the request.
		runs int
		// brokenConnections counts the connections that broke during attempts
		// at the shard.
		brokenConnections int
		// moveRetries counts the retries at targets that were moving between homes.
		moveRetries int
		part        *caller.Part
		// missingReason is why the shard is missing from the answer, unless part is
		// received, and retryDelay the delay that the last attempt that didn't run
		// asked for.
		missingReason caller.MissingReason
		// lost is true if an attempt was lost, so that it may have run.
		lost       bool
		retryDelay time.Duration
		// suspended is true if the shard is in suspendedShards.
		suspended bool
		// waiting is true if a retry at a target, or at another version, is
		// scheduled.
		waiting bool
		// versionGone is true if a replica no longer serves the shard's snapshot,
		// or that the shard was moved to a snapshot that some of its replicas may
		// not have yet.
		versionGone bool
		// versionRetries counts the waits for another version.
		versionRetries int
		// done is true if the shard is answered or given up.
		done bool
		// generation counts the changes of the snapshot.
		generation int
	}

	// candidate is a replica that can be attempted next.
	candidate struct {
		target      string
		incarnation uint64
		home        membership.Member
		// repeated is true if an attempt at the same target is already in
		// progress.
		repeated bool
	}

	// scheduledEvent is an event with the time at which it is handled.
	scheduledEvent struct {
		at         time.Time
		timerEvent timerEvent
	}

	// timerEvent is one of hedgeDue, targetRetry and versionRetry.
	timerEvent interface {
		isTimerEvent()
	}

	// hedgeDue hedges an attempt if it is still in progress.
	hedgeDue struct {
		attempt *attemptProgress
	}

	// targetRetry repeats an attempt at a target that was moving between homes.
	targetRetry struct {
		attempt *attemptProgress
	}

	// versionRetry looks for another index version for a shard, unless the
	// generation of the shard has changed.
	versionRetry struct {
		shard      *shardProgress
		generation int
	}

	// timerQueue implements heap.Interface, ordered by time.
	timerQueue []scheduledEvent
)

func (hedgeDue) isTimerEvent()     {}
func (targetRetry) isTimerEvent()  {}
func (versionRetry) isTimerEvent() {}

// mayRun reports whether the allowed runs and maximumBrokenConnections permit one more
// attempt at a shard.
func (fanOut *fanOut) mayRun(shard *shardProgress) bool {
	allowed := fanOut.request.AllowedRuns()
	if fanOut.runOnce {
		allowed = 1
	}
	return shard.brokenConnections < maximumBrokenConnections && shard.runs+shard.pending < allowed
}

// chooseReplica returns the untried replica with the lowest expected latency. If
// none is left, a hedge goes to the same target on another connection, because
// the first connection may have gone silent. It returns false if no replica can be
// attempted.
func (fanOut *fanOut) chooseReplica(shard *shardProgress, reason target.AttemptReason) (candidate, bool) {
	if !fanOut.mayRun(shard) {
		return candidate{}, false
	}
	if shard.triedTargets == nil {
		shard.triedTargets = map[string]bool{}
	}
	coordinator := fanOut.coordinator
	var best candidate
	var bestLatency time.Duration
	for index := range shard.plan.candidates {
		announcement := &shard.plan.candidates[index]
		if shard.triedTargets[announcement.ID] || fanOut.unserved[targetSnapshot{announcement.ID, fanOut.plan.snapshot}] {
			continue
		}
		home, found := coordinator.board.HomeOf(announcement)
		if !found {
			continue
		}
		next := candidate{target: announcement.ID, incarnation: announcement.Incarnation, home: home}
		latency := coordinator.estimates.expectedLatency(&next, home.ID == coordinator.self || home.FailureDomain == fanOut.plan.failureDomain)
		if !coordinator.homes.Reachable(&home) {
			latency += unreachablePenalty
		}
		if best.target == "" || latency < bestLatency {
			best, bestLatency = next, latency
		}
	}
	if best.target == "" && reason == target.Hedge && shard.latestAttempt != nil && !shard.latestAttempt.reported {
		best = shard.latestAttempt.candidate
		best.repeated = true
	}
	return best, best.target != ""
}

// giveUpIfIdle gives a shard up unless one of its attempts is in progress.
func (fanOut *fanOut) giveUpIfIdle(shard *shardProgress) {
	if shard.pending > 0 || shard.done {
		return
	}
	shard.done = true
	fanOut.unfinished--
	fanOut.givenUp++
}

// idle reports whether the shard is unfinished although nothing is in progress or
// scheduled for it.
func (shardProgress *shardProgress) idle() bool {
	return !shardProgress.done && shardProgress.pending == 0 && !shardProgress.suspended && !shardProgress.waiting
}

// coverageUnreachable reports whether so many shards were given up that the
// minimum coverage can't be reached any more.
func (fanOut *fanOut) coverageUnreachable() bool {
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
	added, _ := pushed.(scheduledEvent)
	*queue = append(*queue, added)
}

// Pop implements heap.Interface.
func (queue *timerQueue) Pop() any {
	last := len(*queue) - 1
	popped := (*queue)[last]
	(*queue)[last] = scheduledEvent{}
	*queue = (*queue)[:last]
	return popped
}
