// The home role. At most one entry at a time is a target's home. It alone
// decides which runs the target gets, so that the target's limits hold across
// all entries.

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

	"gitlab.com/comfreythread/comfreythread/internal/answer"
	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	tracerName = "gitlab.com/comfreythread/comfreythread/internal/target"
	// notHomeRetryAfter is the retry-after of a refusal while a target can't be
	// used through this entry, for example because it is moving between homes.
	notHomeRetryAfter = 500 * time.Millisecond
)

type (
	// Home runs attempts at the targets that this entry is home to.
	Home struct {
		// self is the ID of this entry.
		self  string
		board *blackboard.Board
		dial  tcp.Dialer
		// budget bounds the memory of answers.
		budget  *answer.Budget
		metrics *metrics.Metrics

		lock  sync.Mutex
		lanes map[string]*lane
		// received holds the releases received for targets that have no lane
		// yet.
		received map[string]receivedRelease
		// releasable holds the IDs of the targets that this entry has to release
		// once another entry becomes their home.
		releasable map[string]bool
		// tallies holds the connection tallies by target ID.
		tallies map[string]*connectionTally
		history placementHistory
	}
)

// NewHome returns the home role of the entry with the given ID.
func NewHome(self string, board *blackboard.Board, dial tcp.Dialer, metrics *metrics.Metrics) *Home {
	return &Home{self: self, board: board, dial: dial, budget: &answer.Budget{}, metrics: metrics, lanes: map[string]*lane{}, received: map[string]receivedRelease{}, releasable: map[string]bool{}, tallies: map[string]*connectionTally{}}
}

// UseBudget makes the home count answers toward a budget that others may share. It must be called before the first run.
func (home *Home) UseBudget(budget *answer.Budget) {
	home.budget = budget
}

// Run runs an attempt and returns its outcome. ctx ends at the attempt's
// deadline or before.
func (home *Home) Run(ctx context.Context, attempt *Attempt) Outcome {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "target attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	announcement, refusal := home.admit(attempt)
	if refusal != nil {
		return refusal
	}
	outcome := home.run(ctx, &announcement, attempt)
	home.metrics.Outcomes().WithLabelValues(announcement.Pool, outcomeName(outcome)).Inc()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("comfreythread.target", attempt.TargetID),
			attribute.String("comfreythread.why", string(attempt.Reason)), attribute.String("comfreythread.outcome", outcomeName(outcome)))
	}
	return outcome
}

// Load returns the load of a target, or zero if this home has no lane for it.
func (home *Home) Load(targetID string) Load {
	home.lock.Lock()
	found, exists := home.lanes[targetID]
	home.lock.Unlock()
	if !exists {
		return Load{}
	}
	return found.gate.load()
}

func (home *Home) run(ctx context.Context, announcement *target.Announcement, attempt *Attempt) Outcome {
	lane, use := home.enter(ctx, announcement)
	defer use.stop()
	if refusal := lane.refuseUnconnectable(attempt.Run.Deadline); refusal != nil {
		use.finish()
		return refusal
	}
	queuedAt := time.Now()
	admission, refusal := lane.gate.acquire(use.ctx, attempt)
	home.metrics.QueueWait().WithLabelValues(announcement.Pool).Observe(time.Since(queuedAt).Seconds())
	if refusal != nil {
		use.finish()
		return refusal
	}
	home.metrics.SlotsInUse().WithLabelValues(announcement.Pool).Inc()
	admitted := &run{home: home, lane: lane, use: use, pool: announcement.Pool, attempt: attempt, admission: admission, outcomes: make(chan Outcome, 1), ended: make(chan struct{})}
	// The conditions that admitted the attempt may have changed during the wait
	// for a slot.
	if _, refusal := home.admit(attempt); refusal != nil {
		admitted.release(false)
		return refusal
	}
	if !use.start() {
		return endUnsent(use.ctx, admitted)
	}
	attempt.Run.Deadline = admission.deadline
	message, err := encodeRequest(ctx, http.MethodPost, announcement.Address, target.RunPath, &attempt.Run)
	if err != nil {
		admitted.release(false)
		return NotRun{Reason: caller.MissingLost}
	}
	if err := admitted.connect(use.ctx); err != nil {
		return endUnsent(use.ctx, admitted)
	}
	home.metrics.Attempts().WithLabelValues(announcement.Pool, string(attempt.Reason)).Inc()
	outcome := admitted.execute(use.ctx, message)
	if use.isCancelled() {
		admitted.expire()
	}
	return outcome
}

