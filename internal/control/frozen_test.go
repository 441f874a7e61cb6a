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
	// vmClock is the clock of one VM. It stands still while the VM is frozen.
	vmClock struct {
		lock    sync.Mutex
		stopped time.Time
		stood   time.Duration
	}
)

func (vmClock *vmClock) now() time.Time {
	vmClock.lock.Lock()
	defer vmClock.lock.Unlock()
	if !vmClock.stopped.IsZero() {
		return vmClock.stopped
	}
	return time.Now().Add(-vmClock.stood)
}

func (vmClock *vmClock) stop() {
	vmClock.lock.Lock()
	defer vmClock.lock.Unlock()
	vmClock.stopped = time.Now().Add(-vmClock.stood)
}

func (vmClock *vmClock) goOn() {
	vmClock.lock.Lock()
	defer vmClock.lock.Unlock()
	vmClock.stood, vmClock.stopped = time.Since(vmClock.stopped), time.Time{}
}

// leader returns the number of the replica that leads the newest term.
func (controls *controls) leader() int {
	leader, newest := -1, uint64(0)
	for number, replica := range controls.replicas {
		if term, leading := replica.Term(); leading && term > newest {
			leader, newest = number, term
		}
	}
	return leader
}

// TestLeaderWhoseClockStoodStill asks a leader that was frozen with its clock,
// before it hears of the one that replaced it.
func TestLeaderWhoseClockStoodStill(t *testing.T) {
	bubble.Test(t, func(*testing.T) {
		controls := startControls(12*time.Millisecond, time.Millisecond)
		defer time.Sleep(time.Minute)
		defer controls.stop()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		time.Sleep(4 * time.Second)
		frozen := controls.leader()
		member := membership.Member{ID: "entry", Incarnation: 1, FailureDomain: "domain"}
		if _, err := controls.services[frozen].renew(ctx, &Renewal{Member: member}); err != nil {
			t.Fatal(err)
		}
		controls.clocks[frozen].stop()
		defer controls.clocks[frozen].goOn()
		for number := range controls.addresses {
			controls.network.Cut(controls.ip(number), controls.ip(frozen))
			controls.network.Cut(controls.ip(frozen), controls.ip(number))
		}
		time.Sleep(3 * time.Second)
		if controls.leader() == frozen {
			t.Fatal("no other replica leads")
		}
		if _, err := controls.services[controls.leader()].change(ctx, &operator.Change{ID: "one"}); err != nil {
			t.Fatal(err)
		}
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		if tables, err := controls.services[frozen].tables(short, &TablesRequest{}); err == nil {
			t.Errorf("the frozen leader reads version %d as the newest", tables.Version)
		}
		if _, err := controls.services[frozen].renew(short, &Renewal{Member: member}); err == nil {
			t.Error("the frozen leader grants a lease")
		}
	})
}
