// The consensus state machine of a replica. It uses no sockets, disks or clocks, so that all its
// decisions are a function of its inputs.

package replica

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// heartbeatInterval is the time between a leader's heartbeats to a replica.
	heartbeatInterval = 100 * time.Millisecond
	// minimumElectionTimeout is how long a replica grants no vote after it has heard from a leader,
	// so that a leader that a quorum hears is not replaced. It is the shortest time to an election.
	// Reads don't depend on any clock.
	minimumElectionTimeout = 600 * time.Millisecond
	// electionRetryDelay is the minimum time until a replica that got no quorum of votes asks
	// again: several round trips between regions. Asking again can't depose a leader, because
	// replicas that hear from one refuse.
	electionRetryDelay = 150 * time.Millisecond
)

const (
	roleFollower role = iota
	rolePreCandidate
	roleCandidate
	roleLeader
)

type (
	role uint8

	// input is an input of the core: one of the types below.
	input interface {
		isInput()
	}

	// ticked reports that time has passed.
	ticked struct{}

	// messageReceived delivers a message.
	messageReceived struct{ envelope envelope }

	// proposed asks a leader to append commands.
	proposed struct{ commands [][]byte }

	// synced reports that the records of all earlier outputs are durable.
	synced struct{}

	// snapshotTaken passes the state of the state machine after the entry at an index.
	snapshotTaken struct {
		index uint64
		data  []byte
	}

	// addRequested asks a leader to add a replica that sends hello from an address.
	addRequested struct{ name, address string }

	// removeRequested asks a leader to remove a replica.
	removeRequested struct{ id string }

	// transferRequested asks a leader to transfer leadership to another replica.
	transferRequested struct{}

	// hardState is the durable state besides the log.
	hardState struct {
		Term uint64 `msgpack:"t"`
		Vote string `msgpack:"v"`
		// Generation is the latest generation of this replica's disk, and PeerGenerations are the
		// latest ones registered by other replicas.
		Generation      diskGeneration            `msgpack:"b"`
		PeerGenerations map[string]diskGeneration `msgpack:"o"`
		// PeerLevels are the feature levels that other replicas registered with their generations.
		// A replica that isn't listed has level 0.
		PeerLevels map[string]int `msgpack:"l,omitempty"`
	}

	// diskGeneration identifies how recent a disk is. Its number grows at each start and at regular
	// intervals, and the other replicas store it, so that a disk that was reset to an earlier state
	// is recognised. The nonce distinguishes two disks that continued from the same state.
	diskGeneration struct {
		Number uint64 `msgpack:"n"`
		Nonce  uint64 `msgpack:"o"`
	}

	// output is what the driver must do, in this order: send immediate, make the records durable,
	// step with synced, send afterSync, apply toApply.
	output struct {
		immediate []envelope
		afterSync []envelope
		// hard and entries are the records to append. If rewriteAll is true, the whole durable state
		// is written anew instead.
		hard       *hardState
		entries    []entry
		rewriteAll bool
		// restore, if not nil, replaces the state machine's state before the entries in toApply
		// are applied.
		restore *snapshot
		toApply []entry
		// reset requires the disk to be discarded: it must not be used under this replica's ID.
		reset bool
		// memberChanges are the changes of members that this leader has appended.
		memberChanges []memberChange
		// refusal is the reply to addRequested and removeRequested; nil accepts.
		refusal error
	}

	// core is the consensus state of one replica.
	core struct {
		id      string
		address string
		// level is the feature level of this replica's build.
		level int
		sizes sizes
		peers []string
		// joinOnly replicas never bootstrap a group. selfManaged groups need no operator to add
		// newcomers and to replace members that have been unreachable for long.
		joinOnly    bool
		selfManaged bool
		random      *rand.Rand
		startedAt   time.Time

		hardState
		// diskVerified is false after a restart until a quorum has confirmed that no later
		// generation of this disk is registered. Until then this replica neither votes nor
		// acknowledges entries.
		diskVerified bool
		verifiedBy   map[string]bool
		// replaced are the members at whose address another replica has replied since the start.
		replaced map[string]bool
		// deferredVotes holds the latest vote request of each replica that arrived before the disk
		// was verified.
		deferredVotes map[string]envelope
		// leaderless are the replicas that have reported since the start that they follow no
		// leader.
		leaderless map[string]bool
		// holdOffEnded is true if the vote hold-off after the start (see noVoteBefore) was ended
		// early.
		holdOffEnded bool

		log         entryLog
		snapshot    snapshot
		memberships []membership
		// commit, applied and durable are the last indexes that are committed, applied to the
		// state machine, and durable on this replica's disk.
		commit  uint64
		applied uint64
		durable uint64

		role              role
		leaderID          string
		leaderPeerAddress string
		// noVoteBefore is the end of the vote hold-off: until then this replica grants no vote,
		// except to a candidate to which the leader transfers its leadership.
		noVoteBefore     time.Time
		electionDeadline time.Time
		// nextHello is when a replica without a group next sends hello, and when a restarted replica
		// next sends the report that verifies its disk.
		nextHello      time.Time
		nextGeneration time.Time
		votes          map[string]bool
		// newcomers are the replicas that have sent hello, by address.
		newcomers map[string]newcomer
		incoming  incomingSnapshot

		leadingSince time.Time
		// termStart is the index of the first entry of this leader's term.
		termStart     uint64
		nextHeartbeat time.Time
		progress      map[string]*progress
		transferring  bool
		// lastStamp is the stamp of the last message sent; see stamp.
		lastStamp          time.Duration
		readRoundRequested bool
		nextReadRound      time.Time

		out output
	}

	// newcomer is a replica that has sent hello because it belongs to no group.
	newcomer struct {
		id      string
		peers   []string
		helloAt time.Time
	}
)

