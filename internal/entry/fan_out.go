// This file exists so that the attempts of one request are followed by one
// goroutine, which alone decides what is sent next.

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
	// movingPause is the span after which a target that was moving between
	// homes is tried again; it doubles each time.
	movingPause = 20 * time.Millisecond
)

type (
	// fanOut is the progress of one request.
	fanOut struct {
		coordinator *Coordinator
		request     *caller.Request
		plan        *plan
		passage     *passage
		pool        operator.Pool
		fingerprint blackboard.Fingerprint
		nonce       uint64
		deadline    time.Time
		// once states that each shard is attempted at most once.
		once bool

		shards   []*shardProgress
		attempts map[string]*attemptProgress
		reports  chan *Report
		// timers holds when something is due, the earliest first.
		timers timerQueue
		// held holds the shards that wait until the request is cleared of the
		// loss of a target.
		held []*shardProgress
		// inFlight counts the attempts without a report, and unfinished the
		// shards that may still get an answer.
		inFlight, unfinished int
		sent                 int
		hedgeDelay           time.Duration
		cleared              bool
		// givenUp counts the shards that get no answer.
		givenUp int
		// ran states that a target answered or may have run an attempt of any
		// snapshot.
		ran       bool
		replanned int
		// unserved holds the targets that shed the present snapshot.
		unserved map[snapshotOf]bool
	}

	attemptProgress struct {
		candidate

		id     string
		shard  *shardProgress
		why    target.Why
		sentAt time.Time
		// generation is that of the shard when the attempt was sent.
		generation int
		resolved   bool
	}
)

// run sends the attempts and follows them until each shard is answered or can
// get no further attempt.
func (fanOut *fanOut) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { fanOut.abandonAll(ctx) }()
	fanOut.start(ctx)
	timer := time.NewTimer(time.Until(fanOut.deadline))
	defer timer.Stop()
	for fanOut.unfinished > 0 && !fanOut.hopeless() {
		timer.Reset(fanOut.untilDue())
		select {
		case <-ctx.Done():
			return
		case report := <-fanOut.reports:
			fanOut.take(ctx, report)
		case <-timer.C:
			fanOut.due(ctx)
		}
	}
}

// start sends the first attempts: one for each shard, or a single one where a
// target was lost under an earlier sending of the same content.
func (fanOut *fanOut) start(ctx context.Context) {
	fanOut.attempts = make(map[string]*attemptProgress, len(fanOut.plan.shards))
	fanOut.reports = make(chan *Report, len(fanOut.plan.shards))
	fanOut.unserved = map[snapshotOf]bool{}
	for _, shardPlan := range fanOut.plan.shards {
		fanOut.shards = append(fanOut.shards, &shardProgress{plan: shardPlan, reason: caller.MissingNoReplica})
	}
	fanOut.unfinished = len(fanOut.shards)
	estimates := &fanOut.coordinator.estimates
	estimates.earn(&fanOut.pool, len(fanOut.shards))
	fanOut.hedgeDelay = estimates.hedgeDelay(&fanOut.pool)
	fanOut.giveUpUnserved()
	if !fanOut.hopeless() {
		fanOut.advanceAll(ctx, fanOut.shards, target.First)
	}
}

// giveUpUnserved gives up the shards that no target can serve, so that a
// request that can't reach its coverage takes no slots.
func (fanOut *fanOut) giveUpUnserved() {
	for _, shard := range fanOut.shards {
		if len(shard.plan.candidates) == 0 {
			fanOut.giveUpIdle(shard)
		}
	}
}

func (fanOut *fanOut) take(ctx context.Context, report *Report) {
	attempt, known := fanOut.attempts[report.AttemptID]
	if !known {
		return
	}
	delete(fanOut.attempts, report.AttemptID)
	attempt.resolved = true
	fanOut.inFlight--
	shard := attempt.shard
	shard.pending--
	fanOut.coordinator.estimates.reported(fanOut.pool.Name, attempt, report)
	if !report.unreachable {
		fanOut.passage.observe(slotWait(&report.Load, report.Load.Waiting+report.Load.Running))
	}
	switch outcome := report.outcome().(type) {
	case target.Answered:
		shard.runs++
		fanOut.ran = true
		fanOut.answer(attempt, &outcome)
	case target.NotRun:
		fanOut.notRun(ctx, attempt, &outcome)
	case target.Lost:
		shard.runs++
		fanOut.ran = true
		fanOut.lost(ctx, attempt, &outcome)
	}
	if shard.idle() {
		fanOut.advanceAll(ctx, []*shardProgress{shard}, target.First)
	}
	fanOut.releaseHeld(ctx)
}

func (fanOut *fanOut) answer(attempt *attemptProgress, answered *target.Answered) {
	if !fanOut.cleared {
		fanOut.cleared = true
		fanOut.coordinator.board.Verdicts().Answered(fanOut.fingerprint)
	}
	shard := attempt.shard
	if shard.part != nil || answered.Result.IndexVersion != fanOut.plan.snapshot.IndexVersion || answered.Result.Layout != fanOut.plan.snapshot.Layout {
		return
	}
	shard.part = &caller.Part{Shard: shard.plan.shard, Target: attempt.target, Payload: answered.Result.Payload}
	if !shard.done {
		shard.done = true
		fanOut.unfinished--
	}
	fanOut.cancelLosers(shard)
}

