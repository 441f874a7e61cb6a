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

// TestEntriesOfAFencedEntry checks that an entry without a lease doesn't list entries,
// because its list may contain entries that have stopped since it lost the lease.
func TestEntriesOfAFencedEntry(t *testing.T) {
	board := new(blackboard.Board)
	board.Membership().Replace(membership.View{Number: 1, Members: []membership.Member{{ID: "other", CallerAddress: "10.0.0.2:80"}}})
	engine := web.NewEngine()
	callerserver.NewServer("self", time.Second, board, checkingCoordinator{}).Register(engine)
	requestEntries := func() int {
		recorder := httptest.NewRecorder()
		engine.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/entries", nil))
		return recorder.Code
	}
	if code := requestEntries(); code != http.StatusServiceUnavailable {
		t.Errorf("fenced: status %d, want 503", code)
	}
	board.InForce().Renew(time.Now().Add(time.Hour))
	if code := requestEntries(); code != http.StatusOK {
		t.Errorf("with a lease: status %d, want 200", code)
	}
}
