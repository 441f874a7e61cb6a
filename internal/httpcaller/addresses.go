// Selection of the entries that a caller should connect to.

package httpcaller

import (
	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

const (
	// MaximumAddresses is the maximum number of addresses returned to a caller.
	MaximumAddresses = 64
	// minimumAddresses is the number of addresses below which the selection is
	// widened beyond the caller's region.
	minimumAddresses = 2
)

// Addresses returns the IP:port of the entries that a caller in the given region
// and failure domain should use: those in its failure domain, otherwise those in
// its region, otherwise those of all regions.
func (server *Server) Addresses(region, failureDomain string) []string {
	members := server.board.Membership().View().Members
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
			if member.GatewayAddress != "" && !member.Leaving && inScope(member) && len(addresses) < MaximumAddresses {
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
