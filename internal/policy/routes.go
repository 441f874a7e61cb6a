// Which route a request belongs to.

package policy

import (
	"net"
	"slices"
	"strings"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

type (
	// Routes finds routes by host and path. The zero value has none.
	Routes struct {
		// byHost holds the routes of each host by prefix.
		byHost map[string]map[string]*operator.Route
		pools  map[string]*operator.Pool
		// used lists the pools that routes name.
		used []string
	}
)

// NewRoutes indexes the HTTP routes of tables, which must not change.
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
		routes.use(route)
	}
	slices.Sort(routes.used)
	routes.used = slices.Compact(routes.used)
	for index := range tables.Pools {
		routes.pools[tables.Pools[index].Name] = &tables.Pools[index]
	}
	return routes
}

func (routes *Routes) use(route *operator.Route) {
	switch {
	case route.HTTP.Gather != nil:
		routes.used = append(routes.used, route.HTTP.Gather.Pools...)
	case len(route.HTTP.Split) > 0:
		for _, part := range route.HTTP.Split {
			routes.used = append(routes.used, part.Pool)
		}
	default:
		routes.used = append(routes.used, route.Pool)
	}
}

// Used returns the names of the pools that HTTP routes name, in order.
func (routes *Routes) Used() []string {
	return routes.used
}

// Match returns the route of a host, with or without a port, and a path: the one
// with the longest prefix.
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

// Pool returns a pool of the tables, or nil.
func (routes *Routes) Pool(name string) *operator.Pool {
	return routes.pools[name]
}

func withoutPort(host string) string {
	if bare, _, err := net.SplitHostPort(host); err == nil {
		return bare
	}
	return host
}

// Share returns the pool of a split to which a number from 0 up to 1 falls.
func Share(split []operator.WeightedPool, drawn float64) string {
	total := 0.0
	for _, part := range split {
		total += part.Weight
	}
	left := drawn * total
	for _, part := range split {
		if part.Weight > 0 && left < part.Weight {
			return part.Pool
		}
		left -= part.Weight
	}
	for index := len(split) - 1; index >= 0; index-- {
		if split[index].Weight > 0 {
			return split[index].Pool
		}
	}
	return ""
}
