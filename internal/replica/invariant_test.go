package replica

import (
	"fmt"
	"slices"
)

type (
	// place is an index of the log and the term of the entry there.
	place struct{ index, term uint64 }

	// records is what disks have ever held, by the replica's ID.
	records struct {
		held    map[place]map[string]bool
		through map[string]uint64
		// counted are the changes of members that have been looked at.
		counted map[place]bool
		// votes are those that were told, by voter and term.
		votes map[vote]string
	}

	vote struct {
		voter string
		term  uint64
	}
)

func newRecords() records {
	return records{held: map[place]map[string]bool{}, through: map[string]uint64{}, counted: map[place]bool{}, votes: map[vote]string{}}
}

func (records *records) hold(id string, held entry) {
	at := place{held.Index, held.Term}
	if records.held[at] == nil {
		records.held[at] = map[string]bool{}
	}
	records.held[at][id] = true
}

func said(told *entry) string { return fmt.Sprintf("%d %d %s", told.Term, told.Kind, told.Data) }

// note keeps what a disk holds from now on. A disk that held a committed
// entry must go on holding it.
func (world *world) note(node *node, out *output) {
	written := out.entries
	if out.rewrite {
		state := node.core.durableState()
		world.records.through[state.id] = max(world.records.through[state.id], state.snapshot.Index)
		written = state.entries
	}
	for _, added := range written {
		world.records.hold(node.core.id, added)
	}
	if out.rewrite || len(written) == 0 {
		return
	}
	for _, old := range node.disk.entries {
		if old.Index < written[0].Index || world.committed[old.Index] != said(&old) {
			continue
		}
		if !slices.ContainsFunc(written, func(added entry) bool { return added.Index == old.Index && added.Term == old.Term }) {
			world.t.Fatalf("%s drops entry %d of term %d, which is committed", node.core.id, old.Index, old.Term)
		}
	}
}

// checkHolders requires that a quorum has had an entry on its disks when the
// first replica applies it.
func (world *world) checkHolders(node *node, applied *entry) {
	if applied.Index == 1 {
		return // the founding entry is the same at all that it names
	}
	configurations := [][]member{node.core.snapshot.Members}
	for _, membership := range node.core.memberships {
		configurations = append(configurations, membership.members)
	}
	for _, members := range configurations {
		voters, holders := 0, 0
		for _, member := range members {
			if !member.Voter {
				continue
			}
			voters++
			if world.records.held[place{applied.Index, applied.Term}][member.ID] || world.records.through[member.ID] >= applied.Index {
				holders++
			}
		}
		if holders > voters/2 {
			return
		}
	}
	world.t.Fatalf("%s applies entry %d, which no quorum has on its disks", node.core.id, applied.Index)
}

// checkCounted requires that a replica holds everything that the leader has
// committed when it comes to be counted.
func (world *world) checkCounted(node *node) {
	core := node.core
	if core.role != roleLeader || len(core.memberships) < 2 {
		return
	}
	newest := core.memberships[len(core.memberships)-1]
	term, known := core.log.term(newest.index)
	at := place{newest.index, term}
	if !known || term != core.Term || world.records.counted[at] {
		return
	}
	world.records.counted[at] = true
	before := core.memberships[len(core.memberships)-2].members
	for _, counted := range newest.members {
		wasCounted := slices.ContainsFunc(before, func(old member) bool { return old.ID == counted.ID && old.Voter })
		if !counted.Voter || wasCounted {
			continue
		}
		committed, _ := core.log.term(core.commit)
		if !world.records.held[place{core.commit, committed}][counted.ID] && world.records.through[counted.ID] < core.commit {
			world.t.Fatalf("%s counts %s, which lacks entry %d", core.id, counted.ID, core.commit)
		}
	}
}

// noteVote requires that a replica gives one vote a term.
func (world *world) noteVote(parcel *parcel) {
	reply, isReply := parcel.message.(voteReply)
	if !isReply || reply.Pre || !reply.Granted {
		return
	}
	given := vote{parcel.from, reply.Term}
	if before, voted := world.records.votes[given]; voted && before != parcel.to {
		world.t.Fatalf("%s votes for %s and %s in term %d", parcel.from, before, parcel.to, reply.Term)
	}
	world.records.votes[given] = parcel.to
}
