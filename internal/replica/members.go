// Membership: bootstrap, verification of disks after a restart, and changes of one replica at a
// time, in which a replica becomes a voter only once it has the whole log.

package replica

import (
	"slices"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// helloInterval is the time between two hellos of a replica without a group.
	helloInterval = 200 * time.Millisecond
	// verifyInterval is the time between two reports by which a replica verifies its disk: about two
	// round trips between regions. The replica serves nothing until the disk is verified.
	verifyInterval = 50 * time.Millisecond
	// generationInterval is the time after which a running replica advances its generation.
	generationInterval = 10 * time.Second
	// helloTTL is how long a hello stays valid.
	helloTTL = 2 * time.Second
	// verifyTimeout is how long a restarted replica waits for the replies of all voters: processes
	// that are started together are all up within that time. After it a quorum suffices.
	verifyTimeout = 300 * time.Millisecond
	// electionStagger separates the elections of two replicas after all have restarted: a vote's
	// round trip between regions, its sync and a margin, so that two rarely stand for election at
	// the same time.
	electionStagger = 60 * time.Millisecond
)

func (core *core) isMember(id string) bool {
	_, found := core.member(id)
	return found
}

// lastMembershipIndex returns the index of the entry with the newest list of members.
func (core *core) lastMembershipIndex() uint64 {
	return core.memberships[len(core.memberships)-1].index
}

// discoverGroup sends hello to all known addresses, and bootstraps the group if this replica has
// the lowest address and none of the listed replicas belongs to a group.
func (core *core) discoverGroup(now time.Time) {
	if now.Before(core.nextHello) {
		return
	}
	core.nextHello = now.Add(helloInterval)
	for _, address := range core.peers {
		if address != core.address {
			core.send("", address, hello{Peers: core.peers})
		}
	}
	core.bootstrap(now)
}

// bootstrap creates the group once every listed replica has sent hello with the same list. A
// replica that belongs to a group sends none, so a replica that lost its disk can't create a second
// group.
func (core *core) bootstrap(now time.Time) {
	if core.joinOnly || len(core.peers) == 0 || core.peers[0] != core.address {
		return
	}
	members := []member{{ID: core.id, Address: core.address, Voter: true}}
	for _, address := range core.peers[1:] {
		newcomer, known := core.newcomers[address]
		if !known || now.Sub(newcomer.helloAt) >= helloTTL || !slices.Equal(newcomer.peers, core.peers) {
			return
		}
		members = append(members, member{ID: newcomer.id, Address: address, Voter: true})
	}
	core.adoptBootstrapEntry(now, entry{Index: 1, Term: 1, Kind: entryMembers, Data: encodeMembers(members)})
}

// adoptBootstrapEntry appends the bootstrap entry. It is committed from the start, because it is
// the same on all replicas that it lists.
func (core *core) adoptBootstrapEntry(now time.Time, first entry) {
	core.Term = max(core.Term, first.Term)
	core.recordHardState()
	core.appendEntries(first)
	core.commit = first.Index
	core.resetElectionTimer(now)
}

func (core *core) receiveHello(now time.Time, envelope *envelope, received *hello) {
	if !core.hasGroup() || core.role == roleLeader {
		slices.Sort(received.Peers)
		core.newcomers[envelope.fromAddress] = newcomer{id: envelope.from, peers: received.Peers, helloAt: now}
	}
	// The leader may be missing from the newcomer's list.
	core.passToLeader(envelope)
	if !core.hasGroup() || core.log.offset != 0 {
		return
	}
	first := core.log.entries[0]
	members, err := decodeMembers(first.Data)
	if err != nil {
		return
	}
	if slices.ContainsFunc(members, func(member member) bool { return member.ID == envelope.from }) {
		core.sendAfterSync(envelope.from, envelope.fromAddress, bootstrapEntry{Entry: first})
	}
}

// passToLeader forwards a message of a replica that isn't a member to the leader if this replica follows one.
func (core *core) passToLeader(received *envelope) {
	if core.followsLeader() && received.fromAddress != core.leaderPeerAddress {
		forwarded := *received
		forwarded.to, forwarded.toAddress = core.leaderID, core.leaderPeerAddress
		core.out.immediate = append(core.out.immediate, forwarded)
	}
}

func (core *core) receiveBootstrapEntry(now time.Time, received *bootstrapEntry) {
	if !core.hasGroup() {
		core.adoptBootstrapEntry(now, received.Entry)
	}
}

