package httpcaller

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/permit"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// TestAllotmentRefusesWithStatus429 guards against requests beyond an allotment that run, and against refused
// requests that use it up, however often they are refused.
func TestAllotmentRefusesWithStatus429(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		tenant := operator.Tenant{Name: "dunlin", RatePerSecond: 0.1, Burst: 4}
		board, metrics := new(blackboard.Board), metrics.New()
		board.InForce().Renew(time.Now().Add(time.Hour))
		board.InForce().Replace(1, &operator.Tables{Tenants: []operator.Tenant{tenant}})
		board.Membership().Update(&membership.View{Number: 1, Members: []membership.Member{{ID: "entry-1"}}}, 1)
		permits := permit.New("entry-1", board, nil, zap.NewNop(), metrics)
		permits.EnforceAllotments(policy.AllotmentLimits{Window: 5 * time.Second, Slack: 20})
		server := NewServer(Options{Name: "entry-1"}, board, nil, nil, permits, zap.NewNop(), metrics)
		defer server.Close()
		// send runs a request, or refuses it for another reason, and returns the response.
		send := func(runs bool) *httptest.ResponseRecorder {
			call := &call{server: server, ctx: t.Context(), startedAt: time.Now(), routeIndex: new(routeIndex)}
			response := httptest.NewRecorder()
			switch refused, retryAfter := call.reserve(&tenant); {
			case refused:
				call.refuseOverAllotment(response, retryAfter)
			case !runs:
				call.refuse(response, policy.NoRoom)
			}
			return response
		}
		for range 100 {
			if response := send(false); response.Code != http.StatusServiceUnavailable {
				t.Fatalf("status %d although nothing has run", response.Code)
			}
			time.Sleep(time.Second)
		}
		ran := 0
		response := send(true)
		for ; response.Code == http.StatusOK; response = send(true) {
			ran++
		}
		// The burst, and 0.3 of the slack.
		if ran != 10 || response.Code != http.StatusTooManyRequests || response.Header().Get("Retry-After") == "" {
			t.Errorf("%d requests ran, and then status %d with Retry-After %q", ran, response.Code, response.Header().Get("Retry-After"))
		}
	})
}
