package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

// TestEntriesThatRenewTogetherShareTheTenureStart guards against one beginTenure command for each
// entry that renews at a new leader. After a restart of everything hundreds of entries renew at
// once; commands on the tables are replicated two at a time, and the last entry waited seconds for
// its lease.
func TestEntriesThatRenewTogetherShareTheTenureStart(t *testing.T) {
	const entries = 300
	bubble.Test(t, func(t *testing.T) {
		group := newGroup(1)
		group.faultsEnded = true
		group.elect(0)
		leader := group.replicas[0]
		started := time.Now()
		var renewals sync.WaitGroup
		for number := range entries {
			renewals.Go(func() {
				member := membership.Member{ID: fmt.Sprint("entry-", number), PeerAddress: fmt.Sprint("10.0.0.", number), Incarnation: 1}
				if _, err := leader.service.renew(context.Background(), &Renewal{Member: member}); err != nil {
					t.Errorf("entry %d gets no lease: %v", number, err)
				}
			})
		}
		renewals.Wait()
		if count := group.countTenureStarts(t); count != 1 {
			t.Errorf("the log has %d beginTenure commands, expected 1", count)
		}
		if elapsed := time.Since(started); elapsed > time.Second {
			t.Errorf("the last entry got its lease after %v, expected at most a second", elapsed)
		}
		time.Sleep(time.Second) // the batcher's goroutines end
	})
}

// countTenureStarts returns the number of beginTenure commands in the log.
func (group *group) countTenureStarts(t *testing.T) int {
	group.lock.Lock()
	defer group.lock.Unlock()
	count := 0
	for _, entry := range group.log {
		var envelopes []envelope
		if err := msgpack.Unmarshal(entry, &envelopes); err != nil {
			t.Fatalf("an entry of the log can't be decoded: %v", err)
		}
		for index := range envelopes {
			if envelopes[index].BeginTenure != nil {
				count++
			}
		}
	}
	return count
}
