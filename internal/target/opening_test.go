package target

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	dialDuration = 30 * time.Millisecond
)

// TestOpeningServesNextAttempt guards against aborting a dial when the attempt
// that waits for it gives up, for example because a hedge was answered first.
// Aborted dials used up the connection limit, so that no attempt got a connection.
func TestOpeningServesNextAttempt(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		pool := operator.Pool{Connections: 25, Slots: 2, ConnectTimeout: duration.Of(time.Second)}
		lane := &lane{pool: pool, tally: new(connectionTally), dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			select {
			case <-time.After(dialDuration):
				here, _ := net.Pipe()
				return here, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}}
		defer lane.closeIdle()
		var acquired *connection
		for range pool.Connections {
			ctx, cancel := context.WithTimeout(context.Background(), dialDuration/2)
			connection, err := lane.acquireConnection(ctx, time.Time{})
			cancel()
			if err == nil {
				acquired = connection
				break
			}
		}
		if acquired == nil {
			t.Fatalf("no attempt got a connection; %d count as open", lane.tally.open)
		}
		expect.Expect(lane.tally.open).To(gomega.Equal(1), "connections opened")
		lane.returnConnection(acquired)
		startedAt := time.Now()
		again, err := lane.acquireConnection(context.Background(), time.Time{})
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		lane.returnConnection(again)
		expect.Expect(time.Since(startedAt)).To(gomega.BeZero())
	})
}

// Guards against a run that is sent although its attempt had ended while it waited for a connection, of which one is idle.
func TestRunOfAnEndedAttemptIsNotSent(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		lane := &lane{pool: operator.Pool{Connections: 1, Slots: 2, ConnectTimeout: duration.Of(time.Second)}, tally: new(connectionTally), dial: func(context.Context, string, string) (net.Conn, error) {
			here, _ := net.Pipe()
			return here, nil
		}}
		defer lane.closeIdle()
		connection, err := lane.acquireConnection(context.Background(), time.Time{})
		if err != nil {
			t.Fatal(err)
		}
		lane.returnConnection(connection)
		ended, end := context.WithCancel(context.Background())
		end()
		ending := &run{lane: lane, attempt: new(Attempt), ended: make(chan struct{})}
		if err := ending.connect(ended); err == nil || ending.exchange != nil {
			t.Fatal("the run got a connection")
		}
		again, err := lane.acquireConnection(context.Background(), time.Time{})
		if err != nil {
			t.Fatal(err)
		}
		if again != connection {
			t.Error("the connection isn't idle again")
		}
		lane.returnConnection(again)
	})
}
