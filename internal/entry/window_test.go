package entry

import (
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
)

const (
	searchTimeout = 80 * time.Millisecond
	shardsEach    = 10
)

// enterMany lets requests enter at once and returns those that were admitted.
func enterMany(windows *windows, requests int) []*passage {
	var admitted []*passage
	for range requests {
		if passage, entered := windows.enter("desk", shardsEach, searchTimeout); entered {
			admitted = append(admitted, passage)
		}
	}
	return admitted
}

func leaveAll(passages []*passage, wait time.Duration) {
	for _, passage := range passages {
		passage.observe(wait)
		passage.leave()
	}
}

func TestWindow(t *testing.T) {
	tolerable, long := searchTimeout/waitShare, searchTimeout
	for _, row := range []struct {
		name     string
		wait     time.Duration
		idle     time.Duration
		admitted func(count int) bool
	}{
		{"bounds nothing while waits are short", tolerable, 0, func(count int) bool { return count == 100 }},
		{"shrinks for requests that were admitted together as if for one", long, 0, func(count int) bool { return count == 100*leastReduction }},
		{"ends with the congestion", long, congestionSpan + time.Millisecond, func(count int) bool { return count == 100 }},
	} {
		t.Run(row.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				var windows windows
				admitted := enterMany(&windows, 100)
				time.Sleep(time.Millisecond)
				leaveAll(admitted, row.wait)
				time.Sleep(row.idle)
				if count := len(enterMany(&windows, 100)); !row.admitted(count) {
					t.Errorf("%d of 100 requests were admitted", count)
				}
			})
		})
	}
}
