package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
)

const (
	maxAge  = 5 * time.Second
	timeout = 300 * time.Millisecond
	// settleSpan lets idle connections and their goroutines end.
	settleSpan = 10 * time.Minute
)

type (
	// bodyKey is the key of a request's body in its context.
	bodyKey struct{}

	// fakeTier is entries that count what they get and answer as told.
	fakeTier struct {
		network *standin.Network
		listed  []string

		lock     sync.Mutex
		asked    int
		received map[string]int
		running  map[string]int
		peak     map[string]int
		answer   map[string]http.HandlerFunc
	}
)

// withEntries runs a test with four entries, 10.1.0.1:80 to 10.1.0.4:80, and a
// client that knows them as seeds.
func withEntries(t *testing.T, body func(t *testing.T, tier *fakeTier, client *caller.Client)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		tier := &fakeTier{
			network: &standin.Network{}, received: map[string]int{}, running: map[string]int{}, peak: map[string]int{}, answer: map[string]http.HandlerFunc{},
		}
		tier.network.SetLatency(func(_, _ string) time.Duration { return time.Millisecond })
		for number := range 4 {
			tier.serve(t, fmt.Sprintf("10.1.0.%d:80", number+1))
		}
		client := caller.NewClient(tier.listed, caller.Dialer(tier.network.Dialer("10.0.0.1")))
		defer time.Sleep(settleSpan)
		defer client.Close()
		body(t, tier, client)
	})
}

func (tier *fakeTier) serve(t *testing.T, address string) {
	t.Helper()
	listener, err := tier.network.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	tier.listed = append(tier.listed, address)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", func(writer http.ResponseWriter, _ *http.Request) {
		tier.lock.Lock()
		defer tier.lock.Unlock()
		tier.asked++
		_ = json.NewEncoder(writer).Encode(caller.Addresses{Entries: tier.listed, MaxAge: duration.Of(maxAge)})
	})
	mux.HandleFunc("POST /v1/requests", func(writer http.ResponseWriter, request *http.Request) {
		// The server watches for a client's leave only after the body.
		body, _ := io.ReadAll(request.Body)
		request = request.WithContext(context.WithValue(request.Context(), bodyKey{}, body))
		tier.count(address, 1)
		defer tier.count(address, -1)
		tier.lock.Lock()
		answer := tier.answer[address]
		tier.lock.Unlock()
		if answer == nil {
			answer = complete
		}
		answer(writer, request)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

func (tier *fakeTier) count(address string, change int) {
	tier.lock.Lock()
	defer tier.lock.Unlock()
	tier.received[address] += max(0, change)
	tier.running[address] += change
	tier.peak[address] = max(tier.peak[address], tier.running[address])
}

func (tier *fakeTier) total() int {
	tier.lock.Lock()
	defer tier.lock.Unlock()
	total := 0
	for _, count := range tier.received {
		total += count
	}
	return total
}

func (tier *fakeTier) each(answer http.HandlerFunc, addresses ...string) {
	tier.lock.Lock()
	defer tier.lock.Unlock()
	for _, address := range addresses {
		tier.answer[address] = answer
	}
}

func received(request *http.Request) *caller.Request {
	decoded := new(caller.Request)
	body, _ := request.Context().Value(bodyKey{}).([]byte)
	_ = json.Unmarshal(body, decoded)
	return decoded
}

func complete(writer http.ResponseWriter, _ *http.Request) {
	time.Sleep(10 * time.Millisecond)
	_ = json.NewEncoder(writer).Encode(caller.Answer{Coverage: caller.Coverage{Answered: 1, Total: 1, Known: true, Complete: true}})
}

func refuse(refusal caller.Refusal) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(writer).Encode(refusal)
	}
}

// breakOff takes the request and breaks the connection.
func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func idempotent() *caller.Request {
	return &caller.Request{ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: "desk.search", Timeout: duration.Of(timeout), Idempotent: true}
}

func once() *caller.Request {
	request := idempotent()
	request.Idempotent = false
	return request
}

