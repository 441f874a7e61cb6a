// The rate limit for starts of runs at a cold target. It holds for every window
// of one second, including one that begins during a burst while the target was
// warm.

package target

import (
	"slices"
	"time"
)

const (
	// rateWindow is the second to which the cold rate applies, plus a margin
	// for runs whose latencies to the target differ.
	rateWindow = time.Second + 50*time.Millisecond
)

type (
	// startLog holds the times of the most recent starts, as many as the cold
	// rate allows per second. The zero value allows none.
	startLog struct {
		// times is a ring buffer whose oldest element is at next.
		times []time.Time
		next  int
	}
)

// resize sets the number of starts allowed per second. It keeps the most recent
// recorded starts, up to this number.
func (startLog *startLog) resize(limit int) {
	limit = max(0, limit)
	if limit == len(startLog.times) {
		return
	}
	ordered := slices.Concat(startLog.times[startLog.next:], startLog.times[:startLog.next])
	resized := make([]time.Time, limit)
	if len(ordered) > limit {
		ordered = ordered[len(ordered)-limit:]
	}
	copy(resized[limit-len(ordered):], ordered)
	startLog.times, startLog.next = resized, 0
}

// add records a start.
func (startLog *startLog) add(now time.Time) {
	if len(startLog.times) == 0 {
		return
	}
	startLog.times[startLog.next] = now
	startLog.next = (startLog.next + 1) % len(startLog.times)
}

// fill makes the log full, with all starts at the given time.
func (startLog *startLog) fill(at time.Time) {
	for index := range startLog.times {
		startLog.times[index] = at
	}
}

// recentStarts returns the number of starts that still count towards the cold
// rate.
func (startLog *startLog) recentStarts(now time.Time) int {
	count := 0
	for _, startedAt := range startLog.times {
		if !startedAt.IsZero() && now.Sub(startedAt) < rateWindow {
			count++
		}
	}
	return count
}

// wait returns how long the next start must wait. A value of zero or less means
// that it may happen now.
func (startLog *startLog) wait(now time.Time) time.Duration {
	if len(startLog.times) == 0 {
		return rateWindow
	}
	oldest := startLog.times[startLog.next]
	if oldest.IsZero() {
		return 0
	}
	return rateWindow - now.Sub(oldest)
}
