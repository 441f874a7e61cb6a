package replica

import "time"

type (
	// simulatedRead is a pending read, and what had been committed and elected when it began.
	simulatedRead struct {
		pendingRead
		committedBefore uint64
		highestTerm     uint64
	}
)

// startRead begins a read at a leader.
func (simulation *simulation) startRead(node *node) {
	if node.core == nil || !node.core.canPropose() {
		return
	}
	node.pendingReads = append(node.pendingReads, simulatedRead{pendingRead: node.core.beginRead(), committedBefore: simulation.highestCommitted, highestTerm: simulation.highestTerm})
	node.core.step(simulation.clock(node), ticked{})
	simulation.flush(node)
}

// checkReads requires that a confirmed read covers everything that was committed when it began, and
// that no later leader had been elected by then.
func (simulation *simulation) checkReads(node *node) {
	waiting := node.pendingReads[:0]
	for _, read := range node.pendingReads {
		switch {
		case !node.core.readConfirmed(read.pendingRead):
			if node.core.role == roleLeader {
				waiting = append(waiting, read)
			}
		case read.highestTerm > read.term:
			simulation.t.Fatalf("%s confirms in term %d a read that began after the election of term %d", node.core.id, read.term, read.highestTerm)
		case read.committedBefore > node.core.applied:
			simulation.t.Fatalf("%s confirms a read up to entry %d, but %d was committed when it began", node.core.id, node.core.applied, read.committedBefore)
		default:
			simulation.confirmedReads++
		}
	}
	node.pendingReads = waiting
}

// freeze stops a node and its clock; unfreeze resumes both.
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
	current := simulation.now
	if node.frozen {
		current = node.frozenAt
	}
	elapsed := current.Sub(simulationStart) - node.frozenFor
	return simulationStart.Add(time.Duration(float64(elapsed) * node.clockRate))
}

// freezeUntilReplaced freezes a leader until another leader has accepted commands. The first leader
// then gets a read before any message of the others.
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
