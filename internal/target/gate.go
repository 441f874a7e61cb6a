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
	// overloadRetryAfter is the span that a refusal for want of room names.
	overloadRetryAfter = 200 * time.Millisecond
)

type (
	// gate admits runs to one target. The zero value is cold and, until
	// limit is called, admits nothing.
	gate struct {
		lock    sync.Mutex
		limits  operator.Pool
		running int
		waiting waitQueue
		warm    bool
		// answered counts the answered runs since the target turned cold.
		answered int
		// allowance is the number of runs that a cold target may be sent now.
		allowance  float64
		allowedAt  time.Time
		wakeTimer  *time.Timer
		lastWaiter uint64
	}

	waiter struct {
		deadline time.Time
		hedge    bool
		order    uint64
		admitted chan struct{}
		index    int
	}

	waitQueue []*waiter
)

// limit sets the limits that the table of pools gives.
func (gate *gate) limit(pool operator.Pool) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.limits = pool
	gate.dispatch()
}

// turnCold applies the cold limits until enough runs have been answered.
func (gate *gate) turnCold() {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.warm = false
	gate.answered = 0
	gate.allowance = 0
	gate.allowedAt = time.Now()
}

// acquire waits for a slot. It returns nil once the run is admitted, and
// otherwise the outcome of a run that was never sent.
func (gate *gate) acquire(ctx context.Context, deadline time.Time, hedge bool) Outcome {
	admitted, refusal := gate.enqueue(deadline, hedge)
	if refusal != nil {
		return refusal
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-admitted.admitted:
		return nil
	case <-ctx.Done():
	case <-timer.C:
	}
	if gate.withdraw(admitted) {
		return NotRun{Reason: caller.MissingDeadline, RetryAfter: overloadRetryAfter}
	}
	gate.release(false)
	return NotRun{Reason: caller.MissingDeadline, RetryAfter: overloadRetryAfter}
}

// release gives a slot back and says whether the target answered.
func (gate *gate) release(answered bool) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.running--
	if answered && !gate.warm {
		gate.answered++
		gate.warm = gate.answered >= gate.limits.Cold.WarmAfterRuns
	}
	gate.dispatch()
}

func (gate *gate) enqueue(deadline time.Time, hedge bool) (*waiter, Outcome) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	if len(gate.waiting) >= gate.limits.QueueLimit {
		return nil, NotRun{Reason: caller.MissingOverloaded, RetryAfter: overloadRetryAfter}
	}
	gate.lastWaiter++
	added := &waiter{deadline: deadline, hedge: hedge, order: gate.lastWaiter, admitted: make(chan struct{})}
	heap.Push(&gate.waiting, added)
	gate.dispatch()
	return added, nil
}

// withdraw removes a waiter; it returns false where the waiter was admitted.
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
	for len(gate.waiting) > 0 && gate.hasRoom() {
		next, _ := heap.Pop(&gate.waiting).(*waiter)
		gate.running++
		close(next.admitted)
	}
}

func (gate *gate) hasRoom() bool {
	if gate.warm {
		return gate.running < gate.limits.Slots
	}
	if gate.running >= gate.limits.Cold.Slots {
		return false
	}
	return gate.takeAllowance()
}

// takeAllowance spends one run of a cold target's rate, or arranges to look
// again when there is one.
func (gate *gate) takeAllowance() bool {
	rate := float64(gate.limits.Cold.RunsPerSecond)
	if rate <= 0 {
		return false
	}
	now := time.Now()
	gate.allowance = min(1, gate.allowance+now.Sub(gate.allowedAt).Seconds()*rate)
	gate.allowedAt = now
	if gate.allowance >= 1 {
		gate.allowance--
		return true
	}
	wait := time.Duration((1 - gate.allowance) / rate * float64(time.Second))
	if gate.wakeTimer != nil {
		gate.wakeTimer.Stop()
	}
	gate.wakeTimer = time.AfterFunc(wait+time.Microsecond, gate.wake)
	return false
}

func (gate *gate) wake() {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.dispatch()
}

// Len, Less, Swap, Push and Pop implement heap.Interface: first attempts
// before hedges, then by deadline.
func (queue waitQueue) Len() int { return len(queue) }

func (queue waitQueue) Less(left, right int) bool {
	if queue[left].hedge != queue[right].hedge {
		return !queue[left].hedge
	}
	if !queue[left].deadline.Equal(queue[right].deadline) {
		return queue[left].deadline.Before(queue[right].deadline)
	}
	return queue[left].order < queue[right].order
}

func (queue waitQueue) Swap(left, right int) {
	queue[left], queue[right] = queue[right], queue[left]
	queue[left].index, queue[right].index = left, right
}

func (queue *waitQueue) Push(pushed any) {
	added, _ := pushed.(*waiter)
	added.index = len(*queue)
	*queue = append(*queue, added)
}

func (queue *waitQueue) Pop() any {
	last := len(*queue) - 1
	popped := (*queue)[last]
	popped.index = -1
	(*queue)[last] = nil
	*queue = (*queue)[:last]
	return popped
}
