// This file exists so that a home knows when nothing uses a lane any more, and
// can end what does.

package target

import (
	"context"
	"sync"
)

type (
	// usage counts the attempts that are in a lane, waiting or running.
	usage struct {
		lock  sync.Mutex
		count int
		idle  chan struct{}
		// waiting ends when the lane is given up, and running when the lease
		// has run out. Both are nil until the first use.
		waiting, running         context.Context
		stopWaiting, stopRunning context.CancelFunc
	}
)

func (usage *usage) begin() (waiting, running context.Context) {
	usage.lock.Lock()
	defer usage.lock.Unlock()
	if usage.running == nil {
		usage.running, usage.stopRunning = context.WithCancel(context.Background())
	}
	if usage.waiting == nil {
		usage.waiting, usage.stopWaiting = context.WithCancel(context.Background())
	}
	if usage.count == 0 {
		usage.idle = make(chan struct{})
	}
	usage.count++
	return usage.waiting, usage.running
}

func (usage *usage) end() {
	usage.lock.Lock()
	defer usage.lock.Unlock()
	usage.count--
	if usage.count == 0 {
		close(usage.idle)
	}
}

func (usage *usage) isIdle() bool {
	usage.lock.Lock()
	defer usage.lock.Unlock()
	return usage.count == 0
}

// drain stops the waiting attempts; later ones are refused by admit.
func (usage *usage) drain() <-chan struct{} {
	usage.lock.Lock()
	defer usage.lock.Unlock()
	if usage.stopWaiting != nil {
		usage.stopWaiting()
		usage.waiting = nil
	}
	return usage.idle
}

func (usage *usage) cut() {
	usage.lock.Lock()
	defer usage.lock.Unlock()
	if usage.stopRunning != nil {
		usage.stopWaiting()
		usage.waiting = nil
		usage.stopRunning()
	}
}
