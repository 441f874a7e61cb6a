package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// lossSpacing is the minimum time between the losses of two disks or machines in a self-managed group: a leader takes a replica
	// for up until it has been silent for minimumElectionTimeout.
	lossSpacing = time.Second
	// deadConnectionSpan is the longest time for which a connection to a process that is gone isn't known to be dead.
	deadConnectionSpan = 2 * time.Second
	// membershipLimit is the time after the last fault within which each live replica must be a voter: an election, and
	// the time that the platform gives a replacement to catch up.
	membershipLimit = electionLimit + 4*time.Second
	// calmSpan is the time after that in which the members must stay the same.
	calmSpan = 10 * time.Second
)

// propose proposes a new command at a node if it accepts commands.
func (simulation *simulation) propose(node *node) {
	if node.core == nil || !node.core.canPropose() {
		return
	}
	simulation.nextNumber++
	command := fmt.Sprint("command-", simulation.nextNumber)
	node.ownProposals[node.core.log.lastIndex()+1] = command
	node.core.step(simulation.clock(node), proposed{commands: [][]byte{[]byte(command)}})
	simulation.flush(node)
}

// performStateChange changes the state of a node's disk, or the members of the group.
func (simulation *simulation) performStateChange(node, other *node, action *action) {
	switch action.kind {
	case 14:
		if node.core != nil && node.core.applied > node.core.snapshot.Index {
			node.core.step(simulation.clock(node), snapshotTaken{index: node.core.applied, data: []byte(strings.Join(node.machine, "\n"))})
			simulation.flush(node)
		}
	case 15:
		simulation.loseDisk(node, action.size%2 == 0)
	case 16:
		if node != other && node.core != nil && simulation.toleratesRemoval(node, other) {
			simulation.changeMembers(node, removeRequested{id: other.disk.id})
		}
	case 17:
		simulation.changeMembers(node, addRequested{name: other.address, address: other.address})
	}
}

// toleratesRemoval reports whether at least two of the remaining voters, and a quorum of them, have
// disks that are not outdated. Otherwise a group of two would in fact be a group of one.
func (simulation *simulation) toleratesRemoval(leader, removed *node) bool {
	voters, alive := 0, 0
	for _, id := range leader.core.voters() {
		if id == removed.disk.id {
			continue
		}
		voters++
		if slices.ContainsFunc(simulation.nodes, func(holder *node) bool { return holder.disk.id == id && !holder.outdated }) {
			alive++
		}
	}
	return alive > max(1, voters/2)
}

// changeMembers asks a leader for a change of members.
func (simulation *simulation) changeMembers(node *node, change input) {
	if node.core != nil && node.core.role == roleLeader {
		node.core.step(simulation.clock(node), change)
		simulation.flush(node)
	}
}

// readdRemoved empties the disks of replicas that were removed, and adds them again.
func (simulation *simulation) readdRemoved() {
	for _, node := range simulation.nodes {
		for _, leader := range simulation.nodes {
			if leader == node || leader.core.role != roleLeader || !leader.core.canChange() || leader.core.isMember(node.disk.id) {
				continue
			}
			simulation.startEmpty(node)
			simulation.run(time.Second)
			simulation.changeMembers(leader, addRequested{name: node.address, address: node.address})
			simulation.run(2 * time.Second)
		}
	}
}

func (simulation *simulation) crash(node *node) {
	simulation.unfreeze(node)
	node.core, node.stagesToCrash, node.crashBeforeWrite, node.pendingReads = nil, 0, false, nil
}

// startEmpty starts a node on an empty disk.
func (simulation *simulation) startEmpty(node *node) {
	simulation.nextNumber++
	node.core = simulation.newCore(node)
	node.core.diskVerified = true
	node.core.advanceGeneration()
	node.core.start(simulation.clock(node))
	node.disk, node.earlierDisks, node.machine, node.ownProposals = clone(node.core.durableState()), nil, nil, map[uint64]string{}
	node.outdated, node.pendingReads = false, nil
}

func (simulation *simulation) newCore(node *node) *core {
	return &core{
		id: fmt.Sprint(node.address, "#", simulation.nextNumber), address: node.address, peers: slices.Clone(simulation.peers), sizes: simulation.sizes, level: BuildLevel,
		random: rand.New(rand.NewPCG(simulation.random.Uint64(), 1)), selfManaged: simulation.selfManaged, joinOnly: simulation.joinOnly,
	}
}

// restart starts a crashed node from its disk, or as a new replica if the disk holds no group.
func (simulation *simulation) restart(node *node) {
	if node.core != nil {
		return
	}
	if len(node.disk.snapshot.Members)+len(node.disk.entries) == 0 {
		simulation.startEmpty(node)
		return
	}
	node.earlierDisks = append(node.earlierDisks, clone(&node.disk))
	node.core = simulation.newCore(node)
	state := clone(&node.disk)
	node.core.load(&state)
	node.core.start(simulation.clock(node))
	node.machine, node.ownProposals = nil, map[uint64]string{}
	simulation.flush(node)
}

// toleratesLoss reports whether the disks other than the lost one are a quorum of each list of members.
func (simulation *simulation) toleratesLoss(lost string) bool {
	for _, holder := range simulation.nodes {
		for _, members := range holder.memberLists() {
			voters, alive := 0, 0
			for _, member := range members {
				if !member.Voter {
					continue
				}
				voters++
				if member.ID != lost && slices.ContainsFunc(simulation.nodes, func(holder *node) bool { return holder.disk.id == member.ID && !holder.outdated }) {
					alive++
				}
			}
			if alive <= voters/2 {
				return false
			}
		}
	}
	return true
}

