// Execution of one admitted run. The run occupies its slot until it has
// certainly ended at the target, even if its caller gave up before.

package target

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// clockLagMargin is the maximum by which a target's clock is assumed to
	// lag.
	clockLagMargin = 50 * time.Millisecond
	// cancelRetryDelay is the delay before a failed cancel is retried. It
	// doubles with each retry.
	cancelRetryDelay = 20 * time.Millisecond
)

type (
	// run is one attempt that was admitted to a target.
	run struct {
		home      *Home
		lane      *lane
		use       *use
		pool      string
		attempt   *Attempt
		admission admission
		exchange  *exchange
		// responseTimer ends the wait for the response.
		responseTimer *time.Timer
		outcomes      chan Outcome
		// abandoned states that the caller no longer waits for the outcome.
		abandoned atomic.Bool
		// ended is closed once the run no longer occupies a slot.
		ended       chan struct{}
		releaseOnce sync.Once
		cancelOnce  sync.Once
	}
)

// connect acquires a connection and starts the run's exchange on it. It waits
// for a connection until ctx ends.
func (run *run) connect(ctx context.Context) error {
	var since time.Time
	if run.attempt.ActiveWithin > 0 {
		since = time.Now().Add(-run.attempt.ActiveWithin)
	}
	for {
		connection, err := run.lane.acquireConnection(ctx, since)
		if err != nil {
			return err
		}
		if !run.lane.gate.isCurrent(run.admission) {
			run.lane.returnConnection(connection)
			return errTurnedCold
		}
		if run.start(connection) {
			return nil
		}
	}
}

// start begins the run's exchange on a connection. It returns false if the
// connection has broken.
func (run *run) start(connection *connection) bool {
	run.exchange = newExchange(connection, run.handleResponse)
	run.responseTimer = time.AfterFunc(time.Until(run.attempt.Run.Deadline)+clockLagMargin, run.expire)
	if !run.exchange.start() {
		run.responseTimer.Stop()
		return false
	}
	return true
}

// execute sends the run and waits for its outcome or until ctx ends.
func (run *run) execute(ctx context.Context, message []byte) Outcome {
	connection := run.exchange.connection
	run.exchange.write(message, run.attempt.Run.Deadline)
	suspectTimer := newOptionalTimer(run.attempt.SuspectAfter)
	defer suspectTimer.Stop()
	for {
		select {
		case outcome := <-run.outcomes:
			return outcome
		case <-suspectTimer.C:
			if connection.lastRead().Before(run.exchange.startedAt) {
				run.lane.probeSilent(run.exchange.startedAt)
			}
		case <-ctx.Done():
			run.abandoned.Store(true)
			run.startCancel()
			return Lost{Reason: caller.MissingDeadline}
		}
	}
}

// newOptionalTimer returns a timer, which never fires if the delay isn't
// positive.
func newOptionalTimer(delay time.Duration) *time.Timer {
	if delay <= 0 {
		timer := time.NewTimer(time.Hour)
		timer.Stop()
		return timer
	}
	return time.NewTimer(delay)
}

// release frees the slot. Only the first call has an effect.
func (run *run) release(answered bool) {
	run.releaseOnce.Do(func() {
		run.lane.gate.release(run.admission, answered)
		close(run.ended)
		if run.exchange != nil && !run.exchange.isPending() {
			run.responseTimer.Stop()
		}
		run.home.metrics.SlotsInUse().WithLabelValues(run.pool).Dec()
		run.use.finish()
	})
}

// expire ends a run whose deadline has passed at the target too, or whose home
// has cancelled all attempts.
func (run *run) expire() {
	if run.exchange.isPending() {
		run.exchange.connection.closeLocally()
	}
	run.release(false)
}

// handleResponse handles the response to the run, or the error if its
// connection broke.
func (run *run) handleResponse(received *response, err error) {
	if err != nil {
		run.outcomes <- run.broken(err)
		return
	}
	result, shed, err := received.decode(&run.attempt.Run)
	if received.hasTrailingBytes {
		run.home.metrics.DroppedAnswers().WithLabelValues(dropReasonDuplicated).Inc()
	}
	if err != nil || received.closesConnection || received.hasTrailingBytes {
		run.exchange.connection.closeLocally()
	} else {
		run.lane.returnConnection(run.exchange.connection)
	}
	switch {
	case err != nil:
		run.outcomes <- run.invalid(err)
	case shed != nil:
		run.outcomes <- run.shed(shed)
	default:
		run.outcomes <- run.answered(result)
	}
}

