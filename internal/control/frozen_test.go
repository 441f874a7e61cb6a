package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

type (
	// vmClock is the clock of one VM. It stops while the VM is frozen. pausedAt is its time at
	// the current stop, or zero, and pausedFor is how far earlier stops have set it back.
	vmClock struct {
		lock      sync.Mutex
		pausedAt  time.Time
		pausedFor time.Duration
	}
)

func (vmClock *vmClock) now() time.Time {
	vmClock.lock.Lock()
	defer vmClock.lock.Unlock()
	if !vmClock.pausedAt.IsZero() {
		return vmClock.pausedAt
	}
	return time.Now().Add(-vmClock.pausedFor)
}

func (vmClock *vmClock) stop() {
	vmClock.lock.Lock()
	defer vmClock.lock.Unlock()
	vmClock.pausedAt = time.Now().Add(-vmClock.pausedFor)
}

func (vmClock *vmClock) resume() {
	vmClock.lock.Lock()
	defer vmClock.lock.Unlock()
	vmClock.pausedFor, vmClock.pausedAt = time.Since(vmClock.pausedAt), time.Time{}
}

// leader returns the number of the replica that leads the newest term, or -1 if none leads.
func (cluster *cluster) leader() int {
	leader, newestTerm := -1, uint64(0)
	for number, replica := range cluster.replicas {
		if term, leading := replica.Term(); leading && term > newestTerm {
			leader, newestTerm = number, term
		}
	}
	return leader
}

// TestFrozenLeaderWithStoppedClock calls a leader whose VM was frozen together with its clock,
// so that by its own clock it still leads. It must neither serve reads nor grant leases before
// it learns of its successor.
func TestFrozenLeaderWithStoppedClock(t *testing.T) {
	bubble.Test(t, func(*testing.T) {
		cluster := startControlCluster(12*time.Millisecond, time.Millisecond)
		defer time.Sleep(time.Minute)
		defer cluster.stop()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		time.Sleep(4 * time.Second)
		frozen := cluster.leader()
		member := membership.Member{ID: "entry", Incarnation: 1, FailureDomain: "domain"}
		if _, err := cluster.services[frozen].renew(ctx, &Renewal{Member: member}); err != nil {
			t.Fatal(err)
		}
		cluster.clocks[frozen].stop()
		defer cluster.clocks[frozen].resume()
		for number := range cluster.addresses {
			cluster.network.Cut(cluster.ip(number), cluster.ip(frozen))
			cluster.network.Cut(cluster.ip(frozen), cluster.ip(number))
		}
		time.Sleep(3 * time.Second)
		if cluster.leader() == frozen {
			t.Fatal("the frozen replica still leads, expected another leader")
		}
		if _, err := cluster.services[cluster.leader()].change(ctx, &operator.Change{ID: "one"}); err != nil {
			t.Fatal(err)
		}
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		if tables, err := cluster.services[frozen].tables(short, &TablesRequest{}); err == nil {
			t.Errorf("the frozen leader reads version %d as the newest, expected an error", tables.Version)
		}
		if _, err := cluster.services[frozen].renew(short, &Renewal{Member: member}); err == nil {
			t.Error("the frozen leader grants a lease, expected an error")
		}
	})
}
