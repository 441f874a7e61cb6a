package frame_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
)

const (
	peerIP, callerIP = "10.0.0.1", "10.0.0.2"
	// stallSpan is how long a peer's link stands still. It is less than the silence after which a link is given up.
	stallSpan = 800 * time.Millisecond
	// callTimeout is how long a caller waits on a link that stands still.
	callTimeout  = 50 * time.Millisecond
	stalledCalls = 100
)

// serveCounting starts a server whose method counts its runs, and returns a client with an open session.
func serveCounting(t *testing.T, network *standin.Network, runs *atomic.Int64) *frame.Client {
	t.Helper()
	network.SetLatency(func(string, string) time.Duration { return time.Millisecond })
	server := new(frame.Server)
	frame.Handle(server, "count", func(context.Context, *number) (*number, error) {
		runs.Add(1)
		return new(number), nil
	})
	listener, err := network.Listen(peerIP + ":1")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	client := frame.NewClient(peerIP+":1", network.Dialer(callerIP))
	t.Cleanup(func() {
		client.Close()
		server.Stop()
	})
	if _, err := frame.Call[number, number](context.Background(), client, "count", &number{}); err != nil {
		t.Fatal(err)
	}
	runs.Store(0)
	return client
}

// Guards against a call that is sent although its caller had left before, while a session is open.
func TestCallOfACallerThatHasLeftIsNotSent(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var runs atomic.Int64
		client := serveCounting(t, new(standin.Network), &runs)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for range stalledCalls {
			if _, err := frame.Call[number, number](ctx, client, "count", &number{}); !errors.Is(err, frame.ErrNotSent) {
				t.Fatalf("%v doesn't say that the call was not sent", err)
			}
		}
		time.Sleep(time.Second)
		if count := runs.Load(); count > 0 {
			t.Errorf("%d of %d calls were run", count, stalledCalls)
		}
	})
}

// Guards against calls that wait in a link that stands still until their callers have given up, and are run all the same
// once it moves again, with their whole time as of then.
func TestCallsWhoseTimeRanOutOnAStalledLinkAreNotRun(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := new(standin.Network)
		var runs atomic.Int64
		client := serveCounting(t, network, &runs)
		network.Cut(callerIP, peerIP)
		var calls sync.WaitGroup
		for range stalledCalls {
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
				defer cancel()
				_, _ = frame.Call[number, number](ctx, client, "count", &number{})
			})
		}
		calls.Wait()
		time.Sleep(stallSpan - callTimeout)
		network.Heal(callerIP, peerIP)
		time.Sleep(time.Second)
		if count := runs.Load(); count > 0 {
			t.Errorf("%d of %d calls were run %s after they had timed out", count, stalledCalls, stallSpan-callTimeout)
		}
	})
}
