// This file exists so that the attempts that are due together leave in one
// batch for each home, within the budgets and the verdicts.

package entry

import (
	"container/heap"
	"context"
	"strconv"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/target"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

const (
	// reportMargin is by how much the report of a home that gives up at its
	// deadline precedes the coordinator's, so that what is proved not to have
	// run is told so.
	reportMargin = time.Millisecond
)

type (
	// outgoing gathers the attempts that are sent together.
	outgoing struct {
		batches map[string]*Batch
		homes   map[string]membership.Member
	}
)

// advanceAll gives each of the shards one more attempt, in one batch for each
// home.
func (fanOut *fanOut) advanceAll(ctx context.Context, shards []*shardProgress, why target.Why) {
	gathered := &outgoing{batches: map[string]*Batch{}, homes: map[string]membership.Member{}}
	for _, shard := range shards {
		fanOut.advance(gathered, shard, why)
	}
	for id, batch := range gathered.batches {
		go fanOut.coordinator.homes.Run(ctx, gathered.homes[id], batch, func(report *Report) {
			select {
			case fanOut.reports <- report:
			case <-ctx.Done():
			}
		})
	}
}

// advance gives a shard one more attempt, or gives it up where it can get
// none and waits for none.
func (fanOut *fanOut) advance(gathered *outgoing, shard *shardProgress, why target.Why) {
	if shard.done {
		return
	}
	if fanOut.mustHold(shard) {
		return
	}
	if fanOut.quarantined() {
		shard.reason = caller.MissingQuarantined
		fanOut.giveUpIdle(shard)
		return
	}
	candidate, found := fanOut.choose(shard, why)
	if !found {
		if !fanOut.awaitVersion(shard) {
			fanOut.giveUpIdle(shard)
		}
		return
	}
	// A first attempt goes all the same: it shows whether the way to the home
	// takes as long as is thought.
	if !shard.begunAt.IsZero() && fanOut.timeAt(candidate.home.ID) <= 0 {
		fanOut.giveUpIdle(shard)
		return
	}
	if !fanOut.coordinator.estimates.spend(&fanOut.pool, why) {
		fanOut.giveUpIdle(shard)
		return
	}
	fanOut.add(gathered, shard, candidate, why)
}

// mustHold holds a shard back while the request is suspected of crashing
// targets and one of its attempts may still clear it.
func (fanOut *fanOut) mustHold(shard *shardProgress) bool {
	if fanOut.cleared || fanOut.inFlight == 0 || !fanOut.coordinator.board.Verdicts().Suspected(fanOut.fingerprint) {
		return false
	}
	if shard.pending == 0 && !shard.held {
		shard.held = true
		fanOut.held = append(fanOut.held, shard)
	}
	return true
}

func (fanOut *fanOut) quarantined() bool {
	return fanOut.coordinator.board.Verdicts().Quarantined(fanOut.fingerprint) > 0
}

func (fanOut *fanOut) add(gathered *outgoing, shard *shardProgress, chosen candidate, why target.Why) {
	batch, known := gathered.batches[chosen.home.ID]
	if !known {
		batch = fanOut.newBatch(chosen.home.ID)
		gathered.batches[chosen.home.ID], gathered.homes[chosen.home.ID] = batch, chosen.home
	}
	fanOut.sent++
	fanOut.inFlight++
	shard.pending++
	shard.tried[chosen.target] = true
	if shard.begunAt.IsZero() {
		shard.begunAt = time.Now()
	}
	attempt := &attemptProgress{
		id:        strconv.FormatUint(fanOut.nonce, 16) + "-" + strconv.Itoa(shard.plan.shard) + "-" + strconv.Itoa(fanOut.sent),
		candidate: chosen, shard: shard, why: why, sentAt: time.Now(), generation: shard.generation,
	}
	fanOut.attempts[attempt.id] = attempt
	shard.latest = attempt
	fanOut.coordinator.estimates.sent(attempt)
	if !fanOut.once && !fanOut.pool.DisableHedges {
		late := attempt.sentAt.Add(fanOut.hedgeDelay + fanOut.coordinator.estimates.roundTrip(attempt.home.ID))
		heap.Push(&fanOut.timers, dueTimer{at: late, due: lateAttempt{attempt}})
	}
	batch.Attempts = append(batch.Attempts, BatchItem{
		AttemptID: attempt.id, TargetID: chosen.target, Shard: shard.plan.shard,
		IndexVersion: fanOut.plan.snapshot.IndexVersion, Why: why, ProvenWithin: fanOut.provenWithin(shard, chosen),
		Spare: fanOut.mayRun(shard), Last: len(shard.tried) >= len(shard.plan.candidates),
	})
}

// provenWithin makes the last run that the caller allows, and a second one at
// the same target, go on a connection that has not gone silent: one on which
// the target has answered since the shard's first attempt. The first attempt
// has no such time.
func (fanOut *fanOut) provenWithin(shard *shardProgress, chosen candidate) time.Duration {
	sent := shard.runs + shard.pending
	if sent <= 1 || sent < fanOut.request.AllowedRuns() && !chosen.again {
		return 0
	}
	return time.Since(shard.begunAt)
}

// timeAt returns the time to the deadline that a home has: without that of the
// way to the home and back.
func (fanOut *fanOut) timeAt(homeID string) time.Duration {
	return time.Until(fanOut.deadline) - fanOut.coordinator.estimates.roundTrip(homeID) - reportMargin
}

func (fanOut *fanOut) newBatch(homeID string) *Batch {
	return &Batch{
		RequestID: string(fanOut.request.ID), Kind: fanOut.request.Kind, Payload: fanOut.request.Payload,
		Fingerprint: uint64(fanOut.fingerprint), Timeout: max(0, fanOut.timeAt(homeID)), Layout: fanOut.plan.snapshot.Layout,
		SuspectAfter: fanOut.hedgeDelay,
	}
}
