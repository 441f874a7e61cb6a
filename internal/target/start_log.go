// This file exists so that the cold rate is a cap on every second, also on
// one that begins inside a burst of a warm target.

package target

import (
	"slices"
	"time"
)

const (
	// rateWindow is the second that the cold rate speaks of, and room for
	// runs whose ways to the target differ in length.
	rateWindow = time.Second + 50*time.Millisecond
)

type (
	// startLog holds the times of the newest starts, as many as the cold
	// rate allows in a second. The zero value allows none.
	startLog struct {
		// times is a ring whose oldest element is at next.
		times []time.Time
		next  int
	}
)

// resize sets the number of starts that a second may have, and keeps the
// newest starts.
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

// fill records as many starts at a time as a second may have.
func (startLog *startLog) fill(at time.Time) {
	for index := range startLog.times {
		startLog.times[index] = at
	}
}

// recent counts the starts that the cold rate still holds against the target.
func (startLog *startLog) recent(now time.Time) int {
	recent := 0
	for _, started := range startLog.times {
		if !started.IsZero() && now.Sub(started) < rateWindow {
			recent++
		}
	}
	return recent
}

// wait returns how long the next start must wait.
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
