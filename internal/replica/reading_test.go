package replica

import "time"

type (
	// simulatedRead is a reading that waits, and what the world knew when it was
	// asked.
	simulatedRead struct {
		pendingRead
		committedBefore uint64
		highestTerm     uint64
	}
)

// startRead asks a leader for a reading.
func (simulation *simulation) startRead(node *node) {
	if node.core == nil || !node.core.canPropose() {
		return
	}
	node.pendingReads = append(node.pendingReads, simulatedRead{pendingRead: node.core.beginRead(), committedBefore: simulation.highestCommitted, highestTerm: simulation.highestTerm})
	node.core.step(simulation.clock(node), ticked{})
	simulation.flush(node)
}

// checkReads requires that a reading which is confirmed holds all that was
// committed when it was asked, and that no later leader had been elected then.
func (simulation *simulation) checkReads(node *node) {
	waiting := node.pendingReads[:0]
	for _, read := range node.pendingReads {
		switch {
		case !node.core.readConfirmed(read.pendingRead):
			if node.core.role == roleLeader {
				waiting = append(waiting, read)
			}
		case read.highestTerm > read.term:
			simulation.t.Fatalf("%s confirms in term %d what was asked after the election of term %d", node.core.id, read.term, read.highestTerm)
		case read.committedBefore > node.core.applied:
			simulation.t.Fatalf("%s confirms up to %d, but %d was committed when it was asked", node.core.id, node.core.applied, read.committedBefore)
		default:
			simulation.confirmedReads++
		}
	}
	node.pendingReads = waiting
}

// freeze stops a node and its clock; wake lets both go on.
func (simulation *simulation) freeze(node *node) {
	node.frozen, node.frozenAt = true, simulation.now
}

func (simulation *simulation) unfreeze(node *node) {
	if node.frozen {
		node.frozen, node.frozenFor = false, node.frozenFor+simulation.now.Sub(node.frozenAt)
	}
}

// clock returns the time of a node's clock.
func (simulation *simulation) clock(node *node) time.Time {
	present := simulation.now
	if node.frozen {
		present = node.frozenAt
	}
	run := present.Sub(simulationStart) - node.frozenFor
	return simulationStart.Add(time.Duration(float64(run) * node.clockRate))
}

// freezeUntilReplaced freezes a leader until another has accepted something. What wakes
// it is a reader, before any message of the others.
func (simulation *simulation) freezeUntilReplaced(leader *node, size int) {
	simulation.freeze(leader)
	if simulation.runUntil(electionLimit, func() bool { return simulation.leader() != leader && simulation.leader().core.canPropose() }) {
		simulation.proposeSome(simulation.leader(), size)
		simulation.run(replyLimit)
	}
	simulation.unfreeze(leader)
	simulation.startRead(leader)
	simulation.run(replyLimit)
}
