// This file exists so that one process alone decides what a target bears: the
// entry that is its home.

package target

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	tracerName = "gitlab.com/comfreythread/comfreythread/internal/target"
	// notHomeRetryAfter is the span that a refusal names while a target
	// moves between homes.
	notHomeRetryAfter = 500 * time.Millisecond
)

type (
	// Home runs attempts at the targets that this entry is home to.
	Home struct {
		self    string
		board   *blackboard.Board
		dial    tcp.Dialer
		metrics *metrics.Metrics

		lock  sync.Mutex
		lanes map[string]*lane
		// view is the newest settled view that was seen, since seenAt.
		view   uint64
		seenAt time.Time
	}
)

// NewHome returns the home role of the entry with the given ID.
func NewHome(self string, board *blackboard.Board, dial tcp.Dialer, metrics *metrics.Metrics) *Home {
	return &Home{self: self, board: board, dial: dial, metrics: metrics, lanes: map[string]*lane{}}
}

// Run runs an attempt and says what became of it.
func (home *Home) Run(ctx context.Context, attempt *Attempt) Outcome {
	ctx, cancel := context.WithDeadline(ctx, attempt.Run.Deadline)
	defer cancel()
	ctx, span := otel.Tracer(tracerName).Start(ctx, "target attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	announcement, refusal := home.admit(attempt)
	if refusal != nil {
		return refusal
	}
	outcome := home.run(ctx, &announcement, attempt)
	home.metrics.Outcomes().WithLabelValues(announcement.Pool, name(outcome)).Inc()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("comfreythread.target", attempt.TargetID),
			attribute.String("comfreythread.why", string(attempt.Why)), attribute.String("comfreythread.outcome", name(outcome)))
	}
	return outcome
}

// Load returns what this home knows of a target's load.
func (home *Home) Load(targetID string) Load {
	home.lock.Lock()
	found, known := home.lanes[targetID]
	home.lock.Unlock()
	if !known {
		return Load{}
	}
	return found.gate.load()
}

func (home *Home) run(ctx context.Context, announcement *target.Announcement, attempt *Attempt) Outcome {
	lane := home.lane(announcement)
	queuedAt := time.Now()
	admission, refusal := lane.gate.acquire(ctx, attempt.Run.Deadline, priorityOf(attempt.Run.RequestID), attempt.Why != First)
	home.metrics.Queue().WithLabelValues(announcement.Pool).Observe(time.Since(queuedAt).Seconds())
	if refusal != nil {
		return refusal
	}
	home.metrics.Slots().WithLabelValues(announcement.Pool).Inc()
	admitted := &run{home: home, lane: lane, pool: announcement.Pool, attempt: attempt, admission: admission, outcomes: make(chan Outcome, 1), ended: make(chan struct{})}
	// The wait may have been long: what allowed the run may have ended.
	if _, refusal := home.admit(attempt); refusal != nil {
		admitted.release(false)
		return refusal
	}
	message, err := encode(ctx, http.MethodPost, announcement.Address, target.RunPath, &attempt.Run)
	if err != nil {
		admitted.release(false)
		return NotRun{Reason: caller.MissingLost}
	}
	if err := admitted.connect(ctx); err != nil {
		return home.unconnected(ctx, admitted, err)
	}
	home.metrics.Attempts().WithLabelValues(announcement.Pool, string(attempt.Why)).Inc()
	return admitted.do(ctx, message)
}

// priorityOf spreads requests evenly from 0 to 1, alike at all homes.
func priorityOf(requestID string) float64 {
	return float64(xxhash.Sum64String(requestID)) / math.MaxUint64
}

// unconnected ends a run for which no connection could be had.
func (home *Home) unconnected(ctx context.Context, unsent *run, err error) Outcome {
	if !errors.Is(err, errNoConnection) && ctx.Err() == nil {
		unsent.lane.gate.turnCold()
	}
	unsent.release(false)
	if ctx.Err() != nil {
		return NotRun{Reason: caller.MissingDeadline, RetryAfter: overloadRetryAfter}
	}
	return NotRun{Reason: caller.MissingNoReplica, RetryAfter: notHomeRetryAfter}
}

// admit says whether the attempt may go to its target at present.
func (home *Home) admit(attempt *Attempt) (target.Announcement, Outcome) {
	refuse := func(reason caller.MissingReason) (target.Announcement, Outcome) {
		return target.Announcement{}, NotRun{Reason: reason, RetryAfter: notHomeRetryAfter}
	}
	if home.board.InForce().Fenced() {
		return refuse(caller.MissingNoReplica)
	}
	if home.board.Verdicts().Quarantined(blackboard.Fingerprint(attempt.Fingerprint)) > 0 {
		return refuse(caller.MissingQuarantined)
	}
	announcement, known := home.board.Directory().Get(attempt.TargetID)
	if !known || announcement.State == target.Leaving {
		return refuse(caller.MissingNoReplica)
	}
	tables, _ := home.board.InForce().Tables()
	if tables.Out(announcement.FailureDomain) {
		return refuse(caller.MissingNoReplica)
	}
	member, found := home.board.HomeOf(&announcement)
	if !found || member.ID != home.self || !home.board.Membership().Settled() {
		return target.Announcement{}, NotRun{Reason: caller.MissingNoReplica, RetryAfter: notHomeRetryAfter, Moving: true}
	}
	return announcement, nil
}

// lane returns the state of a target. A target that is new here is cold, and
// an earlier home may have used up its cold rate until the view settled.
func (home *Home) lane(announcement *target.Announcement) *lane {
	tables, _ := home.board.InForce().Tables()
	pool, _ := tables.Pool(announcement.Pool)
	home.lock.Lock()
	defer home.lock.Unlock()
	if view := home.board.Membership().View().Number; view != home.view {
		home.view, home.seenAt = view, time.Now()
	}
	found, known := home.lanes[announcement.ID]
	if !known {
		found = &lane{dial: home.dial}
		home.lanes[announcement.ID] = found
	}
	found.update(announcement, pool)
	if !known {
		found.gate.assumeFull(home.seenAt)
	}
	return found
}

// leaving stops new work for a target that says that it leaves, before its
// announcement does.
func (home *Home) leaving(targetID string, incarnation uint64) {
	announcement, known := home.board.Directory().Get(targetID)
	if known && announcement.Incarnation == incarnation && announcement.State != target.Leaving {
		announcement.State = target.Leaving
		announcement.Revision++
		_, _ = home.board.Directory().Put(announcement)
	}
}

// strike records that a target was lost while it ran the attempt's request.
func (home *Home) strike(attempt *Attempt) {
	home.board.Verdicts().Strike(blackboard.Fingerprint(attempt.Fingerprint), attempt.TargetID)
}

// Close closes the idle connections to all targets.
func (home *Home) Close() {
	home.lock.Lock()
	defer home.lock.Unlock()
	for _, lane := range home.lanes {
		lane.closeIdle()
	}
}
