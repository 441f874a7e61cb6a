// Goroutines that outlast one attempt. A query starts dozens of short ones, whose
// stacks would each grow anew.

package httpcaller

import (
	"sync/atomic"
)

const (
	// maximumIdleWorkers bounds the workers that wait for a task: the attempts of
	// a few queries over many shards at once.
	maximumIdleWorkers = 256
)

type (
	// workers runs tasks. Any number may run at a time; some workers are kept.
	// Construct it with newWorkers.
	workers struct {
		tasks chan func()
		idle  atomic.Int64
	}
)

func newWorkers() *workers {
	return &workers{tasks: make(chan func())}
}

// run runs a task on a worker that waits, or on a new one.
func (workers *workers) run(task func()) {
	select {
	case workers.tasks <- task:
	default:
		go workers.work(task)
	}
}

func (workers *workers) work(task func()) {
	for {
		task()
		if workers.idle.Add(1) > maximumIdleWorkers {
			workers.idle.Add(-1)
			return
		}
		task = <-workers.tasks
		workers.idle.Add(-1)
	}
}
