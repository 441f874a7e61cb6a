// Package bubble runs a ginkgo spec's body under the runtime's paused clock.
// Time in the body stands still while any goroutine can run, and then jumps
// to the next timer, so that specs of timeouts are fast and repeat exactly.
package bubble

import (
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

type (
	// failure carries a failed expectation out of the bubble, because
	// ginkgo's Fail may not be called in it.
	failure struct {
		message string
	}
)

// Run runs the body in a bubble of its own and fails the running spec where
// an expectation in it fails. Expectations must be made on the body's own
// goroutine. The suite's *testing.T is the one that RunSpecs was given.
func Run(suite *testing.T, body func(expect gomega.Gomega)) {
	ginkgo.GinkgoHelper()
	var failed *failure
	synctest.Test(suite, func(*testing.T) {
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
