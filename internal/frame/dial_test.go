package frame

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
)

// newSilentPeer returns a dialer for a peer that answers no connection request, and a function that returns when the
// dials began, counted from now.
func newSilentPeer() (tcp.Dialer, func() []time.Duration) {
	var lock sync.Mutex
	var dials []time.Duration
	begin := time.Now()
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		lock.Lock()
		dials = append(dials, time.Since(begin))
		lock.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return dial, func() []time.Duration {
		lock.Lock()
		defer lock.Unlock()
		return slices.Clone(dials)
	}
}

func callUntilDone(ctx context.Context, client *Client) {
	for ctx.Err() == nil {
		_, _ = Call[struct{}, struct{}](ctx, client, "method", &struct{}{})
		time.Sleep(time.Millisecond)
	}
}

// TestLostConnectionRequestIsRepeatedSoon guards against a dial that waits for a second because the connection request
// reached a VM without power, while the VM is up again after a few milliseconds.
func TestLostConnectionRequestIsRepeatedSoon(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		dial, dials := newSilentPeer()
		client := NewClient("10.0.0.1:90", dial)
		defer client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		callUntilDone(ctx, client)
		begun := dials()
		if len(begun) < 2 || begun[1] > firstDialTimeout+2*redialDelay {
			t.Fatalf("dials began at %v, expected the second one by %v", begun, firstDialTimeout+2*redialDelay)
		}
		if limit := int(time.Minute/maximumDialTimeout) + 4; len(begun) > limit {
			t.Errorf("%d dials in a minute, expected at most %d", len(begun), limit)
		}
		time.Sleep(maximumDialTimeout)
	})
}

// TestDialIsRepeatedOnceThePeerIsHeard guards against messages that wait for a dial from before the peer was up.
func TestDialIsRepeatedOnceThePeerIsHeard(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		dial, dials := newSilentPeer()
		client := NewClient("10.0.0.1:90", dial)
		defer client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		go callUntilDone(ctx, client)
		time.Sleep(redialDelay / 2)
		client.RetryDial()
		time.Sleep(redialDelay)
		if begun := dials(); len(begun) != 1 {
			t.Fatalf("dials began at %v, expected that one which has just begun goes on", begun)
		}
		client.RetryDial()
		time.Sleep(2 * time.Millisecond)
		if begun := dials(); len(begun) != 2 {
			t.Errorf("dials began at %v, expected a second one at once", begun)
		}
		<-ctx.Done()
		time.Sleep(maximumDialTimeout)
	})
}
