// Change of the snapshot during a request. When an index version is no longer
// served, the whole answer moves to another version, because an answer must
// never mix two versions.

package entry

import (
	"container/heap"
	"context"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/target"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	targetapi "gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// maximumReplans bounds how often one answer changes its snapshot.
	maximumReplans = 4
	// versionRetryDelay is the delay before a shard whose index version is gone
	// looks for another version that covers it. It doubles with each retry.
	// Directory changes reach the other entries in batches of 20 ms.
	versionRetryDelay = 10 * time.Millisecond
	// maximumVersionRetries bounds the total wait to 310 ms, in case replicas
	// keep announcing a version that they don't serve.
	maximumVersionRetries = 5
)

type (
	// targetSnapshot identifies a snapshot as one target serves it.
	targetSnapshot struct {
		target   string
		snapshot caller.Snapshot
	}
)

// replan plans the request again without the index versions that targets no longer
// serve. If the new plan has the same snapshot, its candidates are adopted. If it has
// another one that covers more shards within the allowed runs, the whole answer moves
// to that snapshot, at most maximumReplans times, and parts of the previous snapshot
// are dropped. A request that may run only once keeps its plan.
func (fanOut *fanOut) replan(ctx context.Context) {
	if fanOut.runOnce {
		return
	}
	usableTargets := fanOut.coordinator.usableTargets(fanOut.pool.Name)
	remaining := usableTargets[:0:0]
	for _, announcement := range usableTargets {
		remaining = append(remaining, fanOut.withoutUnserved(announcement))
	}
	next, planned := fanOut.coordinator.buildPlan(remaining, fanOut.request.ShardKey)
	if planned && next.snapshot == fanOut.plan.snapshot {
		fanOut.refresh(next)
		return
	}
	if !planned || fanOut.replans >= maximumReplans || fanOut.potentialCoverage(next) <= fanOut.currentCoverage() {
		return
	}
	fanOut.replans++
	fanOut.switchPlan(ctx, next)
}

// refresh adopts the candidates of a newer plan for the same snapshot.
func (fanOut *fanOut) refresh(next *plan) {
	for index := range min(len(fanOut.shards), len(next.shards)) {
		if shard := fanOut.shards[index]; shard.plan.number == next.shards[index].number {
			shard.plan = next.shards[index]
		}
	}
}

// awaitVersion makes a shard whose index version is gone wait for a change of the
// directory, which learns of the next version later than the replicas. It returns
// false if the shard can't wait.
func (fanOut *fanOut) awaitVersion(shard *shardProgress) bool {
	if shard.waiting {
		return true
	}
	retryAt := time.Now().Add(versionRetryDelay << shard.versionRetries)
	cannotWait := fanOut.runOnce || !shard.versionGone || shard.pending > 0 || !fanOut.mayRun(shard)
	if cannotWait || shard.versionRetries >= maximumVersionRetries || !retryAt.Before(fanOut.deadline) {
		return false
	}
	shard.versionRetries++
	shard.waiting = true
	heap.Push(&fanOut.timers, scheduledEvent{at: retryAt, timerEvent: versionRetry{shard: shard, generation: shard.generation}})
	return true
}

// withoutUnserved removes the index versions that the target no longer serves from
// its announcement.
func (fanOut *fanOut) withoutUnserved(announcement targetapi.Announcement) targetapi.Announcement {
	var offered []uint64
	for _, version := range announcement.IndexVersions {
		snapshot := caller.Snapshot{IndexVersion: version, Layout: announcement.Layout}
		if !fanOut.unserved[targetSnapshot{announcement.ID, snapshot}] {
			offered = append(offered, version)
		}
	}
	announcement.IndexVersions = offered
	return announcement
}

// currentCoverage returns the share of shards that the current snapshot can
// cover.
func (fanOut *fanOut) currentCoverage() float64 {
	covered := 0
	for _, shard := range fanOut.shards {
		if shard.part != nil || shard.pending > 0 {
			covered++
			continue
		}
		if _, found := fanOut.chooseReplica(shard, target.First); found && !shard.done {
			covered++
		}
	}
	return float64(covered) / float64(len(fanOut.shards))
}

// potentialCoverage returns the share of shards that another plan could cover.
func (fanOut *fanOut) potentialCoverage(next *plan) float64 {
	covered := 0
	for _, shardPlan := range next.shards {
		if len(shardPlan.candidates) > 0 && fanOut.runsUsed(next, shardPlan.number) < fanOut.request.AllowedRuns() {
			covered++
		}
	}
	return float64(covered) / float64(len(next.shards))
}

// runsUsed returns the number of runs that a shard of a plan has used. Shards of
// another layout hold different records, so that the highest number of any shard
// counts for each of them.
func (fanOut *fanOut) runsUsed(next *plan, shardNumber int) int {
	used := 0
	for _, progress := range fanOut.shards {
		if next.snapshot.Layout != fanOut.plan.snapshot.Layout || progress.plan.number == shardNumber {
			used = max(used, progress.runs+progress.pending)
		}
	}
	return used
}

// switchPlan restarts all shards under a new plan. Attempts in progress count as
// runs until they are reported not to have run.
func (fanOut *fanOut) switchPlan(ctx context.Context, next *plan) {
	for id, attempt := range fanOut.attempts {
		fanOut.coordinator.homes.Cancel(attempt.home, &Cancellation{AttemptIDs: []string{id}})
	}
	for _, shard := range fanOut.shards {
		shard.generation++
		shard.done = true
	}
	var shards []*shardProgress
	for _, shardPlan := range next.shards {
		restarted := &shardProgress{plan: shardPlan, missingReason: caller.MissingVersion}
		if next.snapshot.Layout == fanOut.plan.snapshot.Layout {
			restarted = fanOut.progress(shardPlan.number, restarted)
		} else {
			restarted.runs = fanOut.runsUsed(next, shardPlan.number)
		}
		restarted.plan, restarted.part, restarted.done, restarted.suspended, restarted.waiting = shardPlan, nil, false, false, false
		restarted.triedTargets, restarted.latestAttempt, restarted.missingReason, restarted.versionGone = nil, nil, caller.MissingVersion, true
		shards = append(shards, restarted)
	}
	fanOut.plan, fanOut.shards, fanOut.suspendedShards = next, shards, nil
	fanOut.unfinished, fanOut.givenUp = len(shards), 0
	fanOut.advanceAll(ctx, shards, target.First)
}

// progress returns the progress of a shard, or the fallback if the current plan
// doesn't have the shard.
func (fanOut *fanOut) progress(shardNumber int, fallback *shardProgress) *shardProgress {
	for _, progress := range fanOut.shards {
		if progress.plan.number == shardNumber {
			return progress
		}
	}
	return fallback
}