func (ticked) isInput()            {}
func (messageReceived) isInput()   {}
func (proposed) isInput()          {}
func (synced) isInput()            {}
func (snapshotTaken) isInput()     {}
func (addRequested) isInput()      {}
func (removeRequested) isInput()   {}
func (transferRequested) isInput() {}

// start prepares a core whose durable state has been loaded.
func (core *core) start(now time.Time) {
	core.startedAt = now
	core.newcomers = map[string]newcomer{}
	core.verifiedBy = map[string]bool{}
	core.replaced = map[string]bool{}
	core.deferredVotes = map[string]envelope{}
	core.leaderless = map[string]bool{}
	core.commit = max(core.commit, core.snapshot.Index)
	core.applied = core.snapshot.Index
	core.durable = core.log.lastIndex()
	slices.Sort(core.peers)
	core.nextGeneration = now.Add(generationInterval)
	// A leader that this replica heard before the restart may still lead.
	core.resetElectionTimer(now)
}

// step processes one input. The time must never go back. The outputs of several steps may be
// collected by one drainOutput.
func (core *core) step(now time.Time, input input) {
	switch input := input.(type) {
	case ticked:
	case messageReceived:
		core.receive(now, &input.envelope)
	case proposed:
		core.propose(now, input.commands)
	case synced:
		core.durable = core.log.lastIndex()
		core.advanceCommit()
	case snapshotTaken:
		core.compact(input.index, input.data)
	case addRequested:
		core.out.refusal = core.add(now, input.name, input.address)
	case removeRequested:
		core.out.refusal = core.remove(now, input.id)
	case transferRequested:
		core.transferring = core.role == roleLeader
	}
	core.tick(now)
}

// drainOutput returns the outputs since the last call, and counts the entries in toApply as applied.
func (core *core) drainOutput() output {
	out := core.out
	core.out = output{}
	out.toApply = core.entriesToApply()
	return out
}

// entriesToApply returns the entries that have become committed and durable here, and counts them as
// applied.
func (core *core) entriesToApply() []entry {
	if core.commit <= core.applied {
		return nil
	}
	// An entry is applied only once it is durable here.
	through := min(core.commit, core.durable)
	if through <= core.applied {
		return nil
	}
	first := core.applied - core.log.offset
	entries := core.log.entries[first : through-core.log.offset]
	core.applied = through
	return append([]entry(nil), entries...)
}

