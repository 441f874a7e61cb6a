// Reuse of goroutines across attempts. A query starts dozens of short tasks, and each
// new goroutine would have to grow its stack again.

package httpcaller

import (
	"runtime/debug"
	"sync"
	"sync/atomic"
)

const (
	// maximumIdleWorkers limits the idle workers that are kept. It covers the attempts
	// of a few concurrent queries over many shards.
	maximumIdleWorkers = 256
)

type (
	// workers runs tasks on reused goroutines. Any number of tasks may run at a time;
	// only the number of idle workers is limited. Create it with newWorkers.
	workers struct {
		tasks chan func()
		idle  atomic.Int64
		// closed ends the idle workers when it is closed.
		closed    chan struct{}
		closeOnce sync.Once
		// onPanic is called with the value and the stack of a panic in a task.
		onPanic func(recovered any, stack []byte)
	}
)

func newWorkers(onPanic func(recovered any, stack []byte)) *workers {
	return &workers{tasks: make(chan func()), closed: make(chan struct{}), onPanic: onPanic}
}

// close ends the idle workers, and each other one after its task.
func (workers *workers) close() {
	workers.closeOnce.Do(func() { close(workers.closed) })
}

// run runs a task on an idle worker, or on a new one if none is idle.
func (workers *workers) run(task func()) {
	select {
	case workers.tasks <- task:
	default:
		go workers.work(task)
	}
}

func (workers *workers) work(task func()) {
	for {
		workers.runTask(task)
		if workers.idle.Add(1) > maximumIdleWorkers {
			workers.idle.Add(-1)
			return
		}
		select {
		case task = <-workers.tasks:
		case <-workers.closed:
			return
		}
		workers.idle.Add(-1)
	}
}

// runTask runs a task. A panic ends only this task: the other requests of the process go on.
func (workers *workers) runTask(task func()) {
	defer func() {
		if recovered := recover(); recovered != nil {
			workers.onPanic(recovered, debug.Stack())
		}
	}()
	task()
}
