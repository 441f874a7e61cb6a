// Leader election: at most one replica leads a term, and a leader that a quorum hears is not
// replaced.

package replica

import "time"

// resetElectionTimer makes this replica grant no vote for the minimum election timeout, and not
// stand for election for a random time after it.
func (core *core) resetElectionTimer(now time.Time) {
	core.noVoteBefore = now.Add(minimumElectionTimeout)
	core.electionDeadline = core.noVoteBefore.Add(core.electionJitter())
}

func (core *core) electionJitter() time.Duration {
	return time.Duration(core.random.Int64N(int64(minimumElectionTimeout)))
}

// nextWake returns when the core next needs a ticked input.
func (core *core) nextWake() time.Time {
	switch {
	case !core.hasGroup() || !core.diskVerified:
		return core.nextHello
	case core.role == roleLeader:
		return core.nextLeaderSend()
	default:
		return core.electionDeadline
	}
}

func (core *core) followsLeader() bool {
	return core.role == roleFollower && core.leaderID != ""
}

// follow makes this replica a follower in a term. The leader's ID and address are empty if no leader
// is known.
func (core *core) follow(now time.Time, term uint64, leaderID, leaderAddress string) {
	if term > core.Term {
		core.Term, core.Vote = term, ""
		core.recordHardState()
	}
	if core.role == roleLeader {
		core.resetElectionTimer(now)
	}
	core.role, core.leaderID, core.leaderPeerAddress = roleFollower, leaderID, leaderAddress
	core.progress, core.leadingSince, core.transferring = nil, time.Time{}, false
}

// startPreVote asks the voters whether they would vote for this replica. A learner only reports to them. It raises its term only
// once a quorum would, so that a replica that was partitioned doesn't disrupt the group.
func (core *core) startPreVote(now time.Time) {
	core.electionDeadline = now.Add(electionRetryDelay + core.electionJitter())
	if !core.isVoter(core.id) {
		// A learner that no leader lists any more learns of it by this report; see requestRejoin.
		core.sendGeneration()
		return
	}
	core.role, core.leaderID, core.leaderPeerAddress = rolePreCandidate, "", ""
	core.votes = map[string]bool{core.id: true}
	core.requestVotes(voteRequest{Term: core.Term + 1, Pre: true})
	core.countVotes(now)
}

// campaign requests votes in a new term. leadershipTransfer is true if the leader has resigned in
// favour of this replica.
func (core *core) campaign(now time.Time, leadershipTransfer bool) {
	core.electionDeadline = now.Add(electionRetryDelay + core.electionJitter())
	core.role, core.leaderID, core.leaderPeerAddress = roleCandidate, "", ""
	core.Term, core.Vote = core.Term+1, core.id
	core.recordHardState()
	core.votes = map[string]bool{core.id: true}
	core.requestVotes(voteRequest{Term: core.Term, LeadershipTransfer: leadershipTransfer})
	core.countVotes(now)
}

func (core *core) requestVotes(request voteRequest) {
	request.LastIndex, request.LastTerm = core.log.lastIndex(), core.log.lastTerm()
	for _, member := range core.members() {
		if member.Voter && member.ID != core.id {
			core.sendAfterSync(member.ID, member.Address, request)
		}
	}
}

func (core *core) countVotes(now time.Time) {
	if !core.hasQuorum(func(id string) bool { return core.votes[id] }) {
		return
	}
	switch core.role {
	case rolePreCandidate:
		core.campaign(now, false)
	case roleCandidate:
		core.startLeading(now)
	case roleFollower, roleLeader:
	}
}

func (core *core) receiveVoteRequest(now time.Time, envelope *envelope, request *voteRequest) {
	if !core.hasGroup() || request.Term < core.Term {
		core.replyVote(envelope, voteReply{Term: core.Term, Pre: request.Pre})
		return
	}
	// A replica that was merely partitioned must not depose a leader that others hear: neither
	// grant the vote nor adopt the term.
	leaderProtected := core.role == roleLeader || now.Before(core.noVoteBefore)
	if leaderProtected && !request.LeadershipTransfer {
		core.replyVote(envelope, voteReply{Term: core.Term, Pre: request.Pre})
		return
	}
	upToDate := request.LastTerm > core.log.lastTerm() || request.LastTerm == core.log.lastTerm() && request.LastIndex >= core.log.lastIndex()
	if request.Pre {
		core.replyPreVote(now, envelope, request, upToDate && request.Term > core.Term)
		return
	}
	if request.Term > core.Term {
		core.follow(now, request.Term, "", "")
	}
	granted := upToDate && (core.Vote == "" || core.Vote == envelope.from) && core.role == roleFollower
	if granted {
		core.Vote = envelope.from
		core.recordHardState()
		core.electionDeadline = now.Add(minimumElectionTimeout + core.electionJitter())
	}
	core.replyVote(envelope, voteReply{Term: core.Term, Granted: granted})
}

