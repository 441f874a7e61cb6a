// This file exists so that the group changes one replica at a time and counts
// a replica only once it holds everything.

package replica

import (
	"slices"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	helloInterval = 200 * time.Millisecond
	// proofInterval is the span between two questions whether this disk is the
	// newest: about two round trips between regions. A replica serves nothing
	// before.
	proofInterval = 50 * time.Millisecond
	// markInterval is the span between two marks of a running replica.
	markInterval = 10 * time.Second
	// newcomerSpan is how long a hello is remembered.
	newcomerSpan = 2 * time.Second
	// proofSpan is how long after a restart the answers of all voters are waited
	// for: processes that start together do so within that time. Then a quorum
	// must do.
	proofSpan = 300 * time.Millisecond
	// rankInterval is the span between two replicas that stand for election after
	// a restart of all: a vote's round trip between regions, its sync and some
	// room, so that seldom two stand at once.
	rankInterval = 60 * time.Millisecond
)

func (core *core) isMember(id string) bool {
	_, found := core.member(id)
	return found
}

func (core *core) lastMembership() uint64 {
	return core.memberships[len(core.memberships)-1].index
}

// seekGroup says hello to all known addresses, and founds the group where
// this replica has the lowest address and nobody belongs to a group.
func (core *core) seekGroup(now time.Time) {
	if now.Before(core.helloDue) {
		return
	}
	core.helloDue = now.Add(helloInterval)
	for _, address := range core.peers {
		if address != core.address {
			core.send("", address, hello{Peers: core.peers})
		}
	}
	core.found(now)
}

// found founds the group once every listed replica has said hello with the
// same list. A replica that belongs to a group says none, so a replica that
// lost its disk can't found a second one.
func (core *core) found(now time.Time) {
	if core.joinOnly || len(core.peers) == 0 || core.peers[0] != core.address {
		return
	}
	members := []member{{ID: core.id, Address: core.address, Voter: true}}
	for _, address := range core.peers[1:] {
		newcomer, known := core.newcomers[address]
		if !known || now.Sub(newcomer.heard) >= newcomerSpan || !slices.Equal(newcomer.peers, core.peers) {
			return
		}
		members = append(members, member{ID: newcomer.id, Address: address, Voter: true})
	}
	core.join(now, entry{Index: 1, Term: 1, Kind: entryMembers, Data: encodeMembers(members)})
}

// join takes the founding entry. It is committed from the start, because it
// is the same at all that it names.
func (core *core) join(now time.Time, founding entry) {
	core.Term = max(core.Term, founding.Term)
	core.recordHard()
	core.appendEntries(founding)
	core.commit = founding.Index
	core.promise(now)
}

func (core *core) receiveHello(now time.Time, parcel *parcel, greeting *hello) {
	if !core.formed() || core.role == roleLeader {
		slices.Sort(greeting.Peers)
		core.newcomers[parcel.fromAddress] = newcomer{id: parcel.from, peers: greeting.Peers, heard: now}
	}
	if core.followsAnother() && parcel.fromAddress != core.leaderPlace {
		// The newcomer may not have the leader in its list.
		forwarded := *parcel
		forwarded.toAddress = core.leaderPlace
		core.out.early = append(core.out.early, forwarded)
	}
	if !core.formed() || core.log.offset != 0 {
		return
	}
	founding := core.log.entries[0]
	members, err := decodeMembers(founding.Data)
	if err != nil {
		return
	}
	if slices.ContainsFunc(members, func(member member) bool { return member.ID == parcel.from }) {
		core.sendDurable(parcel.from, parcel.fromAddress, adopt{Entry: founding})
	}
}

func (core *core) receiveAdopt(now time.Time, adopted *adopt) {
	if !core.formed() {
		core.join(now, adopted.Entry)
	}
}

// seekProof asks the others whether they know of a later mark of this replica
// than the present one. It waits for all of them for a while; then a quorum must
// do, for the others may be lost.
func (core *core) seekProof(now time.Time) {
	core.provedBy[core.id] = true
	answered := func(id string) bool { return core.provedBy[id] }
	if core.hasQuorum(answered) && (core.allVoters(answered) || !now.Before(core.started.Add(proofSpan))) {
		core.proved = true
		core.standInTurn(now)
		return
	}
	if now.Before(core.helloDue) {
		return
	}
	core.helloDue = now.Add(proofInterval)
	core.sendMark()
}

// renewMark raises the mark, so that a copy of the disk made by now is known
// to be outdated.
func (core *core) renewMark(now time.Time) {
	core.markDue = now.Add(markInterval)
	core.raiseMark()
	core.sendMark()
}

func (core *core) raiseMark() {
	core.Mark = mark{Number: core.Mark.Number + 1, Nonce: core.random.Uint64()}
	core.recordHard()
}

func (core *core) sendMark() {
	for _, member := range core.members() {
		if member.ID != core.id {
			core.sendDurable(member.ID, member.Address, register{Mark: core.Mark})
		}
	}
}

func (core *core) receiveRegister(request *parcel, asked *register) {
	known := core.Marks[request.from]
	reply := registered{Mark: asked.Mark, Leaderless: core.formed() && core.role != roleLeader && core.leader == "", Outdated: known.Number > asked.Mark.Number || known.Number == asked.Mark.Number && known != asked.Mark}
	if known.Number < asked.Mark.Number {
		if core.Marks == nil {
			core.Marks = map[string]mark{}
		}
		core.Marks[request.from] = asked.Mark
		core.recordHard()
	}
	core.sendDurable(request.from, request.fromAddress, reply)
}

