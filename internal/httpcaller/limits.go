// What callers may do, and what one entry may use of what all share.

package httpcaller

import (
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/web"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// farConnections is what each entry may open to a target of another failure
	// domain: one that waits and one more. What is left belongs to the entries
	// of the target's own, which send it most of its requests.
	farConnections = 2
	// defaultHeaderTimeout bounds the reading of a head where the tables don't.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout is how long a caller's connection may wait for its next
	// request where the tables say nothing: longer than callers usually keep
	// one, so that few requests meet the close.
	defaultIdleTimeout = 2 * time.Minute
)

// Limits returns how long callers may take by the tables in force.
func (server *Server) Limits() web.Limits {
	limits := web.Limits{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	indexed := server.index()
	if indexed == nil || indexed.tables.HTTPLimits == nil {
		return limits
	}
	if span := indexed.tables.HTTPLimits.HeaderTimeout.Std(); span > 0 {
		limits.HeaderTimeout = span
	}
	if span := indexed.tables.HTTPLimits.IdleTimeout.Std(); span > 0 {
		limits.IdleTimeout = span
	}
	return limits
}

// connectionLimit returns how many connections this entry may open to a target
// of a pool.
func (server *Server) connectionLimit(pool *operator.Pool, target *httptarget.Target) int {
	if pool == nil || target.FailureDomain() != server.options.FailureDomain {
		return farConnections
	}
	near := 0
	members := server.board.Membership().View().Members
	for index := range members {
		if members[index].FailureDomain == target.FailureDomain() {
			near++
		}
	}
	return max(farConnections, (pool.Connections-farConnections*(len(members)-near))/max(1, near))
}

// coldSpan returns the span in which this entry may send one request to a target
// in cold start: its share of the rate that the target bears. Zero is no bound.
func (server *Server) coldSpan(pool *operator.Pool) time.Duration {
	if pool == nil || pool.HTTP == nil || pool.HTTP.ColdRunsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(server.entries()) / pool.HTTP.ColdRunsPerSecond * float64(time.Second))
}
