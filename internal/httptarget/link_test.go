package httptarget

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/dialect"
)

type (
	// noRelay is a relay of entries that have no links either.
	noRelay struct{}
)

func (noRelay) Send(context.Context, *Target, *Request, time.Time, bool) (Outcome, bool) {
	return nil, false
}
func (noRelay) Reaches(context.Context, *Target) bool { return false }

// refusingSender returns a sender all of whose connections are refused until the returned function is
// called.
func refusingSender() (sender *Sender, heal func()) {
	var healed atomic.Bool
	sender = NewSender(dialect.Default(), func(context.Context, string, string) (net.Conn, error) {
		if !healed.Load() {
			return nil, syscall.ECONNREFUSED
		}
		near, _ := net.Pipe()
		return near, nil
	})
	sender.UseRelay(noRelay{})
	return sender, func() { healed.Store(true) }
}

// Guards against a refusal that leaves open whether the request ran, though no entry could send it.
func TestRequestThatNoEntryCouldSendIsUnsent(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		sender, _ := refusingSender()
		target := newTarget(&Record{ID: "t", Address: "10.0.0.1:80"})
		request := NewEncoded("q", http.MethodGet, true, []byte("GET / HTTP/1.1\r\n"), nil)
		for range 3 {
			outcome, isRefused := sender.Send(t.Context(), target, request, time.Now().Add(time.Second), 2).(*Refused)
			if !isRefused || outcome.Reason != Unreachable {
				t.Fatalf("outcome %v", outcome)
			}
		}
		if !request.Withdraw() {
			t.Error("the request counts as sent")
		}
		time.Sleep(time.Minute)
	})
}

// Guards against a link that is taken for lost because the caller's time ended while a connection was being opened, which depended
// on the order of two timers.
func TestLinkIsNotLostWhenTheCallerLeaves(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		sender := NewSender(dialect.Default(), func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		sender.UseRelay(noRelay{})
		lost := 0
		for range 300 {
			target := newTarget(&Record{ID: "t", Address: "10.0.0.1:80"})
			request := NewEncoded("q", http.MethodGet, true, []byte("GET / HTTP/1.1\r\n"), nil)
			deadline := time.Now().Add(50 * time.Millisecond)
			ctx, cancel := context.WithDeadline(t.Context(), deadline)
			sender.SendDirectly(ctx, target, request, deadline, 2)
			cancel()
			if target.linkDown() {
				lost++
			}
		}
		if lost > 0 {
			t.Errorf("the link was taken for lost %d of 300 times", lost)
		}
	})
}

// Guards against a link that is never used again, or tried by each request, after it was lost.
func TestLostLinkIsTriedInTheBackground(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		sender, heal := refusingSender()
		target := newTarget(&Record{ID: "t", Address: "10.0.0.1:80"})
		send := func() Outcome {
			return sender.Send(t.Context(), target, NewEncoded("q", http.MethodGet, true, []byte("GET / HTTP/1.1\r\n"), nil), time.Now().Add(100*time.Millisecond), 2)
		}
		send()
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if !sender.LinkLost(target, 2) {
				t.Fatal("the link counts as up")
			}
		}
		heal()
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			sender.LinkLost(target, 2)
		}
		if sender.LinkLost(target, 2) {
			t.Error("the link counts as lost 2 s after it is back")
		}
		time.Sleep(time.Minute)
	})
}

// Guards against links that are taken for lost because targets are slow, or because nothing was asked.
func TestSlowTargetsAreNoLostLinks(t *testing.T) {
	var monitor linkMonitor
	now := time.Unix(0, 0)
	for _, id := range []string{"a", "b"} {
		monitor.begin(id, now.Add(silenceSpan))
	}
	if lost, _ := monitor.check(now.Add(time.Minute), 0); lost {
		t.Error("two silent targets")
	}
	monitor.reach()
	for _, id := range []string{"a", "b", "c", "d"} {
		monitor.begin(id, now.Add(silenceSpan))
		monitor.abandon(id, now.Add(silenceSpan/2))
	}
	if lost, _ := monitor.check(now.Add(time.Minute), 0); lost {
		t.Error("four attempts that were given up early")
	}
	for _, id := range []string{"a", "b", "c"} {
		monitor.begin(id, now.Add(silenceSpan))
	}
	if lost, isNew := monitor.check(now.Add(silenceSpan), 0); !lost || !isNew {
		t.Error("three silent targets are no loss")
	}
	if !monitor.reach() {
		t.Error("the loss isn't over")
	}
}

// Guards against an entry short of processor time that takes its links for lost, because it hasn't read the answers yet.
func TestLateEntryKeepsItsLinks(t *testing.T) {
	var monitor linkMonitor
	now := time.Unix(0, 0)
	for _, id := range []string{"a", "b", "c", "d"} {
		monitor.begin(id, now.Add(silenceSpan))
	}
	late := 300 * time.Millisecond
	if lost, _ := monitor.check(now.Add(silenceSpan+late-1), late); lost {
		t.Error("taken for lost within the entry's own lateness")
	}
	if lost, isNew := monitor.check(now.Add(silenceSpan+late), late); !lost || !isNew {
		t.Error("not taken for lost after it")
	}
}
