package httpcaller_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
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
)

// TestEntryBehindControlRefuses guards against an entry that serves by older tables after its lease though control has named
// newer ones, and against 404 and 401 for a route and a key that the newer tables may have.
func TestEntryBehindControlRefuses(t *testing.T) {
	for _, row := range []struct {
		newest        uint64
		path, key     string
		without       time.Duration
		status        int
		reason, retry string
	}{
		{1, "/orders/7", alphaCredential, 4 * time.Second, http.StatusServiceUnavailable, "no_target", "retry_after"},
		{2, "/orders/7", alphaCredential, time.Second, http.StatusServiceUnavailable, "no_target", "retry_after"},
		{2, "/orders/7", alphaCredential, control.LeaseDuration, http.StatusServiceUnavailable, "outdated", "retry_after"},
		{2, "/added/7", alphaCredential, time.Second, http.StatusServiceUnavailable, "outdated", "retry_after"},
		{1, "/added/7", alphaCredential, time.Second, http.StatusNotFound, "bad_request", ""},
		{2, "/orders/7", "Bearer " + unknownKey, time.Second, http.StatusServiceUnavailable, "outdated", "retry_after"},
		{1, "/orders/7", "Bearer " + unknownKey, time.Second, http.StatusUnauthorized, "unauthorized", ""},
	} {
		t.Run(fmt.Sprint(row), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				var board blackboard.Board
				metrics := metrics.New()
				server := httpcaller.NewServer(httpcaller.Options{Headers: dialect.Default()}, &board,
					httptarget.NewDirectory(zap.NewNop()), httptarget.NewSender(dialect.Default(), nil), newPermits(&board, metrics), zap.NewNop(), metrics)
				defer server.Close()
				board.InForce().Replace(1, tenantTables(alphaKey))
				board.InForce().Renew(time.Now().Add(control.LeaseDuration))
				board.InForce().Learn(row.newest)
				time.Sleep(row.without)
				request := httptest.NewRequest(http.MethodGet, row.path, nil)
				request.Host = "a.example"
				request.Header.Set("Authorization", row.key)
				recorder := httptest.NewRecorder()
				server.ServeHTTP(recorder, request)
				body := recorder.Body.String()
				if recorder.Code != row.status || !strings.Contains(body, `"`+row.reason+`"`) || !strings.Contains(body, `"not_run":true`) || !strings.Contains(body, row.retry) {
					t.Errorf("status %d, body %s", recorder.Code, body)
				}
				if challenge := recorder.Header().Get("WWW-Authenticate"); (challenge != "") != (row.status == http.StatusUnauthorized) {
					t.Errorf("status %d with challenge %q", recorder.Code, challenge)
				}
			})
		})
	}
}
