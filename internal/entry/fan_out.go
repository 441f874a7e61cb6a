// Fan-out of one request to targets. A single goroutine follows all attempts
// of the request and decides what is sent next, so that their state needs no
// lock.

package entry

import (
	"container/heap"
	"context"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/target"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// movingRetryDelay is the delay before the first retry at a target that was
	// moving between homes. It doubles with each retry.
	movingRetryDelay = 20 * time.Millisecond
)

type (
	// fanOut is the state of one request's attempts.
	fanOut struct {
		coordinator *Coordinator
		request     *caller.Request
		plan        *plan
		admission   *admission
		pool        operator.Pool
		fingerprint blackboard.Fingerprint
		nonce       uint64
		deadline    time.Time
		// runOnce is true if each shard may run only once. An attempt that didn't run
		// may be followed by another.
		runOnce bool

		shards   []*shardProgress
		attempts map[string]*attemptProgress
		reports  chan *Report
		// timers holds the scheduled events, the earliest first.
		timers timerQueue
		// suspendedShards holds the shards that wait until an answer clears the request
		// of the suspicion that it crashes targets.
		suspendedShards []*shardProgress
		// inFlight counts the attempts without a report, and unfinished the
		// shards that may still be answered.
		inFlight, unfinished int
		attemptsSent         int
		hedgeDelay           time.Duration
		// cleared is true if an answer has cleared the request of the suspicion that
		// it crashes targets.
		cleared bool
		// givenUp counts the shards that were given up without an answer.
		givenUp int
		// ran is true if an attempt at any snapshot ran or may have run.
		ran bool
		// replans counts the changes of the snapshot.
		replans int
		// unserved holds the snapshots that targets no longer serve, as their
		// replies to attempts have shown.
		unserved map[targetSnapshot]bool
	}

	// attemptProgress is the progress of one attempt.
	attemptProgress struct {
		candidate

		id     string
		shard  *shardProgress
		reason target.AttemptReason
		sentAt time.Time
		// generation is the shard's generation when the attempt was sent.
		generation int
		reported   bool
	}
)

// run sends the attempts and handles their reports until each shard is answered
// or given up, or the minimum coverage can't be reached any more.
func (fanOut *fanOut) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { fanOut.abandonAll(ctx) }()
	fanOut.start(ctx)
	timer := time.NewTimer(time.Until(fanOut.deadline))
	defer timer.Stop()
	for fanOut.unfinished > 0 && !fanOut.coverageUnreachable() {
		timer.Reset(fanOut.untilNextTimer())
		select {
		case <-ctx.Done():
			return
		case report := <-fanOut.reports:
			fanOut.handleReport(ctx, report)
		case <-timer.C:
			fanOut.handleDueEvents(ctx)
		}
	}
}

// start sends the first attempts: one for each shard, or a single one if the
// content of the request is suspected of crashing targets.
func (fanOut *fanOut) start(ctx context.Context) {
	fanOut.attempts = make(map[string]*attemptProgress, len(fanOut.plan.shards))
	fanOut.reports = make(chan *Report, len(fanOut.plan.shards))
	fanOut.unserved = map[targetSnapshot]bool{}
	for _, shardPlan := range fanOut.plan.shards {
		fanOut.shards = append(fanOut.shards, &shardProgress{plan: shardPlan, missingReason: caller.MissingNoReplica})
	}
	fanOut.unfinished = len(fanOut.shards)
	estimates := &fanOut.coordinator.estimates
	estimates.refill(&fanOut.pool, len(fanOut.shards))
	fanOut.hedgeDelay = estimates.hedgeDelay(&fanOut.pool)
	fanOut.giveUpUncovered()
	if !fanOut.coverageUnreachable() {
		fanOut.advanceAll(ctx, fanOut.shards, target.First)
	}
}

// giveUpUncovered gives up the shards that no target serves, so that a request
// that can't reach its minimum coverage takes no slots.
func (fanOut *fanOut) giveUpUncovered() {
	for _, shard := range fanOut.shards {
		if len(shard.plan.candidates) == 0 {
			fanOut.giveUpIfIdle(shard)
		}
	}
}

