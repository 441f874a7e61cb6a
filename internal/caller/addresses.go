// This file exists so that callers are told which entries to use, there being
// no balancer before them.

package caller

import (
	"math/rand/v2"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
)

const (
	// AddressMaxAge is how long a caller may use the addresses.
	AddressMaxAge = 5 * time.Second
	// maximumAddresses bounds the addresses that a caller is given.
	maximumAddresses = 4
)

// Addresses returns entries that callers can use: none that stops and none in
// a failure domain that was taken out.
func Addresses(board *blackboard.Board) caller.Addresses {
	tables, _ := board.InForce().Tables()
	addresses := caller.Addresses{Entries: []string{}, MaxAge: duration.Of(AddressMaxAge)}
	for _, member := range board.Membership().View().Members {
		if !member.Stopping && !tables.Out(member.FailureDomain) {
			addresses.Entries = append(addresses.Entries, member.CallerAddress)
		}
	}
	rand.Shuffle(len(addresses.Entries), func(a, b int) {
		addresses.Entries[a], addresses.Entries[b] = addresses.Entries[b], addresses.Entries[a]
	})
	if len(addresses.Entries) > maximumAddresses {
		addresses.Entries = addresses.Entries[:maximumAddresses]
	}
	return addresses
}
