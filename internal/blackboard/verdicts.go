// A request that crashes targets is quarantined before it reaches the remaining
// ones. Requests that merely ran at a target as it crashed are not.

package blackboard

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// StrikesToQuarantine is the number of strikes against a request after
	// which it is quarantined. A strike is the loss of a target while it ran the
	// request; repeated losses of one start of a target count once.
	StrikesToQuarantine = 2
	// FirstQuarantineSpan is the duration of a request's first quarantine.
	FirstQuarantineSpan = time.Minute
	// MaximumQuarantineSpan bounds the duration of repeated quarantines, which
	// grows exponentially.
	MaximumQuarantineSpan = time.Hour
	// quarantineGrowth is the factor by which each quarantine is longer than
	// the previous one.
	quarantineGrowth = 4
	// strikeSpan is how long after a request's last strike its strikes count.
	strikeSpan = 5 * time.Minute
	// offenceRetention is how long an ended quarantine still counts as an
	// earlier offence.
	offenceRetention = 2 * MaximumQuarantineSpan
	// innocenceSpan is the minimum time for which an answer marks a request as
	// innocent, unless maximumVerdicts is reached.
	innocenceSpan = time.Minute
	// maximumVerdicts bounds the suspects and each set of answered requests.
	maximumVerdicts = 1 << 16
	// maximumQuarantines bounds the quarantines sent to one entry at a time.
	maximumQuarantines = 256
)

