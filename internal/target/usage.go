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
		// uses holds the attempts that wait for their outcome.
		uses map[*use]struct{}
		// over states that the lease has run out.
		over bool
	}

	// use is one attempt in a lane.
	use struct {
		usage *usage
		// running ends with the attempt's own context, when the lease has run
		// out, and until the attempt has started also when the lane is given
		// up.
		running context.Context
		cancel  context.CancelFunc
		// started and left are guarded by the usage's lock.
		started, left bool
	}
)

func (usage *usage) begin(ctx context.Context) *use {
	added := &use{usage: usage}
	added.running, added.cancel = context.WithCancel(ctx)
	usage.lock.Lock()
	defer usage.lock.Unlock()
	if usage.uses == nil {
		usage.uses = map[*use]struct{}{}
	}
	if usage.count == 0 {
		usage.idle = make(chan struct{})
	}
	if usage.over {
		added.cancel()
	}
	usage.uses[added] = struct{}{}
	usage.count++
	return added
}

// start states that the attempt waits no longer, so that it is ended only with
// the lease. It returns false where the attempt has ended before.
func (use *use) start() bool {
	use.usage.lock.Lock()
	defer use.usage.lock.Unlock()
	use.started = true
	return use.running.Err() == nil
}

// leave ends the use, once the target has certainly ended the run.
func (use *use) leave() {
	use.usage.lock.Lock()
	defer use.usage.lock.Unlock()
	if use.left {
		return
	}
	use.left = true
	use.usage.count--
	if use.usage.count == 0 {
		close(use.usage.idle)
	}
}

// stop ends the context, once the attempt has its outcome.
func (use *use) stop() {
	use.usage.lock.Lock()
	delete(use.usage.uses, use)
	use.usage.lock.Unlock()
	use.cancel()
}

// isCut reports whether the lease has run out.
func (use *use) isCut() bool {
	use.usage.lock.Lock()
	defer use.usage.lock.Unlock()
	return use.usage.over
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
	for use := range usage.uses {
		if !use.started {
			use.cancel()
		}
	}
	return usage.idle
}

func (usage *usage) cut() {
	usage.lock.Lock()
	defer usage.lock.Unlock()
	usage.over = true
	for use := range usage.uses {
		use.cancel()
	}
}
