// Admission of runs to a target: at most as many run at a time as the target
// has slots, and fewer, by the cold limits, while it is cold.

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
	// minimumOverloadRetryAfter is the minimum retry-after of a run that was
	// refused for lack of capacity.
	minimumOverloadRetryAfter = 200 * time.Millisecond
	// queueTimeDivisor sets the maximum time that a run may spend in the queue:
	// the time left to its deadline, divided by this. The queues of a request's
	// shards differ in length, and a request that is refused on one shard
	// should not already have run on many others.
	queueTimeDivisor = 2
	// typicalDivisor sets the maximum by which one observed run may change the
	// typical duration: the current typical duration, divided by this.
	typicalDivisor = 16
)

type (
	// gate is the admission control of one target. A target is cold after a
	// start, a sign of a restart, such as a broken connection, or a refusal for
	// lack of capacity. It turns warm once it has answered enough runs. The gate
	// starts cold and admits no run until setLimits is called.
	gate struct {
		// leaseUntil returns the time before which no other entry can be home.
		leaseUntil func() time.Time
		tally      *connectionTally

		lock   sync.Mutex
		limits operator.Pool
		// running counts the runs that occupy a slot or may still do so.
		running int
		waiting waitQueue
		warm    bool
		// answeredRuns counts the runs answered since the target turned cold.
		answeredRuns int
		// coldEpoch is incremented each time the target turns cold, so that
		// runs admitted earlier don't count towards warming it up.
		coldEpoch uint64
		// starts records the recent starts of runs, which the cold rate limits.
		starts startLog
		// outlasting holds the deadlines of the running runs that may go on
		// after the lease has ended. Each of them uses one of a limited number
		// of permits; see permitLimit.
		outlasting []time.Time
		// typicalDuration estimates the median duration of a run.
		typicalDuration time.Duration
		// wakeTimer calls wake, for waiters that only time allows to start.
		wakeTimer *time.Timer
		// lastSequence is the sequence number of the newest waiter.
		lastSequence uint64
	}

	// admission is the permission for one run. Its holder passes it to release
	// once the run has ended.
	admission struct {
		// coldEpoch is the gate's coldEpoch when the run was admitted.
		coldEpoch  uint64
		admittedAt time.Time
		// deadline is the run's deadline, which may be earlier than the
		// requested one.
		deadline time.Time
	}

	// Load is the load of a target as reported by its home. It is used to
	// choose among replicas.
	Load struct {
		Waiting int           `msgpack:"w"`
		Running int           `msgpack:"r"`
		Slots   int           `msgpack:"s"`
		Typical time.Duration `msgpack:"t"`
	}
)

// setLimits applies the limits from the table of pools and admits the waiters
// that they now allow.
func (gate *gate) setLimits(pool operator.Pool) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.limits = pool
	gate.starts.resize(pool.Cold.RunsPerSecond)
	gate.dispatch()
}

// exhaustColdRate makes the gate treat the cold rate as used up at the given
// time, because an earlier home may have used it up.
func (gate *gate) exhaustColdRate(at time.Time) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.starts.fill(at)
}

// turnCold applies the cold limits until enough runs have been answered. Runs
// in progress continue and keep their slots.
func (gate *gate) turnCold() {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.warm = false
	gate.answeredRuns = 0
	gate.coldEpoch++
}

// load returns the target's load as reported to other entries.
func (gate *gate) load() Load {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	return Load{Waiting: len(gate.waiting), Running: gate.running, Slots: gate.slots(), Typical: gate.typicalDuration}
}

// acquire waits for a slot until ctx ends, which is at the run's deadline at
// the latest. The outcome is nil if the run is admitted, and otherwise states
// that the run was not sent.
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
		return admission{}, NotRun{Reason: caller.MissingDeadline, RetryAfter: minimumOverloadRetryAfter}
	}
	if added.dropped {
		return admission{}, NotRun{Reason: caller.MissingOverloaded, RetryAfter: max(minimumOverloadRetryAfter, gate.load().expectedWait())}
	}
	return added.admission, nil
}

// isCurrent reports whether an admitted run may still be sent. It may not if
// the target has turned cold since, because the run was admitted under other
// limits.
func (gate *gate) isCurrent(admitted admission) bool {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	return admitted.coldEpoch == gate.coldEpoch
}

// release frees the run's slot and permit and admits the next waiters. answered
// reports whether the target answered the run: an answer updates the typical
// duration and counts towards warming up a cold target.
func (gate *gate) release(admitted admission, answered bool) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.running--
	gate.releasePermit(admitted.deadline)
	if answered {
		gate.updateTypical(time.Since(admitted.admittedAt))
	}
	if answered && !gate.warm && admitted.coldEpoch == gate.coldEpoch {
		gate.answeredRuns++
		gate.warm = gate.answeredRuns >= gate.limits.Cold.WarmAfterRuns
	}
	gate.dispatch()
}

