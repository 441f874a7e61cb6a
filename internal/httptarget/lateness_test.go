package httptarget

import (
	"context"
	"net"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/dialect"
	"gitlab.com/comfreythread/comfreythread/internal/pause"
)

type (
	// countingRelay counts the attempts that it is asked for, and sends none.
	countingRelay struct {
		attempts int
	}
)

// Send implements Relay.
func (relay *countingRelay) Send(context.Context, *Target, *Request, time.Time, bool) (Outcome, bool) {
	relay.attempts++
	return nil, false
}

// Reaches implements Relay.
func (*countingRelay) Reaches(context.Context, *Target) bool { return false }

// Guards against an entry short of processor time that takes targets for out of reach, and sends its attempts through other
// entries, because it notices late that connections were accepted.
func TestLateEntryTakesNoLinkForLost(t *testing.T) {
	for _, row := range []struct {
		name     string
		late     time.Duration
		attempts int
		reason   RefusalReason
	}{
		{"late", pause.LateLimit, 0, Busy},
		{"punctual", 0, 1, Unreachable},
	} {
		t.Run(row.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				sender := NewSender(dialect.Default(), func(ctx context.Context, _, _ string) (net.Conn, error) {
					<-ctx.Done()
					time.Sleep(row.late)
					return nil, ctx.Err()
				})
				relay := new(countingRelay)
				sender.UseRelay(relay)
				target := newTarget(&Record{ID: "t", Pool: "pool", Address: "10.0.0.1:80", FailureDomain: "nord", Slots: 2, State: StateReady})
				request := &Request{ID: "q1", Method: "GET", URI: "/", Host: "a.example", Repeatable: true}
				outcome := sender.Send(context.Background(), target, request, time.Now().Add(longTimeout), 2)
				if refused, isRefused := outcome.(*Refused); !isRefused || refused.Reason != row.reason {
					t.Errorf("outcome %+v", outcome)
				}
				if relay.attempts != row.attempts || target.linkDown() != (row.attempts > 0) {
					t.Errorf("%d attempts through other entries, link down: %t", relay.attempts, target.linkDown())
				}
			})
		})
	}
}
