// Which release an attempt may be sent to, and the outcomes of attempts.

package rollout

import (
	"slices"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// Preferred targets are tried before all others.
	Preferred Class = iota
	// Usual targets are tried in the order of the ranking.
	Usual
	// Held targets are of a release that has just appeared without an order. They are tried only where
	// no target of the classes before is usable.
	Held
	// LastResort targets are tried only where the directory has no target of the classes before.
	LastResort
	// Excluded targets are not tried.
	Excluded
)

const (
	// Sides of a rollout, as label values.
	sideNew   = "new"
	sideOther = "other"

	// Events of grants, as label values.
	grantReceived = "received"
	grantSpent    = "spent"
	grantReturned = "returned"
)

type (
	// Class says when a target may get an attempt; lower classes are tried first.
	Class uint8

	// Admission is the rollout of a pool as it applies to one request. A nil Admission is that of a
	// pool without a rollout.
	Admission struct {
		pool    *pool
		route   string
		board   *blackboard.Board
		metrics *metrics.Metrics
	}
)

// Begin returns the admission of a request of a route to a pool, or nil if the pool has no rollout.
func (tracker *Tracker) Begin(poolName, route string) *Admission {
	if tracker == nil {
		return nil
	}
	pool := tracker.pools()[poolName]
	if pool == nil {
		return nil
	}
	return &Admission{pool: pool, route: route, board: tracker.board, metrics: tracker.metrics}
}

// Names reports whether a release is the one of the newest order.
func (admission *Admission) Names(release string) bool {
	if admission == nil {
		return false
	}
	admission.pool.lock.Lock()
	defer admission.pool.lock.Unlock()
	return admission.pool.rollout.Release == release
}

// Class returns when targets of a release may get an attempt of the request. First is true if the
// request has not been sent so far: only then may a trial send it to the new release.
func (admission *Admission) Class(release string, first bool) Class {
	if admission == nil {
		return Usual
	}
	fenced := admission.board.InForce().Fenced()
	pool := admission.pool
	pool.lock.Lock()
	defer pool.lock.Unlock()
	now := time.Now()
	if release != pool.rollout.Release {
		return pool.classOfOther(release, now)
	}
	switch pool.rollout.Phase {
	case operator.PhaseCompleted:
		return Usual
	case operator.PhaseShift:
		return Preferred
	case operator.PhaseRolledBack:
		return Excluded
	case operator.PhaseTrial:
		switch {
		case fenced:
			// The rollout may have been completed without this entry, and the other targets are gone then.
			return LastResort
		case first && pool.holdsGrant(now):
			return Preferred
		}
	}
	return Excluded
}

// classOfOther returns the class of a release that isn't the one of the newest order. The lock must be
// held.
func (pool *pool) classOfOther(release string, now time.Time) Class {
	switch {
	case slices.Contains(pool.rolledBack, release):
		return Excluded
	case release != pool.sole && now.Before(pool.soleUntil):
		return LastResort
	}
	return Usual
}

// Spend reports whether an attempt may be sent now to a target of a release, which Class gave the
// class. In a trial it spends a grant for each attempt to the new release. It must be called before
// every attempt, because the phase may have changed since Class was called.
func (admission *Admission) Spend(release string, class Class) bool {
	if admission == nil {
		return true
	}
	fenced := admission.board.InForce().Fenced()
	pool := admission.pool
	pool.lock.Lock()
	defer pool.lock.Unlock()
	now := time.Now()
	if release != pool.rollout.Release {
		current := pool.classOfOther(release, now)
		return current != Excluded && (current != LastResort || class == LastResort)
	}
	switch pool.rollout.Phase {
	case operator.PhaseShift, operator.PhaseCompleted:
	case operator.PhaseTrial:
		switch {
		case fenced && class == LastResort:
		case fenced || !pool.holdsGrant(now):
			return false
		default:
			pool.grants--
			admission.metrics.EntryGrants().WithLabelValues(grantSpent).Inc()
		}
	case operator.PhaseRolledBack:
		return false
	default:
		return false
	}
	pool.sent++
	return true
}

// holdsGrant reports whether a grant is left. Grants expire by whichever clock comes first: the
// monotonic clock may have stopped while the machine was suspended. The lock must be held.
func (pool *pool) holdsGrant(now time.Time) bool {
	return pool.grants > 0 && now.Before(pool.grantsUntil) && now.Round(0).Before(pool.grantsUntil.Round(0))
}

// Sent counts an attempt that reached a target of a release. Attempts that no connection was found
// for don't count, because the share of the new release is measured against what reaches the pool.
func (admission *Admission) Sent(release string) {
	if admission == nil {
		return
	}
	pool := admission.pool
	pool.lock.Lock()
	defer pool.lock.Unlock()
	if pool.rollout.Phase.Final() {
		return
	}
	pool.requests++
	side := sideOther
	if release == pool.rollout.Release {
		side = sideNew
	}
	admission.metrics.RolloutAttempts().WithLabelValues(string(pool.rollout.Phase), side).Inc()
}

// Observe counts the answer of a target, or its failure to give a usable one.
func (admission *Admission) Observe(target, release, locality string, cold bool, latency time.Duration, failed bool) {
	if admission == nil {
		return
	}
	pool := admission.pool
	pool.lock.Lock()
	defer pool.lock.Unlock()
	if pool.rollout.Phase.Final() {
		return
	}
	cell := pool.evidence.cell(cellKey{route: admission.route, locality: locality, target: target, isNew: release == pool.rollout.Release})
	if cell == nil {
		return
	}
	cell.Answers++
	switch {
	case failed:
		cell.Failures++
	case !cold:
		cell.Latencies[policy.RolloutLatencyBucket(latency)]++
		if !cell.New {
			pool.evidence.learnUsual(admission.route, locality, latency)
		}
	}
}

// Unanswered counts an attempt that had no answer when its request ended. Its time is a lower bound
// of the latency. A short one says nothing of the target: the caller may have left or had no time, or
// another attempt was faster.
func (admission *Admission) Unanswered(target, release, locality string, cold bool, elapsed time.Duration) {
	if admission == nil {
		return
	}
	pool := admission.pool
	pool.lock.Lock()
	defer pool.lock.Unlock()
	usual := pool.evidence.usual[usualKey{route: admission.route, locality: locality}]
	if pool.rollout.Phase.Final() || usual == 0 || elapsed <= overdueFactor*usual {
		return
	}
	cell := pool.evidence.cell(cellKey{route: admission.route, locality: locality, target: target, isNew: release == pool.rollout.Release})
	if cell == nil {
		return
	}
	cell.Answers++
	if !cold {
		cell.Latencies[policy.RolloutLatencyBucket(elapsed)]++
	}
}
