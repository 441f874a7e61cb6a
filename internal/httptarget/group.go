// The registries of the other control processes, which decide together which start of a target has
// ended.

package httptarget

import (
	"context"
	"slices"
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
	// MethodEnd is the peer method that tells a registry of the end of a start. Its reply is that of MethodStart.
	MethodEnd = "httptarget.end"

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

	// EndRequest tells of the end of a target.
	EndRequest struct {
		End Record `msgpack:"e"`
	}

	// StartReply holds the latest start that a registry knows, before the end that it was told of.
	StartReply struct {
		Start Start `msgpack:"b"`
		// Announced is true if the target announces itself there.
		Announced bool `msgpack:"u,omitempty"`
		// Ended is true if the registry has the end of the start.
		Ended bool `msgpack:"e,omitempty"`
	}

	// Group is the group of registries as one of them sees it. Construct it with NewGroup.
	Group struct {
		registry *Registry
		// others returns the peer addresses of the other control processes.
		others func() []string
		dial   tcp.Dialer
		logger *zap.Logger

		lock    sync.Mutex
		clients map[string]*frame.Client
		// starts holds the starts that each other registry lists, by its peer address and the target's ID. It is
		// kept while a registry is unreachable.
		starts map[string]map[string]Start
		// stale holds the registries that have been unreachable for unreachableSpan or longer. Their targets have
		// announced themselves to others.
		stale map[string]bool
	}
)

