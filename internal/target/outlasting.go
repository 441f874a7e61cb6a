// Limits on runs that may outlast the home's lease. Such runs continue at the
// target after its home is lost, so the next home must have slots left beside
// them.

package target

import (
	"slices"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

const (
	// outlastingDivisor sets the maximum number of runs that could outlast the
	// lease: the target's slots, divided by this.
	outlastingDivisor = 2
	// minimumTypicalRuns restricts when a run's deadline is moved to the end of
	// the lease: the time left until then must exceed this many typical
	// durations of a run.
	minimumTypicalRuns = 2
	// permitRetryInterval is the delay before runs that wait for a permit are
	// checked again, because the lease may have been renewed.
	permitRetryInterval = 100 * time.Millisecond
)

// outlastingShare returns how many of the given number of slots may be occupied
// by runs that could outlast the lease.
func outlastingShare(slots int) int {
	return max(1, slots/outlastingDivisor)
}

// permitLimit returns how many runs with a deadline beyond the end of the lease
// may be in progress. No such run may start while runs of a lost home may
// continue, so that the loss of this home too wouldn't add to them. The lock must be
// held.
func (gate *gate) permitLimit() int {
	switch {
	case gate.tally.isReserved():
		return 0
	case gate.warm:
		return outlastingShare(gate.limits.Slots)
	}
	return gate.coldOutlastingShare()
}

// coldOutlastingShare returns the outlastingShare of the cold slots, but at
// most that of all slots. The lock must be held.
func (gate *gate) coldOutlastingShare() int {
	return min(outlastingShare(gate.limits.Slots), outlastingShare(gate.limits.Cold.Slots))
}

// slots returns the number of slots that may be used at present. The lock must be
// held.
func (gate *gate) slots() int {
	limits := &gate.limits
	usable, usableCold := limits.Slots, limits.Cold.Slots
	if gate.tally.isReserved() {
		usable -= outlastingShare(limits.Slots)
		// At least one cold slot stays usable. With a single cold slot, all
		// targets of a lost home would otherwise have to wait, cold or not,
		// because the next home doesn't know which ones are warm.
		usableCold = max(1, usableCold-gate.coldOutlastingShare())
	}
	if gate.warm {
		return usable
	}
	return min(usable, usableCold)
}

// effectiveDeadline returns the deadline of a run that starts now, and whether it
// may start. A run that could outlast the lease takes a permit. If no permit is
// free, the deadline moves to the end of the lease, provided that runs usually
// end by then, and that the request may run again, or that there are no permits
// at all and no other replica is left to try. Otherwise the run must wait for a
// permit. The lock must be held.
func (gate *gate) effectiveDeadline(waiter *waiter) (time.Time, bool) {
	safeDeadline := gate.safeDeadline()
	if !waiter.deadline.After(safeDeadline) {
		return waiter.deadline, true
	}
	gate.outlasting = slices.DeleteFunc(gate.outlasting, func(deadline time.Time) bool { return !deadline.After(safeDeadline) })
	permitLimit := gate.permitLimit()
	if len(gate.outlasting) < permitLimit {
		gate.outlasting = append(gate.outlasting, waiter.deadline)
		return waiter.deadline, true
	}
	return safeDeadline, (waiter.mayRepeat || permitLimit == 0 && waiter.isLastReplica) && gate.usuallyEndsBefore(safeDeadline)
}

// safeDeadline returns the latest deadline with which a run certainly ends at
// the target before another entry can be its home.
func (gate *gate) safeDeadline() time.Time {
	return gate.leaseUntil().Add(-clockLagMargin)
}

// usuallyEndsBefore reports whether a run that starts now usually ends before a
// time. The lock must be held.
func (gate *gate) usuallyEndsBefore(end time.Time) bool {
	return time.Until(end) > minimumTypicalRuns*gate.typicalDuration
}

// refuseOutlasting returns a refusal while runs of lost homes may continue, if
// these leave no slot, or if the run would need a permit and its deadline can't
// be moved to the end of the lease. Otherwise it returns nil. The lock must be held.
func (gate *gate) refuseOutlasting(attempt *Attempt) Outcome {
	if gate.limits.Slots <= 0 || !gate.tally.isReserved() {
		return nil
	}
	safeDeadline := gate.safeDeadline()
	mayShorten := (attempt.MayRepeat || attempt.IsLastReplica) && gate.usuallyEndsBefore(safeDeadline)
	if gate.slots() <= 0 || attempt.Run.Deadline.After(safeDeadline) && !mayShorten {
		return NotRun{Reason: caller.MissingNoReplica, RetryAfter: notHomeRetryAfter}
	}
	return nil
}

// releasePermit frees the permit of an ended run with the given deadline, if it
// had one. The lock must be held.
func (gate *gate) releasePermit(deadline time.Time) {
	if index := slices.Index(gate.outlasting, deadline); index >= 0 {
		gate.outlasting = slices.Delete(gate.outlasting, index, index+1)
	}
}

// outlastingEnd returns the time at which all runs that may outlast the lease
// have certainly ended, or zero if there are none.
func (gate *gate) outlastingEnd() time.Time {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	var latest time.Time
	for _, deadline := range gate.outlasting {
		if until := deadline.Add(clockLagMargin); until.After(latest) {
			latest = until
		}
	}
	return latest
}

// reserveUntil makes the gate keep slots free for runs of lost homes until the
// given time, or until a later one that was set before.
func (connectionTally *connectionTally) reserveUntil(until time.Time) {
	connectionTally.lock.Lock()
	defer connectionTally.lock.Unlock()
	connectionTally.extendReserve(until)
}

// extendReserve implements reserveUntil. The lock must be held.
func (connectionTally *connectionTally) extendReserve(until time.Time) {
	if until.After(connectionTally.reservedUntil) {
		connectionTally.reservedUntil = until
	}
}

// isReserved reports whether runs of lost homes may still be in progress.
func (connectionTally *connectionTally) isReserved() bool {
	connectionTally.lock.Lock()
	defer connectionTally.lock.Unlock()
	return time.Now().Before(connectionTally.reservedUntil)
}
