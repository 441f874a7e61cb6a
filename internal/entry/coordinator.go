// Coordinator of a request: admission, plan, run right, and the attempts at
// targets.

package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	tracerName = "gitlab.com/comfreythread/comfreythread/internal/entry"
	// unavailableRetryAfter is the retry delay in a refusal because the entry is
	// fenced, control is unavailable, or no target of the pool is known.
	unavailableRetryAfter = time.Second
	// recordTimeout bounds the call that records the outcome of a run.
	recordTimeout = 2 * time.Second
	// recordDivisor limits the time that an answer waits until the outcome of its run
	// is recorded. The limit is the remaining time divided by recordDivisor.
	recordDivisor = 2
	// grantPercent is the percentage of the remaining time that the grant of a
	// run right may take.
	grantPercent = 90
)

type (
	// Ledger grants run rights and records the outcomes of runs. A request that
	// must not run more than once is sent to targets only with a run right, which
	// only one sending of the request by its caller gets. control.Client implements
	// Ledger.
	Ledger interface {
		Grant(ctx context.Context, request *control.GrantRequest) (*control.Grant, error)
		Record(ctx context.Context, request *control.RecordRequest) error
	}

	// Coordinator serves the requests of callers.
	Coordinator struct {
		self    string
		board   *blackboard.Board
		homes   *Homes
		ledger  Ledger
		metrics *metrics.Metrics

		estimates         Estimates
		congestionWindows congestionWindows
	}
)

// NewCoordinator returns a coordinator for the entry with the given ID.
func NewCoordinator(self string, board *blackboard.Board, homes *Homes, ledger Ledger, metrics *metrics.Metrics) *Coordinator {
	return &Coordinator{self: self, board: board, homes: homes, ledger: ledger, metrics: metrics}
}

// Run serves one request. Exactly one of the two results is not nil.
func (coordinator *Coordinator) Run(ctx context.Context, request *caller.Request) (*caller.Answer, *caller.Refusal) {
	start := time.Now()
	ctx, span := otel.Tracer(tracerName).Start(ctx, "request", trace.WithAttributes(
		attribute.String("comfreythread.request_id", string(request.ID)),
		attribute.String("comfreythread.kind", request.Kind)))
	defer span.End()
	answer, refusal := coordinator.run(ctx, request)
	coordinator.metrics.Latency().WithLabelValues(request.Kind).Observe(time.Since(start).Seconds())
	if refusal != nil {
		refusal.RequestID = request.ID
		coordinator.metrics.Refusals().WithLabelValues(string(refusal.Kind)).Inc()
		span.SetAttributes(attribute.String("comfreythread.refusal", string(refusal.Kind)))
		return nil, refusal
	}
	coordinator.metrics.Coverage().WithLabelValues(request.Kind).Observe(answer.Coverage.Share())
	return answer, nil
}

func (coordinator *Coordinator) run(ctx context.Context, request *caller.Request) (*caller.Answer, *caller.Refusal) {
	deadline := time.Now().Add(request.Timeout.Std())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	route, refusal := coordinator.validate(request)
	if refusal != nil {
		return nil, refusal
	}
	fingerprint := blackboard.NewFingerprint(request.Kind, request.Payload)
	if left := coordinator.board.Verdicts().RemainingQuarantine(fingerprint); left > 0 {
		return nil, refuse(caller.RefusedQuarantined, caller.NotRun, left,
			"requests of this content have crashed targets", "change the request, or wait until the quarantine ends")
	}
	tables, _ := coordinator.board.InForce().Tables()
	pool, _ := tables.Pool(route.Pool)
	plan, planned := coordinator.buildPlan(coordinator.usableTargets(route.Pool), request.ShardKey)
	if !planned {
		refusal := refuse(caller.RefusedNoReplica, caller.NotRun, unavailableRetryAfter,
			fmt.Sprintf("no target of pool %q is known, so the number of shards isn't either", route.Pool), "start targets of the pool and try again")
		refusal.Coverage = &caller.Coverage{}
		return nil, refusal
	}
	admission, admitted := coordinator.congestionWindows.enter(route.Pool, len(plan.shards), request.Timeout.Std())
	if !admitted {
		return nil, overloadedRefusal(plan)
	}
	defer admission.release()
	runOnce := !request.Idempotent || route.NeverRepeat
	nonce := rand.Uint64()
	if runOnce {
		if refusal := coordinator.acquireRunRight(ctx, request, nonce); refusal != nil {
			return nil, refusal
		}
	}
	fanOut := &fanOut{coordinator: coordinator, request: request, plan: plan, admission: admission, pool: pool, fingerprint: fingerprint, nonce: nonce, deadline: deadline, runOnce: runOnce}
	fanOut.run(ctx)
	if runOnce {
		coordinator.record(ctx, request, nonce, fanOut.runOutcome())
	}
	return fanOut.conclude(ctx)
}

