// This file exists so that an answer whose index version has gone moves to
// another version as a whole, and never mixes the two.

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
	// versionPause is the span after which a shard whose index version has
	// gone looks for another one that covers it; it doubles each time. Changes
	// of the directory reach the other entries in batches of 20 ms.
	versionPause = 10 * time.Millisecond
	// maximumVersionPauses bounds the wait in all to 310 ms, for replicas that
	// go on announcing what they don't serve.
	maximumVersionPauses = 5
)

type (
	// snapshotOf is a snapshot at one target.
	snapshotOf struct {
		target   string
		snapshot caller.Snapshot
	}
)

// replan moves the whole answer to another snapshot where that covers more
// shards within the allowed runs. What was answered before is dropped.
func (fanOut *fanOut) replan(ctx context.Context) {
	if fanOut.once {
		return
	}
	usable := fanOut.coordinator.usable(fanOut.pool.Name)
	served := usable[:0:0]
	for _, announcement := range usable {
		served = append(served, fanOut.withoutUnserved(announcement))
	}
	next, known := fanOut.coordinator.newPlan(served, fanOut.request.ShardKey)
	if known && next.snapshot == fanOut.plan.snapshot {
		fanOut.refresh(next)
		return
	}
	if !known || fanOut.replanned >= maximumReplans || fanOut.potential(next) <= fanOut.present() {
		return
	}
	fanOut.replanned++
	fanOut.move(ctx, next)
}

// refresh takes over the replicas that have come to the present snapshot.
func (fanOut *fanOut) refresh(next *plan) {
	for index := range min(len(fanOut.shards), len(next.shards)) {
		if shard := fanOut.shards[index]; shard.plan.shard == next.shards[index].shard {
			shard.plan = next.shards[index]
		}
	}
}

// awaitVersion lets a shard whose index version has gone wait for the
// directory, which learns of the next one later than the shard. It returns
// false where that is of no use.
func (fanOut *fanOut) awaitVersion(shard *shardProgress) bool {
	if shard.waits {
		return true
	}
	at := time.Now().Add(versionPause << shard.versionPauses)
	useless := fanOut.once || !shard.versionGone || shard.pending > 0 || !fanOut.mayRun(shard)
	if useless || shard.versionPauses >= maximumVersionPauses || !at.Before(fanOut.deadline) {
		return false
	}
	shard.versionPauses++
	shard.waits = true
	heap.Push(&fanOut.timers, dueTimer{at: at, due: anotherVersion{shard: shard, generation: shard.generation}})
	return true
}

// withoutUnserved leaves out the index versions that the target shed.
func (fanOut *fanOut) withoutUnserved(announcement targetapi.Announcement) targetapi.Announcement {
	var held []uint64
	for _, version := range announcement.IndexVersions {
		snapshot := caller.Snapshot{IndexVersion: version, Layout: announcement.Layout}
		if !fanOut.unserved[snapshotOf{announcement.ID, snapshot}] {
			held = append(held, version)
		}
	}
	announcement.IndexVersions = held
	return announcement
}

// present counts the share of shards that the present snapshot can cover.
func (fanOut *fanOut) present() float64 {
	covered := 0
	for _, shard := range fanOut.shards {
		if shard.part != nil || shard.pending > 0 {
			covered++
			continue
		}
		if _, found := fanOut.choose(shard, target.First); found && !shard.done {
			covered++
		}
	}
	return float64(covered) / float64(len(fanOut.shards))
}

// potential counts the share of shards that another plan could cover.
func (fanOut *fanOut) potential(next *plan) float64 {
	covered := 0
	for _, shardPlan := range next.shards {
		if len(shardPlan.candidates) > 0 && fanOut.spentOn(next, shardPlan.shard) < fanOut.request.AllowedRuns() {
			covered++
		}
	}
	return float64(covered) / float64(len(next.shards))
}

// spentOn returns the runs that a shard of a plan has used. Shards of another
// layout hold other records, so that the most used one counts for all.
func (fanOut *fanOut) spentOn(next *plan, shard int) int {
	spent := 0
	for _, progress := range fanOut.shards {
		if next.snapshot.Layout != fanOut.plan.snapshot.Layout || progress.plan.shard == shard {
			spent = max(spent, progress.runs+progress.pending)
		}
	}
	return spent
}

// move starts the shards of the new plan over. Attempts in progress still
// count as runs until they are reported not to have run.
func (fanOut *fanOut) move(ctx context.Context, next *plan) {
	for id, attempt := range fanOut.attempts {
		fanOut.coordinator.homes.Cancel(attempt.home, &Cancellation{AttemptIDs: []string{id}})
	}
	for _, shard := range fanOut.shards {
		shard.generation++
		shard.done = true
	}
	var shards []*shardProgress
	for _, shardPlan := range next.shards {
		moved := &shardProgress{plan: shardPlan, reason: caller.MissingVersion}
		if next.snapshot.Layout == fanOut.plan.snapshot.Layout {
			moved = fanOut.progress(shardPlan.shard, moved)
		} else {
			moved.runs = fanOut.spentOn(next, shardPlan.shard)
		}
		moved.plan, moved.part, moved.done, moved.held, moved.waits = shardPlan, nil, false, false, false
		moved.tried, moved.latest, moved.reason, moved.versionGone = nil, nil, caller.MissingVersion, true
		shards = append(shards, moved)
	}
	fanOut.plan, fanOut.shards, fanOut.held = next, shards, nil
	fanOut.unfinished, fanOut.givenUp = len(shards), 0
	fanOut.advanceAll(ctx, shards, target.First)
}

// progress returns the progress of a shard, or what stands in for it.
func (fanOut *fanOut) progress(shard int, otherwise *shardProgress) *shardProgress {
	for _, progress := range fanOut.shards {
		if progress.plan.shard == shard {
			return progress
		}
	}
	return otherwise
}
