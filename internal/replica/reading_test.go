package replica

import "time"

type (
	// question is a reading that waits, and what the world knew when it was
	// asked.
	question struct {
		reading
		committed  uint64
		newestTerm uint64
	}
)

// ask asks a leader for a reading.
func (world *world) ask(node *node) {
	if node.core == nil || !node.core.canPropose() {
		return
	}
	node.questions = append(node.questions, question{reading: node.core.read(), committed: world.newestCommitted, newestTerm: world.newestTerm})
	node.core.step(world.clock(node), ticked{})
	world.flush(node)
}

// checkReadings requires that a reading which is confirmed holds all that was
// committed when it was asked, and that no later leader had been elected then.
func (world *world) checkReadings(node *node) {
	waiting := node.questions[:0]
	for _, question := range node.questions {
		switch {
		case !node.core.holdsAll(question.reading):
			if node.core.role == roleLeader {
				waiting = append(waiting, question)
			}
		case question.newestTerm > question.term:
			world.t.Fatalf("%s confirms in term %d what was asked after the election of term %d", node.core.id, question.term, question.newestTerm)
		case question.committed > node.core.applied:
			world.t.Fatalf("%s confirms up to %d, but %d was committed when it was asked", node.core.id, node.core.applied, question.committed)
		default:
			world.confirmed++
		}
	}
	node.questions = waiting
}

// freeze stops a node and its clock; wake lets both go on.
func (world *world) freeze(node *node) {
	node.frozen, node.frozenAt = true, world.now
}

func (world *world) wake(node *node) {
	if node.frozen {
		node.frozen, node.stood = false, node.stood+world.now.Sub(node.frozenAt)
	}
}

// clock returns the time of a node's clock.
func (world *world) clock(node *node) time.Time {
	present := world.now
	if node.frozen {
		present = node.frozenAt
	}
	run := present.Sub(worldStart) - node.stood
	return worldStart.Add(time.Duration(float64(run) * node.rate))
}

// outsleep freezes a leader until another has accepted something. What wakes
// it is a reader, before any message of the others.
func (world *world) outsleep(leader *node, size int) {
	world.freeze(leader)
	if world.until(electionLimit, func() bool { return world.leader() != leader && world.leader().core.canPropose() }) {
		world.proposeSome(world.leader(), size)
		world.run(answerLimit)
	}
	world.wake(leader)
	world.ask(leader)
	world.run(answerLimit)
}
