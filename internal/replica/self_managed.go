// Self-managed groups keep their size without an operator: they add replicas that send hello, and
// remove members that were replaced.

package replica

import (
	"time"
)

const (
	// evenGroupRemovalDelay is how long a voter must be unreachable before it is removed from a
	// group with an even number of voters: such a group tolerates no more failures than one with
	// one voter fewer. It is longer than a restart and shorter than the time within which a
	// replacement must become a voter. Unreachable learners are removed after the same time.
	evenGroupRemovalDelay = 3 * time.Second
	// oddGroupRemovalDelay is how long one of several unreachable voters must be unreachable before
	// it is removed from a group with an odd number of voters. It is longer than a partition that a
	// group is expected to wait out.
	oddGroupRemovalDelay = 15 * time.Second
	// minimumSelfManagedVoters is the number of voters that must remain after a removal.
	minimumSelfManagedVoters = 3
	// maximumMembers bounds the group, so that hello messages sent in error can't grow it further.
	maximumMembers = 19
)

// removalCandidate returns the member to remove and the reason, which is empty if there is none. The
// member is an unreachable learner, or the voter that has been unreachable for longest if the group is
// better off without it.
func (core *core) removalCandidate(now time.Time) (member, changeReason) {
	var longestUnreachable member
	var longestSpan time.Duration
	voters, unreachable := 0, 0
	for _, candidate := range core.members() {
		if !candidate.Voter {
			if now.Sub(core.lastReachable(candidate.ID)) >= evenGroupRemovalDelay {
				return candidate, reasonUnreachableLearner
			}
			continue
		}
		voters++
		if core.isUp(now, candidate.ID) {
			continue
		}
		unreachable++
		if span := now.Sub(core.lastReachable(candidate.ID)); span > longestSpan {
			longestUnreachable, longestSpan = candidate, span
		}
	}
	even := voters%2 == 0 && longestSpan >= evenGroupRemovalDelay
	several := unreachable > 1 && voters-unreachable >= minimumSelfManagedVoters && longestSpan >= oddGroupRemovalDelay
	if longestUnreachable.ID == "" || voters-1 < minimumSelfManagedVoters || !core.hasQuorumWithout(now, longestUnreachable.ID) {
		return member{}, ""
	}
	switch {
	case even:
		return longestUnreachable, reasonEvenGroup
	case several:
		return longestUnreachable, reasonSeveralUnreachable
	default:
		return member{}, ""
	}
}

// lastReachable returns when a member was last known to be up. A member that has not answered yet counts as up at the start of
// its membership or of this leader's reign.
func (core *core) lastReachable(id string) time.Time {
	progress := core.progress[id]
	if progress == nil {
		return core.leadingSince
	}
	if contact := core.lastContact(progress); contact.After(progress.since) {
		return contact
	}
	return progress.since
}

// addNewcomer adds the first newcomer at an address that no member has. It adds one at a time, so
// that each becomes a voter before the next is added.
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
		core.changeMember(now, changeAdd, reasonNewAddress, member{ID: core.newcomers[chosen].id, Address: chosen})
	}
}

// requestRejoin tells a replica that requests votes or reports its generation, though it isn't a member, to join again: a voter
// that was removed, or a learner that was removed or whose addition was lost with an earlier leader. Only a leader whose list of
// members is committed knows for certain.
// requestRejoin reports whether it sent the request.
func (core *core) requestRejoin(id, address string) bool {
	if !core.selfManaged || core.role != roleLeader || core.isMember(id) || !core.canChange() {
		return false
	}
	core.send(id, address, rejoinRequest{Term: core.Term})
	return true
}
