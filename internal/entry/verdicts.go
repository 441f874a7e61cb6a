// Distribution of crash verdicts, so that a request that crashes targets is
// quarantined at all entries within a second. A verdict says that a target was
// lost while it ran a request, or that a target has answered the request.

package entry

import (
	"context"
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
)

const (
	verdictTimeout    = 300 * time.Millisecond
	verdictRetryDelay = 50 * time.Millisecond
	// maximumVerdictAttempts bounds how often a verdict is sent to one entry.
	maximumVerdictAttempts = 20
	// maximumQueuedVerdicts bounds the verdicts that wait for one entry.
	maximumQueuedVerdicts = 256
)

type (
	// verdictQueues holds the verdicts that wait for each other entry. Only one is sent to an entry at
	// a time: when an entry loses its links, it may blame hundreds of targets at once. The zero value
	// is empty.
	verdictQueues struct {
		lock      sync.Mutex
		byAddress map[string][]blackboard.Verdict
	}
)

// registerVerdicts accepts verdicts from other entries and sends this entry's
// verdicts to them.
func (homes *Homes) registerVerdicts(server *frame.Server) {
	verdicts := homes.board.Verdicts()
	frame.Handle(server, MethodVerdict, func(_ context.Context, verdict *blackboard.Verdict) (*Empty, error) {
		verdicts.Apply(*verdict)
		return &Empty{}, nil
	})
	verdicts.SetBroadcast(homes.broadcastVerdict)
}

func (homes *Homes) broadcastVerdict(verdict blackboard.Verdict) {
	for _, member := range homes.board.Membership().View().Members {
		if member.ID != homes.self && homes.verdictQueues.add(member.PeerAddress, verdict) {
			go homes.sendVerdicts(member.PeerAddress)
		}
	}
}

// sendVerdicts sends the queued verdicts to one entry, one at a time. An entry that doesn't
// acknowledge gets the quarantines later, with a directory comparison, so that the queue is
// dropped then.
func (homes *Homes) sendVerdicts(address string) {
	for {
		verdict, found := homes.verdictQueues.next(address)
		if !found {
			return
		}
		if !homes.sendVerdict(address, &verdict) {
			homes.verdictQueues.drop(address)
		}
	}
}

// sendVerdict sends a verdict until the other entry has acknowledged it or the
// attempts are used up, and reports whether it was acknowledged.
func (homes *Homes) sendVerdict(address string, verdict *blackboard.Verdict) bool {
	for range maximumVerdictAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), verdictTimeout)
		_, err := frame.Call[blackboard.Verdict, Empty](ctx, homes.peers.Client(address), MethodVerdict, verdict)
		cancel()
		if err == nil {
			return true
		}
		time.Sleep(verdictRetryDelay)
	}
	return false
}

// add queues a verdict, and reports whether a goroutine must be started to send the queue. If the
// queue is full, the verdict is dropped.
func (verdictQueues *verdictQueues) add(address string, verdict blackboard.Verdict) (start bool) {
	verdictQueues.lock.Lock()
	defer verdictQueues.lock.Unlock()
	if verdictQueues.byAddress == nil {
		verdictQueues.byAddress = map[string][]blackboard.Verdict{}
	}
	queue, sending := verdictQueues.byAddress[address]
	if len(queue) < maximumQueuedVerdicts {
		verdictQueues.byAddress[address] = append(queue, verdict)
	}
	return !sending
}

// next removes the oldest verdict of a queue. If there is none, the queue ends, and the next verdict
// starts another goroutine.
func (verdictQueues *verdictQueues) next(address string) (blackboard.Verdict, bool) {
	verdictQueues.lock.Lock()
	defer verdictQueues.lock.Unlock()
	queue := verdictQueues.byAddress[address]
	if len(queue) == 0 {
		delete(verdictQueues.byAddress, address)
		return blackboard.Verdict{}, false
	}
	verdictQueues.byAddress[address] = queue[1:]
	return queue[0], true
}

// drop removes the verdicts of a queue.
func (verdictQueues *verdictQueues) drop(address string) {
	verdictQueues.lock.Lock()
	defer verdictQueues.lock.Unlock()
	verdictQueues.byAddress[address] = nil
}
