package replica

import (
	"time"

	"pgregory.net/rapid"
)

const (
	largestWorld = 5
	// electionLimit bounds the wait for a leader, and answerLimit that for an
	// answer.
	electionLimit = 4 * time.Second
	answerLimit   = 300 * time.Millisecond
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

// schedule does one of the schedules that are known to break wrong cores and
// that single faults rarely come to.
func (world *world) schedule(action *action) {
	if !world.until(electionLimit, func() bool { return world.leader() != nil }) {
		return
	}
	leader := world.leader()
	others := world.others(leader, action.other)
	switch action.kind {
	case 18:
		world.electOlderLog(leader, action.size)
	case 19:
		world.loseLeaderOfLagging(leader, others[0], action.size)
	case 20:
		world.voteTwice(leader, others[0], others[1], action.size)
	case 21:
		world.crashBeforeWrite(leader, others, action.size)
	case 22:
		world.outlastAnswers(leader, action.size)
	case 23:
		world.loseTouch(leader, others[0], action.size)
	case 24:
		world.removeTwo(leader, others, action.size)
	case 25:
		world.outsleep(leader, action.size)
	}
	world.quick = false
	clear(world.cuts)
	for _, node := range world.nodes {
		node.crashAtWrite = false
		world.restart(node)
	}
}

// until runs until something holds, and reports whether it came to hold.
func (world *world) until(limit time.Duration, holds func() bool) bool {
	for end := world.now.Add(limit); world.now.Before(end); {
		if holds() {
			return true
		}
		world.run(worldStep)
	}
	return holds()
}

// leader returns the node that leads the newest term.
func (world *world) leader() *node {
	var leader *node
	for _, node := range world.nodes {
		if node.core != nil && node.core.role == roleLeader && (leader == nil || node.core.Term > leader.core.Term) {
			leader = node
		}
	}
	return leader
}

// others returns the nodes besides one, beginning at a number.
func (world *world) others(besides *node, from int) []*node {
	var others []*node
	for offset := range world.nodes {
		if node := world.nodes[(from+offset)%len(world.nodes)]; node != besides {
			others = append(others, node)
		}
	}
	return others
}

func (world *world) cut(one, other *node) {
	world.cuts[[2]string{one.address, other.address}] = true
	world.cuts[[2]string{other.address, one.address}] = true
}

func (world *world) isolate(node *node) {
	for _, other := range world.others(node, 0) {
		world.cut(node, other)
	}
}

func (world *world) heal(node *node) {
	for _, other := range world.others(node, 0) {
		delete(world.cuts, [2]string{node.address, other.address})
		delete(world.cuts, [2]string{other.address, node.address})
	}
}

// silence crashes a node and loses its messages on their way.
func (world *world) silence(node *node) {
	world.crash(node)
	var kept []flying
	for _, flying := range world.flying {
		if flying.parcel.fromAddress != node.address {
			kept = append(kept, flying)
		}
	}
	world.flying = kept
}

func (world *world) proposeSome(leader *node, size int) {
	for range 1 + size%3 {
		world.propose(leader)
	}
}

// goOn lets the group elect and accept.
func (world *world) goOn(size int) {
	if world.until(electionLimit, func() bool { return world.leader() != nil && world.leader().core.canPropose() }) {
		world.proposeSome(world.leader(), size)
	}
	world.run(answerLimit)
}

// electOlderLog leaves entries at a leader that is cut off, elects another,
// which crashes before anybody hears of its entries, and has the first spread
// its old entries. It crashes too, and the second returns.
func (world *world) electOlderLog(first *node, size int) {
	world.isolate(first)
	world.proposeSome(first, size)
	if !world.until(electionLimit, func() bool { return world.leader() != first && world.leader() != nil }) {
		return
	}
	second := world.leader()
	world.silence(second)
	world.heal(first)
	world.applied = nil
	world.until(electionLimit, func() bool { return world.applied != nil })
	if world.applied != nil {
		world.silence(world.applied)
	}
	world.restart(second)
	world.goOn(size)
}

// loseLeaderOfLagging lets a replica miss entries and the leader crash when
// the replica returns.
func (world *world) loseLeaderOfLagging(leader, lagging *node, size int) {
	world.isolate(lagging)
	world.proposeSome(leader, size)
	world.run(answerLimit)
	world.silence(leader)
	world.heal(lagging)
	world.goOn(size)
}

// voteTwice lets two replicas stand at once that don't hear each other. The
// third votes, crashes, and gets the other's question after its return.
func (world *world) voteTwice(voter, one, two *node, size int) {
	for _, other := range world.others(voter, 0) {
		if other != one && other != two {
			world.silence(other)
		}
	}
	world.silence(voter)
	world.cut(one, two)
	world.restart(voter)
	world.run(promiseSpan + 4*worldStep)
	if one.core == nil || two.core == nil || voter.core == nil {
		return
	}
	voter.core.electionDue = world.clock(voter).Add(promiseSpan)
	for _, candidate := range []*node{one, two} {
		candidate.core.electionDue = world.clock(candidate)
	}
	before := voter.core.Term
	world.until(answerLimit, func() bool { return voter.core == nil || voter.core.Term > before && voter.core.Vote != "" })
	if voter.core == nil || voter.core.Term == before {
		return
	}
	winner, loser := one, two
	if voter.core.Vote != one.core.id {
		winner, loser = two, one
	}
	world.crash(voter)
	world.cuts[[2]string{winner.address, voter.address}] = true
	held := world.now.Add(promiseSpan + promiseSpan/2 + time.Duration(size)*time.Millisecond)
	for range 5 {
		world.hold(loser, voter, held)
		world.run(worldStep)
	}
	world.hold(loser, voter, held)
	world.restart(voter)
	world.run(3 * promiseSpan)
}

// hold keeps what is on its way from one node to another until some time.
func (world *world) hold(from, to *node, until time.Time) {
	for index := range world.flying {
		if parcel := world.flying[index].parcel; parcel.fromAddress == from.address && parcel.toAddress == to.address {
			world.flying[index].arrives = until
		}
	}
}

// outlastAnswers cuts a leader off right after quick answers, so that little
// lies between the last answers and the ends of the promises.
func (world *world) outlastAnswers(leader *node, size int) {
	world.quick = true
	world.run(answerLimit + time.Duration(size)*time.Millisecond)
	world.isolate(leader)
	world.run(promiseSpan + heartbeatInterval)
}

// loseTouch has one replica hear the leader no more, while the others do.
func (world *world) loseTouch(leader, deaf *node, size int) {
	world.cut(leader, deaf)
	for range 4 {
		world.proposeSome(leader, size)
		world.run(promiseSpan)
	}
}

// removeTwo has a leader with a minority remove two of the others at once.
func (world *world) removeTwo(leader *node, others []*node, size int) {
	minority := append([]*node{leader}, others[:len(world.nodes)/2-1]...)
	majority := others[len(minority)-1:]
	for _, one := range minority {
		for _, other := range majority {
			world.cut(one, other)
		}
	}
	for _, removed := range majority[:2] {
		if leader.core != nil && world.bearsRemoval(leader, removed) {
			world.change(leader, removeAsked{id: removed.disk.id})
		}
	}
	world.proposeSome(leader, size)
	world.run(2 * promiseSpan)
	world.goOn(size)
}

// crashBeforeWrite crashes followers between an append's arrival and its
// write, then the leader, and lets those decide that never got the append.
func (world *world) crashBeforeWrite(leader *node, others []*node, size int) {
	away := len(others) / 2
	for position, other := range others {
		if position < away {
			world.isolate(other)
		} else {
			other.crashAtWrite = true
		}
	}
	world.proposeSome(leader, size)
	world.run(answerLimit)
	world.silence(leader)
	for _, other := range others {
		world.heal(other)
		world.restart(other)
	}
	world.goOn(size)
}

// crashesAtWrite reports whether a node crashed before a write of entries.
func (world *world) crashesAtWrite(node *node, out *output) bool {
	if !node.crashAtWrite || len(out.entries) == 0 {
		return false
	}
	world.crash(node)
	return true
}
