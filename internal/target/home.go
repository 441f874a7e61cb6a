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
		// expected holds what earlier homes told of targets without a lane.
		expected map[string]expectation
		// held names the targets whose use this entry may pass on.
		held map[string]bool
		// tallies holds what each target may bear of connections.
		tallies map[string]*tally
		history history
	}
)

// NewHome returns the home role of the entry with the given ID.
func NewHome(self string, board *blackboard.Board, dial tcp.Dialer, metrics *metrics.Metrics) *Home {
	return &Home{self: self, board: board, dial: dial, metrics: metrics, lanes: map[string]*lane{}, expected: map[string]expectation{}, held: map[string]bool{}, tallies: map[string]*tally{}}
}

// Run runs an attempt and says what became of it. The context ends at the
// attempt's deadline or before.
func (home *Home) Run(ctx context.Context, attempt *Attempt) Outcome {
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
	lane, use := home.enter(ctx, announcement)
	defer use.stop()
	queuedAt := time.Now()
	admission, refusal := lane.gate.acquire(use.running, attempt)
	home.metrics.Queue().WithLabelValues(announcement.Pool).Observe(time.Since(queuedAt).Seconds())
	if refusal != nil {
		use.leave()
		return refusal
	}
	home.metrics.Slots().WithLabelValues(announcement.Pool).Inc()
	admitted := &run{home: home, lane: lane, use: use, pool: announcement.Pool, attempt: attempt, admission: admission, outcomes: make(chan Outcome, 1), ended: make(chan struct{})}
	// The wait may have been long: what allowed the run may have ended.
	if _, refusal := home.admit(attempt); refusal != nil {
		admitted.release(false)
		return refusal
	}
	if !use.start() {
		return unconnected(use.running, admitted)
	}
	attempt.Run.Deadline = admission.deadline
	message, err := encode(ctx, http.MethodPost, announcement.Address, target.RunPath, &attempt.Run)
	if err != nil {
		admitted.release(false)
		return NotRun{Reason: caller.MissingLost}
	}
	if err := admitted.connect(use.running); err != nil {
		return unconnected(use.running, admitted)
	}
	home.metrics.Attempts().WithLabelValues(announcement.Pool, string(attempt.Why)).Inc()
	outcome := admitted.do(use.running, message)
	if use.isCut() {
		admitted.expire()
	}
	return outcome
}

// priorityOf spreads requests evenly from 0 to 1, alike at all homes.
func priorityOf(requestID string) float64 {
	return float64(xxhash.Sum64String(requestID)) / math.MaxUint64
}

// unconnected ends a run for which no connection could be had.
func unconnected(ctx context.Context, unsent *run) Outcome {
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
	if !home.board.Membership().Holds(home.self, announcement.ID, announcement.FailureDomain) {
		return target.Announcement{}, NotRun{Reason: caller.MissingNoReplica, RetryAfter: notHomeRetryAfter, Moving: true}
	}
	return announcement, nil
}

// lane returns the state of a target. A target that is new here is cold, and
// an earlier home may have used up its cold rate until the view settled or the
// target was released. The lock is held.
func (home *Home) lane(announcement *target.Announcement) *lane {
	tables, _ := home.board.InForce().Tables()
	pool, _ := tables.Pool(announcement.Pool)
	found, known := home.lanes[announcement.ID]
	if !known {
		found = home.newLane(announcement)
		home.lanes[announcement.ID] = found
	}
	found.update(announcement, pool)
	if !known {
		home.takeOver(found)
	}
	return found
}

// newLane returns the lane of a target that had none. The lock is held.
func (home *Home) newLane(announcement *target.Announcement) *lane {
	made := &lane{dial: home.dial, announcement: *announcement, tally: home.tally(announcement)}
	made.gate.leaseUntil, made.gate.tally = home.board.InForce().LeaseUntil, made.tally
	return made
}

// leaving stops new work for a target that says that it leaves, before its
// announcement does.
func (home *Home) leaving(targetID string, incarnation uint64) {
	home.board.Directory().Leave(targetID, incarnation)
}

// strike records that a target was lost while it ran the attempt's request.
func (home *Home) strike(attempt *Attempt) {
	home.board.Verdicts().Strike(blackboard.Fingerprint(attempt.Fingerprint), attempt.TargetID)
}

// Close ends all attempts and closes the connections to all targets.
func (home *Home) Close() {
	home.Cut()
}
