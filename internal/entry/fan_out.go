// This file exists so that the attempts of one request are followed by one
// goroutine, which alone decides what is sent next.

package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/target"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

const (
	// hedgeDelay is the span after which a shard without an answer gets a
	// hedge.
	hedgeDelay = 20 * time.Millisecond
	// refusalRetryAfter is the span that a refusal names where no target
	// named one.
	refusalRetryAfter = 200 * time.Millisecond
)

type (
	// fanOut is the progress of one request.
	fanOut struct {
		coordinator *Coordinator
		request     *caller.Request
		plan        *plan
		pool        string
		fingerprint uint64
		nonce       uint64
		deadline    time.Time
		// once states that each shard is attempted at most once.
		once bool

		shards   []*shardProgress
		attempts map[string]*attemptProgress
		reports  chan *Report
		sent     int
	}

	// shardProgress is the progress of one shard.
	shardProgress struct {
		plan    shardPlan
		next    int
		pending int
		// runs counts the attempts that ran or may have run.
		runs   int
		part   *caller.Part
		reason caller.MissingReason
		lost   bool
		retry  time.Duration
	}

	attemptProgress struct {
		shard    *shardProgress
		targetID string
	}
)

// run sends the attempts and follows them until each shard is answered or can
// get no further attempt.
func (fanOut *fanOut) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fanOut.attempts = map[string]*attemptProgress{}
	fanOut.reports = make(chan *Report, len(fanOut.plan.shards))
	for _, shardPlan := range fanOut.plan.shards {
		fanOut.shards = append(fanOut.shards, &shardProgress{plan: shardPlan, reason: caller.MissingNoReplica})
	}
	fanOut.send(ctx, fanOut.shards, false)
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for fanOut.pending() > 0 {
		select {
		case <-ctx.Done():
			fanOut.abandon()
			return
		case report := <-fanOut.reports:
			fanOut.take(ctx, report)
		case <-hedge.C:
			fanOut.hedge(ctx)
		}
	}
}

// pending counts the attempts whose shard still lacks an answer.
func (fanOut *fanOut) pending() int {
	pending := 0
	for _, shard := range fanOut.shards {
		if shard.part == nil {
			pending += shard.pending
		}
	}
	return pending
}

// send gives each of the shards one more attempt, in one batch for each home.
func (fanOut *fanOut) send(ctx context.Context, shards []*shardProgress, hedge bool) {
	batches := map[string]*Batch{}
	homes := map[string]membership.Member{}
	for _, shard := range shards {
		announcement, home, found := fanOut.nextCandidate(shard)
		if !found {
			continue
		}
		batch, known := batches[home.ID]
		if !known {
			batch = fanOut.newBatch()
			batches[home.ID], homes[home.ID] = batch, home
		}
		fanOut.sent++
		attemptID := fmt.Sprintf("%016x-%d-%d", fanOut.nonce, shard.plan.shard, fanOut.sent)
		shard.pending++
		fanOut.attempts[attemptID] = &attemptProgress{shard: shard, targetID: announcement}
		batch.Attempts = append(batch.Attempts, BatchItem{
			AttemptID: attemptID, TargetID: announcement, Shard: shard.plan.shard,
			IndexVersion: fanOut.plan.snapshot.IndexVersion, Hedge: hedge,
		})
	}
	for id, batch := range batches {
		go fanOut.coordinator.homes.Run(ctx, homes[id], batch, func(report *Report) {
			select {
			case fanOut.reports <- report:
			case <-ctx.Done():
			}
		})
	}
}

// nextCandidate returns the shard's next target that has a home, if the
// allowed runs permit one more.
func (fanOut *fanOut) nextCandidate(shard *shardProgress) (string, membership.Member, bool) {
	if shard.runs+shard.pending >= fanOut.request.AllowedRuns() || fanOut.once && shard.pending > 0 {
		return "", membership.Member{}, false
	}
	for shard.next < len(shard.plan.candidates) {
		announcement := shard.plan.candidates[shard.next]
		shard.next++
		home, found := fanOut.coordinator.board.HomeOf(&announcement)
		if found {
			return announcement.ID, home, true
		}
	}
	return "", membership.Member{}, false
}

func (fanOut *fanOut) newBatch() *Batch {
	return &Batch{
		RequestID: string(fanOut.request.ID), Kind: fanOut.request.Kind, Payload: fanOut.request.Payload,
		Fingerprint: fanOut.fingerprint, Timeout: time.Until(fanOut.deadline), Layout: fanOut.plan.snapshot.Layout,
	}
}