type (
	// Fingerprint identifies the content of a request, independent of its ID.
	Fingerprint uint64

	// Verdict reports to other entries that a target was lost while running a
	// request, or that a target has answered it.
	Verdict struct {
		Fingerprint Fingerprint `msgpack:"f"`
		// TargetID is the target that was lost while running the request, and differs between its starts
		// where these are known.
		TargetID string `msgpack:"t"`
		// Innocent is true if a target has answered the request; no target
		// was lost then.
		Innocent bool `msgpack:"i"`
	}

	// Quarantine informs another entry, which may have missed the verdicts, of
	// a request's current or ended quarantine.
	Quarantine struct {
		Fingerprint Fingerprint `msgpack:"f"`
		// Left is the time until the quarantine ends; it is negative if the
		// quarantine has ended.
		Left time.Duration `msgpack:"l"`
		// Offences is the number of the request's quarantines so far.
		Offences int `msgpack:"o"`
	}

	// Verdicts holds the requests during which targets were lost. A request
	// that any target has recently answered is innocent, because a harmful one
	// crashes each target that runs it.
	Verdicts struct {
		lock     sync.Mutex
		suspects map[Fingerprint]*suspect
		// answered and previouslyAnswered are the requests answered in the
		// current innocence span and in the previous one.
		answered, previouslyAnswered map[Fingerprint]bool
		rotatedAt                    time.Time
		broadcast                    func(Verdict)
	}

	// suspect holds the strikes against one request and its quarantines.
	suspect struct {
		// lostTargets holds the IDs of the targets whose losses count as strikes now.
		lostTargets      map[string]bool
		lastStrikeAt     time.Time
		quarantinedUntil time.Time
		// offences is the number of quarantines so far.
		offences int
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

// SetBroadcast sets the function that sends a verdict to the other entries. It is called
// without a lock held and must not block.
func (verdicts *Verdicts) SetBroadcast(broadcast func(Verdict)) {
	verdicts.lock.Lock()
	defer verdicts.lock.Unlock()
	verdicts.broadcast = broadcast
}

// RecordStrike records that a target was lost while it ran the request, and informs
// the other entries.
func (verdicts *Verdicts) RecordStrike(fingerprint Fingerprint, targetID string) {
	if verdicts.Apply(Verdict{Fingerprint: fingerprint, TargetID: targetID}) {
		verdicts.notifyPeers(Verdict{Fingerprint: fingerprint, TargetID: targetID})
	}
}

// RecordAnswer records that a target has answered the request, and informs the other
// entries if the request was suspected.
func (verdicts *Verdicts) RecordAnswer(fingerprint Fingerprint) {
	verdicts.lock.Lock()
	_, suspected := verdicts.suspects[fingerprint]
	verdicts.markInnocent(fingerprint)
	verdicts.lock.Unlock()
	if suspected {
		verdicts.notifyPeers(Verdict{Fingerprint: fingerprint, Innocent: true})
	}
}

// markInnocent records that the request is innocent. The lock must be held.
func (verdicts *Verdicts) markInnocent(fingerprint Fingerprint) {
	verdicts.rotateAnswered(time.Now())
	verdicts.answered[fingerprint] = true
	delete(verdicts.suspects, fingerprint)
}

// isInnocent reports whether a target has recently answered the request. The
// lock is held.
func (verdicts *Verdicts) isInnocent(fingerprint Fingerprint, now time.Time) bool {
	verdicts.rotateAnswered(now)
	return verdicts.answered[fingerprint] || verdicts.previouslyAnswered[fingerprint]
}

// Apply applies a verdict and reports whether it was accepted. A strike against
// an innocent request is rejected, and the other entries are informed that the
// request is innocent.
func (verdicts *Verdicts) Apply(verdict Verdict) bool {
	if verdict.Innocent {
		verdicts.lock.Lock()
		defer verdicts.lock.Unlock()
		verdicts.markInnocent(verdict.Fingerprint)
		return true
	}
	if verdicts.applyStrike(verdict) {
		return true
	}
	verdicts.notifyPeers(Verdict{Fingerprint: verdict.Fingerprint, Innocent: true})
	return false
}

// applyStrike counts a strike. It returns false if the request is innocent.
func (verdicts *Verdicts) applyStrike(verdict Verdict) bool {
	verdicts.lock.Lock()
	defer verdicts.lock.Unlock()
	now := time.Now()
	if verdicts.isInnocent(verdict.Fingerprint, now) {
		return false
	}
	verdicts.suspect(verdict.Fingerprint, now).addStrike(verdict.TargetID, now)
	return true
}

// suspect returns the record of strikes against a request, and creates an empty
// one if there is none. The lock must be held.
func (verdicts *Verdicts) suspect(fingerprint Fingerprint, now time.Time) *suspect {
	suspected, known := verdicts.suspects[fingerprint]
	if known {
		return suspected
	}
	verdicts.evict(now)
	suspected = &suspect{lostTargets: map[string]bool{}}
	if verdicts.suspects == nil {
		verdicts.suspects = map[Fingerprint]*suspect{}
	}
	verdicts.suspects[fingerprint] = suspected
	return suspected
}

// Quarantines returns the current quarantines and the ended ones that still
// count as offences, at most maximumQuarantines.
func (verdicts *Verdicts) Quarantines() []Quarantine {
	verdicts.lock.Lock()
	defer verdicts.lock.Unlock()
	var quarantines []Quarantine
	now := time.Now()
	for fingerprint, suspect := range verdicts.suspects {
		if suspect.offences > 0 && !suspect.isStale(now) && len(quarantines) < maximumQuarantines {
			quarantines = append(quarantines, Quarantine{Fingerprint: fingerprint, Left: suspect.quarantinedUntil.Sub(now), Offences: suspect.offences})
		}
	}
	return quarantines
}

// Adopt applies the quarantines of another entry. Of two quarantines of one
// request, the one with more offences wins. Quarantines of innocent requests are
// rejected, and the other entries are informed that the requests are innocent.
func (verdicts *Verdicts) Adopt(quarantines []Quarantine) {
	for _, quarantine := range quarantines {
		if !verdicts.adopt(quarantine) {
			verdicts.notifyPeers(Verdict{Fingerprint: quarantine.Fingerprint, Innocent: true})
		}
	}
}

// adopt applies a quarantine if it has more offences than this entry knows of. It
// returns false if the request is innocent.
func (verdicts *Verdicts) adopt(quarantine Quarantine) bool {
	verdicts.lock.Lock()
	defer verdicts.lock.Unlock()
	now := time.Now()
	if verdicts.isInnocent(quarantine.Fingerprint, now) {
		return false
	}
	suspected := verdicts.suspect(quarantine.Fingerprint, now)
	if quarantine.Offences > suspected.offences {
		suspected.offences = quarantine.Offences
		suspected.quarantinedUntil = now.Add(min(quarantine.Left, MaximumQuarantineSpan))
		suspected.lostTargets = map[string]bool{}
	}
	return true
}

// addStrike counts a strike and starts a quarantine if there are enough of them.
// After an earlier quarantine a single strike is enough. Strikes during a
// quarantine don't count.
func (suspect *suspect) addStrike(targetID string, now time.Time) {
	if now.Before(suspect.quarantinedUntil) {
		return
	}
	if now.Sub(suspect.lastStrikeAt) > strikeSpan {
		suspect.lostTargets = map[string]bool{}
	}
	suspect.lostTargets[targetID] = true
	suspect.lastStrikeAt = now
	if suspect.offences == 0 && len(suspect.lostTargets) < StrikesToQuarantine {
		return
	}
	span := FirstQuarantineSpan
	for range suspect.offences {
		span = min(span*quarantineGrowth, MaximumQuarantineSpan)
	}
	suspect.offences++
	suspect.quarantinedUntil = now.Add(span)
	suspect.lostTargets = map[string]bool{}
}

// RemainingQuarantine returns how long the request must still be kept from all targets,
// or zero if it isn't quarantined.
func (verdicts *Verdicts) RemainingQuarantine(fingerprint Fingerprint) time.Duration {
	verdicts.lock.Lock()
	defer verdicts.lock.Unlock()
	suspected, known := verdicts.suspects[fingerprint]
	if !known {
		return 0
	}
	return max(0, time.Until(suspected.quarantinedUntil))
}

// Suspected reports whether strikes against the request, or its quarantines, still
// count and no target has answered it since. Such a request must run at one target
// at a time.
func (verdicts *Verdicts) Suspected(fingerprint Fingerprint) bool {
	verdicts.lock.Lock()
	defer verdicts.lock.Unlock()
	suspected, known := verdicts.suspects[fingerprint]
	return known && !suspected.isStale(time.Now())
}

// isStale reports whether the request's strikes and offences have all expired.
func (suspect *suspect) isStale(now time.Time) bool {
	if suspect.offences > 0 {
		return now.Sub(suspect.quarantinedUntil) > offenceRetention
	}
	return now.Sub(suspect.lastStrikeAt) > strikeSpan
}

// evict makes room if there are maximumVerdicts suspects: it deletes the stale ones,
// and arbitrary ones until one more fits. The lock must be held.
func (verdicts *Verdicts) evict(now time.Time) {
	if len(verdicts.suspects) < maximumVerdicts {
		return
	}
	for fingerprint, suspect := range verdicts.suspects {
		if suspect.isStale(now) || len(verdicts.suspects) >= maximumVerdicts {
			delete(verdicts.suspects, fingerprint)
		}
	}
}

// rotateAnswered starts a new set of answered requests if the innocence span of
// the current one is over or the set is full. The lock must be held.
func (verdicts *Verdicts) rotateAnswered(now time.Time) {
	if verdicts.answered == nil || now.Sub(verdicts.rotatedAt) > innocenceSpan || len(verdicts.answered) >= maximumVerdicts {
		verdicts.previouslyAnswered, verdicts.answered, verdicts.rotatedAt = verdicts.answered, map[Fingerprint]bool{}, now
	}
}

// notifyPeers broadcasts a verdict. The lock must not be held.
func (verdicts *Verdicts) notifyPeers(verdict Verdict) {
	verdicts.lock.Lock()
	broadcast := verdicts.broadcast
	verdicts.lock.Unlock()
	if broadcast != nil {
		broadcast(verdict)
	}
}
