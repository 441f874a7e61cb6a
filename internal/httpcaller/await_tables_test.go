package httpcaller_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/dialect"
	"gitlab.com/comfreythread/comfreythread/internal/httpcaller"
	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// Guards against requests that are refused a moment before the first tables arrive, and against one that is held although
// the tables can't come in time for it. The tables have no route, so that a request that reaches them gets 404.
func TestRequestWaitsForFirstTables(t *testing.T) {
	const tablesAfter = 90 * time.Millisecond
	for _, row := range []struct {
		contact  policy.ControlContact
		deadline time.Duration
		status   int
		elapsed  time.Duration
	}{
		{policy.ControlLed, 6 * time.Second, http.StatusNotFound, tablesAfter},
		{policy.ControlSilent, 6 * time.Second, http.StatusNotFound, tablesAfter},
		{policy.ControlSilent, 800 * time.Millisecond, http.StatusServiceUnavailable, 0},
		{policy.ControlLeaderless, 1500 * time.Millisecond, http.StatusServiceUnavailable, 0},
	} {
		bubble.Test(t, func(t *testing.T) {
			board, metrics, headers := new(blackboard.Board), metrics.New(), dialect.Default()
			server := httpcaller.NewServer(httpcaller.Options{Headers: headers, ControlContact: func() policy.ControlContact { return row.contact }},
				board, httptarget.NewDirectory(zap.NewNop()), httptarget.NewSender(headers, nil), newPermits(board, metrics), zap.NewNop(), metrics)
			go func() {
				time.Sleep(tablesAfter)
				board.InForce().Renew(time.Now().Add(control.LeaseDuration))
				board.InForce().Replace(1, &operator.Tables{})
			}()
			request := httptest.NewRequest(http.MethodGet, "/path/", nil)
			request.Header.Set(headers.Deadline, strconv.FormatInt(row.deadline.Milliseconds(), 10))
			recorder, begin := httptest.NewRecorder(), time.Now()
			server.ServeHTTP(recorder, request)
			if elapsed := time.Since(begin); recorder.Code != row.status || elapsed != row.elapsed {
				t.Errorf("contact %d, %v: status %d after %v, expected %d after %v", row.contact, row.deadline, recorder.Code, elapsed, row.status, row.elapsed)
			}
			retryAfter := recorder.Header().Get("Retry-After")
			if row.status == http.StatusServiceUnavailable && retryAfter == "" {
				t.Errorf("contact %d, %v: no time to come back is named", row.contact, row.deadline)
			}
			time.Sleep(time.Second)
		})
	}
}
