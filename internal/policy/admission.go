// Admission control: which requests are refused at once, and when their callers
// may retry. It covers overload as well as pools and entries that can't serve.

package policy

import (
	"cmp"
	"time"
)

const (
	// shortRetryDelay is the longest delay before a retry where capacity is
	// likely to free up soon. It is about the duration of a few runs.
	shortRetryDelay = 150 * time.Millisecond
	// longRetryDelay is the longest delay before a retry where something has to
	// recover first, such as the targets of a pool.
	longRetryDelay = 600 * time.Millisecond
	// harmfulRetryDelay is the longest delay before a retry of a request that is
	// kept from targets because it crashed some. It is about the shortest time for
	// which such a request is blocked.
	harmfulRetryDelay = time.Minute
	// reroutedRetryDelay is the longest delay before a retry that another entry can serve at once.
	reroutedRetryDelay = 10 * time.Millisecond
	// maximumPauseDelay bounds the time for which a caller is sent away for a pause.
	maximumPauseDelay = time.Minute
	// priorityReserveShare is the share of MaximumInFlight that each priority
	// leaves free for the next higher one.
	priorityReserveShare = 0.1
	// lowestPriority is the route's priority as which all below it count.
	lowestPriority = 5
	// tenantReserveShare is the share that each priority of a tenant leaves free for the next higher one. It begins
	// where the shares of the routes' priorities end, so that requests of tenants with priority 0, and of those without
	// one, have what they have without tenants.
	tenantReserveShare = 0.05
	// MaximumInFlight bounds the requests in progress at one entry, so that its
	// memory suffices for the largest usual bodies.
	MaximumInFlight = 512
)

// Reasons for a refusal.
const (
	// NoTables refuses because the entry has received no tables yet.
	NoTables Reason = iota + 1
	// NoTarget refuses because no known target may serve the request.
	NoTarget
	// NoRoom refuses because the entry or all targets of the pool are full.
	NoRoom
	// TooLate refuses because the remaining time is too short.
	TooLate
	// Stale refuses because the entry has been without contact to control for
	// too long.
	Stale
	// Harmful refuses because targets crashed while they ran the request.
	Harmful
	// NoLink refuses because no entry reaches the targets.
	NoLink
	// Paused refuses because all targets have asked for a pause, or named a rate limit that has no
	// room.
	Paused
	// OverAllotment refuses because the tenant has used up its allotment.
	OverAllotment
	// Outdated refuses because control has named newer tables than those in force.
	Outdated
	// Stopping refuses because the entry stops before the request is expected to end.
	Stopping
)

type (
	// Reason is why a request is refused.
	Reason uint8

	// Priority is the priority of a request; 0 is the highest of each kind. That of the tenant takes
	// precedence, and that of the route decides between equals.
	Priority struct {
		// Tenant is 0 for a request without a tenant, and for a tenant without a priority.
		Tenant int
		Route  int
	}
)

// LowestPriority returns the priority of requests whose route isn't known yet.
func LowestPriority() Priority {
	return Priority{Route: lowestPriority}
}

// Compare returns a negative number if the priority comes before the other one, 0 if they are equal, and
// otherwise a positive number.
func (priority Priority) Compare(other Priority) int {
	return cmp.Or(cmp.Compare(priority.Tenant, other.Tenant), cmp.Compare(priority.Route, other.Route))
}

// String returns the name of the reason in logs and metrics.
func (reason Reason) String() string {
	switch reason {
	case NoTables:
		return "no_tables"
	case NoTarget:
		return "no_target"
	case NoRoom:
		return "no_room"
	case TooLate:
		return "too_late"
	case Stale:
		return "stale"
	case Harmful:
		return "harmful"
	case NoLink:
		return "no_link"
	case Paused:
		return "paused"
	case OverAllotment:
		return "over_allotment"
	case Outdated:
		return "outdated"
	case Stopping:
		return "stopping"
	}
	return "unknown"
}

// AdmitEntry reports whether an entry with inFlight requests in progress admits
// another one of the given priority. Priorities below the lowest one, 5, count as it.
func AdmitEntry(inFlight int, priority Priority) bool {
	tenant, route := float64(min(max(0, priority.Tenant), lowestPriority)), float64(min(max(0, priority.Route), lowestPriority))
	reservedShare := priorityReserveShare * route
	if tenant > 0 {
		// The priorities of the routes divide the share of each tenant's priority.
		reservedShare = priorityReserveShare*lowestPriority + tenantReserveShare*(tenant-1+(route+1)/(lowestPriority+1))
	}
	return float64(inFlight) < (1-reservedShare)*MaximumInFlight
}

// AdmitTarget reports whether the best candidate is expected to answer within
// the remaining time. It disregards the penalty for a recent failure.
func AdmitTarget(best *Candidate, remaining time.Duration) bool {
	expected := best.ExpectedLatency()
	if best.Suspect {
		expected -= suspectPenalty
	}
	return expected <= remaining
}

// RetryAfterPause returns the delay after which a caller may retry a request that was refused as Paused, if
// the first target may be asked again after wait. The callers are spread over half of that time.
func RetryAfterPause(wait time.Duration, random float64) time.Duration {
	wait = min(max(0, wait), maximumPauseDelay)
	return wait + Jitter(max(shortRetryDelay, wait/2), random)
}

// RetryAfter returns the delay after which a caller may retry a refused request.
// Random, a number in [0, 1), adds jitter, so that callers that were refused
// together don't retry together.
func RetryAfter(reason Reason, random float64) time.Duration {
	switch reason {
	case NoRoom, TooLate, Paused, OverAllotment, Outdated:
		return Jitter(shortRetryDelay, random)
	case NoTables, NoTarget, Stale, NoLink:
		return Jitter(longRetryDelay, random)
	case Harmful:
		return Jitter(harmfulRetryDelay, random)
	case Stopping:
		return Jitter(reroutedRetryDelay, random)
	}
	return Jitter(longRetryDelay, random)
}
