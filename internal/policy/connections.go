// Number of idle connections that an entry keeps. Many entries share the few
// connections that a target accepts, and all entries may restart at once.

package policy

import (
	"time"
)

const (
	// idleShare is the share of a pool's connections that all entries together may
	// keep idle. The rest is reserved for requests.
	idleShare = 0.75
	// restartSpan is the time after the start of a process during which it keeps
	// only half as many idle connections. Targets still count those of the previous
	// process until their idle timeout, usually 15 s, part of which has passed
	// while the process was down.
	restartSpan = 12 * time.Second
	// minimumConnections is the number of connections that an entry needs to a target: one idle connection and one
	// more.
	minimumConnections = 2
	// connectionShare is the share of a target's connections that entries may open. The rest covers connections that
	// the target still counts after they were closed.
	connectionShare = 0.9
)

// Where a target is, as seen from an entry.
const (
	// SameDomain is the entry's failure domain.
	SameDomain Locality = iota + 1
	// SameRegion is another failure domain of the entry's region.
	SameRegion
	// OtherRegion is another region.
	OtherRegion
)

type (
	// Locality is where a target is, as seen from an entry.
	Locality uint8

	// EntryCounts are the numbers of entries in a target's failure domain, elsewhere in its region, and in
	// other regions.
	EntryCounts struct {
		Domain, Region, Other int
	}
)

// ConnectionLimit returns the number of connections that an entry may open to a target that accepts a number
// of connections from all entries together. The load that it answers: a shard loses two of three targets, or one of
// them pauses, and every entry turns to those that are left. Each entry gets an even share wherever the target is:
// attempts at a near target that has stopped answering then go to others early, and these have room for them. Where
// not every entry can have its connections, only the entries of the target's region open some, and 0 means that an
// attempt goes through one of those.
func ConnectionLimit(connections int, locality Locality, entries EntryCounts) int {
	all := entries.Domain + entries.Region + entries.Other
	if connections <= 0 || minimumConnections*all <= connections || entries.Domain+entries.Region == 0 {
		return max(minimumConnections, int(connectionShare*float64(connections))/max(1, all))
	}
	if locality == OtherRegion {
		return 0
	}
	return max(1, int(connectionShare*float64(connections))/(entries.Domain+entries.Region))
}

// IdleConnections returns the number of a pool's targets to which an entry keeps an
// idle connection. Connections is the number that each target accepts from all
// entries together.
func IdleConnections(connections, targets, entries int, sinceStart time.Duration) int {
	share := idleShare
	if sinceStart < restartSpan {
		share /= 2
	}
	return min(targets, int(share*float64(connections*targets)/float64(max(1, entries))))
}
