// Deduplication of attempts at a home: an attempt that arrives twice runs
// only once, and one whose cancellation arrived first doesn't run.

package entry

import (
	"context"
	"sync"
	"time"
)

const (
	// minimumSweepSize is the number of recorded attempts up to which expired ones
	// are not removed.
	minimumSweepSize = 4096
	// cancellationSpan is how long a cancellation is kept if its attempt hasn't
	// arrived.
	cancellationSpan = 5 * time.Second
)

type (
	// inFlight holds the attempts and cancellations that a home has received, at
	// least until they expire. The zero value is empty and ready to use.
	inFlight struct {
		lock     sync.Mutex
		attempts map[string]receivedAttempt
		// sweepSize is the number of attempts above which the next sweep runs.
		sweepSize int
	}

	// receivedAttempt is an attempt, or a cancellation whose attempt hasn't arrived.
	receivedAttempt struct {
		expiresAt time.Time
		// cancel is nil for a cancellation.
		cancel context.CancelFunc
	}
)

// begin records an attempt. It returns false if the attempt or its cancellation
// was received before.
func (inFlight *inFlight) begin(attemptID string, expiresAt time.Time, cancel context.CancelFunc) bool {
	inFlight.lock.Lock()
	defer inFlight.lock.Unlock()
	return inFlight.put(attemptID, receivedAttempt{expiresAt: expiresAt, cancel: cancel})
}

// cancel cancels an attempt in progress, or prevents one that hasn't arrived yet
// from starting.
func (inFlight *inFlight) cancel(attemptID string) {
	inFlight.lock.Lock()
	defer inFlight.lock.Unlock()
	if inFlight.put(attemptID, receivedAttempt{expiresAt: time.Now().Add(cancellationSpan)}) {
		return
	}
	if cancel := inFlight.attempts[attemptID].cancel; cancel != nil {
		cancel()
	}
}

// put records an attempt or a cancellation. It returns false if the ID is already
// recorded. The lock must be held.
func (inFlight *inFlight) put(attemptID string, added receivedAttempt) bool {
	if _, known := inFlight.attempts[attemptID]; known {
		return false
	}
	if inFlight.attempts == nil {
		inFlight.attempts = map[string]receivedAttempt{}
	}
	inFlight.attempts[attemptID] = added
	if len(inFlight.attempts) > max(minimumSweepSize, inFlight.sweepSize) {
		inFlight.sweep()
	}
	return true
}

// sweep removes the expired attempts. The lock must be held.
func (inFlight *inFlight) sweep() {
	now := time.Now()
	for attemptID, received := range inFlight.attempts {
		if now.After(received.expiresAt) {
			delete(inFlight.attempts, attemptID)
		}
	}
	// The next sweep runs when the table has doubled, so that the amortized cost
	// per attempt is constant.
	inFlight.sweepSize = 2 * len(inFlight.attempts)
}
