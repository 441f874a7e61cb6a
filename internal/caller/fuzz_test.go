package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	callerserver "gitlab.com/comfreythread/comfreythread/internal/caller"
	"gitlab.com/comfreythread/comfreythread/internal/web"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

type (
	// checkingCoordinator answers the requests that pass Check.
	checkingCoordinator struct{}
)

func (checkingCoordinator) Run(_ context.Context, request *caller.Request) (*caller.Answer, *caller.Refusal) {
	if err := request.Check(); err != nil {
		return nil, &caller.Refusal{Kind: caller.RefusedBadRequest, Run: caller.NotRun, Message: err.Error()}
	}
	return &caller.Answer{RequestID: request.ID}, nil
}

// FuzzRequest sends arbitrary bodies to the interface for callers, and checks that each is
// answered or refused with a typed error and a 4xx status.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(`{"id":"a.1893456000","kind":"buyer-desk.search","timeout":"1s","idempotent":true,"runs_per_shard":2}`))
	f.Add([]byte(`{"id":"a","kind":"","timeout":1,"minimum_coverage":2,"runs_per_shard":-1}`))
	f.Add([]byte(`{"id":"a.1","id":"b.1","payload":{"deep":[[[[]]]]}}`))
	f.Add([]byte(`{"timeout":"9999999h"`))
	engine := web.NewEngine()
	callerserver.NewServer("entry", time.Second, new(blackboard.Board), checkingCoordinator{}).Register(engine)
	f.Fuzz(func(t *testing.T, body []byte) {
		recorder := httptest.NewRecorder()
		engine.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/requests", bytes.NewReader(body)))
		if recorder.Code == http.StatusOK {
			return
		}
		var refusal caller.Refusal
		if err := json.Unmarshal(recorder.Body.Bytes(), &refusal); err != nil || refusal.Kind == "" || refusal.Run != caller.NotRun {
			t.Fatalf("refusal %q isn't typed", recorder.Body.String())
		}
		if strings.Contains(refusal.Message, "problem(s)") && len(refusal.Problems) == 0 {
			t.Fatalf("refusal %q names no problem", recorder.Body.String())
		}
		if recorder.Code < 400 || recorder.Code > 499 {
			t.Fatalf("status %d of a refusal, want 400 to 499", recorder.Code)
		}
	})
}