func (core *core) receiveRegistered(now time.Time, reply *parcel, answer *registered) {
	if answer.Mark != core.Mark {
		return
	}
	if answer.Outdated {
		core.out.reset = true
		return
	}
	core.provedBy[reply.from] = true
	if answer.Leaderless {
		core.leaderless[reply.from] = true
		core.releasePromise(now)
	}
}

// releasePromise ends the promise that a restart begins with, once a quorum has
// said since that it follows nobody: the promise protects a leader that a quorum
// hears, and there is none. So a group whose replicas all restarted doesn't wait
// for a leader that is gone.
func (core *core) releasePromise(now time.Time) {
	leaderless := func(id string) bool { return id == core.id || core.leaderless[id] }
	if core.leader != "" || core.role != roleFollower || !core.hasQuorum(leaderless) || core.released || now.After(core.promiseUntil) {
		return
	}
	core.promiseUntil, core.released = now, true
	core.standInTurn(now)
}

// standInTurn lets the replicas stand one after the other where all know that
// there is no leader. Replicas that wait for the same lost one are proved at the
// same time.
func (core *core) standInTurn(now time.Time) {
	if core.released && core.proved && core.role == roleFollower && core.leader == "" {
		core.electionDue = now.Add(time.Duration(slices.Index(core.voters(), core.id)) * rankInterval)
	}
}

// canChange reports whether a change of members may be added: the last one
// and an entry of this term are committed.
func (core *core) canChange() bool {
	return core.canPropose() && core.commit >= core.termStart && core.lastMembership() <= core.commit
}

func (core *core) setMembers(now time.Time, members []member) {
	slices.SortFunc(members, func(left, right member) int {
		if left.ID < right.ID {
			return -1
		}
		return 1
	})
	core.appendOwn(entry{Kind: entryMembers, Data: encodeMembers(members)})
	core.replicateAll(now)
}

func (core *core) without(id string) []member {
	var members []member
	for _, member := range core.members() {
		if member.ID != id {
			members = append(members, member)
		}
	}
	return members
}

// add adds a replica as a learner. It returns nil also where it is one.
func (core *core) add(now time.Time, name, address string) error {
	for _, member := range core.members() {
		if member.Address == address && nameOf(member.ID) == name {
			return nil
		}
	}
	newcomer, known := core.newcomers[address]
	if !known || now.Sub(newcomer.heard) >= newcomerSpan || nameOf(newcomer.id) != name {
		return fault.New(fault.NotFound, "no new replica named "+name+" has said hello from "+address,
			"start it there with an empty data folder and with the group's addresses in control_replicas, then try again")
	}
	if !core.canChange() {
		return changeUnderWay()
	}
	core.setMembers(now, append(core.without(""), member{ID: newcomer.id, Address: address}))
	return nil
}

// remove removes a replica by its ID or its process's name. It returns nil
// also where it is none.
func (core *core) remove(now time.Time, id string) error {
	for _, member := range core.members() {
		if member.ID != id && nameOf(member.ID) != id {
			continue
		}
		if !core.canChange() {
			return changeUnderWay()
		}
		if !core.survivesWithout(now, member.ID) {
			return fault.New(fault.Conflict, "without "+member.ID+" no quorum of the other replicas is up", "bring the others back first")
		}
		core.setMembers(now, core.without(member.ID))
		return nil
	}
	return nil
}

func changeUnderWay() error {
	return fault.New(fault.Unavailable, "another change of replicas is under way", "try again in a second")
}

func (core *core) isUp(now time.Time, id string) bool {
	progress := core.progress[id]
	return id == core.id || progress != nil && now.Sub(core.heard(progress)) < promiseSpan
}

// survivesWithout reports whether a quorum of the voters besides one is up.
func (core *core) survivesWithout(now time.Time, without string) bool {
	voters, up := 0, 0
	for _, id := range core.voters() {
		if id == without {
			continue
		}
		voters++
		if core.isUp(now, id) {
			up++
		}
	}
	return voters > 0 && up > voters/2
}

// arrangeMembers takes the next step of a replacement: a replica that says
// hello at the address of one that is silent replaces it, because the disk of
// that one is gone. The old one is removed when the new one holds everything.
func (core *core) arrangeMembers(now time.Time) {
	if !core.canChange() {
		return
	}
	for _, member := range core.members() {
		if member.Voter {
			continue
		}
		if progress := core.progress[member.ID]; progress == nil || progress.match < core.commit || !core.isUp(now, member.ID) {
			continue
		}
		if old, found := core.silentAt(now, member.Address, member.ID); found {
			if core.survivesWithout(now, old.ID) {
				core.setMembers(now, core.without(old.ID))
			}
			return
		}
		core.promote(now, member.ID)
		return
	}
	if core.welcome(now) || !core.selfManaged {
		return
	}
	if old, found := core.replaceable(now); found {
		core.setMembers(now, core.without(old.ID))
		return
	}
	core.takeIn(now)
}

// welcome adds the first newcomer that replaces a silent member.
func (core *core) welcome(now time.Time) bool {
	for _, old := range core.members() {
		newcomer, known := core.newcomers[old.Address]
		if !known || now.Sub(newcomer.heard) >= newcomerSpan || core.isMember(newcomer.id) || core.isUp(now, old.ID) {
			continue
		}
		core.setMembers(now, append(core.without(""), member{ID: newcomer.id, Address: old.Address}))
		return true
	}
	return false
}

// silentAt returns the voter at an address besides one ID.
func (core *core) silentAt(now time.Time, address, besides string) (member, bool) {
	for _, member := range core.members() {
		if member.Address == address && member.ID != besides && !core.isUp(now, member.ID) {
			return member, true
		}
	}
	return member{}, false
}

func (core *core) promote(now time.Time, id string) {
	members := core.without(id)
	promoted, _ := core.member(id)
	promoted.Voter = true
	core.setMembers(now, append(members, promoted))
}
