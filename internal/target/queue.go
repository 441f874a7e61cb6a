// The queue of runs that wait for a target. It orders first attempts before
// hedges and retries, and each of these groups by deadline.

package target

import (
	"time"
)

type (
	// waiter is a run that waits for a slot.
	waiter struct {
		deadline time.Time
		// isExtra is true for hedges and retries.
		isExtra bool
		// mayRepeat is true if the request may run again, so that this run may
		// get an earlier deadline.
		mayRepeat bool
		// isLastReplica is true if no other replica is left to try.
		isLastReplica bool
		// sequence increases with each waiter, and orders those of one deadline.
		sequence uint64
		// decided is closed once the waiter is admitted or dropped.
		decided chan struct{}
		// dropped is true if the run can't meet its deadline any more.
		dropped bool
		// admission is set once the waiter is admitted.
		admission admission
		// index is the position in the queue, or -1 after the removal.
		index int
	}

	// waitQueue implements heap.Interface.
	waitQueue []*waiter
)

// Len implements heap.Interface.
func (queue waitQueue) Len() int { return len(queue) }

// Less implements heap.Interface.
func (queue waitQueue) Less(left, right int) bool {
	if queue[left].isExtra != queue[right].isExtra {
		return !queue[left].isExtra
	}
	if !queue[left].deadline.Equal(queue[right].deadline) {
		return queue[left].deadline.Before(queue[right].deadline)
	}
	return queue[left].sequence < queue[right].sequence
}

// Swap implements heap.Interface.
func (queue waitQueue) Swap(left, right int) {
	queue[left], queue[right] = queue[right], queue[left]
	queue[left].index, queue[right].index = left, right
}

// Push implements heap.Interface.
func (queue *waitQueue) Push(pushed any) {
	added, _ := pushed.(*waiter)
	added.index = len(*queue)
	*queue = append(*queue, added)
}

// Pop implements heap.Interface.
func (queue *waitQueue) Pop() any {
	last := len(*queue) - 1
	popped := (*queue)[last]
	popped.index = -1
	(*queue)[last] = nil
	*queue = (*queue)[:last]
	return popped
}