func TestClientKeepsTheListAndRenewsItBeforeItsEnd(t *testing.T) {
	withEntries(t, func(t *testing.T, tier *fakeTier, client *caller.Client) {
		if len(client.Addresses(t.Context())) != 4 || tier.asked != 1 {
			t.Fatalf("addresses %v, asked %d times", client.Addresses(t.Context()), tier.asked)
		}
		// Nobody waits for a renewal in the list's second half, though each
		// takes a while.
		tier.network.SetLatency(func(_, _ string) time.Duration { return 20 * time.Millisecond })
		time.Sleep(maxAge * 3 / 4)
		for range 40 {
			start := time.Now()
			client.Addresses(t.Context())
			if waited := time.Since(start); waited > 0 {
				t.Fatalf("waited %s for a list that was valid", waited)
			}
			time.Sleep(maxAge / 10)
		}
		// 20 s at one question for each half of 5 s.
		if tier.asked < 5 || tier.asked > 11 {
			t.Errorf("asked %d times in 24 s", tier.asked)
		}
	})
}

func TestClientSpreadsLoad(t *testing.T) {
	withEntries(t, func(t *testing.T, tier *fakeTier, client *caller.Client) {
		client.Addresses(t.Context())
		var running sync.WaitGroup
		for range 400 {
			running.Go(func() { _, _ = client.Send(t.Context(), idempotent()) })
			time.Sleep(time.Millisecond)
		}
		running.Wait()
		for _, address := range tier.listed {
			if received := tier.received[address]; received < 80 || received > 120 {
				t.Errorf("%s received %d of 400, not 100 within 20%%", address, received)
			}
		}
	})
}

func TestClientMovesOnFromADeadOrSilentEntry(t *testing.T) {
	for name, fail := range map[string]func(tier *fakeTier){
		"dead":               func(tier *fakeTier) { tier.network.Down("10.1.0.2") },
		"silent connections": func(tier *fakeTier) { tier.network.Silence("10.1.0.2") },
		"unreachable":        func(tier *fakeTier) { tier.network.Cut("10.0.0.1", "10.1.0.2") },
		"mute":               func(tier *fakeTier) { tier.network.Cut("10.1.0.2", "10.0.0.1") },
	} {
		for state, idle := range map[string]time.Duration{"with a fresh list": 0, "with a list past its age": 2 * maxAge} {
			t.Run(name+" "+state, func(t *testing.T) {
				withEntries(t, func(t *testing.T, tier *fakeTier, client *caller.Client) {
					client.Addresses(t.Context())
					time.Sleep(idle)
					fail(tier)
					defer tier.network.Heal("10.0.0.1", "10.1.0.2")
					defer tier.network.Heal("10.1.0.2", "10.0.0.1")
					for number := range 40 {
						if _, err := client.Send(t.Context(), idempotent()); err != nil {
							t.Fatalf("request %d: %v", number, err)
						}
					}
				})
			})
		}
	}
}

// TestClientTakesAnAnswerThatComesLate has all entries answer in part when the
// time that the request names is over.
func TestClientTakesAnAnswerThatComesLate(t *testing.T) {
	withEntries(t, func(t *testing.T, tier *fakeTier, client *caller.Client) {
		client.Addresses(t.Context())
		tier.each(func(writer http.ResponseWriter, request *http.Request) {
			time.Sleep(received(request).Timeout.Std())
			_ = json.NewEncoder(writer).Encode(caller.Answer{Coverage: caller.Coverage{Answered: 1, Total: 2, Known: true}})
		}, tier.listed...)
		for range 5 {
			answer, err := client.Send(t.Context(), idempotent())
			if err != nil || answer.Coverage.Answered != 1 {
				t.Fatalf("answer %v, error %v", answer, err)
			}
		}
	})
}

