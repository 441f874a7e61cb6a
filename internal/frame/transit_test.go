package frame

import (
	"testing"
	"time"
)

// Guards against calls that are taken for fresh although they waited in a link, and against calls that are rejected for
// good after a clock stood still.
func TestTransitKnowsLateMessages(t *testing.T) {
	const (
		latency = 12 * time.Millisecond
		// skew is the difference between the ends' openings of the link.
		skew  = -3 * time.Millisecond
		pause = 800 * time.Millisecond
	)
	var transit transit
	sentAt := time.Duration(0)
	observe := func(delay time.Duration) time.Duration {
		sentAt += 100 * time.Millisecond
		return transit.observe(sentAt, sentAt+skew+latency+delay)
	}
	for range 50 {
		if late := observe(0); late != 0 {
			t.Fatalf("a punctual message is %s late", late)
		}
	}
	for held := pause; held > 0; held -= 100 * time.Millisecond {
		if late := observe(held); late != held {
			t.Fatalf("a message that was held for %s is %s late", held, late)
		}
	}
	if late := observe(0); late != 0 {
		t.Fatalf("a message after the link moved again is %s late", late)
	}
	for range 5 {
		observe(pause) // the sender's clock stood still
	}
	if late := observe(pause); late != 0 {
		t.Errorf("0.6 s after the sender's clock stood still messages are %s late", late)
	}
	if late := observe(-pause); late != 0 {
		t.Errorf("a message after the receiver's clock stood still is %s late", late)
	}
	if late := observe(0); late != pause {
		t.Errorf("%s in place of %s", late, pause)
	}
}
