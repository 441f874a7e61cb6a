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
	// settleDuration is long enough for idle connections and their goroutines to
	// end.
	settleDuration = 10 * time.Minute
)

type (
	// bodyKey is the context key for the body of a request.
	bodyKey struct{}

	// fakeTier is a set of entries that count the requests they receive and
	// reply with configurable handlers.
	fakeTier struct {
		network   *standin.Network
		addresses []string

		lock            sync.Mutex
		addressRequests int
		received        map[string]int
		running         map[string]int
		peak            map[string]int
		handlers        map[string]http.HandlerFunc
	}
)

// withEntries runs a test with four entries, 10.1.0.1:80 to 10.1.0.4:80, and a
// client that has them as seeds.
func withEntries(t *testing.T, body func(t *testing.T, tier *fakeTier, client *caller.Client)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		tier := &fakeTier{
			network: &standin.Network{}, received: map[string]int{}, running: map[string]int{}, peak: map[string]int{}, handlers: map[string]http.HandlerFunc{},
		}
		tier.network.SetLatency(func(_, _ string) time.Duration { return time.Millisecond })
		for number := range 4 {
			tier.startEntry(t, fmt.Sprintf("10.1.0.%d:80", number+1))
		}
		client := caller.NewClient(tier.addresses, caller.Dialer(tier.network.Dialer("10.0.0.1")))
		defer time.Sleep(settleDuration)
		defer client.Close()
		body(t, tier, client)
	})
}

func (tier *fakeTier) startEntry(t *testing.T, address string) {
	t.Helper()
	listener, err := tier.network.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	tier.addresses = append(tier.addresses, address)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", func(writer http.ResponseWriter, _ *http.Request) {
		tier.lock.Lock()
		defer tier.lock.Unlock()
		tier.addressRequests++
		_ = json.NewEncoder(writer).Encode(caller.Addresses{Entries: tier.addresses, MaxAge: duration.Of(maxAge)})
	})
	mux.HandleFunc("POST /v1/requests", func(writer http.ResponseWriter, request *http.Request) {
		// The server detects a client's disconnect only after the body was read.
		body, _ := io.ReadAll(request.Body)
		request = request.WithContext(context.WithValue(request.Context(), bodyKey{}, body))
		tier.trackRequest(address, 1)
		defer tier.trackRequest(address, -1)
		tier.lock.Lock()
		handler := tier.handlers[address]
		tier.lock.Unlock()
		if handler == nil {
			handler = answerComplete
		}
		handler(writer, request)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

func (tier *fakeTier) trackRequest(address string, change int) {
	tier.lock.Lock()
	defer tier.lock.Unlock()
	tier.received[address] += max(0, change)
	tier.running[address] += change
	tier.peak[address] = max(tier.peak[address], tier.running[address])
}

// totalReceived returns the number of requests that all entries received.
func (tier *fakeTier) totalReceived() int {
	tier.lock.Lock()
	defer tier.lock.Unlock()
	total := 0
	for _, count := range tier.received {
		total += count
	}
	return total
}

func (tier *fakeTier) setHandler(handler http.HandlerFunc, addresses ...string) {
	tier.lock.Lock()
	defer tier.lock.Unlock()
	for _, address := range addresses {
		tier.handlers[address] = handler
	}
}

func decodedRequest(request *http.Request) *caller.Request {
	decoded := new(caller.Request)
	body, _ := request.Context().Value(bodyKey{}).([]byte)
	_ = json.Unmarshal(body, decoded)
	return decoded
}

func answerComplete(writer http.ResponseWriter, _ *http.Request) {
	time.Sleep(10 * time.Millisecond)
	_ = json.NewEncoder(writer).Encode(caller.Answer{Coverage: caller.Coverage{Answered: 1, Total: 1, Known: true, Complete: true}})
}

func refuseWith(refusal caller.Refusal) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(writer).Encode(refusal)
	}
}

// abortConnection makes the server close the connection without a reply.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func idempotent() *caller.Request {
	return &caller.Request{ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: "desk.search", Timeout: duration.Of(timeout), Idempotent: true}
}

func nonIdempotent() *caller.Request {
	request := idempotent()
	request.Idempotent = false
	return request
}

