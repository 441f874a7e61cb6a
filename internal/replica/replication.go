// Log replication from the leader to the other replicas.

package replica

import (
	"time"
)

const (
	// maximumInFlight bounds the unanswered appends with entries to one replica.
	maximumInFlight = 16
)

type (
	// progress is what the leader knows of another replica's log, and what it has sent to the replica. It lasts for one membership:
	// from the replica's addition, or from the start of the leader's reign, to the replica's removal.
	progress struct {
		// since is when the progress began, and sinceStamp the stamp of the last message sent before it. Replies to that
		// message and earlier ones belong to an earlier membership.
		since      time.Time
		sinceStamp time.Duration
		// match is the last index up to which the replica's log is known to be durable and equal to
		// the leader's, and next is the index of the next entry to send.
		match uint64
		next  uint64
		// probing limits the leader to one append at a time until the replica's log is known to
		// match before next.
		probing bool
		// inFlight holds the last index of each unanswered append with entries.
		inFlight []uint64
		// acknowledgedStamp is the stamp of the latest message that was answered, zero if there is none.
		// matchStamp is the stamp of the last message sent before the reply that set match.
		acknowledgedStamp time.Duration
		// level is the replica's feature level in the reply to that message.
		level      int
		matchStamp time.Duration
		// sendingSnapshot is the snapshot being sent, or nil.
		sendingSnapshot *snapshot
		snapshotOffset  int
		partSentAt      time.Time
	}
)

// propose appends commands to the leader's log.
func (core *core) propose(now time.Time, commands [][]byte) {
	for _, command := range commands {
		core.appendAsLeader(entry{Kind: entryCommand, Data: command})
	}
	core.replicateAll(now)
}

// canPropose reports whether this replica accepts commands now.
func (core *core) canPropose() bool {
	return core.role == roleLeader && !core.transferring
}

// appendAsLeader appends an entry to the leader's log.
func (core *core) appendAsLeader(added entry) {
	added.Index, added.Term = core.log.lastIndex()+1, core.Term
	core.appendEntries(added)
}

// appendEntries appends entries to the log and queues them for the disk. They replace the entries of
// the log from the first appended one's index on, if there are any.
func (core *core) appendEntries(entries ...entry) {
	first := entries[0].Index
	for len(core.memberships) > 0 && core.memberships[len(core.memberships)-1].index >= first {
		core.memberships = core.memberships[:len(core.memberships)-1]
	}
	core.durable = min(core.durable, first-1)
	core.log.append(entries...)
	core.queueEntries(entries)
	core.recordMemberships(entries)
}

// queueEntries queues entries for the next write. A record on the disk holds each index once, so the
// queued entries from the first new one's index on are replaced.
func (core *core) queueEntries(entries []entry) {
	keptCount := len(core.out.entries)
	for keptCount > 0 && core.out.entries[keptCount-1].Index >= entries[0].Index {
		keptCount--
	}
	core.out.entries = append(core.out.entries[:keptCount], entries...)
}

func (core *core) recordMemberships(entries []entry) {
	for _, added := range entries {
		if added.Kind != entryMembers {
			continue
		}
		if members, err := decodeMembers(added.Data); err == nil {
			core.memberships = append(core.memberships, membership{index: added.Index, members: members})
		}
	}
}

// progressOf returns the progress of a replica, and creates it if there is none.
func (core *core) progressOf(now time.Time, id string) *progress {
	if core.progress[id] == nil {
		core.progress[id] = &progress{since: now, sinceStamp: core.lastStamp, next: core.log.lastIndex() + 1, probing: true}
	}
	return core.progress[id]
}

func (core *core) replicateAll(now time.Time) {
	for _, member := range core.members() {
		if member.ID != core.id {
			core.replicate(now, member)
		}
	}
	core.advanceCommit()
}

// replicate sends a replica the entries that it lacks, as far as flow control allows, or starts to
// send the snapshot if the log no longer holds them. It does nothing while a snapshot is being sent.
func (core *core) replicate(now time.Time, member member) {
	progress := core.progressOf(now, member.ID)
	if progress.sendingSnapshot != nil {
		return
	}
	for progress.next <= core.log.lastIndex() && len(progress.inFlight) < core.window(progress) {
		if _, known := core.log.term(progress.next - 1); !known {
			core.startInstall(now, member)
			return
		}
		entries := core.log.entriesFrom(progress.next, core.sizes.appendBytes)
		core.sendAppend(now, member, progress, entries)
		last := entries[len(entries)-1].Index
		progress.inFlight = append(progress.inFlight, last)
		if !progress.probing {
			progress.next = last + 1
		}
	}
}

// window returns how many appends with entries to a replica may be unanswered.
func (core *core) window(progress *progress) int {
	if progress.probing {
		return 1
	}
	return maximumInFlight
}

func (core *core) sendAppend(now time.Time, member member, progress *progress, entries []entry) {
	prev := progress.next - 1
	term, known := core.log.term(prev)
	if !known {
		// The replica needs a snapshot; this is only a heartbeat.
		prev, term = core.log.offset, core.log.offsetTerm
	}
	core.send(member.ID, member.Address, appendRequest{
		Term: core.Term, Prev: prev, PrevTerm: term, Entries: entries, Commit: core.commit, Stamp: core.stamp(now),
	})
}

// sendHeartbeats sends every other replica a heartbeat. The reply also reveals lost messages. The
// heartbeats confirm reads, so they replace a requested read round.
func (core *core) sendHeartbeats(now time.Time) {
	core.readRoundRequested = false
	for _, member := range core.members() {
		if member.ID == core.id {
			continue
		}
		progress := core.progressOf(now, member.ID)
		if progress.sendingSnapshot != nil {
			core.resendOverduePart(now, member, progress)
		}
		core.sendAppend(now, member, progress, nil)
	}
}

