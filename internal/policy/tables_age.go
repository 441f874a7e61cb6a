// Requests at an entry whose tables may be out of date. The load that it answers: a change of the tables reaches some entries
// late, because control or the entry is busy, or an entry is cut off from control while its callers and targets reach it.

package policy

import (
	"time"
)

const (
	// MaximumStaleness is how long an entry that knows of no newer tables serves after its lease has run out: tables that
	// are a minute old serve callers better than none.
	MaximumStaleness = time.Minute
)

type (
	// TablesAge tells how far the tables in force may be out of date.
	TablesAge struct {
		// LeaseLeft is the time until the lease runs out; negative once it has.
		LeaseLeft time.Duration
		// Behind is true if control has named newer tables than those in force.
		Behind bool
	}
)

// Refusal returns the reason to refuse every request, or 0 if the tables may be used. A lease isn't extended while the entry is
// behind, so a change that the entry knows of is acted on within one lease, or the entry doesn't serve.
func (tablesAge *TablesAge) Refusal() Reason {
	switch {
	case tablesAge.Behind && tablesAge.LeaseLeft <= 0:
		return Outdated
	case tablesAge.LeaseLeft < -MaximumStaleness:
		return Stale
	}
	return 0
}

// RejectionRefusal returns the reason to refuse a request for now that the tables in force don't allow, or 0 if the request is
// to be rejected for good: newer tables may allow it.
func (tablesAge *TablesAge) RejectionRefusal() Reason {
	if tablesAge.Behind {
		return Outdated
	}
	return 0
}
