// Package blackboard holds the tables that the controllers of an entry read
// and write. Each table has its own lock.
//
// Lock order: InForce, Membership, Directory, Verdicts, Loads. A goroutine that
// holds the lock of one table may only take the lock of a later one. No table
// calls out while it holds its lock.
package blackboard

import (
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

type (
	// Board is the set of an entry's shared tables. The zero value is an
	// entry that knows nothing and is fenced.
	Board struct {
		inForce    InForce
		membership Membership
		directory  Directory
		verdicts   Verdicts
		loads      Loads
	}
)

// InForce returns the tables in force and the entry's lease.
func (board *Board) InForce() *InForce {
	return &board.inForce
}

// Membership returns the agreed view of entries.
func (board *Board) Membership() *Membership {
	return &board.membership
}

// Directory returns the known targets.
func (board *Board) Directory() *Directory {
	return &board.directory
}

// Verdicts returns the quarantined requests.
func (board *Board) Verdicts() *Verdicts {
	return &board.verdicts
}

// Loads returns how busy the entries are.
func (board *Board) Loads() *Loads {
	return &board.loads
}

// HomeOf returns the entry that is home to a target under the newest view.
func (board *Board) HomeOf(announcement *target.Announcement) (membership.Member, bool) {
	return board.membership.Placement().Home(announcement.ID, announcement.FailureDomain)
}
