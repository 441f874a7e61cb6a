// Lookup of the route and the pool for a request.

package policy

import (
	"net"
	"slices"
	"strings"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

type (
	// Routes finds routes by host and path. The zero value holds no routes.
	Routes struct {
		// byHost holds the routes of each host by prefix.
		byHost map[string]map[string]*operator.Route
		pools  map[string]*operator.Pool
		// usedPools lists the pools that routes refer to, sorted by name.
		usedPools     []string
		gatheredPools []string
	}
)

// NewRoutes indexes the HTTP routes of tables, which must not be changed
// afterwards.
func NewRoutes(tables *operator.Tables) *Routes {
	routes := &Routes{byHost: map[string]map[string]*operator.Route{}, pools: map[string]*operator.Pool{}}
	for index := range tables.Routes {
		route := &tables.Routes[index]
		if route.HTTP == nil {
			continue
		}
		host := strings.ToLower(route.HTTP.Host)
		if routes.byHost[host] == nil {
			routes.byHost[host] = map[string]*operator.Route{}
		}
		routes.byHost[host][route.HTTP.PathPrefix] = route
		routes.addUsedPools(route)
	}
	slices.Sort(routes.usedPools)
	routes.usedPools = slices.Compact(routes.usedPools)
	for index := range tables.Pools {
		routes.pools[tables.Pools[index].Name] = &tables.Pools[index]
	}
	return routes
}

// addUsedPools appends the pools of a route to usedPools.
func (routes *Routes) addUsedPools(route *operator.Route) {
	switch {
	case route.HTTP.Gather != nil:
		routes.gatheredPools = append(routes.gatheredPools, route.HTTP.Gather.Pools...)
		routes.usedPools = append(routes.usedPools, route.HTTP.Gather.Pools...)
	case len(route.HTTP.Split) > 0:
		for _, weightedPool := range route.HTTP.Split {
			routes.usedPools = append(routes.usedPools, weightedPool.Pool)
		}
	default:
		routes.usedPools = append(routes.usedPools, route.Pool)
	}
}

// UsedPools returns the sorted names of the pools that HTTP routes refer to.
func (routes *Routes) UsedPools() []string {
	return routes.usedPools
}

// GatheredPools returns the names of the pools of gathered routes. A pool of several routes is listed several times.
func (routes *Routes) GatheredPools() []string {
	return routes.gatheredPools
}

// Match returns the route whose host matches and whose path prefix is the longest one
// that matches. The host may carry a port. It returns false if no route matches.
func (routes *Routes) Match(host, path string) (*operator.Route, bool) {
	prefixes := routes.byHost[strings.ToLower(withoutPort(host))]
	if prefixes == nil {
		return nil, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, found := prefixes[path[:end+1]]; found {
			return route, true
		}
	}
	return nil, false
}

// Pool returns the pool with the given name, or nil.
func (routes *Routes) Pool(name string) *operator.Pool {
	return routes.pools[name]
}

func withoutPort(host string) string {
	if bare, _, err := net.SplitHostPort(host); err == nil {
		return bare
	}
	return host
}

// SelectPool selects a pool of a split by weight. Random is a number in [0, 1). It
// returns "" if no weight is positive.
func SelectPool(split []operator.WeightedPool, random float64) string {
	total := 0.0
	for _, weightedPool := range split {
		total += weightedPool.Weight
	}
	remaining := random * total
	for _, weightedPool := range split {
		if weightedPool.Weight > 0 && remaining < weightedPool.Weight {
			return weightedPool.Pool
		}
		remaining -= weightedPool.Weight
	}
	for index := len(split) - 1; index >= 0; index-- {
		if split[index].Weight > 0 {
			return split[index].Pool
		}
	}
	return ""
}
