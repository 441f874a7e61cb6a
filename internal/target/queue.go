// This file exists so that runs that wait for a target are served in the
// order of their deadlines, first attempts before hedges and retries.

package target

import (
	"time"
)

type (
	// waiter is a run that waits for a slot.
	waiter struct {
		deadline time.Time
		// extra marks hedges and retries.
		extra bool
		// spare states that the request may run again, so that this run may
		// be ended early.
		spare bool
		// last states that no other replica is left to try.
		last  bool
		order uint64
		// decided is closed once the waiter is admitted or dropped.
		decided   chan struct{}
		dropped   bool
		admission admission
		index     int
	}

	// waitQueue implements heap.Interface.
	waitQueue []*waiter
)

// Len implements heap.Interface.
func (queue waitQueue) Len() int { return len(queue) }

// Less implements heap.Interface.
func (queue waitQueue) Less(left, right int) bool {
	if queue[left].extra != queue[right].extra {
		return !queue[left].extra
	}
	if !queue[left].deadline.Equal(queue[right].deadline) {
		return queue[left].deadline.Before(queue[right].deadline)
	}
	return queue[left].order < queue[right].order
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
