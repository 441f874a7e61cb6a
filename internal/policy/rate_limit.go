// Rate limits that targets in need name. One figure holds for all entries together, so that it
// is counted at one place; the load that it answers is a shard whose remaining capacity many
// entries want at once.

package policy

import (
	"time"
)

const (
	// burstSpan is the time for which unused permits of a rate limit are kept.
	burstSpan = 250 * time.Millisecond
	// probeInterval is the interval at which a request is allowed however low the limit is,
	// because only an answer shows that the limit has changed.
	probeInterval = 4 * time.Second
	// separateShare is the share of a limit that all entries together may use if they
	// can't reach the entry that counts it.
	separateShare = 0.4
	// separateSlot is the time for which such an entry draws its permits. Permits that could be
	// kept longer would add up over hundreds of entries.
	separateSlot = time.Second
)

type (
	// RateLimit is a token bucket. The zero value is empty; set its rate with SetRate.
	RateLimit struct {
		perSecond float64
		burst     float64
		permits   float64
		updatedAt time.Time
	}

	// SeparateLimit is the part of a limit that one entry may use while it can't reach the entry
	// that counts the limit. The zero value works.
	SeparateLimit struct {
		slotEnd time.Time
		left    int
	}
)

// SetRate sets the rate, in requests a second, from now on. Rates below one request in
// probeInterval are raised to that.
func (rateLimit *RateLimit) SetRate(perSecond float64, now time.Time) {
	rateLimit.refill(now)
	rateLimit.perSecond = max(perSecond, 1/probeInterval.Seconds())
}

// SetBurst sets the number of unused permits that are kept; 0 means those of burstSpan.
func (rateLimit *RateLimit) SetBurst(burst float64) {
	rateLimit.burst = burst
}

// Credit adds the permits of a time before the first use, up to those that are kept.
func (rateLimit *RateLimit) Credit(span time.Duration) {
	rateLimit.permits = min(rateLimit.capacity(), rateLimit.permits+rateLimit.perSecond*max(0, span).Seconds())
}

// BeginAfter begins the count at now, where entries may have used their separate parts of the limit until a time before.
func (rateLimit *RateLimit) BeginAfter(separateUntil, now time.Time) {
	unpaid := separateShare*separateSlot.Seconds() - now.Sub(separateUntil).Seconds()
	rateLimit.permits = -rateLimit.perSecond * max(0, unpaid)
}

// Take takes one permit, or returns how long it takes until one is there. A hedge is granted
// one only while more than half of the kept permits are unused, because without a permit a first
// attempt or a retry leaves a part out of an answer.
func (rateLimit *RateLimit) Take(hedge bool, now time.Time) (granted bool, wait time.Duration) {
	rateLimit.refill(now)
	needed := 1.0
	if hedge {
		needed += rateLimit.capacity() / 2
	}
	if rateLimit.permits >= needed {
		rateLimit.permits--
		return true, 0
	}
	return false, time.Duration((needed - rateLimit.permits) / rateLimit.perSecond * float64(time.Second))
}

// Take takes one permit, or returns how long it takes until more are drawn. The part of each of
// the entries may be far below one request in a slot, so that it is rounded up or down at random,
// a number in [0, 1).
func (separateLimit *SeparateLimit) Take(perSecond float64, entries int, random float64, now time.Time) (granted bool, wait time.Duration) {
	if !now.Before(separateLimit.slotEnd) {
		part := separateShare * perSecond * separateSlot.Seconds() / float64(max(1, entries))
		separateLimit.slotEnd, separateLimit.left = now.Add(separateSlot), int(part+random)
	}
	if separateLimit.left > 0 {
		separateLimit.left--
		return true, 0
	}
	return false, separateLimit.slotEnd.Sub(now)
}

// Expired reports whether no permit was drawn lately.
func (separateLimit *SeparateLimit) Expired(now time.Time) bool {
	return !now.Before(separateLimit.slotEnd)
}

// capacity is the number of permits that are kept.
func (rateLimit *RateLimit) capacity() float64 {
	if rateLimit.burst > 0 {
		return max(1, rateLimit.burst)
	}
	return max(1, rateLimit.perSecond*burstSpan.Seconds())
}

func (rateLimit *RateLimit) refill(now time.Time) {
	if !rateLimit.updatedAt.IsZero() {
		added := rateLimit.perSecond * max(0, now.Sub(rateLimit.updatedAt)).Seconds()
		rateLimit.permits = min(rateLimit.capacity(), rateLimit.permits+added)
	}
	rateLimit.updatedAt = now
}
