// This file exists so that one process alone decides what a target bears: the
// entry that is its home.

package target

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
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
		expected map[string]Released
		// held names the targets whose use this entry may pass on.
		held map[string]bool
	}

	// lane is the home's state of one target.
	lane struct {
		announcement target.Announcement
		gate         gate
		usage        usage

		lock        sync.Mutex
		incarnation uint64
		idle        []*connection
		open        int
		// closed states that the lane was given up.
		closed bool
	}
)

// NewHome returns the home role of the entry with the given ID.
func NewHome(self string, board *blackboard.Board, dial tcp.Dialer) *Home {
	return &Home{self: self, board: board, dial: dial, lanes: map[string]*lane{}, expected: map[string]Released{}, held: map[string]bool{}}
}

// Measure counts moves and fencing in the given metrics.
func (home *Home) Measure(metrics *metrics.Metrics) {
	home.metrics = metrics
}

// Run runs an attempt and says what became of it.
func (home *Home) Run(ctx context.Context, attempt *Attempt) Outcome {
	announcement, refusal := home.admit(attempt)
	if refusal != nil {
		return refusal
	}
	lane, waiting, running, leave := home.enter(ctx, announcement)
	defer leave()
	if refusal := lane.gate.acquire(waiting, attempt.Run.Deadline, attempt.Hedge); refusal != nil {
		return refusal
	}
	answered := false
	defer func() { lane.gate.release(answered) }()
	// The wait may have been long: what allowed the run may have ended.
	if _, refusal := home.admit(attempt); refusal != nil {
		return refusal
	}
	outcome := home.send(running, lane, announcement.Address, attempt)
	_, answered = outcome.(Answered)
	return outcome
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
		return refuse(caller.MissingNoReplica)
	}
	return announcement, nil
}

// lane returns the lane of a target. The lock is held.
func (home *Home) lane(announcement target.Announcement) *lane {
	found, known := home.lanes[announcement.ID]
	if !known {
		found = &lane{announcement: announcement}
		home.lanes[announcement.ID] = found
	}
	tables, _ := home.board.InForce().Tables()
	pool, _ := tables.Pool(announcement.Pool)
	found.gate.limit(pool)
	found.observe(announcement.Incarnation)
	if expected, told := home.expected[announcement.ID]; told {
		delete(home.expected, announcement.ID)
		found.expect(expected)
	}
	return found
}

// observe turns the target cold where its incarnation is new.
func (lane *lane) observe(incarnation uint64) {
	lane.lock.Lock()
	defer lane.lock.Unlock()
	if incarnation > lane.incarnation {
		lane.incarnation = incarnation
		lane.gate.turnCold()
	}
}

func (home *Home) send(ctx context.Context, lane *lane, address string, attempt *Attempt) Outcome {
	tables, _ := home.board.InForce().Tables()
	announcement, _ := home.board.Directory().Get(attempt.TargetID)
	pool, _ := tables.Pool(announcement.Pool)
	connection, err := lane.take(ctx, home.dial, address, pool.Connections, pool.ConnectTimeout.Std())
	if err != nil {
		lane.gate.turnCold()
		return NotRun{Reason: caller.MissingNoReplica, RetryAfter: notHomeRetryAfter}
	}
	reply, err := connection.exchange(ctx, &attempt.Run)
	if err != nil {
		lane.discard(connection)
		return home.failed(ctx, lane, connection, attempt, err)
	}
	if !reply.reusable {
		lane.discard(connection)
	} else {
		lane.put(connection)
	}
	if reply.leaving() {
		home.board.Directory().Leave(attempt.TargetID, reply.incarnation())
	}
	if reply.shed != nil {
		return lane.shed(reply.shed)
	}
	return Answered{Result: *reply.result}
}

func (home *Home) failed(ctx context.Context, lane *lane, connection *connection, attempt *Attempt, err error) Outcome {
	if ctx.Err() == nil && !errors.Is(err, errCrossed) {
		// A restart breaks every connection, so a broken one may mean one.
		lane.gate.turnCold()
		home.board.Verdicts().Strike(blackboard.Fingerprint(attempt.Fingerprint), attempt.TargetID)
	}
	if connection.written == 0 {
		return NotRun{Reason: caller.MissingLost, RetryAfter: notHomeRetryAfter}
	}
	if ctx.Err() != nil {
		return Lost{Reason: caller.MissingDeadline}
	}
	return Lost{Reason: caller.MissingLost}
}

func (lane *lane) shed(shed *target.Shed) Outcome {
	if shed.Reason == target.ShedCold || shed.Reason == target.ShedOverloaded {
		lane.gate.turnCold()
	}
	if shed.Ran {
		return Lost{Reason: caller.MissingLost}
	}
	return NotRun{Reason: caller.MissingOverloaded, RetryAfter: shed.RetryAfter.Std()}
}

// take returns an idle connection or opens one within the limit.
func (lane *lane) take(ctx context.Context, dial tcp.Dialer, address string, limit int, timeout time.Duration) (*connection, error) {
	lane.lock.Lock()
	if last := len(lane.idle) - 1; last >= 0 {
		taken := lane.idle[last]
		lane.idle = lane.idle[:last]
		lane.lock.Unlock()
		return taken, nil
	}
	if lane.open >= limit {
		lane.lock.Unlock()
		return nil, errors.New("all of the target's connections are in use; raise the pool's connections")
	}
	lane.open++
	lane.lock.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	opened, err := dial(ctx, "tcp", address)
	if err != nil {
		lane.lock.Lock()
		lane.open--
		lane.lock.Unlock()
		return nil, errors.Wrap(err, "connect to target")
	}
	return newConnection(opened), nil
}

func (lane *lane) put(connection *connection) {
	lane.lock.Lock()
	defer lane.lock.Unlock()
	if lane.closed {
		_ = connection.Close()
		lane.open--
		return
	}
	lane.idle = append(lane.idle, connection)
}

func (lane *lane) discard(connection *connection) {
	_ = connection.Close()
	lane.lock.Lock()
	defer lane.lock.Unlock()
	lane.open--
}

// Close ends all attempts and closes the connections to all targets.
func (home *Home) Close() {
	home.Cut()
}
