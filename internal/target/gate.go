// This file exists so that a target never bears more runs at a time than its
// slots, nor more than its cold limits in cold start.

package target

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// overloadRetryAfter is the least span that a refusal for want of room
	// names.
	overloadRetryAfter = 200 * time.Millisecond
	// queueShare is the part of its time to the deadline that a run may spend
	// in the queue. The shards of one request have queues of unlike length:
	// a request that is refused at one of them must not have run at many.
	queueShare = 2
	// typicalStep is the share by which one observed run moves the typical
	// span of a run.
	typicalStep = 16
)

type (
	// gate admits runs to one target. It is cold at first and, until limit is
	// called, admits nothing.
	gate struct {
		// leaseUntil tells the time before which no other entry can be home.
		leaseUntil func() time.Time
		tally      *tally

		lock   sync.Mutex
		limits operator.Pool
		// running counts the runs that occupy a slot, or may still do so.
		running int
		waiting waitQueue
		warm    bool
		// answered counts the answered runs since the target turned cold.
		answered int
		// epoch grows each time the target turns cold, so that runs begun
		// earlier don't count as signs of warmth.
		epoch  uint64
		starts startLog
		// outlasting holds the deadlines of the runs in progress that were
		// beyond the lease's end.
		outlasting []time.Time
		// typical is the median span of a run.
		typical    time.Duration
		wakeTimer  *time.Timer
		lastWaiter uint64
	}

	// admission is the right to one run, to be given back with release.
	admission struct {
		epoch uint64
		at    time.Time
		// deadline is that of the run, which may have been brought forward.
		deadline time.Time
	}

	// Load is what a home tells of a target, for the choice of replicas.
	Load struct {
		Waiting int           `msgpack:"w"`
		Running int           `msgpack:"r"`
		Slots   int           `msgpack:"s"`
		Typical time.Duration `msgpack:"t"`
	}
)

// limit sets the limits that the table of pools gives.
func (gate *gate) limit(pool operator.Pool) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.limits = pool
	gate.starts.resize(pool.Cold.RunsPerSecond)
	gate.dispatch()
}

// assumeFull makes the gate act as if the cold rate had been used up at the
// given time, because an earlier home may have done so.
func (gate *gate) assumeFull(at time.Time) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.starts.fill(at)
}

// turnCold applies the cold limits until enough runs have been answered.
// Runs in progress go on and keep their slots.
func (gate *gate) turnCold() {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.warm = false
	gate.answered = 0
	gate.epoch++
}

// load returns what the home tells of the target.
func (gate *gate) load() Load {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	return Load{Waiting: len(gate.waiting), Running: gate.running, Slots: gate.slots(), Typical: gate.typical}
}

// acquire waits for a slot until ctx ends, at the run's deadline at the latest.
// The outcome is nil once the run is admitted, and otherwise that of a run that
// was never sent.
func (gate *gate) acquire(ctx context.Context, attempt *Attempt) (admission, Outcome) {
	added, refusal := gate.enqueue(attempt)
	if refusal != nil {
		return admission{}, refusal
	}
	select {
	case <-added.decided:
	case <-ctx.Done():
	}
	if gate.withdraw(added) {
		return admission{}, NotRun{Reason: caller.MissingDeadline, RetryAfter: overloadRetryAfter}
	}
	if added.dropped {
		return admission{}, NotRun{Reason: caller.MissingOverloaded, RetryAfter: max(overloadRetryAfter, gate.load().wait())}
	}
	return added.admission, nil
}

// stands reports whether a run may still be sent: not where the target has
// turned cold since the run was admitted, because it was admitted under other
// limits.
func (gate *gate) stands(admitted admission) bool {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	return admitted.epoch == gate.epoch
}

// release gives a slot back and says whether the target answered.
func (gate *gate) release(admitted admission, answered bool) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.running--
	gate.ended(admitted.deadline)
	if answered {
		gate.observe(time.Since(admitted.at))
	}
	if answered && !gate.warm && admitted.epoch == gate.epoch {
		gate.answered++
		gate.warm = gate.answered >= gate.limits.Cold.WarmAfterRuns
	}
	gate.dispatch()
}

