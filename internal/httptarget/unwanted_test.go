package httptarget

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/dialect"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
)

// Guards against a request that reaches a target although its caller left while the attempt waited for processor time, a permit or
// a connection.
func TestAttemptOfACallerThatHasLeftIsNotSent(t *testing.T) {
	var runs atomic.Int64
	network := new(standin.Network)
	listener, err := network.Listen("10.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: longTimeout, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		runs.Add(1)
		writer.Header().Set(dialect.Default().RequestID, request.Header.Get(dialect.Default().RequestID))
		_, _ = io.WriteString(writer, "yes")
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	sender := NewSender(dialect.Default(), network.Dialer("10.0.0.2"))
	target := newTarget(&Record{ID: "t", Pool: "pool", Address: "10.0.0.1:80", FailureDomain: "nord", Slots: 2, State: StateReady})
	request := func(id string) *Request {
		header := http.Header{}
		header.Set(dialect.Default().RequestID, id)
		request := &Request{ID: id, Method: http.MethodGet, URI: "/", Host: "a.example", Repeatable: true}
		if err := request.Encode(header, nil); err != nil {
			t.Fatal(err)
		}
		return request
	}
	left, leave := context.WithCancel(context.Background())
	leave()
	const rounds = 100
	for range rounds {
		// Leaves an idle connection for the attempt after it.
		if outcome := sender.Send(context.Background(), target, request("q1"), time.Now().Add(longTimeout), 2); !isAnswered(outcome) {
			t.Fatalf("%T in place of an answer", outcome)
		}
		outcome := sender.Send(left, target, request("q2"), time.Now().Add(longTimeout), 2)
		if _, isRefused := outcome.(*Refused); !isRefused {
			t.Fatalf("%T doesn't say that the target has not run the request", outcome)
		}
	}
	time.Sleep(50 * time.Millisecond)
	if count := runs.Load(); count != rounds {
		t.Errorf("%d of %d requests whose caller had left were run", count-rounds, rounds)
	}
}

func isAnswered(outcome Outcome) bool {
	_, answered := outcome.(*Answered)
	return answered
}
