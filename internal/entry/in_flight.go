// This file exists so that a home runs an attempt that reaches it twice only
// once, and not at all where its cancellation came first.

package entry

import (
	"context"
	"sync"
	"time"
)

const (
	// maximumRemembered is the number of attempts from which those whose
	// deadlines have passed are forgotten.
	maximumRemembered = 4096
	// cancellationSpan is how long a cancellation without its attempt is
	// remembered.
	cancellationSpan = 5 * time.Second
)

type (
	// inFlight holds the attempts that a home has received, until their
	// deadlines. The zero value holds none.
	inFlight struct {
		lock     sync.Mutex
		attempts map[string]received
		sweepAt  int
	}

	received struct {
		until  time.Time
		cancel context.CancelFunc
	}
)

// begin records an attempt. It returns false where the attempt, or its
// cancellation, was received before.
func (inFlight *inFlight) begin(attemptID string, until time.Time, cancel context.CancelFunc) bool {
	inFlight.lock.Lock()
	defer inFlight.lock.Unlock()
	return inFlight.put(attemptID, received{until: until, cancel: cancel})
}

// cancel ends an attempt in progress, or keeps one from starting.
func (inFlight *inFlight) cancel(attemptID string) {
	inFlight.lock.Lock()
	defer inFlight.lock.Unlock()
	if inFlight.put(attemptID, received{until: time.Now().Add(cancellationSpan)}) {
		return
	}
	if cancel := inFlight.attempts[attemptID].cancel; cancel != nil {
		cancel()
	}
}

// put records what is new. The lock is held.
func (inFlight *inFlight) put(attemptID string, added received) bool {
	if _, known := inFlight.attempts[attemptID]; known {
		return false
	}
	if inFlight.attempts == nil {
		inFlight.attempts = map[string]received{}
	}
	inFlight.attempts[attemptID] = added
	if len(inFlight.attempts) > max(maximumRemembered, inFlight.sweepAt) {
		inFlight.sweep()
	}
	return true
}

// sweep forgets the attempts whose deadlines have passed. The lock is held.
func (inFlight *inFlight) sweep() {
	now := time.Now()
	for attemptID, received := range inFlight.attempts {
		if now.After(received.until) {
			delete(inFlight.attempts, attemptID)
		}
	}
	// The next sweep waits until the table has doubled, so that each attempt
	// bears a constant share of the work.
	inFlight.sweepAt = 2 * len(inFlight.attempts)
}