// handleReport records the report on an attempt and continues with its shard.
func (fanOut *fanOut) handleReport(ctx context.Context, report *Report) {
	attempt, known := fanOut.attempts[report.AttemptID]
	if !known {
		return
	}
	delete(fanOut.attempts, report.AttemptID)
	attempt.reported = true
	fanOut.inFlight--
	shard := attempt.shard
	shard.pending--
	fanOut.coordinator.estimates.recordReport(fanOut.pool.Name, attempt, report)
	if !report.unreachable {
		fanOut.admission.observe(slotWait(&report.Load, report.Load.Waiting+report.Load.Running))
	}
	switch outcome := report.outcome().(type) {
	case target.Answered:
		shard.runs++
		fanOut.ran = true
		fanOut.handleAnswer(attempt, &outcome)
	case target.NotRun:
		fanOut.handleNotRun(ctx, attempt, &outcome)
	case target.Lost:
		shard.runs++
		fanOut.ran = true
		fanOut.handleLost(ctx, attempt, &outcome)
	}
	if shard.idle() {
		fanOut.advanceAll(ctx, []*shardProgress{shard}, target.First)
	}
	fanOut.resumeSuspended(ctx)
}

// handleAnswer clears the request of suspicion. It stores the answer of the attempt,
// unless the answer belongs to another snapshot or the shard is already answered.
func (fanOut *fanOut) handleAnswer(attempt *attemptProgress, answered *target.Answered) {
	if !fanOut.cleared {
		fanOut.cleared = true
		fanOut.coordinator.board.Verdicts().RecordAnswer(fanOut.fingerprint)
	}
	shard := attempt.shard
	if shard.part != nil || answered.Result.IndexVersion != fanOut.plan.snapshot.IndexVersion || answered.Result.Layout != fanOut.plan.snapshot.Layout {
		return
	}
	shard.part = &caller.Part{Shard: shard.plan.number, Target: attempt.target, Payload: answered.Result.Payload}
	if !shard.done {
		shard.done = true
		fanOut.unfinished--
	}
	fanOut.cancelLosers(shard)
}

// cancelLosers cancels the other attempts at a shard that was answered.
func (fanOut *fanOut) cancelLosers(shard *shardProgress) {
	if shard.pending == 0 {
		return
	}
	for id, attempt := range fanOut.attempts {
		if attempt.shard == shard {
			fanOut.coordinator.homes.Cancel(attempt.home, &Cancellation{AttemptIDs: []string{id}})
		}
	}
}

// handleNotRun continues with a shard after an attempt that didn't run, depending
// on the reason.
func (fanOut *fanOut) handleNotRun(ctx context.Context, attempt *attemptProgress, outcome *target.NotRun) {
	shard := attempt.shard
	if shard.done || attempt.generation != shard.generation {
		return
	}
	shard.missingReason, shard.retryDelay = outcome.Reason, outcome.RetryAfter
	switch {
	case outcome.Reason == caller.MissingVersion:
		fanOut.unserved[targetSnapshot{attempt.target, fanOut.plan.snapshot}] = true
		shard.versionGone = true
		fanOut.replan(ctx)
		fanOut.advanceAll(ctx, []*shardProgress{shard}, target.First)
	case outcome.Moving:
		fanOut.retryAfterMove(attempt)
	case outcome.Reason == caller.MissingOverloaded:
		fanOut.advanceAll(ctx, []*shardProgress{shard}, target.Retry)
	default:
		fanOut.advanceAll(ctx, []*shardProgress{shard}, target.First)
	}
}

// retryAfterMove schedules another attempt at a target that is moving between
// homes.
func (fanOut *fanOut) retryAfterMove(attempt *attemptProgress) {
	shard := attempt.shard
	delay := movingRetryDelay << min(shard.moveRetries, 6)
	shard.moveRetries++
	shard.waiting = true
	heap.Push(&fanOut.timers, scheduledEvent{at: time.Now().Add(delay), timerEvent: targetRetry{attempt}})
}

