package replica

import (
	"fmt"
	"slices"
)

type (
	// logPosition is an index of the log and the term of the entry at it.
	logPosition struct{ index, term uint64 }

	// diskHistory records what each replica's disk has ever held, by the replica's ID.
	diskHistory struct {
		// stored holds the IDs of the replicas that have had the entry at a position on disk.
		stored map[logPosition]map[string]bool
		// snapshotIndex is the highest index of a snapshot that a replica has had on disk.
		snapshotIndex map[string]uint64
		// checkedChanges are the positions of the changes of members that have been checked.
		checkedChanges map[logPosition]bool
		// votes are the votes that were sent, by voter and term.
		votes map[voteKey]string
	}

	voteKey struct {
		voter string
		term  uint64
	}
)

func newDiskHistory() diskHistory {
	return diskHistory{stored: map[logPosition]map[string]bool{}, snapshotIndex: map[string]uint64{}, checkedChanges: map[logPosition]bool{}, votes: map[voteKey]string{}}
}

func (diskHistory *diskHistory) add(id string, stored entry) {
	position := logPosition{stored.Index, stored.Term}
	if diskHistory.stored[position] == nil {
		diskHistory.stored[position] = map[string]bool{}
	}
	diskHistory.stored[position][id] = true
}

func describe(described *entry) string {
	return fmt.Sprintf("%d %d %s", described.Term, described.Kind, described.Data)
}

// recordWrites records what a node writes to its disk. A disk must not drop a committed entry that
// it held.
func (simulation *simulation) recordWrites(node *node, out *output) {
	written := out.entries
	if out.rewriteAll {
		state := node.core.durableState()
		simulation.diskHistory.snapshotIndex[state.id] = max(simulation.diskHistory.snapshotIndex[state.id], state.snapshot.Index)
		written = state.entries
	}
	for _, added := range written {
		simulation.diskHistory.add(node.core.id, added)
	}
	if out.rewriteAll || len(written) == 0 {
		return
	}
	for _, old := range node.disk.entries {
		if old.Index < written[0].Index || simulation.committed[old.Index] != describe(&old) {
			continue
		}
		if !slices.ContainsFunc(written, func(added entry) bool { return added.Index == old.Index && added.Term == old.Term }) {
			simulation.t.Fatalf("%s drops committed entry %d of term %d, expected it to be kept", node.core.id, old.Index, old.Term)
		}
	}
}

// checkQuorumDurable requires that an entry is durable on a quorum when the first replica applies
// it.
func (simulation *simulation) checkQuorumDurable(node *node, applied *entry) {
	if applied.Index == 1 {
		return // the bootstrap entry is the same on all replicas that it lists
	}
	memberLists := [][]member{node.core.snapshot.Members}
	for _, membership := range node.core.memberships {
		memberLists = append(memberLists, membership.members)
	}
	for _, members := range memberLists {
		voters, holders := 0, 0
		for _, member := range members {
			if !member.Voter {
				continue
			}
			voters++
			if simulation.diskHistory.stored[logPosition{applied.Index, applied.Term}][member.ID] || simulation.diskHistory.snapshotIndex[member.ID] >= applied.Index {
				holders++
			}
		}
		if holders > voters/2 {
			return
		}
	}
	simulation.t.Fatalf("%s applies entry %d, expected it to be durable on a quorum first", node.core.id, applied.Index)
}

// checkNewVoters requires that a replica holds everything that the leader has committed when it
// becomes a voter.
func (simulation *simulation) checkNewVoters(node *node) {
	core := node.core
	if core.role != roleLeader || len(core.memberships) < 2 {
		return
	}
	newest := core.memberships[len(core.memberships)-1]
	term, known := core.log.term(newest.index)
	position := logPosition{newest.index, term}
	if !known || term != core.Term || simulation.diskHistory.checkedChanges[position] {
		return
	}
	simulation.diskHistory.checkedChanges[position] = true
	before := core.memberships[len(core.memberships)-2].members
	for _, checked := range newest.members {
		wasVoter := slices.ContainsFunc(before, func(old member) bool { return old.ID == checked.ID && old.Voter })
		if !checked.Voter || wasVoter {
			continue
		}
		committedTerm, _ := core.log.term(core.commit)
		if !simulation.diskHistory.stored[logPosition{core.commit, committedTerm}][checked.ID] && simulation.diskHistory.snapshotIndex[checked.ID] < core.commit {
			simulation.t.Fatalf("%s makes %s a voter, but %[2]s lacks the committed entry %[3]d", core.id, checked.ID, core.commit)
		}
	}
}

// checkVote requires that a replica grants at most one candidate its vote in a term.
func (simulation *simulation) checkVote(envelope *envelope) {
	reply, isReply := envelope.message.(voteReply)
	if !isReply || reply.Pre || !reply.Granted {
		return
	}
	key := voteKey{envelope.from, reply.Term}
	if before, voted := simulation.diskHistory.votes[key]; voted && before != envelope.to {
		simulation.t.Fatalf("%s votes for %s and %s in term %d, expected one vote a term", envelope.from, before, envelope.to, reply.Term)
	}
	simulation.diskHistory.votes[key] = envelope.to
}
