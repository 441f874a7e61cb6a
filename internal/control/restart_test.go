package control

import (
	"context"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/replica"
)

type (
	// slowLog is a log that replicates each command in replicationTime, and whose leader is known
	// after electionTime.
	slowLog struct {
		fakeReplica
		replicationTime time.Duration
		electionTime    time.Duration
	}
)

func (slowLog *slowLog) Propose(context.Context, []byte) ([]byte, error) {
	time.Sleep(slowLog.replicationTime)
	return msgpack.Marshal([]result{{}})
}

func (slowLog *slowLog) AwaitLeader(ctx context.Context) string {
	select {
	case <-ctx.Done():
		return ""
	case <-time.After(slowLog.electionTime):
		return "10.0.0.1:9080"
	}
}

// TestCallWaitsForElection checks that a replica without a leader names the one that is elected
// shortly after a call, and replies without one after leaderWait. Entries that are told of no leader
// only ask again after they have asked all replicas.
func TestCallWaitsForElection(t *testing.T) {
	for _, row := range []struct {
		electionTime time.Duration
		leader       string
		elapsed      time.Duration
	}{{leaderWait / 2, "10.0.0.1:9080", leaderWait / 2}, {2 * leaderWait, "", leaderWait}} {
		bubble.Test(t, func(t *testing.T) {
			started := time.Now()
			leader := leaderAddress(context.Background(), &slowLog{electionTime: row.electionTime}, &replica.NotLeadingError{})
			if elapsed := time.Since(started); leader != row.leader || elapsed != row.elapsed {
				t.Errorf("election after %v: leader %q after %v, expected %q after %v", row.electionTime, leader, elapsed, row.leader, row.elapsed)
			}
		})
	}
}

// TestViewEditsDontWaitForEarlierOnes checks that an edit of the view that comes while another is
// replicated is replicated at the same time. After a restart of everything the last entry would
// otherwise wait for one replication after the other.
func TestViewEditsDontWaitForEarlierOnes(t *testing.T) {
	const replicationTime = 60 * time.Millisecond
	bubble.Test(t, func(t *testing.T) {
		service := NewService(&slowLog{replicationTime: replicationTime}, &State{})
		durations := make(chan time.Duration)
		for range maximumViewEditsInFlight {
			go func() {
				started := time.Now()
				if _, err := service.viewBatcher.submit(context.Background(), editView{Member: membership.Member{ID: "entry"}}); err != nil {
					t.Errorf("edit of the view: %v", err)
				}
				durations <- time.Since(started)
			}()
			time.Sleep(viewWindow + time.Millisecond)
		}
		for range maximumViewEditsInFlight {
			if elapsed := <-durations; elapsed > viewWindow+replicationTime {
				t.Errorf("an edit took %v, expected at most %v", elapsed, viewWindow+replicationTime)
			}
		}
		time.Sleep(time.Second) // the batcher's goroutines end
	})
}
