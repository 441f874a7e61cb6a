// Tracking of the attempts in a lane, so that a home can cancel them and wait
// until the lane is unused.

package target

import (
	"context"
	"sync"
)

type (
	// usage counts the attempts in a lane, waiting or running.
	usage struct {
		lock sync.Mutex
		// count is the number of attempts that haven't finished.
		count int
		// drained is closed when count drops to zero, and replaced by the next
		// attempt.
		drained chan struct{}
		// uses holds the attempts that wait for their outcome.
		uses map[*use]struct{}
		// cancelled is true if all attempts were cancelled because the lease
		// ran out or the home closed.
		cancelled bool
	}

	// use is one attempt in a lane.
	use struct {
		usage *usage
		// ctx ends with the attempt's own context or when all attempts are
		// cancelled. Until the attempt has started, it also ends when the lane
		// is drained.
		ctx    context.Context
		cancel context.CancelFunc
		// started and finished are guarded by the usage's lock.
		started, finished bool
	}
)

// begin registers an attempt. Call stop once the attempt has its outcome, and
// finish once its run has certainly ended at the target, which may be later.
func (usage *usage) begin(ctx context.Context) *use {
	added := &use{usage: usage}
	added.ctx, added.cancel = context.WithCancel(ctx)
	usage.lock.Lock()
	defer usage.lock.Unlock()
	if usage.uses == nil {
		usage.uses = map[*use]struct{}{}
	}
	if usage.count == 0 {
		usage.drained = make(chan struct{})
	}
	if usage.cancelled {
		added.cancel()
	}
	usage.uses[added] = struct{}{}
	usage.count++
	return added
}

// start marks the attempt as running, so that draining the lane no longer
// cancels it. It returns false if the attempt's context has already ended.
func (use *use) start() bool {
	use.usage.lock.Lock()
	defer use.usage.lock.Unlock()
	use.started = true
	return use.ctx.Err() == nil
}

// finish removes the attempt from the count, once the run has certainly ended
// at the target. Only the first call has an effect.
func (use *use) finish() {
	use.usage.lock.Lock()
	defer use.usage.lock.Unlock()
	if use.finished {
		return
	}
	use.finished = true
	use.usage.count--
	if use.usage.count == 0 {
		close(use.usage.drained)
	}
}

// stop cancels the attempt's context, once the attempt has its outcome. The
// attempt still counts until finish.
func (use *use) stop() {
	use.usage.lock.Lock()
	delete(use.usage.uses, use)
	use.usage.lock.Unlock()
	use.cancel()
}

// isCancelled reports whether all attempts were cancelled.
func (use *use) isCancelled() bool {
	use.usage.lock.Lock()
	defer use.usage.lock.Unlock()
	return use.usage.cancelled
}

func (usage *usage) isIdle() bool {
	usage.lock.Lock()
	defer usage.lock.Unlock()
	return usage.count == 0
}

// drain cancels the waiting attempts and returns a channel that is closed once
// all attempts have finished. Home.admit refuses later attempts.
func (usage *usage) drain() <-chan struct{} {
	usage.lock.Lock()
	defer usage.lock.Unlock()
	for use := range usage.uses {
		if !use.started {
			use.cancel()
		}
	}
	return usage.drained
}

// cancelAll cancels all attempts, including those that begin later.
func (usage *usage) cancelAll() {
	usage.lock.Lock()
	defer usage.lock.Unlock()
	usage.cancelled = true
	for use := range usage.uses {
		use.cancel()
	}
}
