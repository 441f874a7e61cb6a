package replica

import (
	"time"

	"pgregory.net/rapid"
)

const (
	maximumNodes = 5
	// electionLimit bounds the wait for a leader, and replyLimit the wait for replies.
	electionLimit = 4 * time.Second
	replyLimit    = 300 * time.Millisecond
)

// drawSizes limits messages to one entry each in half of the simulations, and makes logs short in
// half of them.
func drawSizes(t *rapid.T) sizes {
	drawn := defaultSizes()
	if rapid.Bool().Draw(t, "one entry a message") {
		drawn.appendBytes = 1
	}
	if rapid.Bool().Draw(t, "short logs") {
		drawn.retainedEntryCount, drawn.partBytes = 2, 20
	}
	return drawn
}

// runScenario runs one of the sequences of faults that expose known errors of consensus cores and
// that random single faults rarely produce.
func (simulation *simulation) runScenario(action *action) {
	if !simulation.runUntil(electionLimit, func() bool { return simulation.leader() != nil }) {
		return
	}
	leader := simulation.leader()
	others := simulation.others(leader, action.other)
	switch action.kind {
	case 18:
		simulation.electOlderLog(leader, action.size)
	case 19:
		simulation.crashLeaderOfLagging(leader, others[0], action.size)
	case 20:
		simulation.restartVoterBetweenCandidates(leader, others[0], others[1], action.size)
	case 21:
		simulation.crashFollowersBeforeWrite(leader, others, action.size)
	case 22:
		simulation.isolateAfterFreshReplies(leader, action.size)
	case 23:
		simulation.cutOneFollower(leader, others[0], action.size)
	case 24:
		simulation.removeTwo(leader, others, action.size)
	case 25:
		simulation.freezeUntilReplaced(leader, action.size)
	}
	simulation.noDelay = false
	clear(simulation.cuts)
	for _, node := range simulation.nodes {
		node.crashBeforeWrite = false
		simulation.restart(node)
	}
}

// runUntil runs until a condition holds, and reports whether it does.
func (simulation *simulation) runUntil(limit time.Duration, condition func() bool) bool {
	for end := simulation.now.Add(limit); simulation.now.Before(end); {
		if condition() {
			return true
		}
		simulation.run(simulationStep)
	}
	return condition()
}

// leader returns the leader of the highest term.
func (simulation *simulation) leader() *node {
	var leader *node
	for _, node := range simulation.nodes {
		if node.core != nil && node.core.role == roleLeader && (leader == nil || node.core.Term > leader.core.Term) {
			leader = node
		}
	}
	return leader
}

// others returns the nodes other than the excluded one, in order from a number on and
// around to the ones before it.
func (simulation *simulation) others(excluded *node, from int) []*node {
	var others []*node
	for offset := range simulation.nodes {
		if node := simulation.nodes[(from+offset)%len(simulation.nodes)]; node != excluded {
			others = append(others, node)
		}
	}
	return others
}

func (simulation *simulation) cut(first, other *node) {
	simulation.cuts[[2]string{first.address, other.address}] = true
	simulation.cuts[[2]string{other.address, first.address}] = true
}

func (simulation *simulation) isolate(node *node) {
	for _, other := range simulation.others(node, 0) {
		simulation.cut(node, other)
	}
}

func (simulation *simulation) heal(node *node) {
	for _, other := range simulation.others(node, 0) {
		delete(simulation.cuts, [2]string{node.address, other.address})
		delete(simulation.cuts, [2]string{other.address, node.address})
	}
}

// crashAndDropMessages crashes a node and drops its messages in flight.
func (simulation *simulation) crashAndDropMessages(node *node) {
	simulation.crash(node)
	var kept []inFlight
	for _, inFlight := range simulation.inFlight {
		if inFlight.envelope.fromAddress != node.address {
			kept = append(kept, inFlight)
		}
	}
	simulation.inFlight = kept
}

func (simulation *simulation) proposeSome(leader *node, size int) {
	for range 1 + size%3 {
		simulation.propose(leader)
	}
}

// electAndPropose waits for a leader and proposes commands to it.
func (simulation *simulation) electAndPropose(size int) {
	if simulation.runUntil(electionLimit, func() bool { return simulation.leader() != nil && simulation.leader().core.canPropose() }) {
		simulation.proposeSome(simulation.leader(), size)
	}
	simulation.run(replyLimit)
}

// electOlderLog leaves entries at an isolated leader and elects a second one, which crashes before
// another replica receives its entries. The first leader then replicates its old entries and the
// node that first applies one crashes, and the second leader restarts.
func (simulation *simulation) electOlderLog(first *node, size int) {
	simulation.isolate(first)
	simulation.proposeSome(first, size)
	if !simulation.runUntil(electionLimit, func() bool { return simulation.leader() != first && simulation.leader() != nil }) {
		return
	}
	second := simulation.leader()
	simulation.crashAndDropMessages(second)
	simulation.heal(first)
	simulation.firstApplier = nil
	simulation.runUntil(electionLimit, func() bool { return simulation.firstApplier != nil })
	if simulation.firstApplier != nil {
		simulation.crashAndDropMessages(simulation.firstApplier)
	}
	simulation.restart(second)
	simulation.electAndPropose(size)
}

