// This file exists so that operators, control and entries agree on one shape
// for the two tables.

package operator

import (
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/duration"
)

const (
	// DefaultHedgePercent is the extra load that hedges may add.
	DefaultHedgePercent = 5
	// DefaultRetryPercent is the extra load that retries may add.
	DefaultRetryPercent = 10
	// DefaultQueueLimit bounds the runs that wait for one target.
	DefaultQueueLimit = 64
	// DefaultWarmAfterRuns is the number of answered runs after which a
	// target counts as warm.
	DefaultWarmAfterRuns = 50
	// DefaultColdRunsPerSecond is the rate that a cold target bears.
	DefaultColdRunsPerSecond = 20
	// DefaultConnectTimeout bounds the opening of a connection.
	DefaultConnectTimeout = 250 * time.Millisecond
)

type (
	// Tables are the table of routes and the table of pools, which change
	// together.
	Tables struct {
		// FailureDomainsOut lists failure domains that get no new work.
		FailureDomainsOut []string `json:"failure_domains_out,omitempty"`
		Routes            []Route  `json:"routes"`
		Pools             []Pool   `json:"pools"`
		// HTTPLimits bound what callers of HTTP routes may send; nil stands
		// for the defaults.
		HTTPLimits *HTTPLimits `json:"http_limits,omitempty"`
	}

	// Route says where a kind of request belongs.
	Route struct {
		Kind string `json:"kind"`
		// Pool is the name of the pool that runs the kind.
		Pool string `json:"pool"`
		// NeverRepeat forces at most one run, whatever the caller allows.
		NeverRepeat bool `json:"never_repeat,omitempty"`
		// HTTP makes this an HTTP route: requests are chosen by host and path
		// and forwarded whole, and Kind only names the route.
		HTTP *HTTPRoute `json:"http,omitempty"`
	}

	// HTTPRoute says which HTTP requests belong to a route and how they are
	// forwarded.
	HTTPRoute struct {
		// Host and PathPrefix choose the requests; among the routes of a host
		// the longest prefix wins. A prefix begins and ends with a slash.
		Host       string `json:"host"`
		PathPrefix string `json:"path_prefix"`
		// Split shares requests out among pools by weight, in place of the
		// route's Pool.
		Split []WeightedPool `json:"split,omitempty"`
		// Gather asks one target of each of its pools, in place of Pool.
		Gather *Gather `json:"gather,omitempty"`
		// Timeout is the longest time to the final answer.
		Timeout duration.Duration `json:"timeout"`
		// TargetLatency is the time within which an answer is of full use.
		TargetLatency duration.Duration `json:"target_latency,omitempty"`
		// Priority is the rank of the route's requests; 0 is the highest.
		Priority int `json:"priority,omitempty"`
		// MaxAttempts bounds the targets that one request is sent to, of each
		// pool that it needs; 0 stands for 1.
		MaxAttempts int `json:"max_attempts,omitempty"`
		// Regions lists the only regions whose targets may serve the route;
		// none stands for all.
		Regions []string `json:"regions,omitempty"`
	}

	// WeightedPool is one part of a split.
	WeightedPool struct {
		Pool   string  `json:"pool"`
		Weight float64 `json:"weight"`
	}

	// Gather describes a query over shards, each of which is a pool.
	Gather struct {
		Pools []string `json:"pools"`
		// Top is the number of records in the answer, the greatest of all
		// parts.
		Top int `json:"top"`
		// MinimumCoverage is the least share of the shards that an answer may
		// cover, 0 to 1.
		MinimumCoverage float64 `json:"minimum_coverage,omitempty"`
	}

	// HTTPLimits bound what callers of HTTP routes may send. A zero stands for
	// the default.
	HTTPLimits struct {
		HeaderBytes   int               `json:"header_bytes,omitempty"`
		BodyBytes     int               `json:"body_bytes,omitempty"`
		HeaderTimeout duration.Duration `json:"header_timeout,omitempty"`
		IdleTimeout   duration.Duration `json:"idle_timeout,omitempty"`
	}

	// HTTPPool describes targets of HTTP routes. They announce their slots and
	// for how long they stay cold.
	HTTPPool struct {
		// ColdRunsPerSecond is the rate that a target in cold start bears; 0
		// states none.
		ColdRunsPerSecond float64 `json:"cold_runs_per_second,omitempty"`
	}

	// Pool describes a group of targets. A zero in an optional field stands
	// for its default.
	Pool struct {
		Name string `json:"name"`
		// Slots is the number of runs that one target bears at a time.
		Slots int `json:"slots"`
		// Connections is the number of connections that one target bears.
		Connections int  `json:"connections"`
		Cold        Cold `json:"cold"`
		// HedgePercent and RetryPercent bound the extra load.
		HedgePercent int `json:"hedge_percent,omitempty"`
		RetryPercent int `json:"retry_percent,omitempty"`
		// DisableHedges and DisableRetries switch them off, whatever their
		// bounds.
		DisableHedges  bool `json:"disable_hedges,omitempty"`
		DisableRetries bool `json:"disable_retries,omitempty"`
		// QueueLimit bounds the runs that wait for one target.
		QueueLimit     int               `json:"queue_limit,omitempty"`
		ConnectTimeout duration.Duration `json:"connect_timeout,omitempty"`
		// HTTP makes this a pool of HTTP routes, of which Name and Connections
		// count besides.
		HTTP *HTTPPool `json:"http,omitempty"`
	}

	// Cold holds the limits of a target in cold start.
	Cold struct {
		Slots         int `json:"slots"`
		RunsPerSecond int `json:"runs_per_second,omitempty"`
		// WarmAfterRuns is the number of answered runs that end cold start.
		WarmAfterRuns int `json:"warm_after_runs,omitempty"`
	}
)

// Route returns the route of a kind; HTTP routes have none.
func (tables *Tables) Route(kind string) (Route, bool) {
	for _, route := range tables.Routes {
		if route.Kind == kind && route.HTTP == nil {
			return route, true
		}
	}
	return Route{}, false
}

// Pool returns the pool of a name; pools of HTTP routes aren't among them.
func (tables *Tables) Pool(name string) (Pool, bool) {
	for _, pool := range tables.Pools {
		if pool.Name == name && pool.HTTP == nil {
			return pool.withDefaults(), true
		}
	}
	return Pool{}, false
}

// Out reports whether a failure domain is taken out.
func (tables *Tables) Out(failureDomain string) bool {
	for _, out := range tables.FailureDomainsOut {
		if out == failureDomain {
			return true
		}
	}
	return false
}

func (pool Pool) withDefaults() Pool {
	pool.HedgePercent = orDefault(pool.HedgePercent, DefaultHedgePercent)
	pool.RetryPercent = orDefault(pool.RetryPercent, DefaultRetryPercent)
	pool.QueueLimit = orDefault(pool.QueueLimit, DefaultQueueLimit)
	pool.ConnectTimeout = orDefault(pool.ConnectTimeout, duration.Of(DefaultConnectTimeout))
	pool.Cold.Slots = orDefault(pool.Cold.Slots, 1)
	pool.Cold.RunsPerSecond = orDefault(pool.Cold.RunsPerSecond, DefaultColdRunsPerSecond)
	pool.Cold.WarmAfterRuns = orDefault(pool.Cold.WarmAfterRuns, DefaultWarmAfterRuns)
	return pool
}

func orDefault[T comparable](value, byDefault T) T {
	var zero T
	if value == zero {
		return byDefault
	}
	return value
}
