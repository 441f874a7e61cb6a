package policy_test

import (
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

// Guards against a stopping entry that accepts requests it can't end, and against one that turns away those it can.
func TestStoppingEntryAcceptsWhatItCanEnd(t *testing.T) {
	const servesFor = 5200 * time.Millisecond
	for _, row := range []struct {
		name  string
		usual time.Duration
		known bool
		// lastAt is the latest time after the start of the stop at which requests are accepted.
		lastAt time.Duration
	}{
		{"slow work", 2300 * time.Millisecond, true, 600 * time.Millisecond},
		{"quick work", 100 * time.Millisecond, true, 5 * time.Second},
		{"work of unknown duration", 0, false, -1},
		{"work that exceeds the stop", 3 * time.Second, true, -1},
	} {
		t.Run(row.name, func(t *testing.T) {
			for at := time.Duration(0); at < servesFor; at += 100 * time.Millisecond {
				if accepted := policy.EndsBeforeStop(row.usual, row.known, servesFor-at); accepted != (at <= row.lastAt) {
					t.Errorf("accepted %t after %s", accepted, at)
				}
			}
		})
	}
}