func TestClientCachesAddressesAndRefreshesThemBeforeExpiry(t *testing.T) {
	withEntries(t, func(t *testing.T, tier *fakeTier, client *caller.Client) {
		if len(client.Addresses(t.Context())) != 4 || tier.addressRequests != 1 {
			t.Fatalf("addresses %v after %d requests for addresses, want 4 after one", client.Addresses(t.Context()), tier.addressRequests)
		}
		// A refresh in the second half of the list's validity happens in the
		// background: no caller waits for it, in spite of the network's latency.
		tier.network.SetLatency(func(_, _ string) time.Duration { return 20 * time.Millisecond })
		time.Sleep(maxAge * 3 / 4)
		for range 40 {
			start := time.Now()
			client.Addresses(t.Context())
			if waited := time.Since(start); waited > 0 {
				t.Fatalf("waited %s although the addresses were valid", waited)
			}
			time.Sleep(maxAge / 10)
		}
		// The sleep of 3.75 s and the loop of 20 s take about 24 s. The client
		// refreshes the addresses once they are 2.5 s old, half of maxAge.
		if tier.addressRequests < 5 || tier.addressRequests > 11 {
			t.Errorf("%d requests for addresses in 24 s, want 5 to 11", tier.addressRequests)
		}
	})
}

func TestClientSpreadsLoad(t *testing.T) {
	withEntries(t, func(t *testing.T, tier *fakeTier, client *caller.Client) {
		client.Addresses(t.Context())
		var senders sync.WaitGroup
		for range 400 {
			senders.Go(func() { _, _ = client.Send(t.Context(), idempotent()) })
			time.Sleep(time.Millisecond)
		}
		senders.Wait()
		for _, address := range tier.addresses {
			if received := tier.received[address]; received < 80 || received > 120 {
				t.Errorf("%s received %d of 400, not 100 within 20%%", address, received)
			}
		}
	})
}