// updateTypical moves the typical duration towards the median. The lock must be
// held.
func (gate *gate) updateTypical(duration time.Duration) {
	switch {
	case gate.typicalDuration == 0:
		gate.typicalDuration = duration
	case duration > gate.typicalDuration:
		gate.typicalDuration = min(duration, gate.typicalDuration+gate.typicalDuration/typicalDivisor+1)
	case duration < gate.typicalDuration:
		gate.typicalDuration = max(duration, gate.typicalDuration-gate.typicalDuration/typicalDivisor)
	}
}

// enqueue adds a run to the queue and returns its waiter, which may be admitted
// or dropped at once, or returns a refusal.
func (gate *gate) enqueue(attempt *Attempt) (*waiter, Outcome) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	deadline, isExtra, priority := attempt.Run.Deadline, attempt.Reason != First, priorityOf(attempt.Run.RequestID)
	if isExtra {
		// Hedges and retries queue behind all first attempts.
		priority = 0
	}
	if refusal := gate.refuseOutlasting(attempt); refusal != nil {
		return nil, refusal
	}
	if refusal := gate.refuseOverload(deadline, priority); refusal != nil {
		return nil, refusal
	}
	gate.lastSequence++
	added := &waiter{deadline: deadline, isExtra: isExtra, mayRepeat: attempt.MayRepeat, isLastReplica: attempt.IsLastReplica, sequence: gate.lastSequence, decided: make(chan struct{})}
	heap.Push(&gate.waiting, added)
	gate.dispatch()
	return added, nil
}

// refuseOverload returns a refusal if the queue is full or if the run could
// hardly meet its deadline after waiting in the queue, and otherwise nil. A
// request has the same priority, from 0 to 1, at all homes. Under overload they
// all refuse the requests of the lowest priorities, so that a request that runs
// on one shard also runs on the others. The lock must be held.
func (gate *gate) refuseOverload(deadline time.Time, priority float64) Outcome {
	expectedWait := Load{Waiting: len(gate.waiting), Running: gate.running, Slots: gate.slots(), Typical: gate.typicalDuration}.expectedWait()
	full := len(gate.waiting) >= gate.limits.QueueLimit
	waitLimit := max(0, time.Until(deadline)/queueTimeDivisor-gate.typicalDuration)
	// Once the expected wait exceeds half of the limit, the share of refused
	// requests grows with the wait.
	late := expectedWait > 0 && float64(2*expectedWait-waitLimit) > priority*float64(waitLimit)
	if full || late {
		return NotRun{Reason: caller.MissingOverloaded, RetryAfter: max(minimumOverloadRetryAfter, expectedWait)}
	}
	return nil
}

// expectedWait estimates how long another run would wait for a slot.
func (load Load) expectedWait() time.Duration {
	if load.Slots <= 0 || load.Running+load.Waiting < load.Slots {
		return 0
	}
	return time.Duration(load.Running+load.Waiting-load.Slots+1) * load.Typical / time.Duration(load.Slots)
}

// withdraw removes a waiter from the queue. It returns false if the waiter was
// already admitted or dropped.
func (gate *gate) withdraw(withdrawn *waiter) bool {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	if withdrawn.index < 0 {
		return false
	}
	heap.Remove(&gate.waiting, withdrawn.index)
	return true
}

// dispatch admits waiters as far as the limits allow, and drops those that can't
// meet their deadlines. The lock must be held.
func (gate *gate) dispatch() {
	var withoutPermit []*waiter
	for len(gate.waiting) > 0 && gate.hasRoom() {
		next, _ := heap.Pop(&gate.waiting).(*waiter)
		now := time.Now()
		if next.deadline.Sub(now) < gate.typicalDuration/2 {
			// The run can't meet its deadline and is dropped. Reduce the
			// typical duration, so that an outdated value doesn't exclude every
			// run.
			gate.typicalDuration -= gate.typicalDuration / typicalDivisor
			next.dropped = true
			close(next.decided)
			continue
		}
		deadline, permitted := gate.effectiveDeadline(next)
		if !permitted {
			withoutPermit = append(withoutPermit, next)
			continue
		}
		gate.running++
		gate.starts.add(now)
		next.admission = admission{coldEpoch: gate.coldEpoch, admittedAt: now, deadline: deadline}
		close(next.decided)
	}
	for _, waiter := range withoutPermit {
		heap.Push(&gate.waiting, waiter)
	}
	if len(withoutPermit) > 0 && gate.hasRoom() {
		gate.wakeAfter(permitRetryInterval)
	}
}

// hasRoom reports whether another run may start now. If only the cold rate
// forbids it, hasRoom schedules another dispatch. The lock must be held.
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

// wakeAfter schedules another dispatch after a delay, in place of one that was
// scheduled before. The lock must be held.
func (gate *gate) wakeAfter(delay time.Duration) {
	if gate.wakeTimer != nil {
		gate.wakeTimer.Stop()
	}
	gate.wakeTimer = time.AfterFunc(delay, gate.wake)
}

func (gate *gate) wake() {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.dispatch()
}
