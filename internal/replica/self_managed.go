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
	for _, candidate := range core.members() {
		if !candidate.Voter && now.Sub(core.lastReachable(candidate.ID)) >= evenGroupRemovalDelay {
			return candidate, reasonUnreachableLearner
		}
	}
	oldest, span := core.longestUnreachableVoter(now)
	voters, up := core.countVoters(now)
	if oldest.ID == "" || voters-1 < minimumSelfManagedVoters || !core.hasQuorumWithout(now, oldest.ID) {
		return member{}, ""
	}
	switch {
	case voters%2 == 0 && span >= evenGroupRemovalDelay:
		return oldest, reasonEvenGroup
	case voters-up > 1 && up >= minimumSelfManagedVoters && span >= oddGroupRemovalDelay:
		return oldest, reasonSeveralUnreachable
	default:
		return member{}, ""
	}
}

// longestUnreachableVoter returns the voter that has been unreachable for longest, and for how long. The
// member is zero if all voters are up.
func (core *core) longestUnreachableVoter(now time.Time) (member, time.Duration) {
	var longest member
	var longestSpan time.Duration
	for _, candidate := range core.members() {
		if !candidate.Voter || core.isUp(now, candidate.ID) {
			continue
		}
		if span := now.Sub(core.lastReachable(candidate.ID)); span > longestSpan {
			longest, longestSpan = candidate, span
		}
	}
	return longest, longestSpan
}

// countVoters returns the number of voters, and how many of them are up.
func (core *core) countVoters(now time.Time) (voters, up int) {
	for _, id := range core.voters() {
		voters++
		if core.isUp(now, id) {
			up++
		}
	}
	return voters, up
}

// promote makes a learner that has caught up a voter. If the voters that are up would then be no quorum without it, the voter
// that has been unreachable for longest is removed first, or awaited until evenGroupRemovalDelay: a newcomer that fails at
// once would else take the quorum with it for good. promote reports whether it changed the members.
func (core *core) promote(now time.Time, learner member) bool {
	voters, up := core.countVoters(now)
	if !core.selfManaged || up == voters || up > (voters+1)/2 {
		core.changeMember(now, changePromote, reasonCaughtUp, learner)
		return true
	}
	oldest, span := core.longestUnreachableVoter(now)
	if span < evenGroupRemovalDelay || !core.hasQuorumWithout(now, oldest.ID) {
		return false
	}
	core.changeMember(now, changeRemove, reasonBeforePromotion, oldest)
	return true
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

// addNewcomer adds the first newcomer at an address that no member has. It doesn't wait until earlier newcomers are voters: one
// that can't catch up would keep out all others.
func (core *core) addNewcomer(now time.Time) {
	addresses := map[string]bool{}
	for _, member := range core.members() {
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