// cancelLosers drops the attempts that lost against an answer. The answer's
// own attempt is no longer among them.
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

func (fanOut *fanOut) notRun(ctx context.Context, attempt *attemptProgress, outcome *target.NotRun) {
	shard := attempt.shard
	if shard.done || attempt.generation != shard.generation {
		return
	}
	shard.reason, shard.retry = outcome.Reason, outcome.RetryAfter
	switch {
	case outcome.Reason == caller.MissingVersion:
		fanOut.unserved[snapshotOf{attempt.target, fanOut.plan.snapshot}] = true
		shard.versionGone = true
		fanOut.replan(ctx)
		fanOut.advanceAll(ctx, []*shardProgress{shard}, target.First)
	case outcome.Moving:
		fanOut.park(attempt)
	case outcome.Reason == caller.MissingOverloaded:
		fanOut.advanceAll(ctx, []*shardProgress{shard}, target.Retry)
	default:
		fanOut.advanceAll(ctx, []*shardProgress{shard}, target.First)
	}
}

// park tries a shard again soon, because its target is moving between homes.
func (fanOut *fanOut) park(attempt *attemptProgress) {
	shard := attempt.shard
	pause := movingPause << min(shard.parked, 6)
	shard.parked++
	shard.waits = true
	heap.Push(&fanOut.timers, dueTimer{at: time.Now().Add(pause), due: anotherTry{attempt}})
}

func (fanOut *fanOut) lost(ctx context.Context, attempt *attemptProgress, outcome *target.Lost) {
	shard := attempt.shard
	shard.lost = true
	if outcome.Broken {
		shard.losses++
		fanOut.coordinator.board.Verdicts().Take(blackboard.Verdict{Fingerprint: fanOut.fingerprint, TargetID: attempt.target})
	}
	if shard.done || attempt.generation != shard.generation {
		return
	}
	shard.reason = outcome.Reason
	fanOut.advanceAll(ctx, []*shardProgress{shard}, target.Retry)
}

// releaseHeld lets held shards go on once the request is cleared, or one of
// them alone where nothing else is left that could clear it.
func (fanOut *fanOut) releaseHeld(ctx context.Context) {
	if len(fanOut.held) == 0 || !fanOut.cleared && fanOut.inFlight > 0 {
		return
	}
	held := fanOut.held
	fanOut.held = nil
	for _, shard := range held {
		shard.held = false
	}
	for _, shard := range held {
		why := target.Retry
		if shard.runs == 0 {
			why = target.First
		}
		fanOut.advanceAll(ctx, []*shardProgress{shard}, why)
	}
}

// untilDue returns the span until something is due.
func (fanOut *fanOut) untilDue() time.Duration {
	if len(fanOut.timers) == 0 {
		return time.Until(fanOut.deadline)
	}
	return time.Until(fanOut.timers[0].at)
}

// due hedges attempts that are late and tries parked shards again.
func (fanOut *fanOut) due(ctx context.Context) {
	now := time.Now()
	var late []*shardProgress
	for len(fanOut.timers) > 0 && !fanOut.timers[0].at.After(now) {
		timer, _ := heap.Pop(&fanOut.timers).(dueTimer)
		switch due := timer.due.(type) {
		case lateAttempt:
			attempt := due.attempt
			if !attempt.resolved && !attempt.shard.done && attempt == attempt.shard.latest {
				late = append(late, attempt.shard)
			}
		case anotherTry:
			delete(due.attempt.shard.tried, due.attempt.target)
			fanOut.resume(ctx, due.attempt.shard, due.attempt.generation)
		case anotherVersion:
			if due.shard.generation == due.generation {
				fanOut.replan(ctx)
			}
			fanOut.resume(ctx, due.shard, due.generation)
		}
	}
	if len(late) == 0 {
		return
	}
	fanOut.advanceAll(ctx, late, target.Hedge)
	for _, shard := range late {
		if !shard.done && shard.latest.sentAt.Before(now) && shard.pending > 0 {
			// The budget had nothing left; it may have later.
			heap.Push(&fanOut.timers, dueTimer{at: now.Add(fanOut.hedgeDelay), due: lateAttempt{shard.latest}})
		}
	}
}

// resume goes on with a shard that has waited, unless it has been moved to
// another snapshot since.
func (fanOut *fanOut) resume(ctx context.Context, shard *shardProgress, generation int) {
	if shard.generation != generation {
		return
	}
	shard.waits = false
	fanOut.advanceAll(ctx, []*shardProgress{shard}, target.First)
}

// abandonAll ends the wait for all attempts in progress; each may have run.
func (fanOut *fanOut) abandonAll(ctx context.Context) {
	reason := caller.MissingGivenUp
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = caller.MissingDeadline
	}
	for _, attempt := range fanOut.attempts {
		fanOut.ran = true
		fanOut.coordinator.estimates.abandoned(fanOut.pool.Name, attempt)
		if shard := attempt.shard; shard.part == nil {
			shard.lost, shard.reason = true, reason
		}
	}
	for _, shard := range fanOut.shards {
		if !shard.done && ctx.Err() == nil {
			shard.reason = reason
		}
	}
}