// verifyDisk asks the other replicas whether they have a later generation of this replica's disk
// registered, and marks the disk as verified once enough of them have replied. It waits until
// verifyTimeout for all of them but those that were replaced; then a quorum suffices, because the
// others may have failed.
func (core *core) verifyDisk(now time.Time) {
	core.verifiedBy[core.id] = true
	verified := func(id string) bool { return core.verifiedBy[id] }
	repliedOrReplaced := func(id string) bool { return core.verifiedBy[id] || core.replaced[id] }
	if core.hasQuorum(verified) && (core.allVoters(repliedOrReplaced) || !now.Before(core.startedAt.Add(verifyTimeout))) {
		core.diskVerified = true
		core.staggerElection(now)
		core.receiveDeferredVotes(now)
		return
	}
	if now.Before(core.nextHello) {
		return
	}
	core.nextHello = now.Add(verifyInterval)
	core.sendGeneration()
}

// renewGeneration advances the generation, so that a copy of the disk made before is recognised as
// outdated.
func (core *core) renewGeneration(now time.Time) {
	core.nextGeneration = now.Add(generationInterval)
	core.advanceGeneration()
	core.sendGeneration()
}

func (core *core) advanceGeneration() {
	core.Generation = diskGeneration{Number: core.Generation.Number + 1, Nonce: core.random.Uint64()}
	core.recordHardState()
}

func (core *core) sendGeneration() {
	for _, member := range core.members() {
		if member.ID != core.id {
			core.sendAfterSync(member.ID, member.Address, generationReport{Generation: core.Generation, Level: core.level})
		}
	}
}

func (core *core) receiveGenerationReport(envelope *envelope, report *generationReport) {
	known := core.PeerGenerations[envelope.from]
	reply := generationReply{Generation: report.Generation, Leaderless: core.hasGroup() && core.role != roleLeader && core.leaderID == "", Outdated: known.Number > report.Generation.Number || known.Number == report.Generation.Number && known != report.Generation}
	if known.Number < report.Generation.Number {
		if core.PeerGenerations == nil {
			core.PeerGenerations = map[string]diskGeneration{}
		}
		core.PeerGenerations[envelope.from] = report.Generation
		core.registerLevel(envelope.from, report.Level)
		core.recordHardState()
	}
	core.sendAfterSync(envelope.from, envelope.fromAddress, reply)
	if core.hasGroup() && !core.isMember(envelope.from) {
		core.passToLeader(envelope)
		core.requestRejoin(envelope.from, envelope.fromAddress)
	}
	if core.hasGroup() && !core.diskVerified && core.isMember(envelope.from) && !core.verifiedBy[envelope.from] {
		// An earlier report was lost if the sender wasn't up yet.
		core.sendAfterSync(envelope.from, envelope.fromAddress, generationReport{Generation: core.Generation, Level: core.level})
	}
}

// reportAddresseeGone replies to a report for a replica that doesn't run at this address any more, for
// example because its disk was lost. The sender then doesn't wait for that replica.
func (core *core) reportAddresseeGone(envelope *envelope) {
	if report, isReport := envelope.message.(generationReport); isReport {
		core.send(envelope.from, envelope.fromAddress, generationReply{Generation: report.Generation, AddresseeGone: true})
	}
}

func (core *core) receiveGenerationReply(now time.Time, envelope *envelope, reply *generationReply) {
	if reply.Generation != core.Generation {
		return
	}
	if reply.AddresseeGone {
		core.recordReplaced(envelope.fromAddress)
		return
	}
	if reply.Outdated {
		core.out.reset = true
		return
	}
	core.verifiedBy[envelope.from] = true
	if reply.Leaderless {
		core.leaderless[envelope.from] = true
		core.endVoteHoldOff(now)
	}
}

// recordReplaced records that the members at an address no longer run there.
func (core *core) recordReplaced(address string) {
	for _, member := range core.members() {
		if member.Address == address && member.ID != core.id {
			core.replaced[member.ID] = true
		}
	}
}

// endVoteHoldOff ends the vote hold-off after a restart early, once a quorum has reported that it
// follows no leader: the hold-off protects a leader that a quorum hears, and there is none. A group
// whose replicas have all restarted thus doesn't wait for a leader that is gone.
func (core *core) endVoteHoldOff(now time.Time) {
	leaderless := func(id string) bool { return id == core.id || core.leaderless[id] }
	if core.leaderID != "" || core.role != roleFollower || !core.hasQuorum(leaderless) || core.holdOffEnded || now.After(core.noVoteBefore) {
		return
	}
	core.noVoteBefore, core.holdOffEnded = now, true
	core.staggerElection(now)
}

// staggerElection schedules this replica's election by its rank among the voters, if the vote
// hold-off was ended early and the disk is verified. Replicas that wait for the same failed replica
// have their disks verified at the same time, and would otherwise stand for election together.
func (core *core) staggerElection(now time.Time) {
	if core.holdOffEnded && core.diskVerified && core.role == roleFollower && core.leaderID == "" {
		present := slices.DeleteFunc(core.voters(), func(id string) bool { return core.replaced[id] })
		core.electionDeadline = now.Add(time.Duration(slices.Index(present, core.id)) * electionStagger)
	}
}

