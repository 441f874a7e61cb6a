// Snapshots: log compaction, and the transfer of a snapshot in parts to a replica that lags behind
// the compacted log.

package replica

import (
	"time"
)

type (
	// incomingSnapshot is a snapshot of which only the first parts have arrived. leaderTerm is the
	// term of the leader that sends it; index is the index of the snapshot.
	incomingSnapshot struct {
		from       string
		leaderTerm uint64
		index      uint64
		data       []byte
	}
)

// compact stores a snapshot of the state machine after the entry at an index, and drops the entries
// that it covers from memory, except for the last retainedEntryCount. It does nothing if an equally
// recent or newer snapshot is stored, or if the entry is unknown or not applied here.
func (core *core) compact(index uint64, data []byte) {
	term, known := core.log.term(index)
	if !known || index <= core.snapshot.Index || index > core.applied {
		return
	}
	core.snapshot = snapshot{Index: index, Term: term, Members: core.membersAt(index), Data: data}
	if index > core.sizes.retainedEntryCount {
		core.log.compact(index - core.sizes.retainedEntryCount)
	}
	for len(core.memberships) > 1 && core.memberships[1].index <= index {
		core.memberships = core.memberships[1:]
	}
	core.out.rewriteAll = true
}

// membersAt returns the members that are in effect at an index.
func (core *core) membersAt(index uint64) []member {
	var members []member
	for _, membership := range core.memberships {
		if membership.index <= index {
			members = membership.members
		}
	}
	return members
}

// startInstall starts to send the newest snapshot to a replica.
func (core *core) startInstall(now time.Time, member member) {
	progress := core.progressOf(now, member.ID)
	sending := core.snapshot
	progress.sendingSnapshot, progress.snapshotOffset, progress.inFlight = &sending, 0, nil
	core.sendPart(now, member, progress)
}

// sendPart sends the part of the snapshot that begins at the progress's snapshotOffset.
func (core *core) sendPart(now time.Time, member member, progress *progress) {
	part := *progress.sendingSnapshot
	end := min(progress.snapshotOffset+core.sizes.partBytes, len(part.Data))
	done := end == len(part.Data)
	part.Data = part.Data[progress.snapshotOffset:end]
	progress.partSentAt = now
	core.send(member.ID, member.Address, installRequest{
		Term: core.Term, Snapshot: part, Offset: progress.snapshotOffset, Done: done, Stamp: core.stamp(now),
	})
}

// resendOverduePart sends the part that was sent most recently once more if its reply is overdue.
func (core *core) resendOverduePart(now time.Time, member member, progress *progress) {
	if now.Sub(progress.partSentAt) >= minimumElectionTimeout {
		core.sendPart(now, member, progress)
	}
}

// receiveInstall handles a part of a snapshot. It answers with an installReply that asks for the next
// part, or with an appendReply if the request is rejected, the entries up to the snapshot's index are
// already committed here, or this part completes the snapshot.
func (core *core) receiveInstall(now time.Time, envelope *envelope, request *installRequest) {
	if request.Term < core.Term || request.Term == core.Term && core.role == roleLeader {
		core.sendAfterSync(envelope.from, envelope.fromAddress, appendReply{Term: core.Term, RequestTerm: request.Term, Rejected: true, Last: core.log.lastIndex(), Stamp: request.Stamp, Level: core.level})
		return
	}
	core.follow(now, request.Term, envelope.from, envelope.fromAddress)
	core.resetElectionTimer(now)
	reply := installReply{Term: core.Term, RequestTerm: request.Term, Index: request.Snapshot.Index, Stamp: request.Stamp, Level: core.level}
	incoming := &core.incoming
	if incoming.from != envelope.from || incoming.leaderTerm != request.Term || incoming.index != request.Snapshot.Index {
		*incoming = incomingSnapshot{from: envelope.from, leaderTerm: request.Term, index: request.Snapshot.Index}
	}
	if request.Snapshot.Index <= core.commit {
		core.sendAfterSync(envelope.from, envelope.fromAddress, appendReply{Term: core.Term, RequestTerm: request.Term, Match: request.Snapshot.Index, Last: core.log.lastIndex(), Stamp: request.Stamp, Level: core.level})
		return
	}
	if request.Offset == len(incoming.data) {
		incoming.data = append(incoming.data, request.Snapshot.Data...)
		if request.Done {
			core.install(request, incoming.data)
			*incoming = incomingSnapshot{}
			core.sendAfterSync(envelope.from, envelope.fromAddress, appendReply{Term: core.Term, RequestTerm: request.Term, Match: request.Snapshot.Index, Last: core.log.lastIndex(), Stamp: request.Stamp, Level: core.level})
			return
		}
	}
	reply.Offset = len(incoming.data)
	core.sendAfterSync(envelope.from, envelope.fromAddress, reply)
}

// install replaces the state machine's state with the snapshot. The entries after the snapshot's
// index stay if the log has the entry at that index with the same term; otherwise the whole log is
// dropped.
func (core *core) install(request *installRequest, data []byte) {
	core.snapshot = request.Snapshot
	core.snapshot.Data = data
	index, term := core.snapshot.Index, core.snapshot.Term
	newMemberships := []membership{{index: index, members: core.snapshot.Members}}
	if localTerm, known := core.log.term(index); known && localTerm == term {
		core.log.compact(index)
		for _, membership := range core.memberships {
			if membership.index > index {
				newMemberships = append(newMemberships, membership)
			}
		}
	} else {
		core.log.reset(index, term)
	}
	core.memberships = newMemberships
	core.commit, core.applied = index, index
	core.out.rewriteAll, core.out.entries = true, nil
	toRestore := core.snapshot
	core.out.restore = &toRestore
}

func (core *core) receiveInstallReply(now time.Time, envelope *envelope, reply *installReply) {
	member, found := core.member(envelope.from)
	if reply.Term > core.Term {
		core.follow(now, reply.Term, "", "")
		return
	}
	if core.role != roleLeader || reply.RequestTerm != core.Term || !found {
		return
	}
	progress := core.progressOf(now, envelope.from)
	if reply.Stamp <= progress.sinceStamp {
		return
	}
	progress.recordReply(reply.Stamp, reply.Level)
	if progress.sendingSnapshot == nil || progress.sendingSnapshot.Index != reply.Index || reply.Offset > len(progress.sendingSnapshot.Data) {
		return
	}
	if reply.Offset != progress.snapshotOffset {
		progress.snapshotOffset = reply.Offset
		core.sendPart(now, member, progress)
	}
}