// canLose waits until the last loss is lossSpacing ago, and reports whether the group tolerates the loss of a node's disk.
func (simulation *simulation) canLose(victim *node) bool {
	simulation.run(simulation.nextLoss.Sub(simulation.now))
	if !simulation.toleratesLoss(victim.disk.id) {
		return false
	}
	if simulation.selfManaged {
		simulation.nextLoss = simulation.now.Add(lossSpacing)
	}
	return true
}

// losePower crashes a node, which loses its disk and is back after a time. Some of the others go on for up to deadConnectionSpan to
// send on connections to the process before.
func (simulation *simulation) losePower(victim *node, dark time.Duration) {
	if !simulation.canLose(victim) {
		return
	}
	simulation.crash(victim)
	simulation.run(dark)
	simulation.startEmpty(victim)
	for _, other := range simulation.others(victim, 0) {
		if simulation.random.IntN(3) > 0 {
			span := time.Duration(simulation.random.Int64N(int64(deadConnectionSpan)))
			simulation.deadConnections[[2]string{other.address, victim.address}] = simulation.now.Add(span)
		}
	}
}

// replaceMachine removes a node for good and, after a time, starts another one with an empty disk at a new address.
func (simulation *simulation) replaceMachine(victim *node, gap time.Duration) {
	if !simulation.canLose(victim) {
		return
	}
	simulation.crash(victim)
	simulation.nodes = slices.DeleteFunc(simulation.nodes, func(node *node) bool { return node == victim })
	simulation.run(gap)
	simulation.nextNumber++
	added := &node{address: fmt.Sprint("b", simulation.nextNumber), clockRate: 0.99 + 0.02*simulation.random.Float64()}
	simulation.nodes = append(simulation.nodes, added)
	simulation.peers = nil
	for _, node := range simulation.nodes {
		simulation.peers = append(simulation.peers, node.address)
	}
	simulation.startEmpty(added)
}

// loseDisk empties the disk of a node, or resets it to an earlier state, unless the remaining disks
// would be no quorum of some list of members.
func (simulation *simulation) loseDisk(victim *node, restoreEarlier bool) {
	if !simulation.canLose(victim) {
		return
	}
	lost := victim.disk.id
	if !restoreEarlier {
		simulation.startEmpty(victim)
		return
	}
	// The others must have the victim's latest generation registered, so that they detect the reset.
	// If the only one that has it is lost too, two of three replicas have failed.
	for _, other := range simulation.nodes {
		if other != victim && (other.outdated || other.disk.hard.PeerGenerations[lost].Number < victim.disk.hard.Generation.Number) {
			return
		}
	}
	if len(victim.earlierDisks) == 0 {
		return
	}
	earlierDisks := victim.earlierDisks
	simulation.crash(victim)
	victim.disk = clone(&earlierDisks[simulation.random.IntN(len(earlierDisks))])
	victim.outdated = true
	simulation.restart(victim)
}

// memberLists returns the lists of members on a node's disk.
func (node *node) memberLists() [][]member {
	memberLists := [][]member{}
	if len(node.disk.snapshot.Members) > 0 {
		memberLists = append(memberLists, node.disk.snapshot.Members)
	}
	for _, entry := range node.disk.entries {
		if members, err := decodeMembers(entry.Data); entry.Kind == entryMembers && err == nil {
			memberLists = append(memberLists, members)
		}
	}
	return memberLists
}

// checkMembership ends all faults. Within membershipLimit the live replicas must be the only members, all of them voters, with a
// few changes for each, and the members must stay the same from then on.
func (simulation *simulation) checkMembership() {
	clear(simulation.cuts)
	clear(simulation.deadConnections)
	simulation.lossRate = 0
	for _, node := range simulation.nodes {
		node.stagesToCrash = 0
		simulation.restart(node)
	}
	changesBefore := simulation.memberChanges
	if !simulation.runUntil(membershipLimit, simulation.allAreVoters) {
		for _, node := range simulation.nodes {
			simulation.t.Logf("%s: term %d role %d disk verified %t commit %d log %d members %v", node.core.id, node.core.Term, node.core.role, node.core.diskVerified, node.core.commit, node.core.log.lastIndex(), node.core.members())
		}
		simulation.t.Fatalf("not all live replicas were voters %v after the last fault, expected them to be", membershipLimit)
	}
	// For each replica an addition, a promotion, and the removals of two replicas before it.
	if changes := simulation.memberChanges - changesBefore; changes > 4*len(simulation.nodes) {
		simulation.t.Fatalf("%d changes of members after the last fault, expected at most four for each of %d replicas", changes, len(simulation.nodes))
	}
	simulation.run(time.Second)
	settled := simulation.memberChanges
	simulation.run(calmSpan)
	if changes := simulation.memberChanges - settled; changes > len(simulation.nodes) {
		simulation.t.Fatalf("%d changes of members without any fault, expected none but removals of replicas that are gone", changes)
	}
}

// allAreVoters reports whether a leader counts each live replica as a voter, under its present ID.
func (simulation *simulation) allAreVoters() bool {
	leader := simulation.leader()
	if leader == nil || leader.core.commit < leader.core.termStart || leader.core.lastMembershipIndex() > leader.core.commit {
		return false
	}
	return !slices.ContainsFunc(simulation.nodes, func(node *node) bool { return node.core == nil || !leader.core.isVoter(node.core.id) })
}