func (fanOut *fanOut) take(ctx context.Context, report *Report) {
	attempt, known := fanOut.attempts[report.AttemptID]
	if !known {
		return
	}
	delete(fanOut.attempts, report.AttemptID)
	shard := attempt.shard
	shard.pending--
	switch outcome := report.outcome().(type) {
	case target.Answered:
		shard.runs++
		fanOut.answer(shard, attempt.targetID, &outcome)
	case target.NotRun:
		shard.reason, shard.retry = outcome.Reason, outcome.RetryAfter
		fanOut.send(ctx, []*shardProgress{shard}, false)
	case target.Lost:
		shard.runs++
		shard.reason, shard.lost = outcome.Reason, true
		if !fanOut.once {
			fanOut.send(ctx, []*shardProgress{shard}, false)
		}
	}
}

func (fanOut *fanOut) answer(shard *shardProgress, targetID string, answered *target.Answered) {
	if shard.part != nil || answered.Result.IndexVersion != fanOut.plan.snapshot.IndexVersion || answered.Result.Layout != fanOut.plan.snapshot.Layout {
		return
	}
	shard.part = &caller.Part{Shard: shard.plan.shard, Target: targetID, Payload: answered.Result.Payload}
}

func (fanOut *fanOut) hedge(ctx context.Context) {
	if fanOut.once {
		return
	}
	var late []*shardProgress
	for _, shard := range fanOut.shards {
		if shard.part == nil && shard.pending > 0 {
			late = append(late, shard)
		}
	}
	fanOut.send(ctx, late, true)
}

// abandon gives up on all attempts in progress; each may have run.
func (fanOut *fanOut) abandon() {
	for _, shard := range fanOut.shards {
		if shard.part == nil && shard.pending > 0 {
			shard.lost, shard.reason = true, caller.MissingDeadline
		}
	}
}

// outcome says what is certain about the run of the whole request.
func (fanOut *fanOut) outcome() caller.RunOutcome {
	outcome := caller.NotRun
	for _, shard := range fanOut.shards {
		if shard.part == nil && shard.lost {
			return caller.MayHaveRun
		}
		if shard.part != nil {
			outcome = caller.DidRun
		}
	}
	return outcome
}

// conclude makes the answer, or the refusal where there is none to give.
func (fanOut *fanOut) conclude(ctx context.Context) (*caller.Answer, *caller.Refusal) {
	answer := &caller.Answer{
		RequestID: fanOut.request.ID, Snapshot: fanOut.plan.snapshot, Run: fanOut.outcome(), Attempts: fanOut.sent, Parts: []caller.Part{},
	}
	answer.Coverage = caller.Coverage{Known: true, Total: len(fanOut.shards)}
	for _, shard := range fanOut.shards {
		if shard.part != nil {
			answer.Coverage.Answered++
			answer.Parts = append(answer.Parts, *shard.part)
			continue
		}
		answer.Coverage.Missing = append(answer.Coverage.Missing, caller.MissingShard{Shard: shard.plan.shard, Reason: shard.reason})
	}
	answer.Coverage.Complete = answer.Coverage.Answered == answer.Coverage.Total
	if answer.Coverage.Answered > 0 && answer.Coverage.Share() >= fanOut.request.MinimumCoverage {
		return answer, nil
	}
	return nil, fanOut.refusal(ctx, answer)
}

func (fanOut *fanOut) refusal(ctx context.Context, answer *caller.Answer) *caller.Refusal {
	kind := caller.RefusedCoverage
	if answer.Coverage.Answered == 0 {
		kind = refusalKind(ctx, answer.Coverage.Missing)
	}
	retryAfter := refusalRetryAfter
	for _, shard := range fanOut.shards {
		retryAfter = max(retryAfter, shard.retry)
	}
	refusal := refuse(kind, answer.Run, retryAfter, "too few shards answered", "send the request again after the named span, or ask for less coverage")
	refusal.Coverage = &answer.Coverage
	return refusal
}

// refusalKind names the reason that most missing shards share.
func refusalKind(ctx context.Context, missing []caller.MissingShard) caller.RefusalKind {
	if errors.Is(ctx.Err(), context.Canceled) {
		return caller.RefusedCancelled
	}
	has := func(reason caller.MissingReason) bool {
		return slices.ContainsFunc(missing, func(missingShard caller.MissingShard) bool { return missingShard.Reason == reason })
	}
	switch {
	case has(caller.MissingQuarantined):
		return caller.RefusedQuarantined
	case has(caller.MissingLost):
		return caller.RefusedLost
	case has(caller.MissingDeadline):
		return caller.RefusedDeadline
	case has(caller.MissingOverloaded):
		return caller.RefusedOverloaded
	}
	return caller.RefusedNoReplica
}