// observe moves the typical span towards the median. The lock is held.
func (gate *gate) observe(span time.Duration) {
	switch {
	case gate.typical == 0:
		gate.typical = span
	case span > gate.typical:
		gate.typical = min(span, gate.typical+gate.typical/typicalStep+1)
	case span < gate.typical:
		gate.typical = max(span, gate.typical-gate.typical/typicalStep)
	}
}

func (gate *gate) enqueue(attempt *Attempt) (*waiter, Outcome) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	deadline, extra, priority := attempt.Run.Deadline, attempt.Why != First, priorityOf(attempt.Run.RequestID)
	if extra {
		// It would wait behind all first attempts.
		priority = 0
	}
	if refusal := gate.refuseOutlasting(attempt); refusal != nil {
		return nil, refusal
	}
	if refusal := gate.refuse(deadline, priority); refusal != nil {
		return nil, refusal
	}
	gate.lastWaiter++
	added := &waiter{deadline: deadline, extra: extra, spare: attempt.Spare, last: attempt.Last, order: gate.lastWaiter, decided: make(chan struct{})}
	heap.Push(&gate.waiting, added)
	gate.dispatch()
	return added, nil
}

// refuse refuses a run that would find the queue full, or could hardly meet
// its deadline after the queue. Under overload all homes refuse the requests
// of the lowest priorities, from 0 to 1, so that a request that runs on one
// shard runs on the others too. The lock is held.
func (gate *gate) refuse(deadline time.Time, priority float64) Outcome {
	wait := Load{Waiting: len(gate.waiting), Running: gate.running, Slots: gate.slots(), Typical: gate.typical}.wait()
	full := len(gate.waiting) >= gate.limits.QueueLimit
	limit := max(0, time.Until(deadline)/queueShare-gate.typical)
	// Above half of the limit, more and more requests are refused.
	late := wait > 0 && float64(2*wait-limit) > priority*float64(limit)
	if full || late {
		return NotRun{Reason: caller.MissingOverloaded, RetryAfter: max(overloadRetryAfter, wait)}
	}
	return nil
}

// wait returns how long a further run would wait for a slot.
func (load Load) wait() time.Duration {
	if load.Slots <= 0 || load.Running+load.Waiting < load.Slots {
		return 0
	}
	return time.Duration(load.Running+load.Waiting-load.Slots+1) * load.Typical / time.Duration(load.Slots)
}

// withdraw removes a waiter; it returns false where the waiter was admitted
// or dropped before.
func (gate *gate) withdraw(withdrawn *waiter) bool {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	if withdrawn.index < 0 {
		return false
	}
	heap.Remove(&gate.waiting, withdrawn.index)
	return true
}

// dispatch admits waiters while the limits allow. The lock is held.
func (gate *gate) dispatch() {
	var passed []*waiter
	for len(gate.waiting) > 0 && gate.hasRoom() {
		next, _ := heap.Pop(&gate.waiting).(*waiter)
		now := time.Now()
		if next.deadline.Sub(now) < gate.typical/2 {
			// The run can't meet its deadline. The typical span shrinks, so
			// that a span observed long ago can't keep all runs out.
			gate.typical -= gate.typical / typicalStep
			next.dropped = true
			close(next.decided)
			continue
		}
		deadline, bounded := gate.bound(next)
		if !bounded {
			passed = append(passed, next)
			continue
		}
		gate.running++
		gate.starts.add(now)
		next.admission = admission{epoch: gate.epoch, at: now, deadline: deadline}
		close(next.decided)
	}
	for _, waiter := range passed {
		heap.Push(&gate.waiting, waiter)
	}
	if len(passed) > 0 && gate.hasRoom() {
		gate.wakeAfter(permitInterval)
	}
}

func (gate *gate) hasRoom() bool {
	if gate.running >= gate.slots() {
		return false
	}
	if gate.warm {
		return true
	}
	wait := gate.starts.wait(time.Now())
	if wait > 0 {
		gate.wakeAfter(wait)
	}
	return wait <= 0
}

// wakeAfter looks again at the waiters after a span. The lock is held.
func (gate *gate) wakeAfter(span time.Duration) {
	if gate.wakeTimer != nil {
		gate.wakeTimer.Stop()
	}
	gate.wakeTimer = time.AfterFunc(span, gate.wake)
}

func (gate *gate) wake() {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.dispatch()
}
