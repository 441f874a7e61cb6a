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
	openingSpan = 30 * time.Millisecond
)

// TestAnOpeningServesTheNextAttempt has attempts that give up, as losers of a
// hedge do, before a connection is open.
func TestAnOpeningServesTheNextAttempt(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		pool := operator.Pool{Connections: 25, Slots: 2, ConnectTimeout: duration.Of(time.Second)}
		lane := &lane{pool: pool, tally: new(tally), dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			select {
			case <-time.After(openingSpan):
				here, _ := net.Pipe()
				return here, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}}
		defer lane.closeIdle()
		var taken *connection
		for range pool.Connections {
			ctx, cancel := context.WithTimeout(context.Background(), openingSpan/2)
			connection, err := lane.take(ctx, time.Time{})
			cancel()
			if err == nil {
				taken = connection
				break
			}
		}
		if taken == nil {
			t.Fatalf("no attempt got a connection; %d count as open", lane.tally.open)
		}
		expect.Expect(lane.tally.open).To(gomega.Equal(1), "connections opened")
		lane.put(taken)
		begin := time.Now()
		again, err := lane.take(context.Background(), time.Time{})
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		lane.put(again)
		expect.Expect(time.Since(begin)).To(gomega.BeZero())
	})
}
