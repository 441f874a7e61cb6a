// This file exists so that the same rules refuse a bad table offline, at the
// command line, and at control.

package operator

import (
	"fmt"
	"net/netip"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

// Bounds of the fields of the tables.
const (
	MaximumSlots          = 1024
	MaximumConnections    = 4096
	MaximumPercent        = 100
	MaximumQueueLimit     = 10000
	MaximumRunsPerSecond  = 100000
	MaximumWarmAfterRuns  = 1000000
	MaximumConnectTimeout = 30 * time.Second
	// MaximumRows bounds each table.
	MaximumRows = 4096
	// MaximumNameBytes bounds each name.
	MaximumNameBytes = 128
)

type (
	tableCheck struct {
		problems []fault.Problem
	}
)

// Check lists everything that is wrong with the tables as one fault.Error, or
// returns nil.
func (tables *Tables) Check() error {
	var check tableCheck
	check.rows("routes", len(tables.Routes))
	check.rows("pools", len(tables.Pools))
	check.rows("failure_domains_out", len(tables.FailureDomainsOut))
	pools := map[string]bool{}
	for index := range tables.Pools {
		check.pool(index, &tables.Pools[index], pools)
	}
	kinds, places := map[string]bool{}, map[string]bool{}
	for index := range tables.Routes {
		check.route(index, &tables.Routes[index], kinds, pools)
		check.httpRoute(index, &tables.Routes[index], places, pools)
	}
	check.httpLimits(tables.HTTPLimits)
	out := map[string]bool{}
	for index, failureDomain := range tables.FailureDomainsOut {
		check.name(fmt.Sprintf("failure_domains_out[%d]", index), failureDomain, out)
	}
	return fault.Document("tables", check.problems)
}

// Check lists everything that is wrong with the replica as one fault.Error,
// or returns nil.
func (replica *Replica) Check() error {
	var check tableCheck
	check.name("name", replica.Name, map[string]bool{})
	if _, err := netip.ParseAddrPort(replica.Address); err != nil {
		check.add("address", fmt.Sprintf("%q is not IP:port", replica.Address), "write it like 10.0.0.7:9090")
	}
	return fault.Document("replica", check.problems)
}

// Check returns a fault.Error where the order names no failure domain. Any name
// is taken: targets may be in a failure domain that has no entry.
func (domainOrder *DomainOrder) Check() error {
	var check tableCheck
	check.name("failure_domain", domainOrder.FailureDomain, map[string]bool{})
	return fault.Document("order", check.problems)
}

func (tableCheck *tableCheck) add(path, message, remedy string) {
	tableCheck.problems = append(tableCheck.problems, fault.Problem{Path: path, Message: message, Remedy: remedy})
}

func (tableCheck *tableCheck) rows(path string, rows int) {
	if rows > MaximumRows {
		tableCheck.add(path, "too many rows", fmt.Sprintf("keep at most %d", MaximumRows))
	}
}

func (tableCheck *tableCheck) name(path, name string, taken map[string]bool) {
	if name == "" || len(name) > MaximumNameBytes {
		tableCheck.add(path, "the name is missing or too long", fmt.Sprintf("use 1 to %d bytes", MaximumNameBytes))
	} else if taken[name] {
		tableCheck.add(path, fmt.Sprintf("%q stands twice", name), "remove or rename one of them")
	}
	taken[name] = true
}

func (tableCheck *tableCheck) between(path string, value, least, most int) {
	if value < least || value > most {
		tableCheck.add(path, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("use %d to %d", least, most))
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
		tableCheck.between(path+".connections", pool.Connections, 1, MaximumConnections)
		if !(pool.HTTP.ColdRunsPerSecond >= 0 && pool.HTTP.ColdRunsPerSecond <= MaximumRunsPerSecond) {
			tableCheck.add(path+".http.cold_runs_per_second", "the rate is out of range", fmt.Sprintf("use 0 to %d", MaximumRunsPerSecond))
		}
		return
	}
	tableCheck.between(path+".slots", pool.Slots, 1, MaximumSlots)
	tableCheck.between(path+".connections", pool.Connections, 1, MaximumConnections)
	tableCheck.between(path+".hedge_percent", pool.HedgePercent, 0, MaximumPercent)
	tableCheck.between(path+".retry_percent", pool.RetryPercent, 0, MaximumPercent)
	tableCheck.between(path+".queue_limit", pool.QueueLimit, 0, MaximumQueueLimit)
	tableCheck.between(path+".cold.slots", pool.Cold.Slots, 0, MaximumSlots)
	tableCheck.between(path+".cold.runs_per_second", pool.Cold.RunsPerSecond, 0, MaximumRunsPerSecond)
	tableCheck.between(path+".cold.warm_after_runs", pool.Cold.WarmAfterRuns, 0, MaximumWarmAfterRuns)
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
