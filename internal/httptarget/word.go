// What a target says of itself in its answers, besides its rate limit: that it leaves, or that it wants a
// pause. It holds for one start of the target, so that another target at its address doesn't inherit it.

package httptarget

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"
)

const (
	// maximumPause is the longest pause that a target may ask for.
	maximumPause = 5 * time.Minute
	// pauseJitter is the share of a pause by which its end is spread at most, so that the entries don't
	// come back in the same instant, and minimumPauseJitter the least such span.
	pauseJitter        = 0.1
	minimumPauseJitter = 50 * time.Millisecond
	// leavingText is the value of the header of a target that leaves.
	leavingText = "1"

	// Words of targets, as label values.
	wordLeaving      = "leaving"
	wordPause        = "pause"
	wordInvalidPause = "invalid_pause"
	wordLimit        = "limit"
	wordLimitLifted  = "limit_lifted"
	wordInvalidLimit = "invalid_limit"
)

// readWord applies what an answer says of the target.
func (sender *Sender) readWord(target *Target, status int, header http.Header, now time.Time) {
	sender.readLimit(target, header, now)
	if header.Get(sender.headers.Leaving) == leavingText && target.leave() {
		sender.countWord(wordLeaving)
		sender.logger.Info("target says that it leaves", zap.String("target", target.ID()), zap.String("pool", target.record.Pool))
	}
	if text := header.Get(sender.headers.Pause); status == http.StatusServiceUnavailable && text != "" {
		sender.readPause(target, text, now)
	}
}

// readPause applies the pause that a refusal asks for. An invalid value changes nothing.
func (sender *Sender) readPause(target *Target, text string, now time.Time) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0 && seconds <= maximumPause.Seconds()) {
		sender.countWord(wordInvalidPause)
		if target.mayLogWord(now) {
			sender.logger.Warn("pause of a target ignored; it is not a number of seconds in range", zap.String("target", target.ID()), zap.String("pause", text[:min(len(text), maximumQuotedBytes)]))
		}
		return
	}
	pause := time.Duration(seconds * float64(time.Second))
	jitter := max(minimumPauseJitter, time.Duration(pauseJitter*float64(pause)))
	until := now.Add(pause + time.Duration(rand.Float64()*float64(jitter)))
	sender.countWord(wordPause)
	if target.pause(until) {
		sender.logger.Info("target asks for a pause", zap.String("target", target.ID()), zap.String("pool", target.record.Pool), zap.Duration("pause", pause))
	}
}

func (sender *Sender) countWord(word string) {
	if sender.metrics != nil {
		sender.metrics.TargetWords().WithLabelValues(word).Inc()
	}
}

// Leaving reports whether the target has said that it leaves.
func (target *Target) Leaving() bool {
	target.lock.Lock()
	defer target.lock.Unlock()
	return target.leaving
}

// leave records that the target leaves and reports whether that is new.
func (target *Target) leave() bool {
	target.lock.Lock()
	defer target.lock.Unlock()
	isNew := !target.leaving
	target.leaving = true
	return isNew
}

// pause keeps requests from the target until a time, and reports whether it wasn't pausing before. A later
// answer may lengthen the pause.
func (target *Target) pause(until time.Time) bool {
	target.lock.Lock()
	defer target.lock.Unlock()
	isNew := !time.Now().Before(target.pausedUntil)
	if until.After(target.pausedUntil) {
		target.pausedUntil = until
	}
	return isNew
}
