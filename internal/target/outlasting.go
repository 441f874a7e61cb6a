// This file exists so that runs that go on at a target after its home is lost
// leave room for those of the next home.

package target

import (
	"slices"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

const (
	// reserveShare is the part of a target's slots that runs may occupy that
	// could outlast the home's lease.
	reserveShare = 2
	// typicalSpans is how often the typical span of a run must fit into the
	// time to the lease's end for a run to be ended there.
	typicalSpans = 2
	// permitInterval is the span after which a run that waits for a permit is
	// looked at again, because the lease may have been renewed.
	permitInterval = 100 * time.Millisecond
)

// reserveOf returns how many of some slots runs may occupy that could outlast
// the lease.
func reserveOf(slots int) int {
	return max(1, slots/reserveShare)
}

// permits returns how many runs may be in progress whose deadline is beyond
// the lease's end. A home that got no release may start none while the runs of
// a lost one may go on, so that a second loss adds nothing to them. The lock is
// held.
func (gate *gate) permits() int {
	switch {
	case gate.tally.isReserved():
		return 0
	case gate.warm:
		return reserveOf(gate.limits.Slots)
	}
	return gate.coldReserve()
}

// coldReserve is reserveOf for the cold slots. The lock is held.
func (gate *gate) coldReserve() int {
	return min(reserveOf(gate.limits.Slots), reserveOf(gate.limits.Cold.Slots))
}

// slots returns the slots that may be used at present. The lock is held.
func (gate *gate) slots() int {
	limits := &gate.limits
	usable, usableCold := limits.Slots, limits.Cold.Slots
	if gate.tally.isReserved() {
		usable -= reserveOf(limits.Slots)
		// Where there is one cold slot, all targets of a lost home would wait,
		// cold or not, because the next home knows of none that is warm.
		usableCold = max(1, usableCold-gate.coldReserve())
	}
	if gate.warm {
		return usable
	}
	return min(usable, usableCold)
}

// bound returns the deadline of a run that starts now, or false where the run
// must wait for a permit. A run that needs a permit and finds none ends with
// the lease where its request may run again, or where there are no permits and
// no other replica is left to try. The lock is held.
func (gate *gate) bound(waiter *waiter) (time.Time, bool) {
	certain := gate.certain()
	if !waiter.deadline.After(certain) {
		return waiter.deadline, true
	}
	gate.outlasting = slices.DeleteFunc(gate.outlasting, func(deadline time.Time) bool { return !deadline.After(certain) })
	permits := gate.permits()
	if len(gate.outlasting) < permits {
		gate.outlasting = append(gate.outlasting, waiter.deadline)
		return waiter.deadline, true
	}
	return certain, (waiter.spare || permits == 0 && waiter.last) && gate.fits(certain)
}

// certain returns the latest deadline of a run that has ended at the target
// before another entry can be its home.
func (gate *gate) certain() time.Time {
	return gate.leaseUntil().Add(-deadlineMargin)
}

// fits reports whether a run would usually end before a time. The lock is held.
func (gate *gate) fits(limit time.Time) bool {
	return time.Until(limit) > typicalSpans*gate.typical
}

// refuseOutlasting refuses a run that no slot is left to beside those of lost
// homes, or that can't get a permit while those go on and isn't to end without
// one. The lock is held.
func (gate *gate) refuseOutlasting(attempt *Attempt) Outcome {
	if gate.limits.Slots <= 0 || !gate.tally.isReserved() {
		return nil
	}
	certain := gate.certain()
	mayEnd := (attempt.Spare || attempt.Last) && gate.fits(certain)
	if gate.slots() <= 0 || attempt.Run.Deadline.After(certain) && !mayEnd {
		return NotRun{Reason: caller.MissingNoReplica, RetryAfter: notHomeRetryAfter}
	}
	return nil
}

// ended forgets the permit of a run, where it had one. The lock is held.
func (gate *gate) ended(deadline time.Time) {
	if at := slices.Index(gate.outlasting, deadline); at >= 0 {
		gate.outlasting = slices.Delete(gate.outlasting, at, at+1)
	}
}

// outlastingUntil returns the time at which all runs in progress have
// certainly ended, or zero where the lease outlasts them.
func (gate *gate) outlastingUntil() time.Time {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	var last time.Time
	for _, deadline := range gate.outlasting {
		if until := deadline.Add(deadlineMargin); until.After(last) {
			last = until
		}
	}
	return last
}

// reserve keeps slots free for runs of lost homes until a time.
func (tally *tally) reserve(until time.Time) {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	tally.raiseReserve(until)
}

// raiseReserve is reserve where the lock is held.
func (tally *tally) raiseReserve(until time.Time) {
	if until.After(tally.reservedUntil) {
		tally.reservedUntil = until
	}
}

// isReserved reports whether runs of lost homes may still be in progress.
func (tally *tally) isReserved() bool {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	return time.Now().Before(tally.reservedUntil)
}