// validate checks a request and returns its route, or a refusal if the request is
// invalid or this entry can't serve it.
func (coordinator *Coordinator) validate(request *caller.Request) (operator.Route, *caller.Refusal) {
	if err := request.Check(); err != nil {
		return operator.Route{}, refuse(caller.RefusedBadRequest, caller.NotRun, 0, err.Error(), "mend the request")
	}
	expiry, _ := request.ID.Expiry()
	now := time.Now()
	if now.After(expiry) {
		return operator.Route{}, refuse(caller.RefusedExpired, caller.NotRun, 0, "the request ID has expired", "find out whether an earlier sending ran, then use a new ID")
	}
	if expiry.Sub(now) > caller.MaximumRequestIDLifetime {
		return operator.Route{}, refuse(caller.RefusedBadRequest, caller.NotRun, 0, "the request ID expires too late", "let it expire within "+caller.MaximumRequestIDLifetime.String())
	}
	if coordinator.board.InForce().Fenced() {
		return operator.Route{}, refuse(caller.RefusedFenced, caller.NotRun, unavailableRetryAfter, "this entry holds no lease from control", "use another entry")
	}
	tables, _ := coordinator.board.InForce().Tables()
	route, known := tables.Route(request.Kind)
	if !known {
		return operator.Route{}, refuse(caller.RefusedUnknownKind, caller.NotRun, 0, fmt.Sprintf("kind %q has no route", request.Kind), "use a kind of the table of routes")
	}
	return route, nil
}

// usableTargets returns the announcements of the pool's targets that may get new
// work.
func (coordinator *Coordinator) usableTargets(pool string) []target.Announcement {
	tables, _ := coordinator.board.InForce().Tables()
	announcements := coordinator.board.Directory().Pool(pool)
	return slices.DeleteFunc(announcements, func(announcement target.Announcement) bool {
		return announcement.State == target.Leaving || tables.IsOut(announcement.FailureDomain)
	})
}

// buildPlan returns the plan of newPlan, with the failure domain of this entry. It
// returns false if no target is known.
func (coordinator *Coordinator) buildPlan(usable []target.Announcement, shardKey string) (*plan, bool) {
	view := coordinator.board.Membership().View()
	self, _ := view.Member(coordinator.self)
	plan, planned := newPlan(usable, shardKey)
	if planned {
		plan.failureDomain = self.FailureDomain
	}
	return plan, planned
}

// acquireRunRight acquires the right to run a request that may run only once, or
// returns a refusal. It stops early enough for the caller to get the refusal and to
// resend the request within its timeout.
func (coordinator *Coordinator) acquireRunRight(ctx context.Context, request *caller.Request, nonce uint64) *caller.Refusal {
	deadline, _ := ctx.Deadline()
	grantCtx, cancel := context.WithTimeout(ctx, time.Until(deadline)*grantPercent/100)
	defer cancel()
	grant, err := coordinator.ledger.Grant(grantCtx, &control.GrantRequest{RequestID: request.ID, Nonce: nonce})
	if err != nil {
		// The right may have been granted although the reply was lost. Nothing
		// was sent to a target, so NotRun is recorded and a resend may run.
		go coordinator.record(ctx, request, nonce, caller.NotRun)
		return refuse(caller.RefusedControlUnavailable, caller.NotRun, unavailableRetryAfter, "no run right could be had: "+err.Error(), "send the request again with the same ID")
	}
	if grant.Expired {
		return refuse(caller.RefusedExpired, caller.NotRun, 0, "the request ID has expired", "find out whether an earlier sending ran, then use a new ID")
	}
	if !grant.Granted {
		return refuse(caller.RefusedAlreadySent, grant.Outcome, 0, "an earlier sending of this ID has the run right", "read its outcome in the field run; don't send it again under a new ID unless it didn't run")
	}
	return nil
}

// record records the outcome of a run in the ledger. It delays the answer for at
// most half of the remaining time and then continues in the background. Until the
// record is stored, a resend is answered with "may have run", which is correct.
func (coordinator *Coordinator) record(ctx context.Context, request *caller.Request, nonce uint64, outcome caller.RunOutcome) {
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
		defer cancel()
		_ = coordinator.ledger.Record(ctx, &control.RecordRequest{RequestID: request.ID, Nonce: nonce, Outcome: outcome})
	}()
	deadline, _ := ctx.Deadline()
	timer := time.NewTimer(time.Until(deadline) / recordDivisor)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// refuse returns a refusal with the given fields.
func refuse(kind caller.RefusalKind, run caller.RunOutcome, retryAfter time.Duration, message, remedy string) *caller.Refusal {
	return &caller.Refusal{Kind: kind, Run: run, RetryAfter: duration.Of(retryAfter), Message: message, Remedy: remedy}
}
