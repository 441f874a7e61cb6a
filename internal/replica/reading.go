// This file exists so that a leader reads only what no later leader can have
// changed, whatever its clock does.

package replica

import (
	"slices"
	"time"
)

const (
	// roundInterval is the least span between two rounds that confirm reads. A
	// round confirms all that asked before it began. Entries that change homes wait
	// for several renewals in turn, so that a longer span delays requests.
	roundInterval = 5 * time.Millisecond
)

type (
	// reading is a question whether the machine holds everything that was
	// accepted before the question.
	reading struct {
		term  uint64
		index uint64
		// asked is the stamp of the last message sent before the question.
		asked time.Duration
	}
)

// stamp returns the time since the start for a message. No two messages have
// the same, also where the clock stands still.
func (core *core) stamp(now time.Time) time.Duration {
	core.stamped = max(now.Sub(core.started), core.stamped+1)
	return core.stamped
}

// read begins a reading, for a leader only. The next round confirms it.
func (core *core) read() reading {
	core.roundAsked = true
	return reading{term: core.Term, index: max(core.commit, core.termStart), asked: core.stamped}
}

// holdsAll reports whether a reading is confirmed: a quorum has answered this
// leader what it sent after the question, so none of them had voted for a later
// one when the question came, and the machine has caught up.
func (core *core) holdsAll(reading reading) bool {
	if core.role != roleLeader || core.handingOver || core.Term != reading.term || core.applied < reading.index {
		return false
	}
	return core.hasQuorum(func(id string) bool {
		progress := core.progress[id]
		return id == core.id || progress != nil && progress.answered > reading.asked
	})
}

// roundDue returns when the leader must next send something.
func (core *core) roundDue() time.Time {
	if core.roundAsked && core.roundAfter.Before(core.heartbeatDue) {
		return core.roundAfter
	}
	return core.heartbeatDue
}

// confirm sends a round to the voters that are known to agree somewhere. It
// names that place, so that a round never takes part in replication: others
// answer the heartbeats.
func (core *core) confirm(now time.Time) {
	if !core.roundAsked || now.Before(core.roundAfter) {
		return
	}
	core.roundAsked, core.roundAfter = false, now.Add(roundInterval)
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
			Term: core.Term, Prev: progress.match, PrevTerm: term, Commit: core.commit, Sent: core.stamp(now),
		})
	}
}

// heardFromQuorum returns the latest time at which the replicas of a quorum
// all still knew this leader, by messages sent then and answered since. A
// replica that has answered nothing counts as heard at the floor.
func (core *core) heardFromQuorum(now, floor time.Time) time.Time {
	voters := core.voters()
	if len(voters) == 0 {
		return floor
	}
	times := make([]time.Time, 0, len(voters))
	for _, id := range voters {
		switch {
		case id == core.id:
			times = append(times, now)
		case core.progress[id] != nil && core.progress[id].answered > 0:
			times = append(times, core.heard(core.progress[id]))
		default:
			times = append(times, floor)
		}
	}
	slices.SortFunc(times, func(left, right time.Time) int { return right.Compare(left) })
	return times[len(voters)/2]
}

// heard returns when the latest message that a replica has answered was sent,
// zero where it has answered none.
func (core *core) heard(progress *progress) time.Time {
	if progress.answered == 0 {
		return time.Time{}
	}
	return core.started.Add(progress.answered)
}
