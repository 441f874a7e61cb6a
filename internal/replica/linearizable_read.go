// Linearizable reads: a leader confirms by a round of messages that no later leader was elected
// before the read. This doesn't depend on its clock.

package replica

import (
	"slices"
	"time"
)

const (
	// readRoundInterval is the minimum time between two rounds that confirm reads. A round confirms
	// all reads that began before it. A renewal of an entry process's lease waits for such a
	// round, and the entry processes between which targets move wait for several renewals in
	// sequence, so a longer interval delays requests.
	readRoundInterval = 5 * time.Millisecond
)

type (
	// pendingRead is a check that the state machine has applied everything that was committed before
	// the read began.
	pendingRead struct {
		term  uint64
		index uint64
		// afterStamp is the stamp of the last message sent before the read began.
		afterStamp time.Duration
	}
)

// stamp returns a stamp for a message: the time since this replica's start, but always greater than
// the last stamp, even if the clock stands still.
func (core *core) stamp(now time.Time) time.Duration {
	core.lastStamp = max(now.Sub(core.startedAt), core.lastStamp+1)
	return core.lastStamp
}

// beginRead begins a read; only a leader may call it. The next round confirms it.
func (core *core) beginRead() pendingRead {
	core.readRoundRequested = true
	return pendingRead{term: core.Term, index: max(core.commit, core.termStart), afterStamp: core.lastStamp}
}

// readConfirmed reports whether a read is confirmed: a quorum has replied to messages that this
// leader sent after the read began, so none of these replicas had voted for a later leader by then,
// and the state machine has applied the read's index.
func (core *core) readConfirmed(pendingRead pendingRead) bool {
	if core.role != roleLeader || core.transferring || core.Term != pendingRead.term || core.applied < pendingRead.index {
		return false
	}
	return core.hasQuorum(func(id string) bool {
		progress := core.progress[id]
		return id == core.id || progress != nil && progress.acknowledgedStamp > pendingRead.afterStamp
	})
}

// nextLeaderSend returns when the leader must next send a message.
func (core *core) nextLeaderSend() time.Time {
	if core.readRoundRequested && core.nextReadRound.Before(core.nextHeartbeat) {
		return core.nextReadRound
	}
	return core.nextHeartbeat
}

// sendReadRound sends an empty append to each voter with a known match index. The append follows
// that index, so that a round never affects replication. The other voters confirm reads by their
// replies to heartbeats.
func (core *core) sendReadRound(now time.Time) {
	if !core.readRoundRequested || now.Before(core.nextReadRound) {
		return
	}
	core.readRoundRequested, core.nextReadRound = false, now.Add(readRoundInterval)
	for _, member := range core.members() {
		progress := core.progress[member.ID]
		if !member.Voter || member.ID == core.id || progress == nil || progress.match == 0 {
			continue
		}
		term, known := core.log.term(progress.match)
		if !known {
			continue
		}
		core.send(member.ID, member.Address, appendRequest{
			Term: core.Term, Prev: progress.match, PrevTerm: term, Commit: core.commit, Stamp: core.stamp(now),
		})
	}
}

// lastQuorumContact returns the latest time at which every replica of some quorum still followed
// this leader. A replica followed it when the leader sent the latest message that the replica has
// answered. A replica that has answered nothing counts as one that followed this leader at floor.
func (core *core) lastQuorumContact(now, floor time.Time) time.Time {
	voters := core.voters()
	if len(voters) == 0 {
		return floor
	}
	times := make([]time.Time, 0, len(voters))
	for _, id := range voters {
		switch {
		case id == core.id:
			times = append(times, now)
		case core.progress[id] != nil && core.progress[id].acknowledgedStamp > 0:
			times = append(times, core.lastContact(core.progress[id]))
		default:
			times = append(times, floor)
		}
	}
	slices.SortFunc(times, func(left, right time.Time) int { return right.Compare(left) })
	return times[len(voters)/2]
}

// lastContact returns when this leader sent the latest message that the replica has answered; zero
// if the replica has answered none.
func (core *core) lastContact(progress *progress) time.Time {
	if progress.acknowledgedStamp == 0 {
		return time.Time{}
	}
	return core.startedAt.Add(progress.acknowledgedStamp)
}