// handleLost continues with a shard after an attempt that was lost and may have run.
// A broken connection counts as a crash verdict against the request.
func (fanOut *fanOut) handleLost(ctx context.Context, attempt *attemptProgress, outcome *target.Lost) {
	shard := attempt.shard
	shard.lost = true
	if outcome.Broken {
		shard.brokenConnections++
		fanOut.coordinator.board.Verdicts().Apply(blackboard.Verdict{Fingerprint: fanOut.fingerprint, TargetID: attempt.target})
	}
	if shard.done || attempt.generation != shard.generation {
		return
	}
	shard.missingReason = outcome.Reason
	fanOut.advanceAll(ctx, []*shardProgress{shard}, target.Retry)
}

// resumeSuspended continues with the suspended shards once the request is
// cleared, or when no attempt is left in progress that could clear it. In that
// case the first resumed attempt suspends the others again.
func (fanOut *fanOut) resumeSuspended(ctx context.Context) {
	if len(fanOut.suspendedShards) == 0 || !fanOut.cleared && fanOut.inFlight > 0 {
		return
	}
	suspended := fanOut.suspendedShards
	fanOut.suspendedShards = nil
	for _, shard := range suspended {
		shard.suspended = false
	}
	for _, shard := range suspended {
		reason := target.Retry
		if shard.runs == 0 {
			reason = target.First
		}
		fanOut.advanceAll(ctx, []*shardProgress{shard}, reason)
	}
}

// untilNextTimer returns the time until the next scheduled event, or until the
// deadline if there is none.
func (fanOut *fanOut) untilNextTimer() time.Duration {
	if len(fanOut.timers) == 0 {
		return time.Until(fanOut.deadline)
	}
	return time.Until(fanOut.timers[0].at)
}

// handleDueEvents handles the scheduled events whose time has come: it hedges late
// attempts and resumes waiting shards.
func (fanOut *fanOut) handleDueEvents(ctx context.Context) {
	now := time.Now()
	var lateShards []*shardProgress
	for len(fanOut.timers) > 0 && !fanOut.timers[0].at.After(now) {
		scheduled, _ := heap.Pop(&fanOut.timers).(scheduledEvent)
		switch timerEvent := scheduled.timerEvent.(type) {
		case hedgeDue:
			attempt := timerEvent.attempt
			if !attempt.reported && !attempt.shard.done && attempt == attempt.shard.latestAttempt {
				lateShards = append(lateShards, attempt.shard)
			}
		case targetRetry:
			delete(timerEvent.attempt.shard.triedTargets, timerEvent.attempt.target)
			fanOut.resume(ctx, timerEvent.attempt.shard, timerEvent.attempt.generation)
		case versionRetry:
			if timerEvent.shard.generation == timerEvent.generation {
				fanOut.replan(ctx)
			}
			fanOut.resume(ctx, timerEvent.shard, timerEvent.generation)
		}
	}
	if len(lateShards) == 0 {
		return
	}
	fanOut.advanceAll(ctx, lateShards, target.Hedge)
	for _, shard := range lateShards {
		if !shard.done && shard.latestAttempt.sentAt.Before(now) && shard.pending > 0 {
			// The budget was exhausted. Try again after another hedge delay.
			heap.Push(&fanOut.timers, scheduledEvent{at: now.Add(fanOut.hedgeDelay), timerEvent: hedgeDue{shard.latestAttempt}})
		}
	}
}

// resume continues with a shard after a wait, unless the shard has been moved to
// another snapshot in the meantime.
func (fanOut *fanOut) resume(ctx context.Context, shard *shardProgress, generation int) {
	if shard.generation != generation {
		return
	}
	shard.waiting = false
	fanOut.advanceAll(ctx, []*shardProgress{shard}, target.First)
}

// abandonAll stops waiting for all attempts in progress. Each of them may have
// run.
func (fanOut *fanOut) abandonAll(ctx context.Context) {
	reason := caller.MissingGivenUp
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = caller.MissingDeadline
	}
	for _, attempt := range fanOut.attempts {
		fanOut.ran = true
		fanOut.coordinator.estimates.recordAbandoned(fanOut.pool.Name, attempt)
		if shard := attempt.shard; shard.part == nil {
			shard.lost, shard.missingReason = true, reason
		}
	}
	for _, shard := range fanOut.shards {
		if !shard.done && ctx.Err() == nil {
			shard.missingReason = reason
		}
	}
}
