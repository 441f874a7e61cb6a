// Mechanisms of the request path that an operator may turn off, to find the cause of a fault or what each is worth.

package policy

import (
	"slices"
)

const (
	// MechanismActiveEntries directs callers to a part of the entries.
	MechanismActiveEntries Mechanism = "active_entries"
	// MechanismAdmissionLimits limits the requests in progress by their latencies, where there are tenants.
	MechanismAdmissionLimits Mechanism = "admission_limits"
	// MechanismHedges sends a request to a second target while the first attempt is in progress.
	MechanismHedges Mechanism = "hedges"
	// MechanismIdleConnections keeps connections open to the targets that are likely to be asked next.
	MechanismIdleConnections Mechanism = "idle_connections"
	// MechanismShardShares leaves queries out of shards that can't serve all of them.
	MechanismShardShares Mechanism = "shard_shares"
	// MechanismSharedConnections sends attempts over the connections of other entries, where not every entry can have
	// its own.
	MechanismSharedConnections Mechanism = "shared_connections"
	// MechanismSharedSlack counts the slack of the retry budget at one place for many entries.
	MechanismSharedSlack Mechanism = "shared_slack"
	// MechanismStallWaits lets a request without an attempt in progress wait for a target or for the budget.
	MechanismStallWaits Mechanism = "stall_waits"
	// MechanismStartupHolds holds requests for the first tables of an entry.
	MechanismStartupHolds Mechanism = "startup_holds"
)

type (
	// Mechanism is the name of a mechanism in the settings.
	Mechanism string

	// Mechanisms is a list of mechanisms that are turned off.
	Mechanisms []Mechanism
)

// AllMechanisms returns the mechanisms that may be turned off.
func AllMechanisms() Mechanisms {
	return Mechanisms{
		MechanismActiveEntries, MechanismAdmissionLimits, MechanismHedges, MechanismIdleConnections, MechanismShardShares,
		MechanismSharedConnections, MechanismSharedSlack, MechanismStallWaits, MechanismStartupHolds,
	}
}

// Has reports whether a mechanism is in the list.
func (mechanisms Mechanisms) Has(mechanism Mechanism) bool {
	return slices.Contains(mechanisms, mechanism)
}

// Names returns the names of the mechanisms.
func (mechanisms Mechanisms) Names() []string {
	names := make([]string, len(mechanisms))
	for index, mechanism := range mechanisms {
		names[index] = string(mechanism)
	}
	return names
}
