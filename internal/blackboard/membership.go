// The membership table determines which targets this entry may use under the
// views that control publishes, so that no two entries use one target at a time.

package blackboard

import (
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

const (
	// maximumPlacements bounds the placements that are kept until a view is
	// settled. If more are needed, the oldest are dropped; targets whose rights
	// depend on those can't be used until the newest view is settled.
	maximumPlacements = 64
)

type (
	// Membership holds the placements of the newest view and of those before
	// it back to the last settled one, and the targets that earlier homes have
	// released to this entry. A view is settled once no entry still uses a
	// target that it was home to under an earlier view and isn't under this one:
	// each such entry has released the target, or its lease has certainly expired.
	Membership struct {
		lock sync.RWMutex
		// placements holds the placements, the oldest first, and settledView the
		// number of the newest view that is known to be settled.
		placements  []*membership.Placement
		settledView uint64
		// oldestUsableView is the oldest view on which rights to targets may be
		// based: the first since the lease was last regained, or a later one if
		// older placements were dropped. A target released under an earlier view
		// may have passed to another entry while this one was fenced.
		oldestUsableView uint64
		// releaseViews maps the IDs of targets that were released to this entry to
		// the newest view under which that happened.
		releaseViews map[string]uint64
		// changedAt is when the newest view was received, or when the number of
		// the settled view last grew.
		changedAt time.Time
	}
)

// Update applies a view and the number of the newest settled view atomically. A
// nil view leaves the current one in place; an older view is ignored.
func (table *Membership) Update(view *membership.View, settledView uint64) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if view != nil && view.Number > table.newest().View().Number {
		table.placements = append(table.placements, membership.NewPlacement(*view))
		table.changedAt = time.Now()
	}
	if settledView > table.settledView {
		table.settledView = settledView
		table.changedAt = time.Now()
	}
	if table.oldestUsableView == 0 {
		table.oldestUsableView = table.newest().View().Number
	}
	table.prune()
}

// Replace applies a newer view; an older one is ignored.
func (table *Membership) Replace(view membership.View) {
	table.Update(&view, 0)
}

// Settle records that a view is settled.
func (table *Membership) Settle(number uint64) {
	table.Update(nil, number)
}

// Reset drops all rights to use targets after the lease has expired. A target
// may be used again once control reports the newest view as settled, or once
// the target's earlier home releases it.
func (table *Membership) Reset() {
	table.lock.Lock()
	defer table.lock.Unlock()
	table.placements = table.placements[max(0, len(table.placements)-1):]
	table.settledView, table.oldestUsableView, table.releaseViews = 0, 0, nil
}

// Release records that the earlier home of a target has released it to this
// entry under the given view.
func (table *Membership) Release(targetID string, view uint64) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if table.releaseViews == nil {
		table.releaseViews = map[string]uint64{}
	}
	table.releaseViews[targetID] = max(table.releaseViews[targetID], view)
}

// View returns the newest view. Its members must not be modified.
func (table *Membership) View() membership.View {
	return table.Placement().View()
}

// Placement returns the placement of targets under the newest view.
func (table *Membership) Placement() *membership.Placement {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.newest()
}

// ChangedAt returns the time since which no earlier home has used the targets
// that this entry may use, except for targets that were released to it.
func (table *Membership) ChangedAt() time.Time {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.changedAt
}

// Settled reports whether the newest view is settled.
func (table *Membership) Settled() bool {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.settledView >= table.newest().View().Number
}

// MayUse reports whether this entry, whose ID is self, may use a target now. No
// two entries with valid leases may use the same target; docs/design/homes.md
// gives the proof.
func (table *Membership) MayUse(self, targetID, failureDomain string) bool {
	table.lock.RLock()
	defer table.lock.RUnlock()
	newest := table.newest()
	home, found := newest.Home(targetID, failureDomain)
	if !found || home.ID != self {
		return false
	}
	if table.settledView >= newest.View().Number {
		return true
	}
	return table.heldSinceRelease(self, targetID, failureDomain) || table.retainedSinceSettled(self, targetID, failureDomain)
}

// heldSinceRelease reports whether the target was released to this entry and this
// entry has been its home in every view since then. The lock must be held.
func (table *Membership) heldSinceRelease(self, targetID, failureDomain string) bool {
	releaseView, exists := table.releaseViews[targetID]
	if !exists || table.oldestUsableView == 0 || releaseView < table.oldestUsableView {
		return false
	}
	for _, placement := range table.placements {
		home, found := placement.Home(targetID, failureDomain)
		if placement.View().Number >= releaseView && (!found || home.ID != self) {
			return false
		}
	}
	return true
}

// retainedSinceSettled reports whether this entry has been the target's home in
// every view since the settled one, or has taken over from a home that is no
// longer a member. The lock must be held.
func (table *Membership) retainedSinceSettled(self, targetID, failureDomain string) bool {
	base := table.placements[0]
	if base.View().Number > table.settledView || base.View().Number < table.oldestUsableView {
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
	for _, placement := range table.placements {
		home, found := placement.Home(targetID, failureDomain)
		if !found || home.ID != self && home.ID != holder.ID {
			return false
		}
	}
	return true
}

// contiguous reports whether every view since the settled one was received. In
// a missed view the target may have been released to a third entry. The lock must
// be held.
func (table *Membership) contiguous() bool {
	first, last := table.placements[0].View().Number, table.newest().View().Number
	return last-first+1 == uint64(len(table.placements))
}

// prune drops the placements before the newest settled one, and the oldest ones
// beyond maximumPlacements. It also drops the releases once the newest view is
// settled, because they are no longer needed. The lock must be held.
func (table *Membership) prune() {
	base := 0
	for index, placement := range table.placements {
		if placement.View().Number <= table.settledView {
			base = index
		}
	}
	if excess := len(table.placements) - maximumPlacements; excess > base {
		base = excess
		table.oldestUsableView = max(table.oldestUsableView, table.placements[base].View().Number)
	}
	table.placements = table.placements[base:]
	if table.settledView >= table.newest().View().Number {
		table.releaseViews = nil
	}
}

// newest returns the newest placement, or an empty one if there is none. The
// lock is held.
func (table *Membership) newest() *membership.Placement {
	if len(table.placements) == 0 {
		return &membership.Placement{}
	}
	return table.placements[len(table.placements)-1]
}
