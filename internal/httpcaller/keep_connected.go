// Open connections to the targets that may be asked next. Load: a hedge goes to
// another region, where opening a connection takes as long as the run itself.

package httpcaller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// connectInterval is the span between two looks for targets without an open
	// connection.
	connectInterval = 500 * time.Millisecond
	// connectMargin is how long before the target closes a waiting connection
	// another one is opened.
	connectMargin = 600 * time.Millisecond
)

// KeepConnected keeps a connection open to the targets of the pools in use that
// are asked first, until ctx ends.
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
		if pool == nil {
			continue
		}
		for _, target := range server.preferred(indexed, name, pool) {
			go server.sender.Connect(ctx, target, server.connectionLimit(pool, target), connectMargin)
		}
	}
}

// preferred returns the targets of a pool to which a connection waits: the nearest
// ones, and of equally near ones those that other entries prefer least.
func (server *Server) preferred(indexed *indexed, name string, pool *operator.Pool) []*httptarget.Target {
	var targets []*httptarget.Target
	for _, target := range server.directory.Pool(name) {
		if !indexed.tables.Out(target.FailureDomain()) {
			targets = append(targets, target)
		}
	}
	slices.SortFunc(targets, func(left, right *httptarget.Target) int {
		if order := server.roundTrip(left.FailureDomain()) - server.roundTrip(right.FailureDomain()); order != 0 {
			return int(order)
		}
		return cmp.Compare(server.preference(left), server.preference(right))
	})
	room := policy.WaitingTargets(pool.Connections, len(targets), server.entries(), server.elapsed())
	return targets[:min(len(targets), room)]
}

// preference is a number that differs by entry and target.
func (server *Server) preference(target *httptarget.Target) uint64 {
	return xxhash.Sum64String(server.options.Name + "/" + target.ID())
}