// crashLeaderOfLagging lets a replica miss entries, and crashes the leader when the replica
// reconnects.
func (simulation *simulation) crashLeaderOfLagging(leader, lagging *node, size int) {
	simulation.isolate(lagging)
	simulation.proposeSome(leader, size)
	simulation.run(replyLimit)
	simulation.crashAndDropMessages(leader)
	simulation.heal(lagging)
	simulation.electAndPropose(size)
}

// restartVoterBetweenCandidates lets two replicas that can't reach each other stand for election at
// the same time. A third votes for one of them, crashes, and gets the vote request of the other
// after its restart.
func (simulation *simulation) restartVoterBetweenCandidates(voter, first, second *node, size int) {
	for _, other := range simulation.others(voter, 0) {
		if other != first && other != second {
			simulation.crashAndDropMessages(other)
		}
	}
	simulation.crashAndDropMessages(voter)
	simulation.cut(first, second)
	simulation.restart(voter)
	simulation.run(minimumElectionTimeout + 4*simulationStep)
	if first.core == nil || second.core == nil || voter.core == nil {
		return
	}
	voter.core.electionDeadline = simulation.clock(voter).Add(minimumElectionTimeout)
	for _, candidate := range []*node{first, second} {
		candidate.core.electionDeadline = simulation.clock(candidate)
	}
	before := voter.core.Term
	simulation.runUntil(replyLimit, func() bool { return voter.core == nil || voter.core.Term > before && voter.core.Vote != "" })
	if voter.core == nil || voter.core.Term == before {
		return
	}
	winner, loser := first, second
	if voter.core.Vote != first.core.id {
		winner, loser = second, first
	}
	simulation.crash(voter)
	simulation.cuts[[2]string{winner.address, voter.address}] = true
	deliverAt := simulation.now.Add(minimumElectionTimeout + minimumElectionTimeout/2 + time.Duration(size)*time.Millisecond)
	for range 5 {
		simulation.delayMessages(loser, voter, deliverAt)
		simulation.run(simulationStep)
	}
	simulation.delayMessages(loser, voter, deliverAt)
	simulation.restart(voter)
	simulation.run(3 * minimumElectionTimeout)
}

// delayMessages delays the messages in flight from one node to another until a time.
func (simulation *simulation) delayMessages(from, to *node, until time.Time) {
	for index := range simulation.inFlight {
		if envelope := simulation.inFlight[index].envelope; envelope.fromAddress == from.address && envelope.toAddress == to.address {
			simulation.inFlight[index].arrivesAt = until
		}
	}
}

// isolateAfterFreshReplies isolates a leader right after fast replies, so that the last replies and
// the ends of the vote hold-offs are close together.
func (simulation *simulation) isolateAfterFreshReplies(leader *node, size int) {
	simulation.noDelay = true
	simulation.run(replyLimit + time.Duration(size)*time.Millisecond)
	simulation.isolate(leader)
	simulation.run(minimumElectionTimeout + heartbeatInterval)
}

// cutOneFollower cuts one follower off from the leader, while the other followers stay connected.
func (simulation *simulation) cutOneFollower(leader, follower *node, size int) {
	simulation.cut(leader, follower)
	for range 4 {
		simulation.proposeSome(leader, size)
		simulation.run(minimumElectionTimeout)
	}
}

// removeTwo lets a leader that reaches only a minority remove two of the other replicas at once.
func (simulation *simulation) removeTwo(leader *node, others []*node, size int) {
	minority := append([]*node{leader}, others[:len(simulation.nodes)/2-1]...)
	majority := others[len(minority)-1:]
	for _, member := range minority {
		for _, other := range majority {
			simulation.cut(member, other)
		}
	}
	for _, removed := range majority[:2] {
		if leader.core != nil && simulation.toleratesRemoval(leader, removed) {
			simulation.changeMembers(leader, removeRequested{id: removed.disk.id})
		}
	}
	simulation.proposeSome(leader, size)
	simulation.run(2 * minimumElectionTimeout)
	simulation.electAndPropose(size)
}

// crashFollowersBeforeWrite crashes followers between the arrival of an append and its write, and
// then the leader. The replicas that never got the append then decide.
func (simulation *simulation) crashFollowersBeforeWrite(leader *node, others []*node, size int) {
	isolated := len(others) / 2
	for position, other := range others {
		if position < isolated {
			simulation.isolate(other)
		} else {
			other.crashBeforeWrite = true
		}
	}
	simulation.proposeSome(leader, size)
	simulation.run(replyLimit)
	simulation.crashAndDropMessages(leader)
	for _, other := range others {
		simulation.heal(other)
		simulation.restart(other)
	}
	simulation.electAndPropose(size)
}

// crashesAtWrite reports whether a node crashed before it wrote entries.
func (simulation *simulation) crashesAtWrite(node *node, out *output) bool {
	if !node.crashBeforeWrite || len(out.entries) == 0 {
		return false
	}
	simulation.crash(node)
	return true
}
