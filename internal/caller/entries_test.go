package caller_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	callerserver "gitlab.com/comfreythread/comfreythread/internal/caller"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/web"
)

// TestEntriesOfAFencedEntry asks an entry that may know of entries that have
// stopped since it lost its lease.
func TestEntriesOfAFencedEntry(t *testing.T) {
	board := new(blackboard.Board)
	board.Membership().Replace(membership.View{Number: 1, Members: []membership.Member{{ID: "other", CallerAddress: "10.0.0.2:80"}}})
	engine := web.NewEngine()
	callerserver.NewServer("self", time.Second, board, strictCoordinator{}).Register(engine)
	ask := func() int {
		recorder := httptest.NewRecorder()
		engine.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/entries", nil))
		return recorder.Code
	}
	if code := ask(); code != http.StatusServiceUnavailable {
		t.Errorf("fenced: status %d", code)
	}
	board.InForce().Renew(time.Now().Add(time.Hour))
	if code := ask(); code != http.StatusOK {
		t.Errorf("with a lease: status %d", code)
	}
}
