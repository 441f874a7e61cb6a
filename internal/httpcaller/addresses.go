// Which entries a caller is sent to.

package httpcaller

import (
	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

const (
	// MaximumAddresses bounds the addresses that a caller is given.
	MaximumAddresses = 64
	// leastAddresses is how many a caller is given where there are as many, so
	// that one that fails leaves it another.
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
	for _, near := range nearest {
		addresses = addresses[:0]
		for index := range members {
			member := &members[index]
			if member.GatewayAddress != "" && !member.Leaving && near(member) && len(addresses) < MaximumAddresses {
				addresses = append(addresses, member.GatewayAddress)
			}
		}
		if len(addresses) >= leastAddresses {
			break
		}
	}
	return addresses
}
