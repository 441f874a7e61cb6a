// How entries follow the registries of all control processes.

package httptarget

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
)

const (
	// MethodWatch waits for changes of a registry.
	MethodWatch = "httptarget.watch"

	// watchHold is how long a registry without changes keeps a watcher waiting.
	// That the connection is alive shows by the frames' own heartbeats.
	watchHold = 10 * time.Second
	// watchSlack is how much later than watchHold a reply may come.
	watchSlack = 2 * time.Second
	// watchRetry spares a process that is down.
	watchRetry = 250 * time.Millisecond
	// regroupInterval is the span between two looks for processes that were
	// added or removed.
	regroupInterval = 200 * time.Millisecond
	// unreachableSpan is how long the word of a registry counts that can't be
	// reached: the time within which its targets choose another one.
	unreachableSpan = 6 * time.Second
)

type (
	// WatchRequest asks for what changed after a revision of a session.
	WatchRequest struct {
		Session  uint64 `msgpack:"s"`
		Revision uint64 `msgpack:"r"`
	}

	// WatchReply holds what changed; Whole states that it is all there is,
	// because the session is another one.
	WatchReply struct {
		Session  uint64   `msgpack:"s"`
		Revision uint64   `msgpack:"r"`
		Whole    bool     `msgpack:"w,omitempty"`
		Records  []Record `msgpack:"c,omitempty"`
	}

	// Watcher keeps a Directory equal to what all registries say. Construct it
	// with NewWatcher.
	Watcher struct {
		directory *Directory
		// addresses returns the peer addresses of the control processes.
		addresses func() []string
		dial      tcp.Dialer
		logger    *zap.Logger

		lock    sync.Mutex
		watches map[string]context.CancelFunc
	}
)

// Register offers the registry to entries.
func (registry *Registry) Register(server *frame.Server) {
	frame.Handle(server, MethodWatch, registry.watch)
}

func (registry *Registry) watch(ctx context.Context, request *WatchRequest) (*WatchReply, error) {
	whole := request.Session != registry.session || registry.misses(request.Revision)
	known := request.Revision
	if whole {
		known = 0
	}
	hold := time.NewTimer(watchHold)
	defer hold.Stop()
	for {
		records, revision, changed := registry.since(known)
		if whole || revision > known {
			return &WatchReply{Session: registry.session, Revision: revision, Whole: whole, Records: records}, nil
		}
		select {
		case <-changed:
		case <-hold.C:
			return &WatchReply{Session: registry.session, Revision: known}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// NewWatcher returns a watcher that fills a directory.
func NewWatcher(directory *Directory, addresses func() []string, dial tcp.Dialer, logger *zap.Logger) *Watcher {
	return &Watcher{directory: directory, addresses: addresses, dial: dial, logger: logger, watches: map[string]context.CancelFunc{}}
}

// Run watches until ctx ends.
func (watcher *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(regroupInterval)
	defer ticker.Stop()
	for {
		watcher.regroup(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (watcher *Watcher) regroup(ctx context.Context) {
	watcher.lock.Lock()
	defer watcher.lock.Unlock()
	present := map[string]bool{}
	for _, address := range watcher.addresses() {
		present[address] = true
		if watcher.watches[address] != nil {
			continue
		}
		watch, cancel := context.WithCancel(ctx)
		watcher.watches[address] = cancel
		watcher.logger.Info("registry watched", zap.String("registry", address))
		go watcher.follow(watch, address)
	}
	for address, cancel := range watcher.watches {
		if !present[address] {
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
	defer watcher.directory.drop(address)
	var known WatchRequest
	reached, lostAt := false, time.Now()
	for ctx.Err() == nil {
		reply, err := watcher.ask(ctx, client, &known)
		if err == nil {
			if !reached {
				reached = true
				watcher.logger.Info("registry reached", zap.String("registry", address), zap.Uint64("session", reply.Session))
			}
			watcher.directory.take(address, reply)
			known = WatchRequest{Session: reply.Session, Revision: reply.Revision}
			continue
		}
		if reached {
			reached, lostAt = false, time.Now()
			watcher.logger.Warn("registry lost", zap.String("registry", address), zap.Error(err))
		}
		if time.Since(lostAt) >= unreachableSpan {
			watcher.directory.doubt(address)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
	}
}

func (watcher *Watcher) ask(ctx context.Context, client *frame.Client, known *WatchRequest) (*WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, watchHold+watchSlack)
	defer cancel()
	return frame.Call[WatchRequest, WatchReply](ctx, client, MethodWatch, known)
}
