package operator

import (
	"fmt"
	"math"
	"strings"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/duration"
)

// Limits of the fields of HTTPRoute and HTTPLimits.
const (
	MaximumHTTPTimeout     = time.Hour
	MaximumHTTPAttempts    = 64
	MaximumGatheredPools   = 4096
	MaximumTopRecords      = 1 << 20
	MaximumHTTPHeaderBytes = 16 << 20
	MaximumHTTPBodyBytes   = 256 << 20
	MaximumPathPrefixBytes = 2048
)

// httpRoute checks the fields that only HTTP routes have. hostPrefixes holds the
// hosts and prefixes of the preceding routes.
func (tableCheck *tableCheck) httpRoute(index int, route *Route, hostPrefixes, pools map[string]bool) {
	if route.HTTP == nil {
		return
	}
	path := fmt.Sprintf("routes[%d].http", index)
	tableCheck.hostAndPrefix(path, route.HTTP, hostPrefixes)
	tableCheck.span(path+".timeout", route.HTTP.Timeout, 1)
	tableCheck.span(path+".target_latency", route.HTTP.TargetLatency, 0)
	tableCheck.inRange(path+".max_attempts", route.HTTP.MaxAttempts, 0, MaximumHTTPAttempts)
	destinationCount := 0
	if route.Pool != "" {
		destinationCount++
		tableCheck.poolExists(fmt.Sprintf("routes[%d].pool", index), route.Pool, pools)
	}
	if len(route.HTTP.Split) > 0 {
		destinationCount++
		tableCheck.split(path+".split", route.HTTP.Split, pools)
	}
	if route.HTTP.Gather != nil {
		destinationCount++
		tableCheck.gather(path+".gather", route, pools)
	}
	if destinationCount != 1 {
		tableCheck.add(path, "a route needs exactly one of pool, split and gather", "leave one of them")
	}
}

// hostAndPrefix checks a route's host and prefix. No two routes may have the
// same pair.
func (tableCheck *tableCheck) hostAndPrefix(path string, route *HTTPRoute, hostPrefixes map[string]bool) {
	if route.Host == "" || len(route.Host) > MaximumNameBytes {
		tableCheck.add(path+".host", "the host is missing or too long", fmt.Sprintf("use 1 to %d bytes", MaximumNameBytes))
	}
	prefix := route.PathPrefix
	if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") || len(prefix) > MaximumPathPrefixBytes {
		tableCheck.add(path+".path_prefix", fmt.Sprintf("%q is no prefix", prefix), "begin and end it with a slash")
	}
	hostAndPrefix := strings.ToLower(route.Host) + prefix
	if hostPrefixes[hostAndPrefix] {
		tableCheck.add(path+".path_prefix", fmt.Sprintf("another route has host %q and prefix %q", route.Host, prefix), "remove or change one of them")
	}
	hostPrefixes[hostAndPrefix] = true
}

// span checks that a duration is between minimum and MaximumHTTPTimeout. A
// minimum of 1 excludes only zero and negative durations.
func (tableCheck *tableCheck) span(path string, span duration.Duration, minimum time.Duration) {
	if span.Std() < minimum || span.Std() > MaximumHTTPTimeout {
		tableCheck.add(path, "the span is out of range", "use a span above 0s, up to "+MaximumHTTPTimeout.String())
	}
}

func (tableCheck *tableCheck) poolExists(path, pool string, pools map[string]bool) {
	if !pools[pool] {
		tableCheck.add(path, fmt.Sprintf("pool %q is unknown", pool), "name a pool of the table of pools")
	}
}

func (tableCheck *tableCheck) split(path string, split []WeightedPool, pools map[string]bool) {
	total := 0.0
	for index, part := range split {
		tableCheck.poolExists(fmt.Sprintf("%s[%d].pool", path, index), part.Pool, pools)
		if !(part.Weight >= 0) || math.IsInf(part.Weight, 0) {
			tableCheck.add(fmt.Sprintf("%s[%d].weight", path, index), "the weight is no share", "use a number from 0 on")
			continue
		}
		total += part.Weight
	}
	if !(total > 0) || math.IsInf(total, 0) {
		tableCheck.add(path, "the weights don't add up to more than 0", "give at least one part a weight")
	}
}

func (tableCheck *tableCheck) gather(path string, route *Route, pools map[string]bool) {
	gather := route.HTTP.Gather
	if len(gather.Pools) == 0 || len(gather.Pools) > MaximumGatheredPools {
		tableCheck.add(path+".pools", "the number of pools is out of range", fmt.Sprintf("name 1 to %d", MaximumGatheredPools))
	}
	seen := map[string]bool{}
	for index, pool := range gather.Pools {
		tableCheck.name(fmt.Sprintf("%s.pools[%d]", path, index), pool, seen)
		tableCheck.poolExists(fmt.Sprintf("%s.pools[%d]", path, index), pool, pools)
	}
	tableCheck.inRange(path+".top", gather.Top, 1, MaximumTopRecords)
	if !(gather.MinimumCoverage >= 0 && gather.MinimumCoverage <= 1) {
		tableCheck.add(path+".minimum_coverage", "the share is out of range", "use 0 to 1")
	}
	if route.NeverRepeat {
		tableCheck.add(path, "a gathered route can't be run once only", "leave out never_repeat")
	}
}

func (tableCheck *tableCheck) httpLimits(limits *HTTPLimits) {
	if limits == nil {
		return
	}
	tableCheck.inRange("http_limits.header_bytes", limits.HeaderBytes, 0, MaximumHTTPHeaderBytes)
	tableCheck.inRange("http_limits.body_bytes", limits.BodyBytes, 0, MaximumHTTPBodyBytes)
	tableCheck.span("http_limits.header_timeout", limits.HeaderTimeout, 0)
	tableCheck.span("http_limits.idle_timeout", limits.IdleTimeout, 0)
}
