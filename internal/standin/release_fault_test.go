package standin_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
)

// Guards against a stand-in for a bad release that is good, or bad where it shouldn't be, so that tests of
// rollouts show nothing.
func TestReleaseFaultShowsWhereItShould(t *testing.T) {
	const runTime = 10 * time.Millisecond
	ask := func(handler http.Handler, path string) (status int, elapsed time.Duration) {
		started := time.Now()
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		return recorder.Code, time.Since(started)
	}
	good := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(runTime) })
	cases := map[string]struct {
		fault  standin.ReleaseFault
		status int
		time   time.Duration
	}{
		"none":          {standin.ReleaseFault{}, 200, runTime},
		"failing":       {standin.ReleaseFault{FailureShare: 1}, 500, runTime},
		"slow":          {standin.ReleaseFault{SlowShare: 1, SlowFactor: 5}, 200, 5 * runTime},
		"later":         {standin.ReleaseFault{FailureShare: 1, After: time.Second}, 200, runTime},
		"under load":    {standin.ReleaseFault{FailureShare: 1, AboveRunning: 1}, 200, runTime},
		"another route": {standin.ReleaseFault{FailureShare: 1, Route: "/b/"}, 200, runTime},
		"this route":    {standin.ReleaseFault{FailureShare: 1, Route: "/a/"}, 500, runTime},
	}
	for name, expected := range cases {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				handler := expected.fault.Handler(runTime, good)
				if status, elapsed := ask(handler, "/a/1"); status != expected.status || elapsed != expected.time {
					t.Errorf("status %d after %s, not %d after %s", status, elapsed, expected.status, expected.time)
				}
				time.Sleep(time.Second)
				if status, _ := ask(handler, "/a/1"); expected.fault.After > 0 && status != 500 {
					t.Errorf("status %d after the fault has begun", status)
				}
				if expected.fault.AboveRunning > 0 {
					go ask(handler, "/a/1")
					time.Sleep(runTime / 2)
					if status, _ := ask(handler, "/a/1"); status != 500 {
						t.Errorf("status %d under load", status)
					}
				}
			})
		})
	}
}
