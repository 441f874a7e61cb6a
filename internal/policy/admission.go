// Which requests are refused at once, and when their callers may come back. Load:
// more arrives than targets can run, or nothing can run it at all.

package policy

import (
	"time"
)

const (
	// shortReturn is about how long a caller is sent away for where room may
	// come any moment: a few runs.
	shortReturn = 150 * time.Millisecond
	// longReturn is the same where something has to come back first, such as the
	// targets of a pool.
	longReturn = 600 * time.Millisecond
	// harmfulReturn is the same for a request that is kept from targets: about
	// the shortest time for which it is.
	harmfulReturn = time.Minute
	// inFlightShare is the part of an entry's requests in progress that are kept
	// for each higher priority.
	inFlightShare = 0.1
	// MaximumInFlight bounds the requests in progress at one entry, below what
	// its memory bears with the largest bodies that are usual.
	MaximumInFlight = 512
)

// Reasons for a refusal.
const (
	// NoTables is an entry that has no tables yet.
	NoTables Reason = iota + 1
	// NoTarget is a request that no known target may serve.
	NoTarget
	// NoRoom is a pool whose targets are all full, or an entry that is.
	NoRoom
	// TooLate is a request whose time can't be enough.
	TooLate
	// Stale is an entry that has been without word from control for too long.
	Stale
	// Harmful is a request under which targets crashed.
	Harmful
)

type (
	// Reason says why a request is refused.
	Reason uint8
)

// String names the reason for logs and metrics.
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
	}
	return "unknown"
}

// AdmitEntry reports whether an entry with a number of requests in progress takes
// another one of a priority, 0 being the highest.
func AdmitEntry(inFlight, priority int) bool {
	share := 1 - inFlightShare*float64(min(max(0, priority), 5))
	return float64(inFlight) < share*MaximumInFlight
}

// AdmitTarget reports whether a request is worth sending to the best candidate,
// where an answer within left is still of use.
func AdmitTarget(best *Candidate, left time.Duration) bool {
	expected := best.Expect()
	if best.Suspect {
		expected -= suspectPenalty
	}
	return expected <= left
}

// ReturnAfter returns when a caller may send a refused request again. Drawn, a
// number from 0 up to 1, spreads those that were refused together.
func ReturnAfter(reason Reason, drawn float64) time.Duration {
	switch reason {
	case NoRoom, TooLate:
		return Spread(shortReturn, drawn)
	case NoTables, NoTarget, Stale:
		return Spread(longReturn, drawn)
	case Harmful:
		return Spread(harmfulReturn, drawn)
	}
	return Spread(longReturn, drawn)
}
