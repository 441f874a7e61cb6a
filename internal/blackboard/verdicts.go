// This file exists so that a request that crashes targets is kept from the
// remaining ones, and requests that ran beside it are not.

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
	// QuarantineSpan is how long a request stays quarantined the first time.
	QuarantineSpan = time.Minute
	// MaximumQuarantineSpan bounds how long, each time being longer than the
	// one before.
	MaximumQuarantineSpan = time.Hour
	// quarantineGrowth is by how much each time is longer.
	quarantineGrowth = 4
	// strikeSpan is how long a strike counts.
	strikeSpan = 5 * time.Minute
	// offenceSpan is how long a quarantine that has ended is remembered.
	offenceSpan = 2 * MaximumQuarantineSpan
	// innocenceSpan is how long an answered run clears a request.
	innocenceSpan = time.Minute
	// maximumVerdicts bounds the table.
	maximumVerdicts = 1 << 16
	// maximumQuarantines bounds what is told to one entry at a time.
	maximumQuarantines = 256
)

type (
	// Fingerprint identifies the content of a request, whatever its ID.
	Fingerprint uint64

	// Verdict is what one entry tells the others of a request's content.
	Verdict struct {
		Fingerprint Fingerprint `msgpack:"f"`
		// TargetID names a target that was lost under the request.
		TargetID string `msgpack:"t"`
		// Innocent states that a target has answered the request, in place of
		// a loss.
		Innocent bool `msgpack:"i"`
	}

	// Quarantine is what an entry tells another one, which may have missed the
	// verdicts, of a request's content.
	Quarantine struct {
		Fingerprint Fingerprint `msgpack:"f"`
		// Left is the span until the quarantine ends; it is below zero for
		// one that has ended and is remembered.
		Left time.Duration `msgpack:"l"`
		// Offences counts the quarantines so far.
		Offences int `msgpack:"o"`
	}

	// Verdicts holds the requests under which targets were lost. A request
	// that any target has answered of late is innocent, because one that
	// crashes targets crashes each that runs it.
	Verdicts struct {
		lock     sync.Mutex
		suspects map[Fingerprint]*suspect
		// answered holds the requests answered in this span of innocence and
		// the one before.
		answered, before map[Fingerprint]bool
		turnedAt         time.Time
		tell             func(Verdict)
	}

	suspect struct {
		targets  map[string]bool
		struckAt time.Time
		until    time.Time
		// offences counts the quarantines so far.
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

// Tell sets what spreads a verdict to the other entries. It is called without
// a lock held and must not block.
func (verdicts *Verdicts) Tell(tell func(Verdict)) {
	verdicts.lock.Lock()
	defer verdicts.lock.Unlock()
	verdicts.tell = tell
}

// Strike records that a target was lost while it ran the request, and tells
// the other entries.
func (verdicts *Verdicts) Strike(fingerprint Fingerprint, targetID string) {
	if verdicts.Take(Verdict{Fingerprint: fingerprint, TargetID: targetID}) {
		verdicts.spread(Verdict{Fingerprint: fingerprint, TargetID: targetID})
	}
}

// Answered records that a target has answered the request.
func (verdicts *Verdicts) Answered(fingerprint Fingerprint) {
	verdicts.lock.Lock()
	_, suspected := verdicts.suspects[fingerprint]
	verdicts.clear(fingerprint)
	verdicts.lock.Unlock()
	if suspected {
		verdicts.spread(Verdict{Fingerprint: fingerprint, Innocent: true})
	}
}

// clear records that the request is innocent. The lock is held.
func (verdicts *Verdicts) clear(fingerprint Fingerprint) {
	verdicts.turn(time.Now())
	verdicts.answered[fingerprint] = true
	delete(verdicts.suspects, fingerprint)
}

// cleared reports whether a target has answered the request of late. The lock
// is held.
func (verdicts *Verdicts) cleared(fingerprint Fingerprint, now time.Time) bool {
	verdicts.turn(now)
	return verdicts.answered[fingerprint] || verdicts.before[fingerprint]
}

// Take takes a verdict. It reports whether the verdict stands; one against a
// request that is known to be innocent doesn't, and the others are told so.
func (verdicts *Verdicts) Take(verdict Verdict) bool {
	if verdict.Innocent {
		verdicts.lock.Lock()
		defer verdicts.lock.Unlock()
		verdicts.clear(verdict.Fingerprint)
		return true
	}
	if verdicts.strike(verdict) {
		return true
	}
	verdicts.spread(Verdict{Fingerprint: verdict.Fingerprint, Innocent: true})
	return false
}

func (verdicts *Verdicts) strike(verdict Verdict) bool {
	verdicts.lock.Lock()
	defer verdicts.lock.Unlock()
	now := time.Now()
	if verdicts.cleared(verdict.Fingerprint, now) {
		return false
	}
	verdicts.suspect(verdict.Fingerprint, now).add(verdict.TargetID, now)
	return true
}

// suspect returns what is held against a request, which may be nothing as
// yet. The lock is held.
func (verdicts *Verdicts) suspect(fingerprint Fingerprint, now time.Time) *suspect {
	held, known := verdicts.suspects[fingerprint]
	if known {
		return held
	}
	verdicts.forget(now)
	held = &suspect{targets: map[string]bool{}}
	if verdicts.suspects == nil {
		verdicts.suspects = map[Fingerprint]*suspect{}
	}
	verdicts.suspects[fingerprint] = held
	return held
}

// Quarantines returns the quarantines that are in force or remembered.
func (verdicts *Verdicts) Quarantines() []Quarantine {
	verdicts.lock.Lock()
	defer verdicts.lock.Unlock()
	var held []Quarantine
	now := time.Now()
	for fingerprint, suspect := range verdicts.suspects {
		if suspect.offences > 0 && !suspect.stale(now) && len(held) < maximumQuarantines {
			held = append(held, Quarantine{Fingerprint: fingerprint, Left: suspect.until.Sub(now), Offences: suspect.offences})
		}
	}
	return held
}

// Adopt takes the quarantines that another entry holds. Of two for one request
// the one after more offences counts. A request that is known to be innocent
// gets none, and the others are told so.
func (verdicts *Verdicts) Adopt(quarantines []Quarantine) {
	for _, quarantine := range quarantines {
		if !verdicts.adopt(quarantine) {
			verdicts.spread(Verdict{Fingerprint: quarantine.Fingerprint, Innocent: true})
		}
	}
}

func (verdicts *Verdicts) adopt(quarantine Quarantine) bool {
	verdicts.lock.Lock()
	defer verdicts.lock.Unlock()
	now := time.Now()
	if verdicts.cleared(quarantine.Fingerprint, now) {
		return false
	}
	held := verdicts.suspect(quarantine.Fingerprint, now)
	if quarantine.Offences > held.offences {
		held.offences = quarantine.Offences
		held.until = now.Add(min(quarantine.Left, MaximumQuarantineSpan))
		held.targets = map[string]bool{}
	}
	return true
}

// add counts a strike. After a quarantine a single strike is enough.
func (suspect *suspect) add(targetID string, now time.Time) {
	if now.Before(suspect.until) {
		return
	}
	if now.Sub(suspect.struckAt) > strikeSpan {
		suspect.targets = map[string]bool{}
	}
	suspect.targets[targetID] = true
	suspect.struckAt = now
	if suspect.offences == 0 && len(suspect.targets) < StrikesToQuarantine {
		return
	}
	span := QuarantineSpan
	for range suspect.offences {
		span = min(span*quarantineGrowth, MaximumQuarantineSpan)
	}
	suspect.offences++
	suspect.until = now.Add(span)
	suspect.targets = map[string]bool{}
}

// Quarantined returns for how long the request is kept from all targets, or
// zero where it isn't.
func (verdicts *Verdicts) Quarantined(fingerprint Fingerprint) time.Duration {
	verdicts.lock.Lock()
	defer verdicts.lock.Unlock()
	struck, known := verdicts.suspects[fingerprint]
	if !known {
		return 0
	}
	return max(0, time.Until(struck.until))
}

// Suspected reports whether a target was lost under the request of late and
// none has answered it since, so that it must run at one target at a time.
func (verdicts *Verdicts) Suspected(fingerprint Fingerprint) bool {
	verdicts.lock.Lock()
	defer verdicts.lock.Unlock()
	struck, known := verdicts.suspects[fingerprint]
	return known && !struck.stale(time.Now())
}

// stale reports whether nothing is held against the request any more.
func (suspect *suspect) stale(now time.Time) bool {
	if suspect.offences > 0 {
		return now.Sub(suspect.until) > offenceSpan
	}
	return now.Sub(suspect.struckAt) > strikeSpan
}

// forget bounds the table. The lock is held.
func (verdicts *Verdicts) forget(now time.Time) {
	if len(verdicts.suspects) < maximumVerdicts {
		return
	}
	for fingerprint, suspect := range verdicts.suspects {
		if suspect.stale(now) || len(verdicts.suspects) >= maximumVerdicts {
			delete(verdicts.suspects, fingerprint)
		}
	}
}

// turn begins a new span of innocence where the present one is over. The lock
// is held.
func (verdicts *Verdicts) turn(now time.Time) {
	if verdicts.answered == nil || now.Sub(verdicts.turnedAt) > innocenceSpan || len(verdicts.answered) >= maximumVerdicts {
		verdicts.before, verdicts.answered, verdicts.turnedAt = verdicts.answered, map[Fingerprint]bool{}, now
	}
}

func (verdicts *Verdicts) spread(verdict Verdict) {
	verdicts.lock.Lock()
	tell := verdicts.tell
	verdicts.lock.Unlock()
	if tell != nil {
		tell(verdict)
	}
}
