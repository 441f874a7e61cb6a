package operator

import (
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/duration"
)

const (
	// DefaultHedgePercent is the default limit on the extra load from hedges.
	DefaultHedgePercent = 5
	// DefaultRetryPercent is the default limit on the extra load from retries.
	DefaultRetryPercent = 10
	// DefaultQueueLimit is the default limit on runs that wait for one target.
	DefaultQueueLimit = 64
	// DefaultWarmAfterRuns is the default number of answered runs after which
	// a target counts as warm.
	DefaultWarmAfterRuns = 50
	// DefaultColdRunsPerSecond is the default rate limit of a cold target.
	DefaultColdRunsPerSecond = 20
	// DefaultConnectTimeout is the default timeout for opening a connection.
	DefaultConnectTimeout = 250 * time.Millisecond
)

type (
	// Tables are the table of routes and the table of pools, which are always
	// changed and versioned together.
	Tables struct {
		// FailureDomainsOut lists the failure domains that are out of service:
		// they get no new work.
		FailureDomainsOut []string `json:"failure_domains_out,omitempty"`
		Routes            []Route  `json:"routes"`
		Pools             []Pool   `json:"pools"`
		// HTTPLimits limit the requests of callers of HTTP routes; nil means
		// the defaults.
		HTTPLimits *HTTPLimits `json:"http_limits,omitempty"`
		// The encoding leaves out fields that are later than 96531af while they are empty, because
		// the digest by which control recognizes a resent change must not depend on the build.

		// Rollouts holds the newest rollout of each pool that had one. Only
		// control writes it: a change keeps the rollouts in force.
		Rollouts []Rollout `json:"rollouts,omitempty" msgpack:",omitempty"`
		// Tenants are the teams that may send HTTP requests; see NeedKeys.
		Tenants []Tenant `json:"tenants,omitempty" msgpack:",omitempty"`
		// RequireKeys makes HTTP requests need a key while there are no
		// tenants, so that only public routes are served. It is a field of its
		// own because an encoded list that is empty can't be told from none.
		RequireKeys bool `json:"require_keys,omitempty" msgpack:",omitempty"`
	}

	// Tenant is a team that sends HTTP requests under keys of its own.
	Tenant struct {
		Name string `json:"name"`
		// KeyDigests are the SHA-256 digests of the tenant's API keys, in
		// hexadecimal. Tables never hold the keys themselves.
		KeyDigests []string `json:"key_digests"`
		// RatePerSecond and Burst are the tenant's allotment over all entries;
		// a rate of 0 means no limit.
		RatePerSecond float64 `json:"rate_per_second,omitempty"`
		Burst         float64 `json:"burst,omitempty"`
		// Priority takes precedence over that of the route, which then decides
		// between equals. Nil means that only the route's priority counts.
		Priority *int `json:"priority,omitempty"`
		// Regions lists the regions whose targets may serve the tenant; empty
		// means all.
		Regions []string `json:"regions,omitempty"`
	}

	// Route assigns a kind of request, or HTTP requests, to pools.
	Route struct {
		Kind string `json:"kind"`
		// Pool is the name of the pool that runs the requests.
		Pool string `json:"pool"`
		// NeverRepeat limits requests to one run, whatever the caller allows.
		NeverRepeat bool `json:"never_repeat,omitempty"`
		// HTTP makes this an HTTP route: requests are matched by host and path
		// and forwarded unchanged, and Kind is only the route's name.
		HTTP *HTTPRoute `json:"http,omitempty"`
	}

	// HTTPRoute defines which HTTP requests a route matches and how they are
	// forwarded.
	HTTPRoute struct {
		// Host and PathPrefix match the requests. Among the routes of a host,
		// the longest matching prefix wins. A prefix begins and ends with a
		// slash.
		Host       string `json:"host"`
		PathPrefix string `json:"path_prefix"`
		// Split distributes requests among pools by weight, instead of using
		// the route's Pool.
		Split []WeightedPool `json:"split,omitempty"`
		// Gather sends each request to one target in each of several pools,
		// instead of using the route's Pool.
		Gather *Gather `json:"gather,omitempty"`
		// Timeout is the maximum time until the final answer.
		Timeout duration.Duration `json:"timeout"`
		// TargetLatency is the latency objective: an answer within it is of
		// full use to the caller.
		TargetLatency duration.Duration `json:"target_latency,omitempty"`
		// Priority of the route's requests; 0 is the highest.
		Priority int `json:"priority,omitempty"`
		// MaxAttempts is the maximum number of targets in each pool that one
		// request is sent to; 0 means 1.
		MaxAttempts int `json:"max_attempts,omitempty"`
		// Regions lists the regions whose targets may serve the route; empty
		// means all.
		Regions []string `json:"regions,omitempty"`
		// Public lets callers without a key use the route.
		Public bool `json:"public,omitempty" msgpack:",omitempty"`
	}

	// WeightedPool is a pool in a split, with its relative weight.
	WeightedPool struct {
		Pool   string  `json:"pool"`
		Weight float64 `json:"weight"`
	}

	// Gather describes a query over several shards, each served by a pool of
	// its own.
	Gather struct {
		Pools []string `json:"pools"`
		// Top is the number of records in the answer, which are the greatest
		// of all shards' records.
		Top int `json:"top"`
		// MinimumCoverage is the minimum fraction of shards, from 0 to 1, that
		// an answer must cover.
		MinimumCoverage float64 `json:"minimum_coverage,omitempty"`
	}

	// HTTPLimits limit the requests of callers of HTTP routes. Zero means the
	// default.
	HTTPLimits struct {
		HeaderBytes   int               `json:"header_bytes,omitempty"`
		BodyBytes     int               `json:"body_bytes,omitempty"`
		HeaderTimeout duration.Duration `json:"header_timeout,omitempty"`
		IdleTimeout   duration.Duration `json:"idle_timeout,omitempty"`
	}

	// HTTPPool describes a pool of targets of HTTP routes. The targets announce
	// their slots and the rest of their cold start themselves.
	HTTPPool struct {
		// ColdRunsPerSecond is the rate limit of a target in cold start; 0
		// means that none is set.
		ColdRunsPerSecond float64 `json:"cold_runs_per_second,omitempty"`
	}

	// Pool describes a group of targets. Zero in an optional field means its
	// default.
	Pool struct {
		Name string `json:"name"`
		// Slots is the maximum number of concurrent runs at one target.
		Slots int `json:"slots"`
		// Connections is the maximum number of connections to one target.
		Connections int  `json:"connections"`
		Cold        Cold `json:"cold"`
		// HedgePercent and RetryPercent limit the extra load from hedges and
		// retries, in percent of the first attempts at the pool.
		HedgePercent int `json:"hedge_percent,omitempty"`
		RetryPercent int `json:"retry_percent,omitempty"`
		// DisableHedges and DisableRetries turn hedges and retries off
		// regardless of these limits.
		DisableHedges  bool `json:"disable_hedges,omitempty"`
		DisableRetries bool `json:"disable_retries,omitempty"`
		// QueueLimit is the maximum number of runs that wait for one target.
		QueueLimit     int               `json:"queue_limit,omitempty"`
		ConnectTimeout duration.Duration `json:"connect_timeout,omitempty"`
		// HTTP makes this a pool of HTTP routes. Of the other fields, such a
		// pool uses only Name and Connections.
		HTTP *HTTPPool `json:"http,omitempty"`
	}

	// Cold defines the limits of a target in cold start.
	Cold struct {
		Slots         int `json:"slots"`
		RunsPerSecond int `json:"runs_per_second,omitempty"`
		// WarmAfterRuns is the number of answered runs after which cold start
		// ends.
		WarmAfterRuns int `json:"warm_after_runs,omitempty"`
	}
)

// NeedKeys reports whether HTTP requests need the key of a tenant, unless their
// route is public.
func (tables *Tables) NeedKeys() bool {
	return tables.RequireKeys || len(tables.Tenants) > 0
}

// Route returns the route of a kind. It doesn't return HTTP routes.
func (tables *Tables) Route(kind string) (Route, bool) {
	for _, route := range tables.Routes {
		if route.Kind == kind && route.HTTP == nil {
			return route, true
		}
	}
	return Route{}, false
}

// Pool returns the pool with a name, with the defaults filled in. It doesn't
// return pools of HTTP routes.
func (tables *Tables) Pool(name string) (Pool, bool) {
	for _, pool := range tables.Pools {
		if pool.Name == name && pool.HTTP == nil {
			return pool.withDefaults(), true
		}
	}
	return Pool{}, false
}

// IsOut reports whether a failure domain is out of service.
func (tables *Tables) IsOut(failureDomain string) bool {
	for _, domain := range tables.FailureDomainsOut {
		if domain == failureDomain {
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

func orDefault[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}
