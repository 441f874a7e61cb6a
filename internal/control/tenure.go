// A tenure, a leader's record of the leases that it has granted in one term, decides what the
// leader may safely conclude from them. It depends on neither messages nor the log.
// docs/design/membership.md explains why the conclusions are safe.

package control

import (
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

const (
	// safeLeaseDuration is the time by the leader's clock after which a lease has certainly
	// expired by the holder's clock.
	safeLeaseDuration = LeaseDuration * (100 + ClockRateErrorPercent) / 100
)

const (
	// admitted means that the process may get a lease now.
	admitted admission = iota
	// mustJoin means that the process must first be added to the view, or updated in it.
	mustJoin
	// mustWait means that the process must try again later, because its removal is in progress.
	mustWait
	// superseded means that the process never gets a lease: it has left, or a later process of
	// the same entry may hold a lease.
	superseded
)

type (
	// tenure is a leader's record of the leases in one term. It isn't replicated: a new leader
	// starts with an empty record and draws no conclusions until the leases of earlier leaders
	// have expired.
	tenure struct {
		term        uint64
		leaderSince time.Time
		// holders are the processes that were granted a lease in this term.
		holders map[processKey]*holder
		// removing are the members whose removal from the view is in progress. They get no
		// lease until the view shows the outcome.
		removing map[processKey]bool
		// joining maps each process that is being added to the view to the time after which it
		// counts as gone if it got no lease.
		joining map[processKey]time.Time
		// stopped maps each process that asked to be removed to the time after which prune may
		// drop it.
		stopped map[processKey]time.Time
		// settledView is the newest view that was found to be settled. A settled view stays
		// settled.
		settledView uint64
	}

	// processKey identifies one process of an entry.
	processKey struct {
		id          string
		incarnation uint64
	}

	// holder is what a tenure records about a process that was granted a lease.
	holder struct {
		// expiry is the time after which the lease has certainly expired.
		expiry time.Time
		// version is the newest version of the tables that the holder has acknowledged.
		version uint64
		// oldestView is the oldest view that the holder may act on.
		oldestView uint64
		// level is the feature level of the holder's build.
		level int
	}

	// admission states what must happen before a process gets a lease.
	admission int
)

func newTenure(term uint64, leaderSince time.Time) *tenure {
	return &tenure{
		term: term, leaderSince: leaderSince,
		holders: map[processKey]*holder{}, removing: map[processKey]bool{}, joining: map[processKey]time.Time{}, stopped: map[processKey]time.Time{},
	}
}

func processKeyOf(member *membership.Member) processKey {
	return processKey{id: member.ID, incarnation: member.Incarnation}
}

// earlierLeasesExpired reports whether all leases that earlier leaders granted have expired, so
// that holders is a complete list of lease holders.
func (tenure *tenure) earlierLeasesExpired(now time.Time) bool {
	return !now.Before(tenure.leaderSince.Add(safeLeaseDuration))
}

func (holder *holder) live(now time.Time) bool {
	return now.Before(holder.expiry)
}

// admit decides what must happen before a member gets a lease under a view. It records a process
// that must join in joining.
func (tenure *tenure) admit(now time.Time, member *membership.Member, view *membership.View) admission {
	key := processKeyOf(member)
	if _, hasStopped := tenure.stopped[key]; hasStopped {
		return superseded
	}
	present, known := view.Member(member.ID)
	switch {
	case tenure.removing[key] || known && tenure.removing[processKeyOf(&present)]:
		return mustWait
	case known && present == *member:
		return admitted
	case known && present.Incarnation > member.Incarnation && tenure.mayHoldLease(now, processKeyOf(&present)):
		return superseded
	}
	tenure.joining[key] = now.Add(safeLeaseDuration)
	return mustJoin
}

// mayHoldLease reports whether a process may hold a lease, including one that an earlier leader
// granted.
func (tenure *tenure) mayHoldLease(now time.Time, key processKey) bool {
	holder, known := tenure.holders[key]
	return known && holder.live(now) || !known && !tenure.earlierLeasesExpired(now)
}

// grant records a lease. It must be called before the reply is sent. The view is the one that
// the holder already has or receives with the reply.
func (tenure *tenure) grant(now time.Time, renewal *Renewal, view *membership.View, newestVersion uint64) {
	key := processKeyOf(&renewal.Member)
	leaseHolder, known := tenure.holders[key]
	if !known {
		leaseHolder = &holder{}
		if renewal.KnownView == 0 {
			// A process without a view doesn't act on any view before it gets the reply.
			leaseHolder.oldestView, leaseHolder.version = view.Number, newestVersion
		}
		tenure.holders[key] = leaseHolder
	}
	leaseHolder.expiry, leaseHolder.level = now.Add(safeLeaseDuration), renewal.Level
	leaseHolder.version = max(leaseHolder.version, renewal.TablesVersion)
	leaseHolder.oldestView = max(leaseHolder.oldestView, renewal.ReleasedView)
}

// leave records that a process has stopped and no longer uses its lease.
func (tenure *tenure) leave(now time.Time, key processKey) {
	delete(tenure.holders, key)
	delete(tenure.joining, key)
	tenure.stopped[key] = now.Add(safeLeaseDuration)
}

// removable returns the members that have left or whose leases have certainly expired, and
// marks them as being removed. Entries take over the targets of a removed member at once, so no
// process of that ID may hold a lease.
func (tenure *tenure) removable(now time.Time, view *membership.View) []membership.Member {
	if !tenure.earlierLeasesExpired(now) {
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
			tenure.removing[processKeyOf(&member)] = true
			removable = append(removable, member)
		}
	}
	return removable
}

// settled returns and stores the newest view number such that every process that may act on an
// earlier view has acknowledged it, or 0 if none is known.
func (tenure *tenure) settled(now time.Time, view *membership.View) uint64 {
	if !tenure.earlierLeasesExpired(now) || tenure.settledView == view.Number {
		return tenure.settledView
	}
	settled := view.Number
	for _, holder := range tenure.holders {
		if holder.live(now) {
			settled = min(settled, holder.oldestView)
		}
	}
	tenure.settledView = max(tenure.settledView, settled)
	return tenure.settledView
}

// inForce returns the newest version of the tables such that no process acts on an earlier one,
// or 0 if none is known.
func (tenure *tenure) inForce(now time.Time, newestVersion uint64) uint64 {
	if !tenure.earlierLeasesExpired(now) {
		return 0
	}
	version := newestVersion
	for _, holder := range tenure.holders {
		if holder.live(now) {
			version = min(version, holder.version)
		}
	}
	return version
}

// prune drops what no later decision can depend on: expired holders that are no longer in the
// view, completed removals, and the entries of joining and stopped whose time is over.
func (tenure *tenure) prune(now time.Time, view *membership.View) {
	present := map[processKey]bool{}
	for index := range view.Members {
		present[processKeyOf(&view.Members[index])] = true
	}
	for key, holder := range tenure.holders {
		if !present[key] && !holder.live(now) {
			delete(tenure.holders, key)
		}
	}
	for key := range tenure.removing {
		if !present[key] {
			delete(tenure.removing, key)
		}
	}
	for key, until := range tenure.joining {
		if _, granted := tenure.holders[key]; granted || !now.Before(until) {
			delete(tenure.joining, key)
		}
	}
	for key, until := range tenure.stopped {
		if !present[key] && !now.Before(until) {
			delete(tenure.stopped, key)
		}
	}
}
