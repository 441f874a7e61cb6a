// This file exists so that what became of the attempts is told truly: as one
// answer with its coverage, or as one typed refusal.

package entry

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

const (
	// refusalRetryAfter is the span that a refusal names where no target
	// named one.
	refusalRetryAfter = 200 * time.Millisecond
)

// outcome says what is certain about the run of the whole request.
func (fanOut *fanOut) outcome() caller.RunOutcome {
	outcome := caller.NotRun
	if fanOut.ran {
		outcome = caller.MayHaveRun
	}
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
	if answer.Run != caller.NotRun && (kind == caller.RefusedNoReplica || kind == caller.RefusedOverloaded) {
		// These two say that nothing ran.
		kind = caller.RefusedLost
		if fanOut.hopeless() {
			kind = caller.RefusedCoverage
		}
	}
	retryAfter := refusalRetryAfter
	for _, shard := range fanOut.shards {
		retryAfter = max(retryAfter, shard.retry)
	}
	refusal := refuse(kind, answer.Run, retryAfter, "too few shards answered", "send the request again after the named span, or ask for less coverage")
	refusal.Coverage = &answer.Coverage
	return refusal
}

// overloaded refuses a request before any of its attempts was sent.
func overloaded(plan *plan) *caller.Refusal {
	coverage := &caller.Coverage{Known: true, Total: len(plan.shards)}
	for _, shard := range plan.shards {
		coverage.Missing = append(coverage.Missing, caller.MissingShard{Shard: shard.shard, Reason: caller.MissingOverloaded})
	}
	refusal := refuse(caller.RefusedOverloaded, caller.NotRun, refusalRetryAfter,
		"the targets have no room for the whole request", "send the request again after the named span, or start more targets")
	refusal.Coverage = coverage
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
