// Package bubble runs a ginkgo spec's body under the runtime's paused clock.
// Time in the body stands still while any goroutine can run, and then jumps
// to the next timer, so that specs of timeouts are fast and repeat exactly.
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
	// settleSpan lets goroutines that end by a timeout do so. Time stands
	// still for good once the body has returned.
	settleSpan = 10 * time.Minute
)

var (
	oneProcessor sync.Once
)

type (
	// failure carries a failed expectation out of the bubble, because
	// ginkgo's Fail may not be called in it.
	failure struct {
		message string
	}
)

// Test runs the body in a bubble of its own. Under the race detector the
// process keeps to one processor from then on: Go 1.26 runs a timer that is
// due when it is set, or that a receive finds due, on the goroutine at hand,
// but all timers of a bubble share one race context, which two processors may
// not use at once. The detector goes by what happens before what, so that it
// misses no race for it that the run contains.
func Test(t *testing.T, body func(t *testing.T)) {
	t.Helper()
	if raceEnabled {
		oneProcessor.Do(func() { runtime.GOMAXPROCS(1) })
	}
	synctest.Test(t, body)
}

// Run runs the body in a bubble of its own and fails the running spec where
// an expectation in it fails. Expectations must be made on the body's own
// goroutine. The suite's *testing.T is the one that RunSpecs was given.
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
		defer time.Sleep(settleSpan)
		body(gomega.NewGomega(func(message string, _ ...int) {
			panic(failure{message: message})
		}))
	})
	if failed != nil {
		ginkgo.Fail(failed.message)
	}
}
