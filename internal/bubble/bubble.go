// Package bubble runs the body of a test or ginkgo spec in a testing/synctest bubble, with
// a fake clock. Time in the body stands still while any goroutine can run, and then jumps
// to the next timer, so that specs of timeouts are fast and deterministic.
package bubble

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

const (
	// settleTime is how long Run sleeps, in fake time, after the given function, so that
	// goroutines that wait for a timeout can end. It has to sleep inside the bubble: the
	// fake clock stops once the function that the bubble runs has returned.
	settleTime = 10 * time.Minute
)

var (
	limitProcessors sync.Once
)

type (
	// failure passes a failed expectation out of the bubble, because ginkgo's Fail must
	// not be called inside it.
	failure struct {
		message string
	}
)

// Test runs the body in a bubble of its own. Under the race detector it also sets
// GOMAXPROCS to 1 for the rest of the process, because of a crash in Go 1.26. All timers of
// a bubble share one race context, which two processors must not use at the same time. A
// timer runs on the current goroutine if it has already expired when it is set or when a
// receive checks it, so two goroutines can use the race context at once. The detector works
// by the happens-before order, so on one processor it still finds every race that the run
// contains.
func Test(t *testing.T, body func(t *testing.T)) {
	t.Helper()
	if raceEnabled {
		limitProcessors.Do(func() { runtime.GOMAXPROCS(1) })
	}
	synctest.Test(t, body)
}

// Run runs the body in a bubble of its own, and fails the running spec if an expectation in
// the body fails. Expectations must be made on the body's own goroutine. The suite is the
// *testing.T that was passed to RunSpecs.
func Run(suite *testing.T, body func(expect gomega.Gomega)) {
	ginkgo.GinkgoHelper()
	var failed *failure
	Test(suite, func(*testing.T) {
		defer func() {
			switch recovered := recover().(type) {
			case nil:
			case failure:
				failed = &recovered
			default:
				panic(recovered)
			}
		}()
		defer time.Sleep(settleTime)
		body(gomega.NewGomega(func(message string, _ ...int) {
			panic(failure{message: message})
		}))
	})
	if failed != nil {
		ginkgo.Fail(failed.message)
	}
}
