// This file exists so that an entry knows the agreed view, and which targets
// it may use under it.

package blackboard

import (
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

const (
	// maximumChain bounds the views that are kept until one is settled. Past
	// it, targets wait for the newest view to settle.
	maximumChain = 64
)

type (
	// Membership holds the newest view, the views before it back to the last
	// settled one, and the targets that earlier homes have released to this
	// entry. A view is settled once every entry that had a target before has
	// given it up or has certainly lost its lease.
	Membership struct {
		lock    sync.RWMutex
		chain   []*membership.Placement
		settled uint64
		// floor is the first view since the lease was last regained. What was
		// released under an earlier view may have gone to another entry while
		// this one was fenced.
		floor    uint64
		released map[string]uint64
		// changedAt is when the newest view came, or was found to be settled.
		changedAt time.Time
	}
)

// Learn takes a view and the newest settled view number at once; nil leaves
// the view as it is, and an older view is ignored.
func (table *Membership) Learn(view *membership.View, settled uint64) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if view != nil && view.Number > table.newest().View().Number {
		table.chain = append(table.chain, membership.NewPlacement(*view))
		table.changedAt = time.Now()
	}
	if settled > table.settled {
		table.settled = settled
		table.changedAt = time.Now()
	}
	if table.floor == 0 {
		table.floor = table.newest().View().Number
	}
	table.prune()
}

// Replace takes a newer view; an older one is ignored.
func (table *Membership) Replace(view membership.View) {
	table.Learn(&view, 0)
}

// Settle records that a view is settled.
func (table *Membership) Settle(number uint64) {
	table.Learn(nil, number)
}

// Reset forgets every right to use targets, because the lease has run out.
// After it, targets are used again once control says that the newest view is
// settled, or once their homes release them.
func (table *Membership) Reset() {
	table.lock.Lock()
	defer table.lock.Unlock()
	table.chain = table.chain[max(0, len(table.chain)-1):]
	table.settled, table.floor, table.released = 0, 0, nil
}

// Release records that the earlier home of a target has given it up to this
// entry under a view.
func (table *Membership) Release(targetID string, view uint64) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if table.released == nil {
		table.released = map[string]uint64{}
	}
	table.released[targetID] = max(table.released[targetID], view)
}

// View returns the newest view. Its members must not be changed.
func (table *Membership) View() membership.View {
	return table.Placement().View()
}

// Placement returns the homes under the newest view.
func (table *Membership) Placement() *membership.Placement {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.newest()
}

// ChangedAt returns the time after which no earlier home has used the targets
// that this entry holds, but for those that were released to it.
func (table *Membership) ChangedAt() time.Time {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.changedAt
}

// Settled reports whether the newest view is settled.
func (table *Membership) Settled() bool {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.settled >= table.newest().View().Number
}

// Holds reports whether an entry, this one, may use a target now. No two
// entries that hold their leases may use one target: docs/design/homes.md has
// the argument.
func (table *Membership) Holds(self, targetID, failureDomain string) bool {
	table.lock.RLock()
	defer table.lock.RUnlock()
	newest := table.newest()
	home, found := newest.Home(targetID, failureDomain)
	if !found || home.ID != self {
		return false
	}
	if table.settled >= newest.View().Number {
		return true
	}
	return table.wasReleased(self, targetID, failureDomain) || table.keeps(self, targetID, failureDomain)
}

// wasReleased reports whether the target was released to this entry, which
// has been its home in every view since. The lock is held.
func (table *Membership) wasReleased(self, targetID, failureDomain string) bool {
	released, known := table.released[targetID]
	if !known || table.floor == 0 || released < table.floor {
		return false
	}
	for _, placement := range table.chain {
		home, found := placement.Home(targetID, failureDomain)
		if placement.View().Number >= released && (!found || home.ID != self) {
			return false
		}
	}
	return true
}

// keeps reports whether this entry was the target's home under the settled
// view and ever since, or has followed a home that is no longer a member. The
// lock is held.
func (table *Membership) keeps(self, targetID, failureDomain string) bool {
	base := table.chain[0]
	if base.View().Number > table.settled || base.View().Number < table.floor {
		return false
	}
	holder, found := base.Home(targetID, failureDomain)
	if !found {
		return false
	}
	if holder.ID != self {
		newest := table.newest().View()
		if _, present := newest.Member(holder.ID); present || !table.contiguous() {
			return false
		}
	}
	for _, placement := range table.chain {
		home, found := placement.Home(targetID, failureDomain)
		if !found || home.ID != self && home.ID != holder.ID {
			return false
		}
	}
	return true
}

// contiguous reports whether no view since the settled one was missed: in a
// missed view the target may have been released to a third entry. The lock is
// held.
func (table *Membership) contiguous() bool {
	first, last := table.chain[0].View().Number, table.newest().View().Number
	return last-first+1 == uint64(len(table.chain))
}

// prune drops views before the newest settled one. The lock is held.
func (table *Membership) prune() {
	base := 0
	for index, placement := range table.chain {
		if placement.View().Number <= table.settled {
			base = index
		}
	}
	if excess := len(table.chain) - maximumChain; excess > base {
		base = excess
		table.floor = max(table.floor, table.chain[base].View().Number)
	}
	table.chain = table.chain[base:]
	if table.settled >= table.newest().View().Number {
		table.released = nil
	}
}

// newest returns the newest placement. The lock is held.
func (table *Membership) newest() *membership.Placement {
	if len(table.chain) == 0 {
		return &membership.Placement{}
	}
	return table.chain[len(table.chain)-1]
}
