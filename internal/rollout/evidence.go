// What this entry has seen of the releases of a rollout.

package rollout

import (
	"cmp"
	"slices"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

const (
	// maximumCells bounds the evidence of one pool, and with it the size of a report.
	maximumCells = 512
	// overdueFactor is the multiple of the usual latency above which the time of an unanswered attempt
	// counts as a latency.
	overdueFactor = 3
	// usualDivisor is the inverse of a sample's weight in the usual latency.
	usualDivisor = 8
)

type (
	// evidence holds the counts of one rollout. The zero value is empty.
	evidence struct {
		cells map[cellKey]*policy.RolloutCell
		// usual holds the smoothed latencies of targets of other releases than the new one.
		usual map[usualKey]time.Duration
	}

	// cellKey identifies a cell. A target that is restarted with the new release under its old ID gets
	// another cell.
	cellKey struct {
		route, locality, target string
		isNew                   bool
	}

	usualKey struct {
		route, locality string
	}
)

// cell returns the counts for a key, or nil if there are too many already.
func (evidence *evidence) cell(key cellKey) *policy.RolloutCell {
	cell := evidence.cells[key]
	if cell != nil || len(evidence.cells) >= maximumCells {
		return cell
	}
	if evidence.cells == nil {
		evidence.cells = map[cellKey]*policy.RolloutCell{}
	}
	cell = &policy.RolloutCell{Route: key.route, Locality: key.locality, Target: key.target, New: key.isNew}
	evidence.cells[key] = cell
	return cell
}

func (evidence *evidence) learnUsual(route, locality string, latency time.Duration) {
	key := usualKey{route: route, locality: locality}
	usual, known := evidence.usual[key]
	if !known {
		if evidence.usual == nil {
			evidence.usual = map[usualKey]time.Duration{}
		}
		usual = latency
	}
	evidence.usual[key] = usual + (latency-usual)/usualDivisor
}

// copied returns a copy of the counts, in a stable order.
func (evidence *evidence) copied() policy.RolloutEvidence {
	var result policy.RolloutEvidence
	for _, cell := range evidence.cells {
		result.Cells = append(result.Cells, *cell)
	}
	slices.SortFunc(result.Cells, func(left, right policy.RolloutCell) int {
		return cmp.Or(cmp.Compare(left.Target, right.Target), cmp.Compare(left.Route, right.Route), cmp.Compare(left.Locality, right.Locality))
	})
	return result
}
