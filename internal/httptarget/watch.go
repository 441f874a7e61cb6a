// Long polling by which entries follow the registries of all control processes.

package httptarget

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
)

const (
	// MethodWatch is the peer method that waits for changes of a registry.
	MethodWatch = "httptarget.watch"

	// longPollTimeout is how long a registry without changes delays its reply. The
	// heartbeats of the frame protocol detect a dead connection earlier.
	longPollTimeout = 10 * time.Second
	// longPollMargin is how much longer than longPollTimeout a watcher waits for a
	// reply.
	longPollMargin = 2 * time.Second
	// firstWatchRetryDelay is the delay after a failed call. It doubles with each further one
	// up to maximumWatchRetryDelay, which limits the calls to a process that is down.
	firstWatchRetryDelay   = 50 * time.Millisecond
	maximumWatchRetryDelay = 250 * time.Millisecond
	// membershipInterval is the interval between checks for control processes that
	// were added or removed.
	membershipInterval = 200 * time.Millisecond
	// unreachableSpan is how long the records of an unreachable registry are used:
	// the time within which its targets announce themselves to another registry.
	unreachableSpan = 6 * time.Second
)

type (
	// WatchRequest asks for the changes after a revision of a session.
	WatchRequest struct {
		Session  uint64 `msgpack:"s"`
		Revision uint64 `msgpack:"r"`
		// UnboundEnds asks for the ends of targets of which no start is known, too. Registries set it.
		UnboundEnds bool `msgpack:"u,omitempty"`
	}

	// WatchReply holds the changed records. Full is true if it holds all records,
	// because the session differs or because targets were removed since the revision.
	WatchReply struct {
		Session  uint64   `msgpack:"s"`
		Revision uint64   `msgpack:"r"`
		Full     bool     `msgpack:"w,omitempty"`
		Records  []Record `msgpack:"c,omitempty"`
	}

	// follower keeps what registries have replied.
	follower interface {
		// apply applies a registry's reply.
		apply(address string, reply *WatchReply)
		// markStale is called for a registry that has been unreachable for unreachableSpan.
		markStale(address string)
		// removeSource is called for a registry whose process has left the group.
		removeSource(address string)
	}

	// Watcher keeps a follower up to date with all registries. Construct it with NewWatcher.
	Watcher struct {
		follower follower
		// addresses returns the peer addresses of the control processes.
		addresses func() []string
		dial      tcp.Dialer
		logger    *zap.Logger
		// unboundEnds is WatchRequest.UnboundEnds.
		unboundEnds bool

		lock    sync.Mutex
		watches map[string]context.CancelFunc
	}
)

// Register adds the peer methods by which entries watch the registry and other registries ask it.
func (registry *Registry) Register(server *frame.Server) {
	frame.Handle(server, MethodWatch, registry.watch)
	frame.Handle(server, MethodStart, func(_ context.Context, request *StartRequest) (*StartReply, error) {
		return registry.startReply(request.ID), nil
	})
	frame.Handle(server, MethodEnd, func(_ context.Context, request *EndRequest) (*StartReply, error) {
		reply := registry.startReply(request.End.ID)
		if err := request.End.checkStored(); err != nil {
			return nil, err
		}
		return reply, registry.takeEnd(&request.End, false)
	})
}

// watch replies at the next change after the request's revision, or without
// records after longPollTimeout. It replies at once if a full reply is needed.
func (registry *Registry) watch(ctx context.Context, request *WatchRequest) (*WatchReply, error) {
	full := request.Session != registry.session || registry.hasPrunedSince(request.Revision)
	sinceRevision := request.Revision
	if full {
		sinceRevision = 0
	}
	timer := time.NewTimer(longPollTimeout)
	defer timer.Stop()
	for {
		records, revision, changed := registry.changesSince(sinceRevision)
		if !request.UnboundEnds {
			records = slices.DeleteFunc(records, func(record Record) bool { return record.isUnboundEnd() })
		}
		if full || len(records) > 0 {
			return &WatchReply{Session: registry.session, Revision: revision, Full: full, Records: records}, nil
		}
		sinceRevision = revision
		select {
		case <-changed:
		case <-timer.C:
			return &WatchReply{Session: registry.session, Revision: sinceRevision}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// NewWatcher returns a watcher that updates a directory.
func NewWatcher(directory *Directory, addresses func() []string, dial tcp.Dialer, logger *zap.Logger) *Watcher {
	return newWatcher(directory, addresses, dial, logger)
}

func newWatcher(follower follower, addresses func() []string, dial tcp.Dialer, logger *zap.Logger) *Watcher {
	return &Watcher{follower: follower, addresses: addresses, dial: dial, logger: logger, watches: map[string]context.CancelFunc{}}
}

// Run watches the registries until ctx ends.
func (watcher *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		watcher.updateWatches(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateWatches starts and stops watches as control processes are added or removed.
func (watcher *Watcher) updateWatches(ctx context.Context) {
	watcher.lock.Lock()
	defer watcher.lock.Unlock()
	members := map[string]bool{}
	for _, address := range watcher.addresses() {
		members[address] = true
		if watcher.watches[address] != nil {
			continue
		}
		watchContext, cancel := context.WithCancel(ctx)
		watcher.watches[address] = cancel
		watcher.logger.Info("registry watched", zap.String("registry", address))
		go watcher.follow(watchContext, address)
	}
	for address, cancel := range watcher.watches {
		if !members[address] {
			cancel()
			delete(watcher.watches, address)
			watcher.logger.Info("registry left", zap.String("registry", address))
		}
	}
}

// follow watches one registry until ctx ends.
func (watcher *Watcher) follow(ctx context.Context, address string) {
	client := frame.NewClient(address, watcher.dial)
	defer client.Close()
	defer watcher.follower.removeSource(address)
	position := WatchRequest{UnboundEnds: watcher.unboundEnds}
	connected, lostAt := false, time.Now()
	retryDelay := firstWatchRetryDelay
	for ctx.Err() == nil {
		reply, err := watcher.poll(ctx, client, &position)
		if err == nil {
			if !connected {
				connected = true
				watcher.logger.Info("registry reached", zap.String("registry", address), zap.Uint64("session", reply.Session))
			}
			watcher.follower.apply(address, reply)
			position.Session, position.Revision = reply.Session, reply.Revision
			retryDelay = firstWatchRetryDelay
			continue
		}
		if connected {
			connected, lostAt = false, time.Now()
			watcher.logger.Warn("registry lost", zap.String("registry", address), zap.Error(err))
		}
		if time.Since(lostAt) >= unreachableSpan {
			watcher.follower.markStale(address)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
		retryDelay = min(maximumWatchRetryDelay, 2*retryDelay)
	}
}

func (watcher *Watcher) poll(ctx context.Context, client *frame.Client, position *WatchRequest) (*WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, longPollTimeout+longPollMargin)
	defer cancel()
	return frame.Call[WatchRequest, WatchReply](ctx, client, MethodWatch, position)
}
