// Sending of attempts. Attempts that are sent at the same time go out in one
// batch for each home, as far as the budgets and the crash verdicts permit.

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
	// reportMargin is how long before the coordinator's deadline a home gives up,
	// so that its report that an attempt didn't run arrives in time.
	reportMargin = time.Millisecond
)

type (
	// outgoingBatches collects the attempts that are sent together, by home.
	outgoingBatches struct {
		batches map[string]*Batch
		homes   map[string]membership.Member
	}
)

// advanceAll sends one more attempt for each of the shards, in one batch for each
// home.
func (fanOut *fanOut) advanceAll(ctx context.Context, shards []*shardProgress, reason target.AttemptReason) {
	outgoing := &outgoingBatches{batches: map[string]*Batch{}, homes: map[string]membership.Member{}}
	for _, shard := range shards {
		fanOut.advance(outgoing, shard, reason)
	}
	for homeID, batch := range outgoing.batches {
		go fanOut.coordinator.homes.Run(ctx, outgoing.homes[homeID], batch, func(report *Report) {
			select {
			case fanOut.reports <- report:
			case <-ctx.Done():
			}
		})
	}
}

// advance adds one more attempt for a shard to the outgoing batches, or gives the
// shard up if it can't get one and waits for nothing else.
func (fanOut *fanOut) advance(outgoing *outgoingBatches, shard *shardProgress, reason target.AttemptReason) {
	if shard.done {
		return
	}
	if fanOut.awaitClearance(shard) {
		return
	}
	if fanOut.quarantined() {
		shard.missingReason = caller.MissingQuarantined
		fanOut.giveUpIfIdle(shard)
		return
	}
	candidate, found := fanOut.chooseReplica(shard, reason)
	if !found {
		if !fanOut.awaitVersion(shard) {
			fanOut.giveUpIfIdle(shard)
		}
		return
	}
	// A first attempt is sent even if the estimate leaves no time, because it
	// corrects an outdated estimate of the round trip to the home.
	if !shard.firstSentAt.IsZero() && fanOut.timeAtHome(candidate.home.ID) <= 0 {
		fanOut.giveUpIfIdle(shard)
		return
	}
	if !fanOut.coordinator.estimates.spend(&fanOut.pool, reason) {
		fanOut.giveUpIfIdle(shard)
		return
	}
	fanOut.addAttempt(outgoing, shard, candidate, reason)
}

// awaitClearance reports whether a shard must wait, because the request is suspected
// of crashing targets and an attempt in progress may still clear it. If none of the
// shard's own attempts is in progress, the shard is suspended.
func (fanOut *fanOut) awaitClearance(shard *shardProgress) bool {
	if fanOut.cleared || fanOut.inFlight == 0 || !fanOut.coordinator.board.Verdicts().Suspected(fanOut.fingerprint) {
		return false
	}
	if shard.pending == 0 && !shard.suspended {
		shard.suspended = true
		fanOut.suspendedShards = append(fanOut.suspendedShards, shard)
	}
	return true
}

func (fanOut *fanOut) quarantined() bool {
	return fanOut.coordinator.board.Verdicts().RemainingQuarantine(fanOut.fingerprint) > 0
}

// addAttempt adds an attempt to the batch of its home, and schedules its hedge.
func (fanOut *fanOut) addAttempt(outgoing *outgoingBatches, shard *shardProgress, chosen candidate, reason target.AttemptReason) {
	batch, known := outgoing.batches[chosen.home.ID]
	if !known {
		batch = fanOut.newBatch(chosen.home.ID)
		outgoing.batches[chosen.home.ID], outgoing.homes[chosen.home.ID] = batch, chosen.home
	}
	fanOut.attemptsSent++
	fanOut.inFlight++
	shard.pending++
	shard.triedTargets[chosen.target] = true
	if shard.firstSentAt.IsZero() {
		shard.firstSentAt = time.Now()
	}
	attempt := &attemptProgress{
		id:        strconv.FormatUint(fanOut.nonce, 16) + "-" + strconv.Itoa(shard.plan.number) + "-" + strconv.Itoa(fanOut.attemptsSent),
		candidate: chosen, shard: shard, reason: reason, sentAt: time.Now(), generation: shard.generation,
	}
	fanOut.attempts[attempt.id] = attempt
	shard.latestAttempt = attempt
	fanOut.coordinator.estimates.recordSent(attempt)
	if !fanOut.runOnce && !fanOut.pool.DisableHedges {
		hedgeAt := attempt.sentAt.Add(fanOut.hedgeDelay + fanOut.coordinator.estimates.roundTrip(attempt.home.ID))
		heap.Push(&fanOut.timers, scheduledEvent{at: hedgeAt, timerEvent: hedgeDue{attempt}})
	}
	batch.Attempts = append(batch.Attempts, BatchItem{
		AttemptID: attempt.id, TargetID: chosen.target, Shard: shard.plan.number,
		IndexVersion: fanOut.plan.snapshot.IndexVersion, Reason: reason, ActiveWithin: fanOut.activeWithin(shard, chosen),
		MayRepeat: fanOut.mayRun(shard), IsLastReplica: len(shard.triedTargets) >= len(shard.plan.candidates),
	})
}

// activeWithin returns how recently the target must have answered on the
// connection that an attempt uses, or 0 if any connection will do. The last run
// that the caller allows, and a second run at the same target, must not be spent
// on a connection that has gone silent: the target must have answered on it since
// the shard's first attempt. The first attempt has no such requirement.
func (fanOut *fanOut) activeWithin(shard *shardProgress, chosen candidate) time.Duration {
	attempts := shard.runs + shard.pending
	if attempts <= 1 || attempts < fanOut.request.AllowedRuns() && !chosen.repeated {
		return 0
	}
	return time.Since(shard.firstSentAt)
}

// timeAtHome returns the time that a home has for an attempt: the time until the
// deadline, less the round trip to the home and reportMargin.
func (fanOut *fanOut) timeAtHome(homeID string) time.Duration {
	return time.Until(fanOut.deadline) - fanOut.coordinator.estimates.roundTrip(homeID) - reportMargin
}

func (fanOut *fanOut) newBatch(homeID string) *Batch {
	return &Batch{
		RequestID: string(fanOut.request.ID), Kind: fanOut.request.Kind, Payload: fanOut.request.Payload,
		Fingerprint: uint64(fanOut.fingerprint), Timeout: max(0, fanOut.timeAtHome(homeID)), Layout: fanOut.plan.snapshot.Layout,
		SuspectAfter: fanOut.hedgeDelay,
	}
}
