// This file exists so that at most one replica leads a term, and none replaces
// a leader that a quorum hears.

package replica

import "time"

// promise keeps this replica from voting for a while, and then from standing
// for election for a random while more.
func (core *core) promise(now time.Time) {
	core.promiseUntil = now.Add(promiseSpan)
	core.electionDue = core.promiseUntil.Add(core.patience())
}

func (core *core) patience() time.Duration {
	return time.Duration(core.random.Int64N(int64(promiseSpan)))
}

// nextDue returns when the core must be told that time has passed.
func (core *core) nextDue() time.Time {
	switch {
	case !core.formed() || !core.proved:
		return core.helloDue
	case core.role == roleLeader:
		return core.roundDue()
	default:
		return core.electionDue
	}
}

func (core *core) followsAnother() bool {
	return core.role == roleFollower && core.leader != ""
}

// follow makes this replica a follower in a term.
func (core *core) follow(now time.Time, term uint64, leader, address string) {
	if term > core.Term {
		core.Term, core.Vote = term, ""
		core.recordHard()
	}
	if core.role == roleLeader {
		core.promise(now)
	}
	core.role, core.leader, core.leaderPlace = roleFollower, leader, address
	core.progress, core.leadingSince, core.handingOver = nil, time.Time{}, false
}

// stand asks the voters whether they would vote for this replica. Only then
// does it raise its term, so that a replica that was cut off disturbs nobody.
func (core *core) stand(now time.Time) {
	core.electionDue = now.Add(retrySpan + core.patience())
	if !core.isVoter(core.id) {
		return
	}
	core.role, core.leader, core.leaderPlace = rolePreCandidate, "", ""
	core.votes = map[string]bool{core.id: true}
	core.askVotes(voteRequest{Term: core.Term + 1, Pre: true})
	core.countVotes(now)
}

// campaign asks the voters for their votes in a new term.
func (core *core) campaign(now time.Time, handOver bool) {
	core.electionDue = now.Add(retrySpan + core.patience())
	core.role, core.leader, core.leaderPlace = roleCandidate, "", ""
	core.Term, core.Vote = core.Term+1, core.id
	core.recordHard()
	core.votes = map[string]bool{core.id: true}
	core.askVotes(voteRequest{Term: core.Term, HandOver: handOver})
	core.countVotes(now)
}

func (core *core) askVotes(request voteRequest) {
	request.LastIndex, request.LastTerm = core.log.last(), core.log.lastTerm()
	for _, member := range core.members() {
		if member.Voter && member.ID != core.id {
			core.sendDurable(member.ID, member.Address, request)
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

func (core *core) receiveVoteRequest(now time.Time, parcel *parcel, request *voteRequest) {
	if !core.formed() || request.Term < core.Term {
		core.replyVote(parcel, voteReply{Term: core.Term, Pre: request.Pre})
		return
	}
	// A replica that only was cut off must not unseat a leader that others
	// hear: neither vote nor take over the term.
	bound := core.role == roleLeader || now.Before(core.promiseUntil)
	if bound && !request.HandOver {
		core.replyVote(parcel, voteReply{Term: core.Term, Pre: request.Pre})
		return
	}
	upToDate := request.LastTerm > core.log.lastTerm() || request.LastTerm == core.log.lastTerm() && request.LastIndex >= core.log.last()
	if request.Pre {
		core.replyPreVote(parcel, request, upToDate && request.Term > core.Term)
		return
	}
	if request.Term > core.Term {
		core.follow(now, request.Term, "", "")
	}
	granted := upToDate && (core.Vote == "" || core.Vote == parcel.from) && core.role == roleFollower
	if granted {
		core.Vote = parcel.from
		core.recordHard()
		core.electionDue = now.Add(promiseSpan + core.patience())
	}
	core.replyVote(parcel, voteReply{Term: core.Term, Granted: granted})
}

// replyPreVote names the term that was asked for only where it is granted. A
// refusal must not make the asker raise its term.
func (core *core) replyPreVote(parcel *parcel, request *voteRequest, granted bool) {
	reply := voteReply{Term: core.Term, Pre: true, Granted: granted}
	if granted {
		reply.Term = request.Term
	}
	core.replyVote(parcel, reply)
}

func (core *core) replyVote(request *parcel, reply voteReply) {
	core.sendDurable(request.from, request.fromAddress, reply)
}

func (core *core) receiveVoteReply(now time.Time, parcel *parcel, reply *voteReply) {
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
	core.votes[parcel.from] = true
	core.countVotes(now)
}

func (core *core) startLeading(now time.Time) {
	core.role, core.leader, core.leaderPlace = roleLeader, core.id, core.address
	core.leadingSince, core.heartbeatDue, core.handingOver = now, now, false
	core.progress = map[string]*progress{}
	core.newcomers = map[string]newcomer{}
	core.termStart = core.log.last() + 1
	core.appendOwn(entry{Kind: entryEmpty})
	core.replicateAll(now)
}

// lead is the leader's tick.
func (core *core) lead(now time.Time) {
	if now.Sub(core.heardFromQuorum(now, core.leadingSince)) >= promiseSpan {
		core.follow(now, core.Term, "", "")
		return
	}
	if !now.Before(core.heartbeatDue) {
		core.heartbeatDue = now.Add(heartbeatInterval)
		core.beat(now)
		core.arrangeMembers(now)
	}
	core.confirm(now)
	if core.handingOver {
		core.handOver(now)
	}
}

// handOver lets the replica lead that has everything.
func (core *core) handOver(now time.Time) {
	for _, member := range core.members() {
		progress := core.progress[member.ID]
		if !member.Voter || progress == nil || progress.match < core.log.last() || now.Sub(core.heard(progress)) >= promiseSpan {
			continue
		}
		core.send(member.ID, member.Address, timeoutNow{Term: core.Term})
		core.follow(now, core.Term, "", "")
		return
	}
}
