// Execution of one admitted run. The run occupies its slot until it has
// certainly ended at the target, even if its caller gave up before.

package target

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/answer"
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
		// abandoned is true if nothing waits for the outcome any more.
		abandoned atomic.Bool
		// ended is closed once the run no longer occupies a slot.
		ended       chan struct{}
		releaseOnce sync.Once
		cancelOnce  sync.Once
	}
)

// connect acquires a connection and starts the run's exchange on it. It waits
// for a connection until ctx ends, after which nothing is sent. It returns errTurnedCold if the target has
// turned cold since the run was admitted.
func (run *run) connect(ctx context.Context) error {
	var activeSince time.Time
	if run.attempt.ActiveWithin > 0 {
		activeSince = time.Now().Add(-run.attempt.ActiveWithin)
	}
	for {
		connection, err := run.lane.acquireConnection(ctx, activeSince)
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			run.lane.returnConnection(connection)
			return errNoConnection
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

// start begins the run's exchange on a connection, and the timer that ends the
// wait for the response. It returns false if the connection has broken or is
// closing.
func (run *run) start(connection *connection) bool {
	run.exchange = newExchange(connection, run.handleResponse)
	run.responseTimer = time.AfterFunc(time.Until(run.attempt.Run.Deadline)+clockLagMargin, run.expire)
	if !run.exchange.start() {
		run.responseTimer.Stop()
		return false
	}
	return true
}

// execute sends the run and waits for its outcome. If no data arrives within the
// attempt's SuspectAfter, it probes the idle connections and continues to wait. If
// ctx ends first, the run is cancelled at the target and its outcome is Lost.
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
			if connection.lastReadTime().Before(run.exchange.createdAt) {
				run.lane.probeSilent(run.exchange.createdAt)
			}
		case <-ctx.Done():
			run.abandoned.Store(true)
			run.startCancel()
			return Lost{Reason: caller.MissingDeadline}
		}
	}
}

// newOptionalTimer returns a timer that fires after the delay, or never if the
// delay isn't positive.
func newOptionalTimer(delay time.Duration) *time.Timer {
	if delay <= 0 {
		timer := time.NewTimer(time.Hour)
		timer.Stop()
		return timer
	}
	return time.NewTimer(delay)
}

// release frees the slot and finishes the attempt's use of the lane. Only the
// first call has an effect.
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
// has cancelled all attempts. If no response has arrived, it closes the
// connection.
func (run *run) expire() {
	if run.exchange.isPending() {
		run.exchange.connection.beginClose()
	}
	run.release(false)
}

// handleResponse handles the response to the run, or the error if its
// connection broke.
func (run *run) handleResponse(received *response, err error) {
	if answer.DropReason(err) != "" {
		run.outcomes <- run.handleOversized(err)
		return
	}
	if err != nil {
		run.outcomes <- run.handleBroken(err)
		return
	}
	result, shed, err := received.decode(&run.attempt.Run)
	if received.hasTrailingBytes {
		run.home.metrics.DroppedAnswers().WithLabelValues(dropReasonDuplicated).Inc()
	}
	if err != nil || received.closesConnection || received.hasTrailingBytes {
		run.exchange.connection.beginClose()
	} else {
		run.lane.returnConnection(run.exchange.connection)
	}
	switch {
	case err != nil:
		run.outcomes <- run.handleInvalid(err)
	case shed != nil:
		run.outcomes <- run.handleShed(shed)
	default:
		run.outcomes <- run.handleResult(result)
	}
}

// handleResult handles a complete answer. It frees the slot, also if nothing
// waits for the outcome any more.
func (run *run) handleResult(result *target.Result) Outcome {
	if run.abandoned.Load() {
		run.home.metrics.DroppedAnswers().WithLabelValues(dropReasonLate).Inc()
	}
	isCurrentIncarnation := run.lane.observeIncarnation(result.Incarnation)
	run.release(isCurrentIncarnation)
	run.home.board.Verdicts().RecordAnswer(blackboard.Fingerprint(run.attempt.Fingerprint))
	if result.Leaving {
		run.home.markLeaving(run.attempt.TargetID, result.Incarnation)
	}
	return Answered{Result: *result}
}

// handleShed handles a shed, which is the target's refusal of the run, and frees
// the slot.
func (run *run) handleShed(shed *target.Shed) Outcome {
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

// handleInvalid handles an answer that is damaged or doesn't belong to this run.
// The run itself may still be in progress.
func (run *run) handleInvalid(err error) Outcome {
	run.home.metrics.DroppedAnswers().WithLabelValues(dropReason(err)).Inc()
	run.startCancel()
	return Lost{Reason: caller.MissingLost}
}

// handleOversized handles an answer that was dropped for its size or for lack of memory. The connection is closed at once, because the
// target may go on sending without end. The target hasn't crashed, so that the request gets no strike.
func (run *run) handleOversized(err error) Outcome {
	run.exchange.connection.beginClose()
	_ = run.exchange.connection.Close()
	return run.handleInvalid(err)
}

// handleBroken handles a connection that broke before the response. If this home
// is closing the connection itself, the outcome is Lost. Otherwise the target may
// have restarted, and the run may still be in progress if any byte of it was
// written.
func (run *run) handleBroken(err error) Outcome {
	written := run.exchange.bytesWritten.Load()
	if run.exchange.connection.isClosing() {
		return Lost{Reason: caller.MissingDeadline}
	}
	if reason := dropReason(err); reason == "truncated" {
		run.home.metrics.DroppedAnswers().WithLabelValues(reason).Inc()
	}
	run.lane.gate.turnCold()
	run.exchange.connection.beginClose()
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

// sendCancel repeats the cancel until the target confirms it, and then frees the
// slot. It gives up once the run has ended or its deadline has passed.
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

// tryCancel sends the target one cancel and reports whether the target confirmed
// that the run has ended.
func (run *run) tryCancel(ctx context.Context) bool {
	lane := run.lane
	lane.lock.Lock()
	address, timeout := lane.address, lane.pool.ConnectTimeout.Std()
	lane.lock.Unlock()
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	connection, err := lane.acquireConnection(ctx, run.exchange.createdAt)
	if err != nil {
		return false
	}
	message := &target.Cancel{RequestID: run.attempt.Run.RequestID, AttemptID: run.attempt.Run.AttemptID, Deadline: run.attempt.Run.Deadline}
	response, err := lane.roundTrip(ctx, connection, http.MethodPost, address, target.CancelPath, message)
	return err == nil && response.status/100 == http.StatusOK/100
}
