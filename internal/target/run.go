// This file exists so that a run keeps its slot until it has certainly ended
// at the target, however its caller gave up on it.

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
	// deadlineMargin is by how much the clock of a target may lag.
	deadlineMargin = 50 * time.Millisecond
	// cancelRetryAfter is the span after which a cancel is tried again; it
	// doubles each time.
	cancelRetryAfter = 20 * time.Millisecond
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
		// limit ends the wait for the response.
		limit    *time.Timer
		outcomes chan Outcome
		// givenUp states that nobody waits for the outcome any more.
		givenUp atomic.Bool
		// ended is closed once the run no longer occupies a slot.
		ended     chan struct{}
		releasing sync.Once
		cancel    sync.Once
	}
)

// connect claims a connection for the run, waiting for one until ctx ends.
func (run *run) connect(ctx context.Context) error {
	var since time.Time
	if run.attempt.ProvenWithin > 0 {
		since = time.Now().Add(-run.attempt.ProvenWithin)
	}
	for {
		connection, err := run.lane.take(ctx, since)
		if err != nil {
			return err
		}
		if !run.lane.gate.stands(run.admission) {
			run.lane.put(connection)
			return errTurnedCold
		}
		if run.begin(connection) {
			return nil
		}
	}
}

// begin claims a connection for the run. It returns false where the
// connection has broken.
func (run *run) begin(connection *connection) bool {
	run.exchange = newExchange(connection, run.settle)
	run.limit = time.AfterFunc(time.Until(run.attempt.Run.Deadline)+deadlineMargin, run.expire)
	if !run.exchange.begin() {
		run.limit.Stop()
		return false
	}
	return true
}

// do sends the run and waits for what becomes of it, or until ctx ends.
func (run *run) do(ctx context.Context, message []byte) Outcome {
	connection := run.exchange.connection
	run.exchange.write(message, run.attempt.Run.Deadline)
	suspicion := newTimer(run.attempt.SuspectAfter)
	defer suspicion.Stop()
	for {
		select {
		case outcome := <-run.outcomes:
			return outcome
		case <-suspicion.C:
			if connection.proven().Before(run.exchange.begunAt) {
				run.lane.suspect(run.exchange.begunAt)
			}
		case <-ctx.Done():
			run.givenUp.Store(true)
			run.abandon()
			return Lost{Reason: caller.MissingDeadline}
		}
	}
}

// newTimer returns a timer that never fires where the span is zero.
func newTimer(span time.Duration) *time.Timer {
	if span <= 0 {
		timer := time.NewTimer(time.Hour)
		timer.Stop()
		return timer
	}
	return time.NewTimer(span)
}

// release gives the slot back, once.
func (run *run) release(answered bool) {
	run.releasing.Do(func() {
		run.lane.gate.release(run.admission, answered)
		close(run.ended)
		if run.exchange != nil && !run.exchange.waiting() {
			run.limit.Stop()
		}
		run.home.metrics.Slots().WithLabelValues(run.pool).Dec()
		run.use.leave()
	})
}

// expire ends the wait for a run whose deadline has passed at the target too.
func (run *run) expire() {
	if run.exchange.waiting() {
		run.exchange.connection.closeHere()
	}
	run.release(false)
}

// settle takes the response to the run, or the end of its connection.
func (run *run) settle(received *response, err error) {
	if err != nil {
		run.outcomes <- run.lost(err)
		return
	}
	result, shed, err := received.decode(&run.attempt.Run)
	if received.repeated {
		run.home.metrics.Dropped().WithLabelValues(droppedRepeated).Inc()
	}
	if err != nil || received.last || received.repeated {
		run.exchange.connection.closeHere()
	} else {
		run.lane.put(run.exchange.connection)
	}
	switch {
	case err != nil:
		run.outcomes <- run.dropped(err)
	case shed != nil:
		run.outcomes <- run.shed(shed)
	default:
		run.outcomes <- run.answered(result)
	}
}

func (run *run) answered(result *target.Result) Outcome {
	if run.givenUp.Load() {
		run.home.metrics.Dropped().WithLabelValues(droppedLate).Inc()
	}
	present := run.lane.observe(result.Incarnation)
	run.release(present)
	run.home.board.Verdicts().Answered(blackboard.Fingerprint(run.attempt.Fingerprint))
	if result.Leaving {
		run.home.leaving(run.attempt.TargetID, result.Incarnation)
	}
	return Answered{Result: *result}
}

func (run *run) shed(shed *target.Shed) Outcome {
	run.home.metrics.Sheds().WithLabelValues(run.pool, string(shed.Reason)).Inc()
	run.lane.observe(shed.Incarnation)
	run.release(false)
	reason := caller.MissingOverloaded
	switch shed.Reason {
	case target.ShedCold, target.ShedOverloaded:
		run.lane.gate.turnCold()
	case target.ShedVersion:
		reason = caller.MissingVersion
	case target.ShedLeaving:
		reason = caller.MissingNoReplica
		run.home.leaving(run.attempt.TargetID, shed.Incarnation)
	case target.ShedCancelled:
		reason = caller.MissingDeadline
	}
	if shed.Ran {
		return Lost{Reason: reason}
	}
	return NotRun{Reason: reason, RetryAfter: shed.RetryAfter.Std()}
}

// dropped deals with an answer that isn't the whole answer to this run. The
// run itself may still be going on.
func (run *run) dropped(err error) Outcome {
	run.home.metrics.Dropped().WithLabelValues(dropReason(err)).Inc()
	run.abandon()
	return Lost{Reason: caller.MissingLost}
}

// lost deals with a broken connection, which may mean a restart.
func (run *run) lost(err error) Outcome {
	written := run.exchange.written.Load()
	if run.exchange.connection.isClosedHere() {
		return Lost{Reason: caller.MissingDeadline}
	}
	if reason := dropReason(err); reason == "truncated" {
		run.home.metrics.Dropped().WithLabelValues(reason).Inc()
	}
	run.lane.gate.turnCold()
	run.exchange.connection.closeHere()
	if written == 0 {
		run.release(false)
		return NotRun{Reason: caller.MissingLost, RetryAfter: notHomeRetryAfter}
	}
	run.home.strike(run.attempt)
	run.abandon()
	return Lost{Reason: caller.MissingLost, Broken: true}
}

// abandon asks the target, on another connection, to drop the run. The slot
// stays in use until the target confirms it or the deadline has passed.
func (run *run) abandon() {
	run.cancel.Do(func() { go run.sendCancel() })
}

func (run *run) sendCancel() {
	ctx, stop := context.WithDeadline(context.Background(), run.attempt.Run.Deadline)
	defer stop()
	pause := cancelRetryAfter
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
		case <-time.After(pause):
			pause *= 2
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
	connection, err := lane.take(ctx, run.exchange.begunAt)
	if err != nil {
		return false
	}
	message := &target.Cancel{RequestID: run.attempt.Run.RequestID, AttemptID: run.attempt.Run.AttemptID, Deadline: run.attempt.Run.Deadline}
	reply, err := lane.ask(ctx, connection, http.MethodPost, address, target.CancelPath, message)
	return err == nil && reply.status/100 == http.StatusOK/100
}