// priorityOf maps a request ID to a priority, uniformly distributed from 0 to
// 1. All homes compute the same value.
func priorityOf(requestID string) float64 {
	return float64(xxhash.Sum64String(requestID)) / math.MaxUint64
}

// endUnsent ends an admitted run that was not sent, because its attempt had
// ended or because no connection was available.
func endUnsent(ctx context.Context, unsent *run) Outcome {
	unsent.release(false)
	if ctx.Err() != nil {
		return NotRun{Reason: caller.MissingDeadline, RetryAfter: minimumOverloadRetryAfter}
	}
	return NotRun{Reason: caller.MissingNoReplica, RetryAfter: notHomeRetryAfter}
}

// admit returns the target's announcement, or a refusal if the attempt may not
// be sent to the target at present.
func (home *Home) admit(attempt *Attempt) (target.Announcement, Outcome) {
	refuse := func(reason caller.MissingReason) (target.Announcement, Outcome) {
		return target.Announcement{}, NotRun{Reason: reason, RetryAfter: notHomeRetryAfter}
	}
	if home.board.InForce().Fenced() {
		return refuse(caller.MissingNoReplica)
	}
	if home.board.Verdicts().RemainingQuarantine(blackboard.Fingerprint(attempt.Fingerprint)) > 0 {
		return refuse(caller.MissingQuarantined)
	}
	announcement, found := home.board.Directory().Get(attempt.TargetID)
	if !found || announcement.State == target.Leaving {
		return refuse(caller.MissingNoReplica)
	}
	tables, _ := home.board.InForce().Tables()
	if tables.IsOut(announcement.FailureDomain) {
		return refuse(caller.MissingNoReplica)
	}
	if !home.board.Membership().MayUse(home.self, announcement.ID, announcement.FailureDomain) {
		return target.Announcement{}, NotRun{Reason: caller.MissingNoReplica, RetryAfter: notHomeRetryAfter, Moving: true}
	}
	return announcement, nil
}

// lane returns the lane of a target, updated from its announcement and its pool's
// limits, and creates the lane if there is none. A new lane starts cold unless the
// earlier home's release states otherwise. The lock must be held.
func (home *Home) lane(announcement *target.Announcement) *lane {
	tables, _ := home.board.InForce().Tables()
	pool, _ := tables.Pool(announcement.Pool)
	found, exists := home.lanes[announcement.ID]
	if !exists {
		found = home.newLane(announcement)
		home.lanes[announcement.ID] = found
	}
	found.update(announcement, pool)
	if !exists {
		home.initializeLane(found)
	}
	return found
}

// newLane returns a new lane for a target. The lock must be held.
func (home *Home) newLane(announcement *target.Announcement) *lane {
	created := &lane{dial: home.dial, budget: home.budget, announcement: *announcement, tally: home.tally(announcement)}
	created.gate.leaseUntil, created.gate.tally = home.board.InForce().LeaseUntil, created.tally
	return created
}

// markLeaving stops new work for a target that reported in a response that it
// is leaving, before its announcement says so.
func (home *Home) markLeaving(targetID string, incarnation uint64) {
	home.board.Directory().MarkLeaving(targetID, incarnation)
}

// strike records that the connection to a target broke while the target ran the
// attempt's request, which may have crashed the target. Strikes can lead to the
// quarantine of the request's content.
func (home *Home) strike(attempt *Attempt) {
	home.board.Verdicts().RecordStrike(blackboard.Fingerprint(attempt.Fingerprint), attempt.TargetID)
}

// Close ends all attempts and closes the connections to all targets.
func (home *Home) Close() {
	home.CancelAll()
}
