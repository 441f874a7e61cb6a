package replica

import (
	"context"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
)

// TestAwaitLeaderReturnsAtElection checks that a caller that waits for a leader learns of it when the
// replica does, and isn't woken for nothing by other changes.
func TestAwaitLeaderReturnsAtElection(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		replica := New(Options{}, nil)
		driver := &driver{replica: replica, core: &core{id: "a"}}
		found := make(chan string, 1)
		go func() { found <- replica.AwaitLeader(context.Background()) }()
		driver.core.Term = 2
		driver.publish()
		time.Sleep(time.Second)
		if len(found) != 0 {
			t.Fatal("AwaitLeader returned before a leader was known")
		}
		started := time.Now()
		driver.core.leaderID, driver.core.leaderPeerAddress = "b", "10.0.0.2:9080"
		driver.publish()
		if address := <-found; address != "10.0.0.2:9080" || time.Since(started) != 0 {
			t.Errorf("AwaitLeader returned %q after %v, expected 10.0.0.2:9080 at once", address, time.Since(started))
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		driver.core.leaderID, driver.core.leaderPeerAddress = "", ""
		driver.publish()
		if address := replica.AwaitLeader(ctx); address != "" {
			t.Errorf("AwaitLeader returned %q without a leader", address)
		}
	})
}
