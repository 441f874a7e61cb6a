// Package rollout is the entry side of rollouts: it decides to which release of a pool a request may
// be sent, reports what this entry has seen of the releases to control, and spends the grants that
// control returns.
package rollout

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// settleSpan is how long the targets of other releases are left out after a rollout was
	// completed. They are stopped at once then, and their records take seconds to end.
	settleSpan = 30 * time.Second
	// maximumRolledBack bounds the releases that are remembered as rolled back for one pool.
	maximumRolledBack = 16

	// Where this entry learned of a phase, in the log.
	fromTables = "tables"
	fromReply  = "reply"
)

type (
	// Tracker follows the rollouts in the tables in force. A nil Tracker knows of none. Construct it
	// with New.
	Tracker struct {
		entry       string
		incarnation uint64
		board       *blackboard.Board
		client      Reporter
		logger      *zap.Logger
		metrics     *metrics.Metrics

		// lock serializes changes of current.
		lock    sync.Mutex
		current atomic.Pointer[poolIndex]
	}

	// poolIndex holds the pools that have a rollout in one version of the tables, by name.
	poolIndex struct {
		version uint64
		pools   map[string]*pool
	}

	// pool is the state of the newest rollout of one pool.
	pool struct {
		name   string
		logger *zap.Logger

		lock sync.Mutex
		// rollout is the newest rollout, in the latest phase that this entry knows of.
		rollout operator.Rollout
		// rolledBack lists the releases of earlier rollouts that were rolled back and that no later
		// order named.
		rolledBack []string
		// sole is the release of the latest rollout that was completed, and soleUntil the time before
		// which targets of other releases are left out.
		sole      string
		soleUntil time.Time
		// requests counts the attempts that reached the pool since the rollout was learned of, and sent
		// those to the new release, counted before they are sent.
		requests, sent uint64
		// grants is the number of attempts that may be sent to the new release until grantsUntil.
		grants      int
		grantsUntil time.Time
		evidence    evidence
	}
)

// New returns the tracker of the entry with a name. The incarnation tells starts of the entry apart.
func New(entry string, incarnation uint64, board *blackboard.Board, client Reporter, logger *zap.Logger, metrics *metrics.Metrics) *Tracker {
	return &Tracker{entry: entry, incarnation: incarnation, board: board, client: client, logger: logger, metrics: metrics}
}

// pools returns the pools that have a rollout in the tables in force, by name.
func (tracker *Tracker) pools() map[string]*pool {
	tables, version := tracker.board.InForce().Tables()
	current := tracker.current.Load()
	if current != nil && current.version >= version {
		return current.pools
	}
	return tracker.adopt(tables, version)
}

// adopt follows the rollouts of newer tables.
func (tracker *Tracker) adopt(tables *operator.Tables, version uint64) map[string]*pool {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	current := tracker.current.Load()
	if current != nil && current.version >= version {
		return current.pools
	}
	adopted := &poolIndex{version: version, pools: make(map[string]*pool, len(tables.Rollouts))}
	for index := range tables.Rollouts {
		rollout := &tables.Rollouts[index]
		var followed *pool
		if current != nil {
			followed = current.pools[rollout.Pool]
		}
		if followed == nil {
			followed = &pool{name: rollout.Pool, logger: tracker.logger}
		}
		followed.follow(rollout)
		adopted.pools[rollout.Pool] = followed
	}
	tracker.current.Store(adopted)
	return adopted.pools
}

// follow applies the rollout of newer tables. One with another start is a newer rollout, whatever
// the start says, because leaders' clocks differ.
func (pool *pool) follow(rollout *operator.Rollout) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	if pool.rollout.StartedAt.Equal(rollout.StartedAt) && pool.rollout.Release == rollout.Release {
		pool.advance(rollout.Phase, rollout.Reason, fromTables)
		return
	}
	if pool.rollout.Phase == operator.PhaseRolledBack {
		pool.rolledBack = append(pool.rolledBack, pool.rollout.Release)
	}
	pool.rolledBack = slices.DeleteFunc(pool.rolledBack, func(release string) bool { return release == rollout.Release })
	if surplus := len(pool.rolledBack) - maximumRolledBack; surplus > 0 {
		pool.rolledBack = slices.Delete(pool.rolledBack, 0, surplus)
	}
	pool.rollout = *rollout
	pool.requests, pool.sent, pool.grants, pool.evidence = 0, 0, 0, evidence{}
	pool.enter(fromTables)
}

// advance enters a later phase of the rollout. Other phases are ignored, so that a late message
// can't bring a phase back. The lock must be held.
func (pool *pool) advance(phase operator.RolloutPhase, reason, from string) {
	if phaseOrder(phase) <= phaseOrder(pool.rollout.Phase) {
		return
	}
	pool.rollout.Phase, pool.rollout.Reason = phase, reason
	pool.enter(from)
}

// enter applies the effects of a phase that was learned of. The lock must be held.
func (pool *pool) enter(from string) {
	rollout := &pool.rollout
	if rollout.Phase != operator.PhaseTrial {
		pool.grants = 0
	}
	if rollout.Phase.Final() {
		pool.evidence = evidence{}
	}
	if rollout.Phase == operator.PhaseCompleted {
		pool.sole, pool.soleUntil = rollout.Release, time.Now().Add(settleSpan)
	}
	pool.logger.Info("rollout phase learned", zap.String("pool", pool.name), zap.String("release", rollout.Release), zap.String("phase", string(rollout.Phase)),
		zap.String("from", from), zap.Time("started_at", rollout.StartedAt), zap.String("reason", rollout.Reason), zap.Uint64("requests", pool.requests), zap.Uint64("sent", pool.sent))
}

// phaseOrder returns the position of a phase in a rollout. A phase that this build doesn't know comes
// first: it lets the new release have nothing.
func phaseOrder(phase operator.RolloutPhase) int {
	switch phase {
	case operator.PhaseTrial:
		return 1
	case operator.PhaseShift:
		return 2
	case operator.PhaseCompleted, operator.PhaseRolledBack:
		return 3
	}
	return 0
}
