// This file exists so that what a leader may conclude from leases is decided
// apart from messages and the log. docs/design/membership.md has the argument.

package control

import (
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

const (
	// leaseSpan is the time, by the leader's clock, after which a lease has
	// certainly run out by its holder's clock.
	leaseSpan = LeaseDuration * (100 + ClockRateErrorPercent) / 100
)

const (
	// admitted lets the process have a lease now.
	admitted admission = iota
	// edits asks for the process to be put in the view first.
	edits
	// waits asks the process to try again, as its removal is under way.
	waits
	// superseded refuses the process for good: it has left, or a later
	// process of the same name holds a lease.
	superseded
)

type (
	// tenure is what one leader knows of leases in one term. It isn't
	// replicated: a new leader starts with nothing and concludes nothing
	// until the leases of earlier leaders have run out.
	tenure struct {
		term  uint64
		since time.Time
		// holders are the processes that were granted a lease in this term.
		holders map[holderKey]*holder
		// expelled are the members whose removal from the view is under way.
		// They get no lease until the view shows the outcome.
		expelled map[holderKey]bool
		// joining are the processes that are being put in the view, with the
		// time at which they count as gone if they get no lease.
		joining map[holderKey]time.Time
		// left are the processes that asked to be removed, with the time at
		// which that may be forgotten.
		left map[holderKey]time.Time
		// best is the newest view that was found to be settled, and stays so.
		best uint64
	}

	// holderKey names one process of an entry.
	holderKey struct {
		id          string
		incarnation uint64
	}

	holder struct {
		// until is the time after which the lease has certainly run out.
		until time.Time
		// version is the newest version of the tables that the holder has
		// acknowledged.
		version uint64
		// floor is the oldest view that the holder may act on.
		floor uint64
	}

	// admission says what must happen before a process gets a lease.
	admission int
)

func newTenure(term uint64, since time.Time) *tenure {
	return &tenure{
		term: term, since: since,
		holders: map[holderKey]*holder{}, expelled: map[holderKey]bool{}, joining: map[holderKey]time.Time{}, left: map[holderKey]time.Time{},
	}
}

func keyOf(member *membership.Member) holderKey {
	return holderKey{id: member.ID, incarnation: member.Incarnation}
}

// settledIn reports whether all leases that earlier leaders granted have run
// out, so that holders are all that there are.
func (tenure *tenure) settledIn(now time.Time) bool {
	return !now.Before(tenure.since.Add(leaseSpan))
}

func (holder *holder) live(now time.Time) bool {
	return now.Before(holder.until)
}

// admit says what must happen before a member gets a lease under a view.
func (tenure *tenure) admit(now time.Time, member *membership.Member, view *membership.View) admission {
	key := keyOf(member)
	if _, gone := tenure.left[key]; gone {
		return superseded
	}
	present, known := view.Member(member.ID)
	switch {
	case tenure.expelled[key] || known && tenure.expelled[keyOf(&present)]:
		return waits
	case known && present == *member:
		return admitted
	case known && present.Incarnation > member.Incarnation && tenure.mayAct(now, keyOf(&present)):
		return superseded
	}
	tenure.joining[key] = now.Add(leaseSpan)
	return edits
}

// mayAct reports whether a process may hold a lease.
func (tenure *tenure) mayAct(now time.Time, key holderKey) bool {
	holder, known := tenure.holders[key]
	return known && holder.live(now) || !known && !tenure.settledIn(now)
}

// grant records a lease, which must be done before the reply can go out. The
// view is the one that the holder has or gets with the reply.
func (tenure *tenure) grant(now time.Time, renewal *Renewal, view *membership.View, newest uint64) {
	key := keyOf(&renewal.Member)
	granted, known := tenure.holders[key]
	if !known {
		granted = &holder{}
		if renewal.KnownView == 0 {
			// A process that knows no view acts on nothing before the reply.
			granted.floor, granted.version = view.Number, newest
		}
		tenure.holders[key] = granted
	}
	granted.until = now.Add(leaseSpan)
	granted.version = max(granted.version, renewal.Version)
	granted.floor = max(granted.floor, renewal.View)
}

// leave records that a process has stopped using everything.
func (tenure *tenure) leave(now time.Time, key holderKey) {
	delete(tenure.holders, key)
	delete(tenure.joining, key)
	tenure.left[key] = now.Add(leaseSpan)
}

// removable returns the members that have left or whose lease has certainly
// run out, and marks them as expelled. Entries take over the targets of a
// removed member at once, so no process of that ID may hold a lease.
func (tenure *tenure) removable(now time.Time, view *membership.View) []membership.Member {
	if !tenure.settledIn(now) {
		return nil
	}
	live := map[string]bool{}
	for key, holder := range tenure.holders {
		live[key.id] = live[key.id] || holder.live(now)
	}
	for key, until := range tenure.joining {
		live[key.id] = live[key.id] || now.Before(until)
	}
	var removable []membership.Member
	for _, member := range view.Members {
		if !live[member.ID] {
			tenure.expelled[keyOf(&member)] = true
			removable = append(removable, member)
		}
	}
	return removable
}

// settled returns the newest view number such that every process which may
// act on an earlier view has acknowledged it; zero where none is known.
func (tenure *tenure) settled(now time.Time, view *membership.View) uint64 {
	if !tenure.settledIn(now) || tenure.best == view.Number {
		return tenure.best
	}
	settled := view.Number
	for _, holder := range tenure.holders {
		if holder.live(now) {
			settled = min(settled, holder.floor)
		}
	}
	tenure.best = max(tenure.best, settled)
	return tenure.best
}

// inForce returns the newest version of the tables such that no process acts
// on an earlier one; zero where none is known.
func (tenure *tenure) inForce(now time.Time, newest uint64) uint64 {
	if !tenure.settledIn(now) {
		return 0
	}
	version := newest
	for _, holder := range tenure.holders {
		if holder.live(now) {
			version = min(version, holder.version)
		}
	}
	return version
}

// forget drops what no decision needs any more.
func (tenure *tenure) forget(now time.Time, view *membership.View) {
	present := map[holderKey]bool{}
	for index := range view.Members {
		present[keyOf(&view.Members[index])] = true
	}
	for key, holder := range tenure.holders {
		if !present[key] && !holder.live(now) {
			delete(tenure.holders, key)
		}
	}
	for key := range tenure.expelled {
		if !present[key] {
			delete(tenure.expelled, key)
		}
	}
	for key, until := range tenure.joining {
		if _, granted := tenure.holders[key]; granted || !now.Before(until) {
			delete(tenure.joining, key)
		}
	}
	for key, until := range tenure.left {
		if !present[key] && !now.Before(until) {
			delete(tenure.left, key)
		}
	}
}
