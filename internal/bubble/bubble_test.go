package bubble_test

import (
	"sync"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
)

const (
	goroutines         = 64
	timersPerGoroutine = 2000
)

// TestTimersThatFireAtOnce guards against a crash of the race detector's runtime: timers of
// one bubble that fire immediately, on goroutines that run in parallel.
func TestTimersThatFireAtOnce(t *testing.T) {
	fired := 0
	bubble.Test(t, func(*testing.T) {
		var mutex sync.Mutex
		var group sync.WaitGroup
		for range goroutines {
			group.Go(func() {
				for range timersPerGoroutine {
					<-time.NewTimer(0).C
					mutex.Lock()
					fired++
					mutex.Unlock()
				}
			})
		}
		group.Wait()
	})
	if want := goroutines * timersPerGoroutine; fired != want {
		t.Errorf("%d timers fired, want %d", fired, want)
	}
}