func (run *run) answered(result *target.Result) Outcome {
	if run.abandoned.Load() {
		run.home.metrics.DroppedAnswers().WithLabelValues(dropReasonLate).Inc()
	}
	current := run.lane.observeIncarnation(result.Incarnation)
	run.release(current)
	run.home.board.Verdicts().RecordAnswer(blackboard.Fingerprint(run.attempt.Fingerprint))
	if result.Leaving {
		run.home.markLeaving(run.attempt.TargetID, result.Incarnation)
	}
	return Answered{Result: *result}
}

func (run *run) shed(shed *target.Shed) Outcome {
	run.home.metrics.Sheds().WithLabelValues(run.pool, string(shed.Reason)).Inc()
	run.lane.observeIncarnation(shed.Incarnation)
	run.release(false)
	reason := caller.MissingOverloaded
	switch shed.Reason {
	case target.ShedCold, target.ShedOverloaded:
		run.lane.gate.turnCold()
	case target.ShedVersion:
		reason = caller.MissingVersion
	case target.ShedLeaving:
		reason = caller.MissingNoReplica
		run.home.markLeaving(run.attempt.TargetID, shed.Incarnation)
	case target.ShedCancelled:
		reason = caller.MissingDeadline
	}
	if shed.Ran {
		return Lost{Reason: reason}
	}
	return NotRun{Reason: reason, RetryAfter: shed.RetryAfter.Std()}
}

// invalid handles an answer that is damaged or doesn't belong to this run. The
// run itself may still be in progress.
func (run *run) invalid(err error) Outcome {
	run.home.metrics.DroppedAnswers().WithLabelValues(dropReason(err)).Inc()
	run.startCancel()
	return Lost{Reason: caller.MissingLost}
}

// broken handles a broken connection, which may mean that the target restarted.
func (run *run) broken(err error) Outcome {
	written := run.exchange.written.Load()
	if run.exchange.connection.isLocallyClosed() {
		return Lost{Reason: caller.MissingDeadline}
	}
	if reason := dropReason(err); reason == "truncated" {
		run.home.metrics.DroppedAnswers().WithLabelValues(reason).Inc()
	}
	run.lane.gate.turnCold()
	run.exchange.connection.closeLocally()
	if written == 0 {
		run.release(false)
		return NotRun{Reason: caller.MissingLost, RetryAfter: notHomeRetryAfter}
	}
	run.home.strike(run.attempt)
	run.startCancel()
	return Lost{Reason: caller.MissingLost, Broken: true}
}

// startCancel asks the target, on another connection, to cancel the run. The
// slot stays in use until the target confirms that the run has ended, or until
// the deadline has passed.
func (run *run) startCancel() {
	run.cancelOnce.Do(func() { go run.sendCancel() })
}

func (run *run) sendCancel() {
	ctx, stop := context.WithDeadline(context.Background(), run.attempt.Run.Deadline)
	defer stop()
	delay := cancelRetryDelay
	for ctx.Err() == nil {
		if run.tryCancel(ctx) {
			run.release(false)
			return
		}
		select {
		case <-run.ended:
			return
		case <-ctx.Done():
			return
		case <-time.After(delay):
			delay *= 2
		}
	}
}

// tryCancel reports whether the target confirmed that the run has ended.
func (run *run) tryCancel(ctx context.Context) bool {
	lane := run.lane
	lane.lock.Lock()
	address, timeout := lane.address, lane.pool.ConnectTimeout.Std()
	lane.lock.Unlock()
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	connection, err := lane.acquireConnection(ctx, run.exchange.startedAt)
	if err != nil {
		return false
	}
	message := &target.Cancel{RequestID: run.attempt.Run.RequestID, AttemptID: run.attempt.Run.AttemptID, Deadline: run.attempt.Run.Deadline}
	reply, err := lane.roundTrip(ctx, connection, http.MethodPost, address, target.CancelPath, message)
	return err == nil && reply.status/100 == http.StatusOK/100
}
