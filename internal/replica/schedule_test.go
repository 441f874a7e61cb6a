package replica

import (
	"time"

	"pgregory.net/rapid"
)

const (
	maximumNodes = 5
	// electionLimit bounds the wait for a leader, and answerLimit that for an
	// answer.
	electionLimit = 4 * time.Second
	replyLimit    = 300 * time.Millisecond
)

// drawSizes lets messages hold an entry each, and logs be short, in half of
// the worlds.
func drawSizes(t *rapid.T) sizes {
	drawn := defaultSizes()
	if rapid.Bool().Draw(t, "one entry a message") {
		drawn.appendBytes = 1
	}
	if rapid.Bool().Draw(t, "short logs") {
		drawn.retained, drawn.partBytes = 2, 20
	}
	return drawn
}

// runScenario does one of the schedules that are known to break wrong cores and
// that single faults rarely come to.
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

// runUntil runs runUntil something holds, and reports whether it came to hold.
func (simulation *simulation) runUntil(limit time.Duration, condition func() bool) bool {
	for end := simulation.now.Add(limit); simulation.now.Before(end); {
		if condition() {
			return true
		}
		simulation.run(simulationStep)
	}
	return condition()
}

// leader returns the node that leads the newest term.
func (simulation *simulation) leader() *node {
	var leader *node
	for _, node := range simulation.nodes {
		if node.core != nil && node.core.role == roleLeader && (leader == nil || node.core.Term > leader.core.Term) {
			leader = node
		}
	}
	return leader
}

// others returns the nodes besides one, beginning at a number.
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

// crashAndDropMessages crashes a node and loses its messages on their way.
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

// electAndPropose lets the group elect and accept.
func (simulation *simulation) electAndPropose(size int) {
	if simulation.runUntil(electionLimit, func() bool { return simulation.leader() != nil && simulation.leader().core.canPropose() }) {
		simulation.proposeSome(simulation.leader(), size)
	}
	simulation.run(replyLimit)
}

// electOlderLog leaves entries at a leader that is cut off, elects another,
// which crashes before anybody hears of its entries, and has the first spread
// its old entries. It crashes too, and the second returns.
func (simulation *simulation) electOlderLog(first *node, size int) {
	simulation.isolate(first)
	simulation.proposeSome(first, size)
	if !simulation.runUntil(electionLimit, func() bool { return simulation.leader() != first && simulation.leader() != nil }) {
		return
	}
	second := simulation.leader()
	simulation.crashAndDropMessages(second)
	simulation.heal(first)
	simulation.applied = nil
	simulation.runUntil(electionLimit, func() bool { return simulation.applied != nil })
	if simulation.applied != nil {
		simulation.crashAndDropMessages(simulation.applied)
	}
	simulation.restart(second)
	simulation.electAndPropose(size)
}

// crashLeaderOfLagging lets a replica miss entries and the leader crash when
// the replica returns.
func (simulation *simulation) crashLeaderOfLagging(leader, lagging *node, size int) {
	simulation.isolate(lagging)
	simulation.proposeSome(leader, size)
	simulation.run(replyLimit)
	simulation.crashAndDropMessages(leader)
	simulation.heal(lagging)
	simulation.electAndPropose(size)
}

// restartVoterBetweenCandidates lets two replicas stand at once that don't hear each other. The
// third votes, crashes, and gets the other's question after its return.
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

// delayMessages keeps what is on its way from one node to another until some time.
func (simulation *simulation) delayMessages(from, to *node, until time.Time) {
	for index := range simulation.inFlight {
		if envelope := simulation.inFlight[index].envelope; envelope.fromAddress == from.address && envelope.toAddress == to.address {
			simulation.inFlight[index].arrives = until
		}
	}
}

// isolateAfterFreshReplies cuts a leader off right after quick answers, so that little
// lies between the last answers and the ends of the promises.
func (simulation *simulation) isolateAfterFreshReplies(leader *node, size int) {
	simulation.noDelay = true
	simulation.run(replyLimit + time.Duration(size)*time.Millisecond)
	simulation.isolate(leader)
	simulation.run(minimumElectionTimeout + heartbeatInterval)
}

// cutOneFollower has one replica hear the leader no more, while the others do.
func (simulation *simulation) cutOneFollower(leader, follower *node, size int) {
	simulation.cut(leader, follower)
	for range 4 {
		simulation.proposeSome(leader, size)
		simulation.run(minimumElectionTimeout)
	}
}

// removeTwo has a leader with a minority remove two of the others at once.
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

// crashFollowersBeforeWrite crashes followers between an append's arrival and its
// write, then the leader, and lets those decide that never got the append.
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

// crashesAtWrite reports whether a node crashed before a write of entries.
func (simulation *simulation) crashesAtWrite(node *node, out *output) bool {
	if !node.crashBeforeWrite || len(out.entries) == 0 {
		return false
	}
	simulation.crash(node)
	return true
}