// NewGroup returns the group of a registry. The function others returns the peer addresses of the other
// control processes.
func NewGroup(registry *Registry, others func() []string, dial tcp.Dialer, logger *zap.Logger) *Group {
	return &Group{registry: registry, others: others, dial: dial, logger: logger, clients: map[string]*frame.Client{}, starts: map[string]map[string]Start{}, stale: map[string]bool{}}
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

// inUse reports whether the target announces itself and hasn't ended. A registry that hasn't heard of the end yet, or is
// down, may still list the start.
func (reply StartReply) inUse() bool {
	return reply.Announced && !reply.Ended
}

// merge returns the later of two starts, or what both replies say of the same one.
func (reply StartReply) merge(other StartReply) StartReply {
	switch {
	case !other.Start.known() || reply.Start.known() && reply.Start.At > other.Start.At:
		return reply
	case !reply.Start.known() || other.Start.At > reply.Start.At:
		return other
	}
	return StartReply{Start: reply.Start, Announced: reply.Announced || other.Announced, Ended: reply.Ended || other.Ended}
}

// End records the end of the latest start of a target that any registry of the group knows, or returns a
// fault.Error if that can't be determined.
func (group *Group) End(ctx context.Context, id string) error {
	latest, missing, isComplete := group.latestStart(ctx, id)
	switch {
	case !isComplete:
		group.logger.Warn("end of a target refused: a registry that may know its start can't be asked", zap.String("target", id), zap.Strings("registries", missing))
		return fault.New(fault.Unavailable, "a control process that may know the target can't be asked", "send the end again, to another control process if possible")
	case ctx.Err() != nil:
		// The target may have started again since it sent an end that was held up on its way.
		group.logger.Warn("end of a target dropped: its sender has left", zap.String("target", id))
		return fault.New(fault.Unavailable, "the sender has closed the connection", "send the end again")
	}
	// A second round is needed only if a registry has got the target's first announcement since it was asked.
	for range 2 {
		end := Record{ID: id, Pool: latest.Start.Pool, StartedAt: latest.Start.At, State: StateGone}
		if !latest.inUse() {
			end.HoldsOffFor = lateAnnouncementSpan
		}
		if err := group.registry.takeEnd(&end, true); err != nil {
			return err
		}
		group.logger.Info("end of a target taken", zap.String("target", id), zap.String("pool", end.Pool), zap.Int64("started_at", end.StartedAt), zap.Bool("in_use", latest.inUse()), zap.Strings("not_told", missing))
		newest := latest
		for _, reply := range callEach(ctx, group, missing, MethodEnd, &EndRequest{End: end}) {
			newest = newest.merge(*reply)
		}
		if newest.Start == latest.Start {
			break
		}
		latest = newest
	}
	return nil
}

// latestStart returns the latest start of a target that any registry of the group knows, and the
// addresses of the registries that didn't reply. It isn't complete if one of these may know a later start.
func (group *Group) latestStart(ctx context.Context, id string) (latest StartReply, missing []string, isComplete bool) {
	replies := callEach(ctx, group, nil, MethodStart, &StartRequest{ID: id})
	latest = *group.registry.startReply(id)
	isFollowed, isComplete := true, true
	for _, address := range group.others() {
		followed, wasFollowed, isStale := group.followedStart(address, id)
		if reply, replied := replies[address]; replied {
			latest = latest.merge(*reply).merge(StartReply{Start: followed})
			continue
		}
		missing = append(missing, address)
		latest = latest.merge(StartReply{Start: followed, Announced: followed.known()})
		isFollowed, isComplete = isFollowed && (isStale || wasFollowed), isComplete && isStale
	}
	return latest, missing, isComplete || isFollowed && latest.inUse()
}

// followedStart returns the start of a target that another registry listed when it was last heard, whether it was
// heard at all, and whether it is stale.
func (group *Group) followedStart(address, id string) (start Start, wasFollowed, isStale bool) {
	group.lock.Lock()
	defer group.lock.Unlock()
	starts, wasFollowed := group.starts[address]
	return starts[id], wasFollowed, group.stale[address]
}

// callEach calls a method of all other registries but the given ones, and returns the replies by address.
func callEach[In any](ctx context.Context, group *Group, except []string, method string, request *In) map[string]*StartReply {
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	var lock sync.Mutex
	var calls sync.WaitGroup
	replies := map[string]*StartReply{}
	for _, address := range group.others() {
		if slices.Contains(except, address) {
			continue
		}
		calls.Go(func() {
			reply, err := frame.Call[In, StartReply](ctx, group.client(address), method, request)
			if frame.IsUnknownMethod(err, method) {
				// The starts that a registry of an older build lists are known by following it.
				reply, err = &StartReply{}, nil
			}
			if err != nil {
				group.logger.Warn("registry not reached", zap.String("registry", address), zap.String("method", method), zap.Error(err))
				return
			}
			lock.Lock()
			defer lock.Unlock()
			replies[address] = reply
		})
	}
	calls.Wait()
	return replies
}

// Run follows the other registries until ctx ends, to hear of ends and of targets that leave, and to know the starts of
// a registry that can't be asked.
func (group *Group) Run(ctx context.Context) {
	watcher := newWatcher(group, group.others, group.dial, group.logger)
	watcher.unboundEnds = true
	watcher.Run(ctx)
}

// apply implements follower.
func (group *Group) apply(address string, reply *WatchReply) {
	group.lock.Lock()
	defer group.lock.Unlock()
	delete(group.stale, address)
	starts := group.starts[address]
	if starts == nil || reply.Full {
		starts = map[string]Start{}
		group.starts[address] = starts
	}
	for index := range reply.Records {
		record := &reply.Records[index]
		if err := record.checkStored(); err != nil {
			continue
		}
		switch record.State {
		case StateGone:
			delete(starts, record.ID)
			if err := group.registry.addEnd(record); err != nil {
				group.logger.Warn("end of a target not kept", zap.String("target", record.ID), zap.Error(err))
			}
		case StateUnheard:
			delete(starts, record.ID)
		case StateReady, StateLeaving:
			starts[record.ID] = record.start()
			group.registry.adoptLeaving(record)
		}
	}
}

// markStale implements follower.
func (group *Group) markStale(address string) {
	group.lock.Lock()
	defer group.lock.Unlock()
	group.stale[address] = true
}

// removeSource implements follower.
func (group *Group) removeSource(address string) {
	group.lock.Lock()
	defer group.lock.Unlock()
	delete(group.starts, address)
	delete(group.stale, address)
	if client := group.clients[address]; client != nil {
		client.Close()
		delete(group.clients, address)
	}
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
