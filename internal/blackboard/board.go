// Package blackboard holds the state that the controllers of an entry share, as
// in-memory tables that each have their own lock. Of these, InForce holds the
// configuration tables that operators edit.
//
// Lock order: InForce, Membership, Directory, Verdicts, Loads. A goroutine that
// holds the lock of one table may only take the lock of a later one. No table
// calls code outside the package while it holds its lock.
package blackboard

import (
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

type (
	// Board is the set of an entry's shared tables. In the zero value all
	// tables are empty and the entry is fenced.
	Board struct {
		inForce    InForce
		membership Membership
		directory  Directory
		verdicts   Verdicts
		loads      Loads
	}
)

// InForce returns the configuration tables in force and the entry's lease.
func (board *Board) InForce() *InForce {
	return &board.inForce
}

// Membership returns the membership view and the entry's rights to use targets.
func (board *Board) Membership() *Membership {
	return &board.membership
}

// Directory returns the directory of targets.
func (board *Board) Directory() *Directory {
	return &board.directory
}

// Verdicts returns the suspected and quarantined requests.
func (board *Board) Verdicts() *Verdicts {
	return &board.verdicts
}

// Loads returns the numbers of requests in progress at the entries.
func (board *Board) Loads() *Loads {
	return &board.loads
}

// HomeOf returns the home entry of a target under the newest view, or false if no
// member may be home.
func (board *Board) HomeOf(announcement *target.Announcement) (membership.Member, bool) {
	return board.membership.Placement().Home(announcement.ID, announcement.FailureDomain)
}
