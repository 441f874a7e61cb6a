// Idle connections to the targets that are likely to get the next attempts. They
// matter for hedges: a hedge goes to another region, where opening a connection takes
// as long as the run itself.

package httpcaller

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// connectInterval is the interval between checks for targets without an idle
	// connection.
	connectInterval = 500 * time.Millisecond
	// connectMargin is the time before a target closes an idle connection at which its
	// replacement is opened.
	connectMargin = 600 * time.Millisecond
	// maximumPreconnects bounds the connections that are being opened in advance. A change of the tables may ask for
	// hundreds at once, and requests need the processor time meanwhile.
	maximumPreconnects = 16
)

// KeepConnected keeps an idle connection open to the preferred targets of each pool in
// use, until ctx ends.
func (server *Server) KeepConnected(ctx context.Context) {
	if server.options.Disabled.Has(policy.MechanismIdleConnections) {
		return
	}
	ticker := time.NewTicker(connectInterval)
	defer ticker.Stop()
	opening := make(chan struct{}, maximumPreconnects)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !server.isStopping() {
				server.connectPreferred(ctx, opening)
			}
		}
	}
}

// connectPreferred opens the connections that are missing, and returns once the last one is being opened. Opening holds an
// element for each, and bounds them. It begins with a random pool, so that entries don't open their connections in the same order.
func (server *Server) connectPreferred(ctx context.Context, opening chan struct{}) {
	routeIndex := server.currentRouteIndex()
	if routeIndex == nil {
		return
	}
	names := routeIndex.routes.UsedPools()
	for offset, start := 0, rand.IntN(max(1, len(names))); offset < len(names); offset++ {
		name := names[(start+offset)%len(names)]
		pool := routeIndex.routes.Pool(name)
		if pool == nil {
			continue
		}
		for _, target := range server.preferred(routeIndex, name, pool) {
			limit := server.connectionLimit(pool, target)
			if !server.sender.WantsConnection(target, limit, connectMargin) {
				continue
			}
			select {
			case <-ctx.Done():
				return
			case opening <- struct{}{}:
			}
			go func() {
				defer func() { <-opening }()
				server.sender.Preconnect(ctx, target, limit, connectMargin)
			}()
		}
	}
}

// preferred returns the targets of a pool to which this entry keeps an idle connection:
// the nearest ones. Equally near targets are ordered by preference, so that the entries
// spread their connections over them.
func (server *Server) preferred(routeIndex *routeIndex, name string, pool *operator.Pool) []*httptarget.Target {
	var targets []*httptarget.Target
	for _, target := range server.directory.Pool(name) {
		if !routeIndex.tables.IsOut(target.FailureDomain()) && !target.Leaving() {
			targets = append(targets, target)
		}
	}
	slices.SortFunc(targets, func(left, right *httptarget.Target) int {
		if order := server.roundTrip(left.FailureDomain()) - server.roundTrip(right.FailureDomain()); order != 0 {
			return int(order)
		}
		return cmp.Compare(server.preference(left), server.preference(right))
	})
	count := policy.IdleConnections(pool.Connections, len(targets), max(1, len(server.activeEntries().ids)), server.uptime())
	return targets[:min(len(targets), count)]
}

// preference returns a hash of the entry and target, which orders equally near targets
// differently at each entry.
func (server *Server) preference(target *httptarget.Target) uint64 {
	return xxhash.Sum64String(server.options.Name + "/" + target.ID())
}
