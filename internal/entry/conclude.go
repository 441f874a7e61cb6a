// Conclusion of a request: the results of its attempts become one answer with
// its coverage, or one typed refusal.

package entry

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

const (
	// refusalRetryAfter is the shortest retry delay in a refusal. A target may
	// demand a longer one.
	refusalRetryAfter = 200 * time.Millisecond
)

// runOutcome returns whether the request as a whole ran, as far as this entry knows.
func (fanOut *fanOut) runOutcome() caller.RunOutcome {
	runOutcome := caller.NotRun
	if fanOut.ran {
		runOutcome = caller.MayHaveRun
	}
	for _, shard := range fanOut.shards {
		if shard.part == nil && shard.lost {
			return caller.MayHaveRun
		}
		if shard.part != nil {
			runOutcome = caller.DidRun
		}
	}
	return runOutcome
}

// conclude returns the answer, or a refusal if no shard answered or the coverage
// is below the minimum.
func (fanOut *fanOut) conclude(ctx context.Context) (*caller.Answer, *caller.Refusal) {
	answer := &caller.Answer{
		RequestID: fanOut.request.ID, Snapshot: fanOut.plan.snapshot, Run: fanOut.runOutcome(), Attempts: fanOut.attemptsSent, Parts: []caller.Part{},
	}
	answer.Coverage = caller.Coverage{Known: true, Total: len(fanOut.shards)}
	for _, shard := range fanOut.shards {
		if shard.part != nil {
			answer.Coverage.Answered++
			answer.Parts = append(answer.Parts, *shard.part)
			continue
		}
		answer.Coverage.Missing = append(answer.Coverage.Missing, caller.MissingShard{Shard: shard.plan.number, Reason: shard.missingReason})
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
		// Both kinds state that nothing ran.
		kind = caller.RefusedAnswerLost
		if fanOut.coverageUnreachable() {
			kind = caller.RefusedCoverage
		}
	}
	retryAfter := refusalRetryAfter
	for _, shard := range fanOut.shards {
		retryAfter = max(retryAfter, shard.retryDelay)
	}
	refusal := refuse(kind, answer.Run, retryAfter, "too few shards answered", "send the request again after the named span, or ask for less coverage")
	refusal.Coverage = &answer.Coverage
	return refusal
}

// overloadedRefusal returns the refusal of a request for which its pool has no room.
// None of its attempts was sent.
func overloadedRefusal(plan *plan) *caller.Refusal {
	coverage := &caller.Coverage{Known: true, Total: len(plan.shards)}
	for _, shard := range plan.shards {
		coverage.Missing = append(coverage.Missing, caller.MissingShard{Shard: shard.number, Reason: caller.MissingOverloaded})
	}
	refusal := refuse(caller.RefusedOverloaded, caller.NotRun, refusalRetryAfter,
		"the targets have no room for the whole request", "send the request again after the named span, or start more targets")
	refusal.Coverage = coverage
	return refusal
}

// refusalKind returns RefusedCancelled if the request was cancelled. Otherwise it
// derives the kind of the refusal from the reasons of the missing shards, by
// precedence.
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
		return caller.RefusedAnswerLost
	case has(caller.MissingDeadline):
		return caller.RefusedDeadline
	case has(caller.MissingOverloaded):
		return caller.RefusedOverloaded
	}
	return caller.RefusedNoReplica
}