// yieldElection gives a replica that comes earlier in the order of IDs the time to win an election. Two
// replicas that stand at the same time would split the votes.
func (core *core) yieldElection(now time.Time) {
	if core.role == rolePreCandidate {
		core.role = roleFollower
	}
	if deadline := now.Add(electionStagger); core.electionDeadline.Before(deadline) {
		core.electionDeadline = deadline
	}
}

// deferVoteRequest keeps a vote request until the disk is verified. When all replicas restart
// together, the first one that stands for election would otherwise have to ask again.
func (core *core) deferVoteRequest(received *envelope) {
	if _, isVoteRequest := received.message.(voteRequest); isVoteRequest && core.isVoter(received.from) {
		core.deferredVotes[received.from] = *received
	}
}

// receiveDeferredVotes handles the deferred vote requests as if they had just arrived.
func (core *core) receiveDeferredVotes(now time.Time) {
	for _, id := range core.voters() {
		if deferred, found := core.deferredVotes[id]; found {
			core.receiveVerified(now, &deferred)
		}
	}
	clear(core.deferredVotes)
}

// replyPreVote replies with the requested term only if the pre-vote is granted. A refusal must not
// make the requester raise its term.
func (core *core) replyPreVote(now time.Time, envelope *envelope, request *voteRequest, granted bool) {
	reply := voteReply{Term: core.Term, Pre: true, Granted: granted}
	if granted {
		reply.Term = request.Term
	}
	core.replyVote(envelope, reply)
	if granted && envelope.from < core.id {
		core.yieldElection(now)
	}
}

func (core *core) replyVote(request *envelope, reply voteReply) {
	core.sendAfterSync(request.from, request.fromAddress, reply)
}

func (core *core) receiveVoteReply(now time.Time, envelope *envelope, reply *voteReply) {
	if !reply.Granted {
		if reply.Term > core.Term {
			core.follow(now, reply.Term, "", "")
		}
		return
	}
	expected := reply.Pre && core.role == rolePreCandidate && reply.Term == core.Term+1 ||
		!reply.Pre && core.role == roleCandidate && reply.Term == core.Term
	if !expected {
		return
	}
	core.votes[envelope.from] = true
	core.countVotes(now)
}

func (core *core) startLeading(now time.Time) {
	core.role, core.leaderID, core.leaderPeerAddress = roleLeader, core.id, core.address
	core.leadingSince, core.nextHeartbeat, core.transferring = now, now, false
	core.progress = map[string]*progress{}
	core.newcomers = map[string]newcomer{}
	core.termStart = core.log.lastIndex() + 1
	core.appendAsLeader(entry{Kind: entryEmpty})
	core.replicateAll(now)
}

// tickLeader performs the leader's periodic work. A leader that has lost contact with a quorum for
// the minimum election timeout becomes a follower.
func (core *core) tickLeader(now time.Time) {
	if now.Sub(core.lastQuorumContact(now, core.leadingSince)) >= minimumElectionTimeout {
		core.follow(now, core.Term, "", "")
		return
	}
	if !now.Before(core.nextHeartbeat) {
		core.nextHeartbeat = now.Add(heartbeatInterval)
		core.sendHeartbeats(now)
		core.reconcileMembers(now)
	}
	core.sendReadRound(now)
	if core.transferring {
		core.transferLeadership(now)
	}
}

// transferLeadership hands leadership to a reachable voter that has the whole log, if there is one.
func (core *core) transferLeadership(now time.Time) {
	for _, member := range core.members() {
		progress := core.progress[member.ID]
		if !member.Voter || progress == nil || progress.match < core.log.lastIndex() || now.Sub(core.lastContact(progress)) >= minimumElectionTimeout {
			continue
		}
		core.send(member.ID, member.Address, timeoutNow{Term: core.Term})
		core.follow(now, core.Term, "", "")
		return
	}
}
