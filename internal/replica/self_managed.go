// A self-managed group keeps its size without an operator: it takes in replicas
// that say hello, and lets go of members that were replaced.

package replica

import (
	"time"
)

const (
	// evenGroupRemovalDelay is how long a voter of a group with an even number is silent
	// before it is removed: an even group bears no more losses than the odd one
	// below it. It is longer than a restart and shorter than the time within
	// which a replacement must count.
	evenGroupRemovalDelay = 3 * time.Second
	// oddGroupRemovalDelay is how long one of several silent voters is silent before it is
	// removed, although the group is odd. It is longer than a partition that a
	// group is expected to wait out.
	oddGroupRemovalDelay = 15 * time.Second
	// minimumSelfManagedVoters is the number of voters under which none is removed.
	minimumSelfManagedVoters = 3
	// maximumMembers bounds the group, so that a hello in error can't grow it.
	maximumMembers = 19
)

// removalCandidate returns a silent learner, or the voter that has been silent for
// longest where the group is better off without it.
func (core *core) removalCandidate(now time.Time) (member, bool) {
	var longest member
	var silence time.Duration
	voters, silent := 0, 0
	for _, candidate := range core.members() {
		if !candidate.Voter {
			if now.Sub(core.lastReachable(candidate.ID)) >= evenGroupRemovalDelay {
				return candidate, true
			}
			continue
		}
		voters++
		if core.isUp(now, candidate.ID) {
			continue
		}
		silent++
		if span := now.Sub(core.lastReachable(candidate.ID)); span > silence {
			longest, silence = candidate, span
		}
	}
	even := voters%2 == 0 && silence >= evenGroupRemovalDelay
	several := silent > 1 && voters-silent >= minimumSelfManagedVoters && silence >= oddGroupRemovalDelay
	if longest.ID == "" || voters-1 < minimumSelfManagedVoters || !even && !several {
		return member{}, false
	}
	return longest, core.hasQuorumWithout(now, longest.ID)
}

// lastReachable returns when a member was last known to be up, at the earliest when
// this replica began to lead.
func (core *core) lastReachable(id string) time.Time {
	progress := core.progress[id]
	if progress == nil || core.lastContact(progress).Before(core.leadingSince) {
		return core.leadingSince
	}
	return core.lastContact(progress)
}

// addNewcomer adds the first newcomer at an address that no member has, one at a
// time, so that each is counted before the next is added.
func (core *core) addNewcomer(now time.Time) {
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
		fresh := now.Sub(newcomer.helloAt) < helloTTL
		if fresh && !addresses[address] && (!found || address < chosen) {
			chosen, found = address, true
		}
	}
	if found {
		core.setMembers(now, append(core.membersWithout(""), member{ID: core.newcomers[chosen].id, Address: chosen}))
	}
}

// requestRejoin tells a replica that asks for votes, but was removed from the group,
// to join anew. Only the leader of a committed group knows that for certain.
func (core *core) requestRejoin(id, address string) bool {
	if !core.selfManaged || core.role != roleLeader || core.isMember(id) || !core.canChange() {
		return false
	}
	core.send(id, address, rejoinRequest{Term: core.Term})
	return true
}
