// A self-managed group keeps its size without an operator: it takes in replicas
// that say hello, and lets go of members that were replaced.

package replica

import (
	"time"
)

const (
	// replacedSpan is how long a voter of a group with an even number is silent
	// before it is removed: an even group bears no more losses than the odd one
	// below it. It is longer than a restart and shorter than the time within
	// which a replacement must count.
	replacedSpan = 3 * time.Second
	// lostSpan is how long one of several silent voters is silent before it is
	// removed, although the group is odd. It is longer than a partition that a
	// group is expected to wait out.
	lostSpan = 15 * time.Second
	// leastSelfManaged is the number of voters under which none is removed.
	leastSelfManaged = 3
	// maximumMembers bounds the group, so that a hello in error can't grow it.
	maximumMembers = 19
)

// replaceable returns a silent learner, or the voter that has been silent for
// longest where the group is better off without it.
func (core *core) replaceable(now time.Time) (member, bool) {
	var longest member
	var silence time.Duration
	voters, silent := 0, 0
	for _, candidate := range core.members() {
		if !candidate.Voter {
			if now.Sub(core.lastHeard(candidate.ID)) >= replacedSpan {
				return candidate, true
			}
			continue
		}
		voters++
		if core.isUp(now, candidate.ID) {
			continue
		}
		silent++
		if span := now.Sub(core.lastHeard(candidate.ID)); span > silence {
			longest, silence = candidate, span
		}
	}
	even := voters%2 == 0 && silence >= replacedSpan
	several := silent > 1 && voters-silent >= leastSelfManaged && silence >= lostSpan
	if longest.ID == "" || voters-1 < leastSelfManaged || !even && !several {
		return member{}, false
	}
	return longest, core.survivesWithout(now, longest.ID)
}

// lastHeard returns when a member was last known to be up, at the earliest when
// this replica began to lead.
func (core *core) lastHeard(id string) time.Time {
	progress := core.progress[id]
	if progress == nil || core.heard(progress).Before(core.leadingSince) {
		return core.leadingSince
	}
	return core.heard(progress)
}

// takeIn adds the first newcomer at an address that no member has, one at a
// time, so that each is counted before the next is added.
func (core *core) takeIn(now time.Time) {
	addresses := map[string]bool{}
	for _, member := range core.members() {
		if !member.Voter {
			return
		}
		addresses[member.Address] = true
	}
	if len(addresses) >= maximumMembers {
		return
	}
	chosen, found := "", false
	for address, newcomer := range core.newcomers {
		fresh := now.Sub(newcomer.heard) < newcomerSpan
		if fresh && !addresses[address] && (!found || address < chosen) {
			chosen, found = address, true
		}
	}
	if found {
		core.setMembers(now, append(core.without(""), member{ID: core.newcomers[chosen].id, Address: chosen}))
	}
}

// dismiss tells a replica that asks for votes, but was removed from the group,
// to join anew. Only the leader of a committed group knows that for certain.
func (core *core) dismiss(id, address string) bool {
	if !core.selfManaged || core.role != roleLeader || core.isMember(id) || !core.canChange() {
		return false
	}
	core.send(id, address, outdated{Term: core.Term})
	return true
}
