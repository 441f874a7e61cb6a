// Bad releases: what can be wrong with the software of a stand-in target for HTTP routes.

package standin

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

type (
	// ReleaseFault is what is wrong with a bad release of a stand-in target. The zero value is a good
	// release. The fault shows in the requests that meet all conditions.
	ReleaseFault struct {
		// FailureShare, 0 to 1, is the share of the requests that are answered with a failure.
		FailureShare float64
		// SlowShare, 0 to 1, is the share of the requests that take SlowFactor times as long.
		SlowShare  float64
		SlowFactor float64
		// After is how long after the target's start the fault begins.
		After time.Duration
		// AboveRunning is the number of requests in progress above which the fault shows.
		AboveRunning int
		// Route is the beginning of the paths that the fault is limited to; "" means all.
		Route string
	}

	// faultyHandler serves HTTP requests as a target with a release fault does.
	faultyHandler struct {
		fault     ReleaseFault
		runTime   time.Duration
		startedAt time.Time
		running   atomic.Int64
		next      http.Handler
	}
)

// Handler returns a handler that has the fault from now on, in front of one that takes runTime for an
// answer.
func (fault ReleaseFault) Handler(runTime time.Duration, next http.Handler) http.Handler {
	return &faultyHandler{fault: fault, runTime: runTime, startedAt: time.Now(), next: next}
}

// ServeHTTP implements http.Handler.
func (handler *faultyHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	running := int(handler.running.Add(1))
	defer handler.running.Add(-1)
	if handler.fault.shows(request.URL.Path, time.Since(handler.startedAt), running) {
		time.Sleep(handler.fault.addedTime(handler.runTime))
		if rand.Float64() < handler.fault.FailureShare {
			time.Sleep(handler.runTime)
			writer.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	handler.next.ServeHTTP(writer, request)
}

// shows reports whether the fault shows in a request, where running counts it as well.
func (fault *ReleaseFault) shows(path string, age time.Duration, running int) bool {
	return strings.HasPrefix(path, fault.Route) && age >= fault.After && running > fault.AboveRunning
}

// addedTime returns the time that a request takes beyond runTime.
func (fault *ReleaseFault) addedTime(runTime time.Duration) time.Duration {
	if rand.Float64() >= fault.SlowShare {
		return 0
	}
	return time.Duration(max(0, fault.SlowFactor-1) * float64(runTime))
}
