package caller_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
)

func ExampleClient_Send() {
	entry := exampleEntry(http.StatusOK, `{"coverage":{"answered":9,"total":10,"known":true,"missing":[{"shard":3,"reason":"deadline"}]},"run":"did_run"}`)
	defer entry.Close()
	client := caller.NewClient([]string{entry.Listener.Addr().String()}, nil)
	defer client.Close()
	answer, err := client.Send(context.Background(), &caller.Request{
		ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: "buyer-desk.search",
		Timeout: duration.Of(time.Second), Idempotent: true, RunsPerShard: 3, MinimumCoverage: 0.8,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(answer.Coverage.Complete, answer.Coverage.Share(), answer.Coverage.Missing[0])
	// Output: false 0.9 {3 deadline}
}

func ExampleRefusal() {
	entry := exampleEntry(http.StatusTooManyRequests,
		`{"kind":"overloaded","run":"not_run","message":"the pool has no room in time","remedy":"send it again later","retry_after":"250ms"}`)
	defer entry.Close()
	client := caller.NewClient([]string{entry.Listener.Addr().String()}, nil)
	defer client.Close()
	_, err := client.Send(context.Background(), &caller.Request{
		ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: "buyer-desk.file", Timeout: duration.Of(time.Second),
	})
	var refusal *caller.Refusal
	if errors.As(err, &refusal) && refusal.Run == caller.NotRun {
		fmt.Println("send it again in", refusal.RetryAfter)
	}
	// Output: send it again in 250ms
}

// exampleEntry starts an HTTP server that replies to all requests as an entry
// would, with a fixed status and body.
func exampleEntry(status int, reply string) *httptest.Server {
	entry := httptest.NewUnstartedServer(nil)
	address := entry.Listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(writer, `{"entries":[%q],"max_age":"5s"}`, address)
	})
	mux.HandleFunc("POST /v1/requests", func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(status)
		_, _ = fmt.Fprint(writer, reply)
	})
	entry.Config.Handler = mux
	entry.Start()
	return entry
}
