// Timeouts for callers, and the share of each target's limits that one entry may use.

package httpcaller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/permit"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/internal/web"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// maximumDeferral bounds how long a target is left out for another entry's word that its limit
	// has no room.
	maximumDeferral = 4 * time.Second
	// defaultHeaderTimeout limits the time to read a request head if the tables set no
	// limit.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout is how long a caller's connection may stay idle if the tables
	// set no limit. It is longer than callers usually keep connections open, so that
	// few requests arrive while the connection is being closed.
	defaultIdleTimeout = 2 * time.Minute
	// sharedBudgetPrefix distinguishes the names of budgets from the IDs of targets, whose permits are
	// counted in the same way.
	sharedBudgetPrefix = "budget:"
	// maximumDeniedBudgets bounds the budgets that are remembered as used up.
	maximumDeniedBudgets = 8192
)

type (
	// sharedBudgets holds until when budgets that all entries share have no room. The zero value works.
	sharedBudgets struct {
		lock        sync.Mutex
		deniedUntil map[sharedBudgetKey]time.Time
	}

	sharedBudgetKey struct {
		pool  string
		hedge bool
	}
)

// Limits returns the limits for callers that the tables in force set.
func (server *Server) Limits() web.Limits {
	limits := web.Limits{HeaderBytes: DefaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	routeIndex := server.currentRouteIndex()
	if routeIndex == nil || routeIndex.tables.HTTPLimits == nil {
		return limits
	}
	limits.HeaderBytes = routeIndex.headerLimit()
	if timeout := routeIndex.tables.HTTPLimits.HeaderTimeout.Std(); timeout > 0 {
		limits.HeaderTimeout = timeout
	}
	if timeout := routeIndex.tables.HTTPLimits.IdleTimeout.Std(); timeout > 0 {
		limits.IdleTimeout = timeout
	}
	return limits
}

// ConnectionLimit returns the number of connections that this entry may open to a target; 0 means that
// it uses those of another entry.
func (server *Server) ConnectionLimit(target *httptarget.Target) int {
	routeIndex := server.currentRouteIndex()
	if routeIndex == nil {
		return policy.ConnectionLimit(0, policy.OtherRegion, policy.EntryCounts{})
	}
	return server.connectionLimit(routeIndex.routes.Pool(target.Pool()), target)
}

// connectionLimit returns the number of connections that this entry may open to a
// target of a pool.
func (server *Server) connectionLimit(pool *operator.Pool, target *httptarget.Target) int {
	connections := 0
	if pool != nil {
		connections = pool.Connections
	}
	if connections > 0 && server.IsSpare(server.options.Name) {
		return 0
	}
	limit := policy.ConnectionLimit(connections, server.localityOf(target.FailureDomain()), server.countEntries(target.FailureDomain()))
	if server.options.Disabled.Has(policy.MechanismSharedConnections) {
		return max(1, limit)
	}
	return limit
}

// countEntries counts the active entries by their place as seen from a failure domain.
func (server *Server) countEntries(domain string) policy.EntryCounts {
	active := server.activeEntries()
	inDomain, inRegion := active.byDomain[domain], active.byRegion[server.options.Regions[domain]]
	return policy.EntryCounts{Domain: inDomain, Region: inRegion - inDomain, Other: len(active.ids) - inRegion}
}

// localityOf returns where a failure domain is, as seen from this entry.
func (server *Server) localityOf(domain string) policy.Locality {
	switch server.locality(domain) {
	case localityDomain:
		return policy.SameDomain
	case localityRegion:
		return policy.SameRegion
	case localityFar:
	}
	return policy.OtherRegion
}

// acquirePermit reports whether a request may be sent to a target, whose rate limit holds for all
// entries together. If there is no room, it defers the target until there may be some, with jitter, so
// that the entries don't ask all at once.
func (server *Server) acquirePermit(ctx context.Context, pool *operator.Pool, target *httptarget.Target, hedge bool) bool {
	now := time.Now()
	limit := target.Limit(coldRate(pool), now)
	if !limit.Named() {
		return true
	}
	granted, wait := server.permits.Acquire(ctx, &permit.Demand{
		TargetID: target.ID(), FailureDomain: target.FailureDomain(), PerSecond: limit.PerSecond(), Age: now.Sub(limit.HeardAt()), Hedge: hedge,
	})
	if !granted && !hedge {
		wait = min(max(0, wait), maximumDeferral)
		target.Defer(time.Now().Add(time.Duration((1 + rand.Float64()) * float64(wait))))
	}
	return granted
}

// spendSharedBudget charges a hedge or retry to the part of a pool's budget that is counted for all entries
// together, and reports whether it is allowed. A pool that had no room isn't asked for before there is some.
func (server *Server) spendSharedBudget(ctx context.Context, pool string, isHedge bool) bool {
	perSecond, burst, shared := server.options.Budget.SharedSlack(server.entryCount())
	if !shared || !server.sharedBudgets.mayAsk(pool, isHedge, time.Now()) {
		return false
	}
	granted, wait := server.permits.Acquire(ctx, &permit.Demand{TargetID: sharedBudgetPrefix + pool, PerSecond: perSecond, Burst: burst, Hedge: isHedge})
	if !granted {
		wait = min(max(0, wait), maximumDeferral)
		server.sharedBudgets.deny(pool, isHedge, time.Now().Add(time.Duration((0.5+rand.Float64())*float64(wait))))
	}
	return granted
}

// mayAsk reports whether a pool's budget may have room at a time.
func (sharedBudgets *sharedBudgets) mayAsk(pool string, isHedge bool, now time.Time) bool {
	sharedBudgets.lock.Lock()
	defer sharedBudgets.lock.Unlock()
	return !now.Before(sharedBudgets.deniedUntil[sharedBudgetKey{pool: pool, hedge: isHedge}])
}

// deny records that a pool's budget has no room before a time.
func (sharedBudgets *sharedBudgets) deny(pool string, isHedge bool, until time.Time) {
	sharedBudgets.lock.Lock()
	defer sharedBudgets.lock.Unlock()
	if sharedBudgets.deniedUntil == nil || len(sharedBudgets.deniedUntil) >= maximumDeniedBudgets {
		sharedBudgets.deniedUntil = map[sharedBudgetKey]time.Time{}
	}
	sharedBudgets.deniedUntil[sharedBudgetKey{pool: pool, hedge: isHedge}] = until
}

// coldRate returns the number of requests a second that all entries together may send to a target of
// a pool in cold start. Zero means no limit.
func coldRate(pool *operator.Pool) float64 {
	if pool == nil || pool.HTTP == nil {
		return 0
	}
	return pool.HTTP.ColdRunsPerSecond
}
