package entry

import (
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
)

const (
	searchTimeout    = 80 * time.Millisecond
	shardsPerRequest = 10
)

// admitMany lets requests arrive at the same time and returns the admitted ones.
func admitMany(congestionWindows *congestionWindows, requests int) []*admission {
	var admitted []*admission
	for range requests {
		if admission, ok := congestionWindows.enter("desk", shardsPerRequest, searchTimeout); ok {
			admitted = append(admitted, admission)
		}
	}
	return admitted
}

func releaseAll(admissions []*admission, wait time.Duration) {
	for _, admission := range admissions {
		admission.observe(wait)
		admission.release()
	}
}

func TestWindow(t *testing.T) {
	tolerated, excessive := searchTimeout/toleratedWaitDivisor, searchTimeout
	for _, row := range []struct {
		name       string
		wait       time.Duration
		idle       time.Duration
		isExpected func(count int) bool
	}{
		{"has no limit while waits are short", tolerated, 0, func(count int) bool { return count == 100 }},
		{"shrinks only once for requests that were admitted together", excessive, 0, func(count int) bool { return count == 100*minimumWindowShare }},
		{"is lifted when the congestion ends", excessive, congestionSpan + time.Millisecond, func(count int) bool { return count == 100 }},
	} {
		t.Run(row.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				var congestionWindows congestionWindows
				admitted := admitMany(&congestionWindows, 100)
				time.Sleep(time.Millisecond)
				releaseAll(admitted, row.wait)
				time.Sleep(row.idle)
				if count := len(admitMany(&congestionWindows, 100)); !row.isExpected(count) {
					t.Errorf("%d of 100 requests were admitted after the first 100 had ended, want the count that isExpected accepts", count)
				}
			})
		})
	}
}