// TestClientFailsOverFromDeadOrSilentEntry has one entry fail. Nothing from
// the client arrives at an unreachable entry, and nothing from a mute entry
// arrives at the client.
func TestClientFailsOverFromDeadOrSilentEntry(t *testing.T) {
	for name, fail := range map[string]func(tier *fakeTier){
		"dead":               func(tier *fakeTier) { tier.network.Down("10.1.0.2") },
		"silent connections": func(tier *fakeTier) { tier.network.Silence("10.1.0.2") },
		"unreachable":        func(tier *fakeTier) { tier.network.Cut("10.0.0.1", "10.1.0.2") },
		"mute":               func(tier *fakeTier) { tier.network.Cut("10.1.0.2", "10.0.0.1") },
	} {
		for state, idleTime := range map[string]time.Duration{"with valid addresses": 0, "with expired addresses": 2 * maxAge} {
			t.Run(name+" "+state, func(t *testing.T) {
				withEntries(t, func(t *testing.T, tier *fakeTier, client *caller.Client) {
					client.Addresses(t.Context())
					time.Sleep(idleTime)
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

// TestClientAcceptsAnswerSentAtDeadline has all entries send a partial answer
// just when the timeout in the request that they received elapses. The client
// must have sent a timeout shorter than its own, so that the reply still arrives
// in time.
func TestClientAcceptsAnswerSentAtDeadline(t *testing.T) {
	withEntries(t, func(t *testing.T, tier *fakeTier, client *caller.Client) {
		client.Addresses(t.Context())
		tier.setHandler(func(writer http.ResponseWriter, request *http.Request) {
			time.Sleep(decodedRequest(request).Timeout.Std())
			_ = json.NewEncoder(writer).Encode(caller.Answer{Coverage: caller.Coverage{Answered: 1, Total: 2, Known: true}})
		}, tier.addresses...)
		for range 5 {
			answer, err := client.Send(t.Context(), idempotent())
			if err != nil || answer.Coverage.Answered != 1 {
				t.Fatalf("answer %v, error %v", answer, err)
			}
		}
	})
}

func TestClientRetriesNonIdempotentRequestIfNothingWasSent(t *testing.T) {
	for name, fail := range map[string]func(tier *fakeTier){
		"dead":        func(tier *fakeTier) { tier.network.Down("10.1.0.2") },
		"unreachable": func(tier *fakeTier) { tier.network.Cut("10.0.0.1", "10.1.0.2") },
	} {
		t.Run(name, func(t *testing.T) {
			withEntries(t, func(t *testing.T, tier *fakeTier, client *caller.Client) {
				client.Addresses(t.Context())
				// Close the open connections, so that nothing can be sent on them.
				tier.network.Break("10.1.0.2")
				synctest.Wait()
				fail(tier)
				defer tier.network.Heal("10.0.0.1", "10.1.0.2")
				for number := range 40 {
					if _, err := client.Send(t.Context(), nonIdempotent()); err != nil {
						t.Fatalf("request %d: %v", number, err)
					}
				}
				if tier.totalReceived() != 40 {
					t.Errorf("40 requests were sent %d times, want 40", tier.totalReceived())
				}
			})
		})
	}
}

func TestClientRetriesNonIdempotentRequestOnlyIfItWasNotRun(t *testing.T) {
	for name, row := range map[string]struct {
		handler http.HandlerFunc
		// mustResend is true if the client must send the request to another
		// entry, and false if it must not.
		mustResend bool
	}{
		"connection broken":         {handler: abortConnection},
		"no answer":                 {handler: func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }},
		"may have run, fenced":      {handler: refuseWith(caller.Refusal{Kind: caller.RefusedFenced, Run: caller.MayHaveRun})},
		"may have run, answer lost": {handler: refuseWith(caller.Refusal{Kind: caller.RefusedAnswerLost, Run: caller.MayHaveRun})},
		"error without a refusal":   {handler: func(writer http.ResponseWriter, _ *http.Request) { http.Error(writer, "broken", http.StatusBadGateway) }},
		"redirect that keeps the method": {handler: func(writer http.ResponseWriter, request *http.Request) {
			http.Redirect(writer, request, "http://10.1.0.4:80/v1/requests", http.StatusTemporaryRedirect)
		}},
		"not run, stopping": {handler: refuseWith(caller.Refusal{Kind: caller.RefusedStopping, Run: caller.NotRun}), mustResend: true},
		"not run, fenced":   {handler: refuseWith(caller.Refusal{Kind: caller.RefusedFenced, Run: caller.NotRun}), mustResend: true},
	} {
		t.Run(name, func(t *testing.T) {
			withEntries(t, func(t *testing.T, tier *fakeTier, client *caller.Client) {
				client.Addresses(t.Context())
				tier.setHandler(row.handler, tier.addresses[:3]...)
				for range 20 {
					before := tier.totalReceived()
					_, err := client.Send(t.Context(), nonIdempotent())
					sends := tier.totalReceived() - before
					if !row.mustResend && sends != 1 {
						t.Fatalf("sent %d times, want once; error %v", sends, err)
					}
					if row.mustResend && err != nil {
						t.Fatalf("not sent to the entry that accepts requests: %v", err)
					}
				}
			})
		})
	}
}

// TestClientUsesAddressesFromRefusal gives the client a stale list of entries,
// all of which are stopping and name another entry in their refusals.
func TestClientUsesAddressesFromRefusal(t *testing.T) {
	withEntries(t, func(t *testing.T, tier *fakeTier, client *caller.Client) {
		client.Addresses(t.Context())
		stoppingAddresses := tier.addresses
		tier.startEntry(t, "10.1.0.9:80")
		tier.setHandler(refuseWith(caller.Refusal{Kind: caller.RefusedStopping, Run: caller.NotRun, Entries: []string{"10.1.0.9:80"}}), stoppingAddresses...)
		for range 20 {
			var refusal *caller.Refusal
			if _, err := client.Send(t.Context(), nonIdempotent()); err != nil && !errors.As(err, &refusal) {
				t.Fatal(err)
			}
		}
		if tier.received["10.1.0.9:80"] == 0 {
			t.Error("the address in the refusal was never used")
		}
	})
}

func TestEntryClientReportsNotSentAndCancellationWhileConnecting(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	client := caller.NewEntryClient("10.0.0.1:80", func(ctx context.Context, _, _ string) (net.Conn, error) {
		cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	})
	defer client.Close()
	_, err := client.Send(ctx, &caller.Request{ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: "desk.search"})
	if !errors.Is(err, caller.ErrNotSent) || !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want one that wraps both ErrNotSent and context.Canceled", err)
	}
}
