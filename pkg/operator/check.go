// The validation of tables and replicas. Control and the command line, in its
// offline check, use the same rules.

package operator

import (
	"fmt"
	"net/netip"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

// Limits of the fields of the tables.
const (
	MaximumSlots          = 1024
	MaximumConnections    = 4096
	MaximumPercent        = 100
	MaximumQueueLimit     = 10000
	MaximumRunsPerSecond  = 100000
	MaximumWarmAfterRuns  = 1000000
	MaximumConnectTimeout = 30 * time.Second
	// MaximumRows is the maximum number of rows in each table. Control replicas answer nobody while they apply a
	// change, so it bounds the time that this takes.
	MaximumRows = 8192
	// MaximumNameBytes is the maximum length of each name.
	MaximumNameBytes = 128
)

type (
	// tableCheck collects the problems of tables, or of another document for
	// operators.
	tableCheck struct {
		problems []fault.Problem
	}
)

// Check validates the tables. It returns all problems as one *fault.Error, or nil
// if there are none.
func (tables *Tables) Check() error {
	var check tableCheck
	check.rowCount("routes", len(tables.Routes))
	check.rowCount("pools", len(tables.Pools))
	check.rowCount("failure_domains_out", len(tables.FailureDomainsOut))
	pools := map[string]bool{}
	for index := range tables.Pools {
		check.pool(index, &tables.Pools[index], pools)
	}
	kinds, hostPrefixes := map[string]bool{}, map[string]bool{}
	for index := range tables.Routes {
		check.route(index, &tables.Routes[index], kinds, pools)
		check.httpRoute(index, &tables.Routes[index], hostPrefixes, pools)
	}
	check.httpLimits(tables.HTTPLimits)
	check.tenants(tables.Tenants)
	if tables.Tenants != nil && len(tables.Tenants) == 0 && !tables.RequireKeys {
		check.add("tenants", "an empty list names no tenant, and would let every caller in", "set require_keys to let none in, or leave the list out")
	}
	domainsOut := map[string]bool{}
	for index, failureDomain := range tables.FailureDomainsOut {
		check.name(fmt.Sprintf("failure_domains_out[%d]", index), failureDomain, domainsOut)
	}
	return fault.InvalidDocument("tables", check.problems)
}

// Check validates the replica. It returns all problems as one *fault.Error, or
// nil if there are none.
func (replica *Replica) Check() error {
	var check tableCheck
	check.name("name", replica.Name, map[string]bool{})
	if _, err := netip.ParseAddrPort(replica.Address); err != nil {
		check.add("address", fmt.Sprintf("%q is not IP:port", replica.Address), "write it like 10.0.0.7:9090")
	}
	return fault.InvalidDocument("replica", check.problems)
}

// Check returns a *fault.Error if the failure domain's name is missing or too
// long. The failure domain needn't have any entry, as it may have targets only.
func (domainChange *DomainChange) Check() error {
	var check tableCheck
	check.name("failure_domain", domainChange.FailureDomain, map[string]bool{})
	return fault.InvalidDocument("order", check.problems)
}

// Check validates the order. It returns all problems as one *fault.Error, or nil
// if there are none.
func (order *RolloutOrder) Check() error {
	var check tableCheck
	check.name("pool", order.Pool, map[string]bool{})
	check.name("release", order.Release, map[string]bool{})
	if order.Duration <= 0 || order.Duration.Std() > MaximumRolloutDuration {
		check.add("duration", "the duration is missing or out of range", "use a span above 0s, up to "+MaximumRolloutDuration.String())
	}
	return fault.InvalidDocument("rollout", check.problems)
}

func (tableCheck *tableCheck) add(path, message, remedy string) {
	tableCheck.problems = append(tableCheck.problems, fault.Problem{Path: path, Message: message, Remedy: remedy})
}

func (tableCheck *tableCheck) rowCount(path string, rowCount int) {
	if rowCount > MaximumRows {
		tableCheck.add(path, "too many rows", fmt.Sprintf("keep at most %d", MaximumRows))
	}
}

// name checks a name's length, and that the name isn't in seen. It then adds the
// name to seen.
func (tableCheck *tableCheck) name(path, name string, seen map[string]bool) {
	if name == "" || len(name) > MaximumNameBytes {
		tableCheck.add(path, "the name is missing or too long", fmt.Sprintf("use 1 to %d bytes", MaximumNameBytes))
	} else if seen[name] {
		tableCheck.add(path, fmt.Sprintf("%q stands twice", name), "remove or rename one of them")
	}
	seen[name] = true
}

func (tableCheck *tableCheck) inRange(path string, value, minimum, maximum int) {
	if value < minimum || value > maximum {
		tableCheck.add(path, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("use %d to %d", minimum, maximum))
	}
}

func (tableCheck *tableCheck) route(index int, route *Route, kinds, pools map[string]bool) {
	path := fmt.Sprintf("routes[%d]", index)
	tableCheck.name(path+".kind", route.Kind, kinds)
	if route.HTTP == nil && !pools[route.Pool] {
		tableCheck.add(path+".pool", fmt.Sprintf("pool %q is unknown", route.Pool), "name a pool of the table of pools")
	}
}

func (tableCheck *tableCheck) pool(index int, pool *Pool, pools map[string]bool) {
	path := fmt.Sprintf("pools[%d]", index)
	tableCheck.name(path+".name", pool.Name, pools)
	if pool.HTTP != nil {
		tableCheck.inRange(path+".connections", pool.Connections, 1, MaximumConnections)
		if !(pool.HTTP.ColdRunsPerSecond >= 0 && pool.HTTP.ColdRunsPerSecond <= MaximumRunsPerSecond) {
			tableCheck.add(path+".http.cold_runs_per_second", "the rate is out of range", fmt.Sprintf("use 0 to %d", MaximumRunsPerSecond))
		}
		return
	}
	tableCheck.inRange(path+".slots", pool.Slots, 1, MaximumSlots)
	tableCheck.inRange(path+".connections", pool.Connections, 1, MaximumConnections)
	tableCheck.inRange(path+".hedge_percent", pool.HedgePercent, 0, MaximumPercent)
	tableCheck.inRange(path+".retry_percent", pool.RetryPercent, 0, MaximumPercent)
	tableCheck.inRange(path+".queue_limit", pool.QueueLimit, 0, MaximumQueueLimit)
	tableCheck.inRange(path+".cold.slots", pool.Cold.Slots, 0, MaximumSlots)
	tableCheck.inRange(path+".cold.runs_per_second", pool.Cold.RunsPerSecond, 0, MaximumRunsPerSecond)
	tableCheck.inRange(path+".cold.warm_after_runs", pool.Cold.WarmAfterRuns, 0, MaximumWarmAfterRuns)
	if pool.Cold.Slots > pool.Slots {
		tableCheck.add(path+".cold.slots", "the cold limit is above the warm one", "use at most the pool's slots")
	}
	if pool.Connections < pool.Slots {
		tableCheck.add(path+".connections", "fewer connections than slots", "allow at least one connection a slot")
	}
	if pool.ConnectTimeout < 0 || pool.ConnectTimeout.Std() > MaximumConnectTimeout {
		tableCheck.add(path+".connect_timeout", "the timeout is out of range", "use 0s to "+MaximumConnectTimeout.String())
	}
}
