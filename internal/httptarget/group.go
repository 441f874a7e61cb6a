// The registries of the other control processes, which decide together which start of a target has
// ended.

package httptarget

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// MethodStart is the peer method that asks a registry for the latest start of a target.
	MethodStart = "httptarget.start"

	// groupTimeout limits a call to the other registries. Together with withdrawalTimeout it leaves a
	// target time to end at another process instead.
	groupTimeout = 200 * time.Millisecond
)

type (
	// Start identifies a start of a target. The zero value is an unknown start.
	Start struct {
		// Pool is the target's pool; empty if the start is unknown.
		Pool string `msgpack:"p,omitempty"`
		// At is Record.StartedAt.
		At int64 `msgpack:"b,omitempty"`
	}

	// StartRequest asks for the latest start of a target.
	StartRequest struct {
		ID string `msgpack:"i"`
	}

	// StartReply holds the latest start that a registry knows.
	StartReply struct {
		Start Start `msgpack:"b"`
	}

	// Group is the group of registries as one of them sees it. Construct it with NewGroup.
	Group struct {
		registry *Registry
		// others returns the peer addresses of the other control processes.
		others func() []string
		dial   tcp.Dialer
		logger *zap.Logger
		// startedAt is when the group was constructed.
		startedAt time.Time

		lock    sync.Mutex
		clients map[string]*frame.Client
	}
)

// NewGroup returns the group of a registry. The function others returns the peer addresses of the other
// control processes.
func NewGroup(registry *Registry, others func() []string, dial tcp.Dialer, logger *zap.Logger) *Group {
	return &Group{registry: registry, others: others, dial: dial, logger: logger, startedAt: time.Now(), clients: map[string]*frame.Client{}}
}

// Close closes the connections to the other registries.
func (group *Group) Close() {
	group.lock.Lock()
	defer group.lock.Unlock()
	for _, client := range group.clients {
		client.Close()
	}
	clear(group.clients)
}

// known reports whether the start is known.
func (start Start) known() bool {
	return start.Pool != ""
}

// later returns the later of two starts.
func (start Start) later(other Start) Start {
	if !start.known() || other.known() && other.At > start.At {
		return other
	}
	return start
}

// End records the end of the latest start of a target that any registry of the group knows, or returns a
// fault.Error if that can't be determined.
func (group *Group) End(ctx context.Context, id string) error {
	start, missing := group.latestStart(ctx, id)
	// The targets of a registry that is unreachable for longer have announced themselves to another one.
	justStarted := time.Since(group.startedAt) < unreachableSpan
	switch {
	case len(missing) > 0 && (justStarted || !start.known()):
		group.logger.Warn("end of a target refused: a registry that may know its start can't be asked", zap.String("target", id), zap.Strings("registries", missing))
		return fault.New(fault.Unavailable, "a control process that may know the target can't be asked", "send the end again, to another control process if possible")
	case ctx.Err() != nil:
		// The target may have started again since it sent an end that was held up on its way.
		group.logger.Warn("end of a target dropped: its sender has left", zap.String("target", id))
		return fault.New(fault.Unavailable, "the sender has closed the connection", "send the end again")
	}
	return group.registry.End(id, start)
}

// latestStart returns the latest start of a target that any registry of the group knows, or the zero
// value if none does, and the addresses of the registries that didn't reply.
func (group *Group) latestStart(ctx context.Context, id string) (latest Start, missing []string) {
	addresses := group.others()
	replies := make([]*StartReply, len(addresses))
	var calls sync.WaitGroup
	for index, address := range addresses {
		calls.Go(func() {
			callContext, cancel := context.WithTimeout(ctx, groupTimeout)
			defer cancel()
			reply, err := frame.Call[StartRequest, StartReply](callContext, group.client(address), MethodStart, &StartRequest{ID: id})
			if err != nil {
				group.logger.Warn("registry not asked for the start of a target", zap.String("registry", address), zap.String("target", id), zap.Error(err))
				return
			}
			replies[index] = reply
		})
	}
	calls.Wait()
	latest = group.registry.LatestStart(id)
	for index, reply := range replies {
		if reply == nil {
			missing = append(missing, addresses[index])
			continue
		}
		latest = latest.later(reply.Start)
	}
	return latest, missing
}

// client returns the client of another registry.
func (group *Group) client(address string) *frame.Client {
	group.lock.Lock()
	defer group.lock.Unlock()
	client := group.clients[address]
	if client == nil {
		client = frame.NewOnDemandClient(address, group.dial)
		group.clients[address] = client
	}
	return client
}
