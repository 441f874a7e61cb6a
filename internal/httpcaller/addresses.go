// Which entries a caller is sent to.

package httpcaller

import (
	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

const (
	// MaximumAddresses bounds the addresses that a caller is given.
	MaximumAddresses = 64
	// leastAddresses is how many of a region a caller is given where none stands
	// in its failure domain.
	leastAddresses = 2
)

// Addresses returns the IP:port of the entries that a caller in a failure domain
// should use: those nearest to it, as long as there are enough of them.
func (server *Server) Addresses(region, failureDomain string) []string {
	members := server.board.Membership().View().Members
	nearest := []func(member *membership.Member) bool{
		func(member *membership.Member) bool { return member.FailureDomain == failureDomain },
		func(member *membership.Member) bool { return member.Region == region },
		func(*membership.Member) bool { return true },
	}
	var addresses []string
	for step, near := range nearest {
		addresses = addresses[:0]
		for index := range members {
			member := &members[index]
			if member.GatewayAddress != "" && !member.Leaving && near(member) && len(addresses) < MaximumAddresses {
				addresses = append(addresses, member.GatewayAddress)
			}
		}
		// One in the failure domain is better than several at the round trip to
		// another region.
		if len(addresses) >= leastAddresses || step == 0 && len(addresses) > 0 {
			break
		}
	}
	return addresses
}
