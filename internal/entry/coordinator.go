// This file exists so that one request becomes attempts at targets, and what
// comes back becomes one answer or one refusal.

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
	// fencedRetryAfter is the span that a fenced entry names.
	fencedRetryAfter = time.Second
	// recordTimeout bounds the recording of a run's outcome.
	recordTimeout = 2 * time.Second
	// recordShare is the share of the time left that an answer waits for its
	// record.
	recordShare = 2
	// grantPercent is the share of a request's time that its run right may
	// take.
	grantPercent = 90
)

type (
	// Ledger grants run rights; control.Client is the one for real use.
	Ledger interface {
		Grant(ctx context.Context, request *control.GrantRequest) (*control.Grant, error)
		Record(ctx context.Context, request *control.RecordRequest) error
	}

	// Coordinator serves requests.
	Coordinator struct {
		self    string
		board   *blackboard.Board
		homes   *Homes
		ledger  Ledger
		metrics *metrics.Metrics

		estimates Estimates
		windows   windows
	}
)

// NewCoordinator returns the coordinator of the entry with the given ID.
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
	route, refusal := coordinator.admit(request)
	if refusal != nil {
		return nil, refusal
	}
	fingerprint := blackboard.NewFingerprint(request.Kind, request.Payload)
	if left := coordinator.board.Verdicts().Quarantined(fingerprint); left > 0 {
		return nil, refuse(caller.RefusedQuarantined, caller.NotRun, left,
			"requests of this content have crashed targets", "change the request, or wait until the quarantine ends")
	}
	tables, _ := coordinator.board.InForce().Tables()
	pool, _ := tables.Pool(route.Pool)
	plan, known := coordinator.newPlan(coordinator.usable(route.Pool), request.ShardKey)
	if !known {
		refusal := refuse(caller.RefusedNoReplica, caller.NotRun, fencedRetryAfter,
			fmt.Sprintf("no target of pool %q is known, so the number of shards isn't either", route.Pool), "start targets of the pool and try again")
		refusal.Coverage = &caller.Coverage{}
		return nil, refusal
	}
	passage, admitted := coordinator.windows.enter(route.Pool, len(plan.shards), request.Timeout.Std())
	if !admitted {
		return nil, overloaded(plan)
	}
	defer passage.leave()
	once := !request.Idempotent || route.NeverRepeat
	nonce := rand.Uint64()
	if once {
		if refusal := coordinator.takeRunRight(ctx, request, nonce); refusal != nil {
			return nil, refusal
		}
	}
	fanOut := &fanOut{coordinator: coordinator, request: request, plan: plan, passage: passage, pool: pool, fingerprint: fingerprint, nonce: nonce, deadline: deadline, once: once}
	fanOut.run(ctx)
	if once {
		coordinator.record(ctx, request, nonce, fanOut.outcome())
	}
	return fanOut.conclude(ctx)
}

// admit refuses what this entry must not or can't serve.
func (coordinator *Coordinator) admit(request *caller.Request) (operator.Route, *caller.Refusal) {
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
		return operator.Route{}, refuse(caller.RefusedFenced, caller.NotRun, fencedRetryAfter, "this entry holds no lease from control", "use another entry")
	}
	tables, _ := coordinator.board.InForce().Tables()
	route, known := tables.Route(request.Kind)
	if !known {
		return operator.Route{}, refuse(caller.RefusedUnknownKind, caller.NotRun, 0, fmt.Sprintf("kind %q has no route", request.Kind), "use a kind of the table of routes")
	}
	return route, nil
}

// usable returns the announcements of a pool's targets that may get new work.
func (coordinator *Coordinator) usable(pool string) []target.Announcement {
	tables, _ := coordinator.board.InForce().Tables()
	announcements := coordinator.board.Directory().Pool(pool)
	return slices.DeleteFunc(announcements, func(announcement target.Announcement) bool {
		return announcement.State == target.Leaving || tables.Out(announcement.FailureDomain)
	})
}

func (coordinator *Coordinator) newPlan(usable []target.Announcement, shardKey string) (*plan, bool) {
	view := coordinator.board.Membership().View()
	self, _ := view.Member(coordinator.self)
	made, known := newPlan(usable, shardKey)
	if known {
		made.failureDomain = self.FailureDomain
	}
	return made, known
}

// takeRunRight gives up while there is time for the caller to be told, and to
// send the request again.
func (coordinator *Coordinator) takeRunRight(ctx context.Context, request *caller.Request, nonce uint64) *caller.Refusal {
	deadline, _ := ctx.Deadline()
	granting, cancel := context.WithTimeout(ctx, time.Until(deadline)*grantPercent/100)
	defer cancel()
	grant, err := coordinator.ledger.Grant(granting, &control.GrantRequest{RequestID: request.ID, Nonce: nonce})
	if err != nil {
		// The right may have been granted though the reply was lost. Nothing
		// was sent, so that a resend may run.
		go coordinator.record(ctx, request, nonce, caller.NotRun)
		return refuse(caller.RefusedUnavailable, caller.NotRun, fencedRetryAfter, "no run right could be had: "+err.Error(), "send the request again with the same ID")
	}
	if grant.Expired {
		return refuse(caller.RefusedExpired, caller.NotRun, 0, "the request ID has expired", "find out whether an earlier sending ran, then use a new ID")
	}
	if !grant.Granted {
		return refuse(caller.RefusedRepeat, grant.Outcome, 0, "an earlier sending of this ID has the run right", "read its outcome in the field run; don't send it again under a new ID unless it didn't run")
	}
	return nil
}

// record tells the ledger what became of a run. It holds the answer back for
// no longer than half of the time that the request has left, and goes on
// behind it: without the record a resend is told that the request may have
// run, which is true.
func (coordinator *Coordinator) record(ctx context.Context, request *caller.Request, nonce uint64, outcome caller.RunOutcome) {
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
		defer cancel()
		_ = coordinator.ledger.Record(ctx, &control.RecordRequest{RequestID: request.ID, Nonce: nonce, Outcome: outcome})
	}()
	deadline, _ := ctx.Deadline()
	timer := time.NewTimer(time.Until(deadline) / recordShare)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func refuse(kind caller.RefusalKind, run caller.RunOutcome, retryAfter time.Duration, message, remedy string) *caller.Refusal {
	return &caller.Refusal{Kind: kind, Run: run, RetryAfter: duration.Of(retryAfter), Message: message, Remedy: remedy}
}