func TestClientSendsWhatIsNotIdempotentElsewhereIfNoByteWasSent(t *testing.T) {
	for name, fail := range map[string]func(tier *fakeTier){
		"dead":        func(tier *fakeTier) { tier.network.Down("10.1.0.2") },
		"unreachable": func(tier *fakeTier) { tier.network.Cut("10.0.0.1", "10.1.0.2") },
	} {
		t.Run(name, func(t *testing.T) {
			withEntries(t, func(t *testing.T, tier *fakeTier, client *caller.Client) {
				client.Addresses(t.Context())
				// No connection is open, so that nothing can be sent.
				tier.network.Break("10.1.0.2")
				synctest.Wait()
				fail(tier)
				defer tier.network.Heal("10.0.0.1", "10.1.0.2")
				for number := range 40 {
					if _, err := client.Send(t.Context(), once()); err != nil {
						t.Fatalf("request %d: %v", number, err)
					}
				}
				if tier.total() != 40 {
					t.Errorf("40 requests were sent %d times", tier.total())
				}
			})
		})
	}
}

func TestClientSendsWhatIsNotIdempotentAgainOnlyIfItWasNotRun(t *testing.T) {
	for name, row := range map[string]struct {
		answer http.HandlerFunc
		// again states that the client may send the request again.
		again bool
	}{
		"connection broken":          {answer: breakOff},
		"no answer":                  {answer: func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }},
		"may have run, fenced":       {answer: refuse(caller.Refusal{Kind: caller.RefusedFenced, Run: caller.MayHaveRun})},
		"may have run, answer lost":  {answer: refuse(caller.Refusal{Kind: caller.RefusedLost, Run: caller.MayHaveRun})},
		"an error without a refusal": {answer: func(writer http.ResponseWriter, _ *http.Request) { http.Error(writer, "broken", http.StatusBadGateway) }},
		"a redirect that keeps method": {answer: func(writer http.ResponseWriter, request *http.Request) {
			http.Redirect(writer, request, "http://10.1.0.4:80/v1/requests", http.StatusTemporaryRedirect)
		}},
		"not run, stopping": {answer: refuse(caller.Refusal{Kind: caller.RefusedStopping, Run: caller.NotRun}), again: true},
		"not run, fenced":   {answer: refuse(caller.Refusal{Kind: caller.RefusedFenced, Run: caller.NotRun}), again: true},
	} {
		t.Run(name, func(t *testing.T) {
			withEntries(t, func(t *testing.T, tier *fakeTier, client *caller.Client) {
				client.Addresses(t.Context())
				tier.each(row.answer, tier.listed[:3]...)
				for range 20 {
					before := tier.total()
					_, err := client.Send(t.Context(), once())
					sendings := tier.total() - before
					if !row.again && sendings != 1 {
						t.Fatalf("sent %d times after %v", sendings, err)
					}
					if row.again && err != nil {
						t.Fatalf("not sent to the entry that serves: %v", err)
					}
				}
			})
		})
	}
}

// TestClientTakesAddressesFromARefusal gives the client an old list, of which
// all entries have stopped.
func TestClientTakesAddressesFromARefusal(t *testing.T) {
	withEntries(t, func(t *testing.T, tier *fakeTier, client *caller.Client) {
		client.Addresses(t.Context())
		old := tier.listed
		tier.serve(t, "10.1.0.9:80")
		tier.each(refuse(caller.Refusal{Kind: caller.RefusedStopping, Run: caller.NotRun, Entries: []string{"10.1.0.9:80"}}), old...)
		for range 20 {
			var refusal *caller.Refusal
			if _, err := client.Send(t.Context(), once()); err != nil && !errors.As(err, &refusal) {
				t.Fatal(err)
			}
		}
		if tier.received["10.1.0.9:80"] == 0 {
			t.Error("the address in the refusal was never used")
		}
	})
}

func TestACallerThatGivesUpWhileConnectingIsToldBoth(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	client := caller.NewEntryClient("10.0.0.1:80", func(ctx context.Context, _, _ string) (net.Conn, error) {
		cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	})
	defer client.Close()
	_, err := client.Send(ctx, &caller.Request{ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: "desk.search"})
	if !errors.Is(err, caller.ErrNotSent) || !errors.Is(err, context.Canceled) {
		t.Errorf("the error is %v", err)
	}
}
