// This file exists so that an entry knows the agreed view, and which targets
// it may use under it.

package blackboard

import (
	"sync"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

type (
	// Membership holds the newest view and the newest settled view number. A
	// view is settled once every entry that had a target before has given it
	// up or has certainly lost its lease.
	Membership struct {
		lock    sync.RWMutex
		view    membership.View
		settled uint64
	}
)

// Replace takes a newer view; an older one is ignored.
func (table *Membership) Replace(view membership.View) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if view.Number > table.view.Number {
		table.view = view
	}
}

// Settle records that a view is settled.
func (table *Membership) Settle(number uint64) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if number > table.settled {
		table.settled = number
	}
}

// View returns the newest view. Its members must not be changed.
func (table *Membership) View() membership.View {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.view
}

// Settled reports whether the newest view is settled.
func (table *Membership) Settled() bool {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.settled >= table.view.Number
}