func (core *core) receiveAppend(now time.Time, envelope *envelope, request *appendRequest) {
	if request.Term < core.Term || request.Term == core.Term && core.role == roleLeader {
		core.sendAfterSync(envelope.from, envelope.fromAddress, appendReply{Term: core.Term, RequestTerm: request.Term, Rejected: true, Last: core.log.lastIndex(), Stamp: request.Stamp, Level: core.level})
		return
	}
	core.follow(now, request.Term, envelope.from, envelope.fromAddress)
	core.resetElectionTimer(now)
	reply := appendReply{Term: core.Term, RequestTerm: request.Term, Stamp: request.Stamp, Match: request.Prev + uint64(len(request.Entries)), Level: core.level}
	prev, prevTerm, entries := request.Prev, request.PrevTerm, request.Entries
	if prev < core.commit {
		// Committed entries are equal in every leader's log.
		drop := min(core.commit-prev, uint64(len(entries)))
		prev, entries = prev+drop, entries[drop:]
		if prev < core.commit {
			prev = core.commit
		}
		prevTerm, _ = core.log.term(prev)
	}
	if term, known := core.log.term(prev); !known || term != prevTerm {
		reply.Rejected, reply.Match = true, core.lastPossibleMatch(prev)
	} else {
		core.merge(entries)
		core.commit = max(core.commit, min(request.Commit, reply.Match))
	}
	reply.Last = core.log.lastIndex()
	core.sendAfterSync(envelope.from, envelope.fromAddress, reply)
}

// lastPossibleMatch returns the last index before a mismatch at which the leader's log may be equal
// to this one.
func (core *core) lastPossibleMatch(index uint64) uint64 {
	if index > core.log.lastIndex() {
		return core.log.lastIndex()
	}
	conflicting, _ := core.log.term(index)
	for index > core.commit+1 {
		term, known := core.log.term(index - 1)
		if !known || term != conflicting {
			break
		}
		index--
	}
	return max(index, 1) - 1
}

// merge appends the entries that the log lacks, and drops the log's entries from the first
// difference on.
func (core *core) merge(entries []entry) {
	for position, added := range entries {
		if term, known := core.log.term(added.Index); !known || term != added.Term {
			core.appendEntries(entries[position:]...)
			return
		}
	}
}

func (core *core) receiveAppendReply(now time.Time, envelope *envelope, reply *appendReply) {
	if reply.Term > core.Term {
		core.follow(now, reply.Term, "", "")
		return
	}
	member, found := core.member(envelope.from)
	if core.role != roleLeader || reply.RequestTerm != core.Term || !found {
		return
	}
	progress := core.progressOf(now, envelope.from)
	if reply.Stamp <= progress.sinceStamp {
		return
	}
	progress.recordReply(reply.Stamp, reply.Level)
	if reply.Rejected {
		core.backtrack(member, progress, reply)
	} else {
		core.recordMatch(progress, reply)
	}
	core.replicate(now, member)
}

// recordMatch records how far a replica's log is known to be equal to this one, and ends the probing
// and the transfer of a snapshot that this makes unnecessary.
func (core *core) recordMatch(progress *progress, reply *appendReply) {
	if reply.Match >= progress.match {
		progress.match, progress.matchStamp = reply.Match, core.lastStamp
	}
	if progress.probing && reply.Match+1 >= progress.next {
		// Probes may have been lost; their entries are sent again.
		progress.probing, progress.inFlight = false, nil
	}
	if progress.sendingSnapshot != nil && reply.Match >= progress.sendingSnapshot.Index {
		progress.sendingSnapshot = nil
	}
	progress.next = max(progress.next, progress.match+1)
	unanswered := progress.inFlight[:0]
	for _, last := range progress.inFlight {
		if last > reply.Match {
			unanswered = append(unanswered, last)
		}
	}
	progress.inFlight = unanswered
	core.advanceCommit()
}

// backtrack moves next back to where a replica's log may be equal to this one. A replica whose disk
// was reset to an earlier state is told to rejoin instead.
func (core *core) backtrack(member member, progress *progress, reply *appendReply) {
	if reply.Last < progress.match && reply.Stamp > progress.matchStamp {
		// The replica once held more durable entries: its disk was reset to an earlier state.
		core.send(member.ID, member.Address, rejoinRequest{Term: core.Term})
		return
	}
	if progress.sendingSnapshot != nil {
		return
	}
	// The replica may report an index before match, because it knows only where the term of its
	// differing entry begins.
	progress.probing, progress.inFlight = true, nil
	progress.next = min(progress.next, max(reply.Match, progress.match)+1)
}

// advanceCommit commits entries that are durable on a quorum, once an entry of this term is: durable
// entries of earlier terms alone may still be replaced by a later leader. A leader that was removed from the group stops
// leading once its removal is committed.
func (core *core) advanceCommit() {
	if core.role != roleLeader {
		return
	}
	commit := core.commit
	for index := max(core.commit+1, core.termStart); index <= core.log.lastIndex(); index++ {
		if !core.hasQuorum(func(id string) bool { return core.holdsDurably(id, index) }) {
			break
		}
		commit = index
	}
	if commit == core.commit {
		return
	}
	core.commit = commit
	if !core.isMember(core.id) && core.lastMembershipIndex() <= core.commit {
		core.role, core.leaderID, core.leaderPeerAddress, core.leadingSince = roleFollower, "", "", time.Time{}
	}
}

func (core *core) holdsDurably(id string, index uint64) bool {
	if id == core.id {
		return core.durable >= index
	}
	progress := core.progress[id]
	return progress != nil && progress.match >= index
}
