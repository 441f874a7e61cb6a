// This file exists so that a request that crashes targets is kept from the
// remaining ones.

package blackboard

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// StrikesToQuarantine is the number of targets lost under one request
	// after which it is kept from all targets.
	StrikesToQuarantine = 2
	// QuarantineSpan is how long a request stays quarantined.
	QuarantineSpan = 5 * time.Minute
)

type (
	// Fingerprint identifies the content of a request, whatever its ID.
	Fingerprint uint64

	// Verdicts holds the requests under which targets were lost.
	Verdicts struct {
		lock    sync.Mutex
		strikes map[Fingerprint]strikes
	}

	strikes struct {
		targets map[string]bool
		until   time.Time
	}
)

// NewFingerprint computes the fingerprint of a request's kind and payload.
func NewFingerprint(kind string, payload []byte) Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(kind)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(payload)
	return Fingerprint(digest.Sum64())
}

// Strike records that a target was lost while it ran the request.
func (verdicts *Verdicts) Strike(fingerprint Fingerprint, targetID string) {
	verdicts.lock.Lock()
	defer verdicts.lock.Unlock()
	if verdicts.strikes == nil {
		verdicts.strikes = map[Fingerprint]strikes{}
	}
	now := time.Now()
	struck := verdicts.strikes[fingerprint]
	if struck.targets == nil || !now.Before(struck.until) {
		struck.targets = map[string]bool{}
	}
	struck.targets[targetID] = true
	struck.until = now.Add(QuarantineSpan)
	verdicts.strikes[fingerprint] = struck
}

// Quarantined returns for how long the request is kept from all targets, or
// zero where it isn't.
func (verdicts *Verdicts) Quarantined(fingerprint Fingerprint) time.Duration {
	verdicts.lock.Lock()
	defer verdicts.lock.Unlock()
	struck, known := verdicts.strikes[fingerprint]
	if !known {
		return 0
	}
	left := time.Until(struck.until)
	if left <= 0 {
		delete(verdicts.strikes, fingerprint)
		return 0
	}
	if len(struck.targets) < StrikesToQuarantine {
		return 0
	}
	return left
}
