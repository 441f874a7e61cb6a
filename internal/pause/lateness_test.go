package pause

import (
	"testing"
	"time"
)

// Guards against a process that judges others by its own lateness, and against one that never trusts its clock again.
func TestLatenessIsForgotten(t *testing.T) {
	var lateness Lateness
	now := time.Now()
	if late := lateness.Observe(now.Add(time.Second), now); late != 0 {
		t.Errorf("%s late before the time", late)
	}
	lateness.Observe(now.Add(-LateLimit), now)
	lateness.Observe(now.Add(-time.Millisecond), now)
	for _, row := range []struct {
		after, expected time.Duration
	}{{0, LateLimit}, {latenessWindow - 1, LateLimit}, {latenessWindow, LateLimit}, {2 * latenessWindow, 0}, {10 * latenessWindow, 0}} {
		if recent := lateness.Recent(now.Add(row.after)); recent != row.expected {
			t.Errorf("%s after it was noticed: %s", row.after, recent)
		}
	}
}