// canChange reports whether a change of members may be appended: this replica accepts commands, and
// the last change and an entry of this term are committed.
func (core *core) canChange() bool {
	return core.canPropose() && core.commit >= core.termStart && core.lastMembershipIndex() <= core.commit
}

// membersWithout returns a copy of the members that leaves out an ID.
func (core *core) membersWithout(id string) []member {
	var members []member
	for _, member := range core.members() {
		if member.ID != id {
			members = append(members, member)
		}
	}
	return members
}

// add adds a replica as a learner. It returns nil if the replica is a member already.
func (core *core) add(now time.Time, name, address string) error {
	for _, member := range core.members() {
		if member.Address == address && nameOf(member.ID) == name {
			return nil
		}
	}
	newcomer, known := core.newcomers[address]
	if !known || now.Sub(newcomer.helloAt) >= helloTTL || nameOf(newcomer.id) != name {
		return fault.New(fault.NotFound, "no new replica named "+name+" has said hello from "+address,
			"start it there with an empty data folder and with the group's addresses in control_replicas, then try again")
	}
	if !core.canChange() {
		return changeUnderWay()
	}
	core.changeMember(now, changeAdd, reasonOperator, member{ID: newcomer.id, Address: address})
	return nil
}

// remove removes a replica by its ID or its process name. It returns nil if there is no such
// member.
func (core *core) remove(now time.Time, id string) error {
	for _, member := range core.members() {
		if member.ID != id && nameOf(member.ID) != id {
			continue
		}
		if !core.canChange() {
			return changeUnderWay()
		}
		if !core.hasQuorumWithout(now, member.ID) {
			return fault.New(fault.Conflict, "without "+member.ID+" no quorum of the other replicas is up", "bring the others back first")
		}
		core.changeMember(now, changeRemove, reasonOperator, member)
		return nil
	}
	return nil
}

func changeUnderWay() error {
	return fault.New(fault.Unavailable, "another change of replicas is under way", "try again in a second")
}

// isUp reports whether a replica has answered a recent message of this leader, or is this replica.
func (core *core) isUp(now time.Time, id string) bool {
	progress := core.progress[id]
	return id == core.id || progress != nil && now.Sub(core.lastContact(progress)) < minimumElectionTimeout
}

// hasQuorumWithout reports whether a quorum of the voters other than the excluded one is up.
func (core *core) hasQuorumWithout(now time.Time, excluded string) bool {
	voters, up := 0, 0
	for _, id := range core.voters() {
		if id == excluded {
			continue
		}
		voters++
		if core.isUp(now, id) {
			up++
		}
	}
	return voters > 0 && up > voters/2
}

// reconcileMembers makes the next change of members that is due. A learner that has caught up
// becomes a voter. A replica that sends hello from the address of an unreachable member replaces it,
// because that member's disk is lost; the old member is removed when the new one has caught up. A
// self-managed group also removes unreachable members, before it promotes further learners, and adds
// newcomers.
func (core *core) reconcileMembers(now time.Time) {
	if !core.canChange() {
		return
	}
	if core.selfManaged {
		if old, reason := core.removalCandidate(now); reason != "" {
			core.changeMember(now, changeRemove, reason, old)
			return
		}
	}
	if core.promoteLearner(now) || core.addReplacement(now) {
		return
	}
	if core.selfManaged {
		core.addNewcomer(now)
	}
}

// promoteLearner promotes the first learner that has caught up, or removes the unreachable member that stands in its way. It
// reports whether it changed the members or waits to.
func (core *core) promoteLearner(now time.Time) bool {
	for _, learner := range core.members() {
		progress := core.progress[learner.ID]
		if learner.Voter || progress == nil || progress.match < core.commit || !core.isUp(now, learner.ID) {
			continue
		}
		if old, found := core.unreachableAt(now, learner.Address, learner.ID); found {
			if core.hasQuorumWithout(now, old.ID) {
				core.changeMember(now, changeRemove, reasonReplaced, old)
			}
			return true
		}
		if core.promote(now, learner) {
			return true
		}
	}
	return false
}

// addReplacement adds the first newcomer at the address of an unreachable member. It reports whether
// there was one.
func (core *core) addReplacement(now time.Time) bool {
	for _, old := range core.members() {
		newcomer, known := core.newcomers[old.Address]
		if !known || now.Sub(newcomer.helloAt) >= helloTTL || core.isMember(newcomer.id) || core.isUp(now, old.ID) {
			continue
		}
		core.changeMember(now, changeAdd, reasonSameAddress, member{ID: newcomer.id, Address: old.Address})
		return true
	}
	return false
}

// unreachableAt returns the unreachable member at an address, ignoring the excluded ID, and whether
// there is one.
func (core *core) unreachableAt(now time.Time, address, excluded string) (member, bool) {
	for _, member := range core.members() {
		if member.Address == address && member.ID != excluded && !core.isUp(now, member.ID) {
			return member, true
		}
	}
	return member{}, false
}
