// The rate limit that a target names in its answers.

package httptarget

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"
)

const (
	// maximumLimit is the highest rate, in requests a second, that a target may name.
	maximumLimit = 1e6
	// limitHoldSpan is how long after an answer that names a limit an answer without one is
	// taken for a delayed one from before the limit.
	limitHoldSpan = 500 * time.Millisecond
	// wordLogInterval is the interval at which changes of what one target says are logged.
	wordLogInterval = time.Second
	// maximumQuotedBytes is the maximum number of bytes of a header that a log line quotes.
	maximumQuotedBytes = 64
)

type (
	// Limit is the rate to which a target limits the requests of all entries together. The
	// zero value is no limit.
	Limit struct {
		named     bool
		perSecond float64
		heardAt   time.Time
	}
)

// Named reports whether there is a limit.
func (limit Limit) Named() bool { return limit.named }

// PerSecond returns the limit in requests a second.
func (limit Limit) PerSecond() float64 { return limit.perSecond }

// HeardAt returns when the latest answer arrived that names the limit.
func (limit Limit) HeardAt() time.Time { return limit.heardAt }

// Limit returns the limit that holds for the target at a time: the one that it names or, in cold start,
// coldPerSecond requests a second if that is less. A coldPerSecond of zero means no limit.
func (target *Target) Limit(coldPerSecond float64, now time.Time) Limit {
	target.lock.Lock()
	defer target.lock.Unlock()
	isCold := coldPerSecond > 0 && now.Before(target.coldUntil)
	if isCold && (!target.limit.named || coldPerSecond < target.limit.perSecond) {
		return Limit{named: true, perSecond: coldPerSecond, heardAt: now}
	}
	return target.limit
}

// Defer keeps requests from the target until a time, because its limit has no room before.
func (target *Target) Defer(until time.Time) {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.deferredUntil = until
}

// Admits reports whether a request may be sent at a time. That is false while the target's limit is
// known to have no room or the target has asked for a pause, and once it has said that it leaves.
func (target *Target) Admits(now time.Time) bool {
	target.lock.Lock()
	defer target.lock.Unlock()
	return !target.leaving && !now.Before(target.availableAt())
}

// availableAt returns when a target that doesn't leave may get the next request. The lock must be
// held.
func (target *Target) availableAt() time.Time {
	if target.pausedUntil.After(target.deferredUntil) {
		return target.pausedUntil
	}
	return target.deferredUntil
}

// readLimit applies the limit in the header of an answer, or its absence. An invalid value
// changes nothing.
func (sender *Sender) readLimit(target *Target, header http.Header, now time.Time) {
	text := header.Get(sender.headers.Limit)
	if text == "" {
		if target.liftLimit(now) {
			sender.countWord(wordLimitLifted)
			sender.logger.Info("target no longer limits its requests", zap.String("target", target.ID()))
		}
		return
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || !(perSecond >= 0 && perSecond <= maximumLimit) {
		sender.countWord(wordInvalidLimit)
		if target.mayLogWord(now) {
			sender.logger.Warn("limit of a target ignored; it is not a number in range", zap.String("target", target.ID()), zap.String("limit", text[:min(len(text), maximumQuotedBytes)]))
		}
		return
	}
	if target.setLimit(perSecond, now) {
		sender.countWord(wordLimit)
		if target.mayLogWord(now) {
			sender.logger.Info("target limits its requests", zap.String("target", target.ID()), zap.String("pool", target.record.Pool), zap.Float64("per_second", perSecond))
		}
	}
}

// setLimit stores a limit and reports whether it differs from the previous one.
func (target *Target) setLimit(perSecond float64, now time.Time) bool {
	target.lock.Lock()
	defer target.lock.Unlock()
	changed := !target.limit.named || target.limit.perSecond != perSecond
	target.limit = Limit{named: true, perSecond: perSecond, heardAt: now}
	return changed
}

// liftLimit removes the limit because an answer names none, and reports whether there was one.
func (target *Target) liftLimit(now time.Time) bool {
	target.lock.Lock()
	defer target.lock.Unlock()
	if !target.limit.named || now.Sub(target.limit.heardAt) < limitHoldSpan {
		return false
	}
	target.limit, target.deferredUntil = Limit{}, time.Time{}
	return true
}

// mayLogWord reports whether a change of what the target says may be logged, and records that it is.
func (target *Target) mayLogWord(now time.Time) bool {
	target.lock.Lock()
	defer target.lock.Unlock()
	if !target.wordLoggedAt.IsZero() && now.Sub(target.wordLoggedAt) < wordLogInterval {
		return false
	}
	target.wordLoggedAt = now
	return true
}
