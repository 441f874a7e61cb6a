// Open connections to the targets that may be asked next. Load: a hedge goes to
// another region, where opening a connection takes as long as the run itself.

package httpcaller

import (
	"context"
	"time"
)

const (
	// connectInterval is the span between two looks for targets without an open
	// connection.
	connectInterval = 500 * time.Millisecond
	// connectMargin is how long before the target closes a waiting connection
	// another one is opened.
	connectMargin = 600 * time.Millisecond
	// roomForWaiting is how many connections to a target each entry must be able
	// to open for one of them to wait unused.
	roomForWaiting = 2
)

// KeepConnected keeps one connection open to each target of the pools in use,
// until ctx ends.
func (server *Server) KeepConnected(ctx context.Context) {
	ticker := time.NewTicker(connectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !server.stopping.Load() {
				server.connect(ctx)
			}
		}
	}
}

func (server *Server) connect(ctx context.Context) {
	indexed := server.index()
	if indexed == nil {
		return
	}
	for _, name := range indexed.routes.Used() {
		pool := indexed.routes.Pool(name)
		if pool == nil || pool.Connections < roomForWaiting*server.entries() {
			continue
		}
		for _, target := range server.directory.Pool(name) {
			if !indexed.tables.Out(target.FailureDomain()) {
				go server.sender.Connect(ctx, target, server.connectionLimit(pool), connectMargin)
			}
		}
	}
}
