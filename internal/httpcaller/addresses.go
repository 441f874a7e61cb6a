// Selection of the entries that a caller should connect to.

package httpcaller

import (
	"slices"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

const (
	// MaximumAddresses is the maximum number of addresses returned to a caller.
	MaximumAddresses = 64
	// minimumAddresses is the number of addresses below which the selection is
	// widened beyond the caller's region.
	minimumAddresses = 2
)

type (
	// activeEntries holds the entries of one view that callers are directed to, and counts them by their place.
	activeEntries struct {
		view    uint64
		members int
		routes  *routeIndex
		ids     map[string]bool
		// spares are the other entries that serve HTTP routes.
		spares             map[string]bool
		byDomain, byRegion map[string]int
	}
)

// Addresses returns the IP:port of the active entries that a caller in the given region
// and failure domain should use: those in its failure domain, otherwise those in
// its region, otherwise those of all regions.
func (server *Server) Addresses(region, failureDomain string) []string {
	active := server.activeEntries()
	members := slices.DeleteFunc(slices.Clone(server.board.Membership().View().Members), func(member membership.Member) bool {
		return !active.ids[member.ID]
	})
	scopes := []func(member *membership.Member) bool{
		func(member *membership.Member) bool { return member.FailureDomain == failureDomain },
		func(member *membership.Member) bool { return member.Region == region },
		func(*membership.Member) bool { return true },
	}
	var addresses []string
	for level, inScope := range scopes {
		addresses = addresses[:0]
		for index := range members {
			member := &members[index]
			if inScope(member) && len(addresses) < MaximumAddresses {
				addresses = append(addresses, member.GatewayAddress)
			}
		}
		// A single entry in the failure domain is enough: it is preferable to
		// several entries that are a cross-region round trip away.
		if len(addresses) >= minimumAddresses || level == 0 && len(addresses) > 0 {
			break
		}
	}
	return addresses
}

// activeEntries returns the entries that callers are directed to by the view and the tables in force.
func (server *Server) activeEntries() *activeEntries {
	view, routes := server.board.Membership().View(), server.currentRouteIndex()
	cached := server.cachedActiveEntries.Load()
	if cached != nil && cached.view == view.Number && cached.members == len(view.Members) && cached.routes == routes {
		return cached
	}
	var places []policy.EntryPlace
	for index := range view.Members {
		if member := &view.Members[index]; member.GatewayAddress != "" && !member.Leaving {
			places = append(places, policy.EntryPlace{ID: member.ID, FailureDomain: member.FailureDomain})
		}
	}
	active := &activeEntries{
		view: view.Number, members: len(view.Members), routes: routes, ids: policy.ActiveEntries(places, server.connectionsToShare(routes)),
		spares: map[string]bool{}, byDomain: map[string]int{}, byRegion: map[string]int{},
	}
	for _, place := range places {
		if !active.ids[place.ID] {
			active.spares[place.ID] = true
			continue
		}
		active.byDomain[place.FailureDomain]++
		active.byRegion[server.options.Regions[place.FailureDomain]]++
	}
	server.cachedActiveEntries.Store(active)
	return active
}

// IsSpare reports whether an entry serves HTTP routes, but callers aren't directed to it as long as the others of its
// failure domain suffice. A spare entry that is called all the same uses the connections of the others.
func (server *Server) IsSpare(id string) bool {
	return server.activeEntries().spares[id]
}

// connectionsToShare returns the number of connections that decides how many entries are active; 0 means all.
func (server *Server) connectionsToShare(routes *routeIndex) int {
	if server.options.Disabled.Has(policy.MechanismActiveEntries) {
		return 0
	}
	return routes.fewestConnections()
}

// fewestConnections returns the least number of connections that a target of a gathered pool accepts, or 0 if no
// pool has a limit.
func (routeIndex *routeIndex) fewestConnections() int {
	fewest := 0
	if routeIndex == nil {
		return fewest
	}
	for _, name := range routeIndex.routes.GatheredPools() {
		if pool := routeIndex.routes.Pool(name); pool != nil && pool.Connections > 0 && (fewest == 0 || pool.Connections < fewest) {
			fewest = pool.Connections
		}
	}
	return fewest
}