func (core *core) tick(now time.Time) {
	if core.hasGroup() && core.diskVerified && !now.Before(core.nextGeneration) {
		core.renewGeneration(now)
	}
	switch {
	case !core.hasGroup():
		core.discoverGroup(now)
	case !core.diskVerified:
		core.verifyDisk(now)
	case core.role == roleLeader:
		core.tickLeader(now)
	case !now.Before(core.electionDeadline):
		core.startPreVote(now)
	}
}

func (core *core) receive(now time.Time, envelope *envelope) {
	if received, isHello := envelope.message.(hello); isHello {
		core.receiveHello(now, envelope, &received)
		return
	}
	if envelope.to != core.id {
		core.reportAddresseeGone(envelope)
		return
	}
	switch message := envelope.message.(type) {
	case bootstrapEntry:
		core.receiveBootstrapEntry(now, &message)
	case generationReport:
		core.receiveGenerationReport(envelope, &message)
	case generationReply:
		core.receiveGenerationReply(now, envelope, &message)
	case rejoinRequest:
		core.out.reset = core.out.reset || message.Term >= core.Term
	default:
		if core.hasGroup() && !core.diskVerified {
			core.deferVoteRequest(envelope)
			return
		}
		core.receiveVerified(now, envelope)
	}
}

// receiveVerified handles the messages that a replica may answer only if its disk is not outdated.
func (core *core) receiveVerified(now time.Time, envelope *envelope) {
	switch message := envelope.message.(type) {
	case voteRequest:
		if !core.requestRejoin(envelope.from, envelope.fromAddress) {
			core.receiveVoteRequest(now, envelope, &message)
		}
	case voteReply:
		core.receiveVoteReply(now, envelope, &message)
	case appendRequest:
		core.receiveAppend(now, envelope, &message)
	case appendReply:
		core.receiveAppendReply(now, envelope, &message)
	case installRequest:
		core.receiveInstall(now, envelope, &message)
	case installReply:
		core.receiveInstallReply(now, envelope, &message)
	case timeoutNow:
		if message.Term == core.Term && core.role == roleFollower && core.isVoter(core.id) {
			core.campaign(now, true)
		}
	}
}

func (core *core) hasGroup() bool {
	return len(core.memberships) > 0
}

func (core *core) members() []member {
	if !core.hasGroup() {
		return nil
	}
	return core.memberships[len(core.memberships)-1].members
}

func (core *core) member(id string) (member, bool) {
	for _, member := range core.members() {
		if member.ID == id {
			return member, true
		}
	}
	return member{}, false
}

func (core *core) isVoter(id string) bool {
	member, found := core.member(id)
	return found && member.Voter
}

// voters returns the IDs of the members that count toward a quorum.
func (core *core) voters() []string {
	var voters []string
	for _, member := range core.members() {
		if member.Voter {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// hasQuorum reports whether the predicate holds for a majority of the voters.
func (core *core) hasQuorum(predicate func(id string) bool) bool {
	voters, count := core.voters(), 0
	for _, id := range voters {
		if predicate(id) {
			count++
		}
	}
	return len(voters) > 0 && count > len(voters)/2
}

// allVoters reports whether the predicate holds for every voter.
func (core *core) allVoters(predicate func(id string) bool) bool {
	return !slices.ContainsFunc(core.voters(), func(id string) bool { return !predicate(id) })
}

// send queues a message that is sent at once, because it reveals nothing that is not yet durable.
func (core *core) send(to, address string, message message) {
	core.out.immediate = append(core.out.immediate, core.pack(to, address, message))
}

// sendAfterSync sends a message once all records so far are durable.
func (core *core) sendAfterSync(to, address string, message message) {
	core.out.afterSync = append(core.out.afterSync, core.pack(to, address, message))
}

func (core *core) pack(to, address string, message message) envelope {
	return envelope{from: core.id, fromAddress: core.address, to: to, toAddress: address, message: message}
}

func (core *core) recordHardState() {
	hard := core.hardState
	hard.PeerGenerations, hard.PeerLevels = maps.Clone(core.PeerGenerations), maps.Clone(core.PeerLevels)
	core.out.hard = &hard
}

// nameOf returns the process name in a replica's ID.
func nameOf(id string) string {
	name, _, _ := strings.Cut(id, "#")
	return name
}
