package replica

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// restartedCore returns the core of replica a after a restart in a group of the given members.
func restartedCore(now time.Time, members []member) *core {
	restarted := &core{random: rand.New(rand.NewPCG(1, 1))}
	restarted.load(&durableState{
		id: "a", hard: hardState{Term: 2},
		entries: []entry{{Index: 1, Term: 1, Kind: entryMembers, Data: encodeMembers(members)}},
	})
	restarted.start(now)
	return restarted
}

// TestRestartedReplicaWithholdsVote guards against a restarted replica that grants a vote as soon
// as its disk is verified, while a leader that it heard before the restart may still lead.
func TestRestartedReplicaWithholdsVote(t *testing.T) {
	now := time.Unix(1000, 0)
	members := []member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	restarted := restartedCore(now, members)
	for _, other := range []string{"b", "c"} {
		restarted.step(now, messageReceived{envelope: envelope{from: other, to: "a", message: generationReply{Generation: restarted.Generation}}})
	}
	if !restarted.diskVerified {
		t.Fatal("the replica's disk is not verified, expected it to be after the replies of all others")
	}
	for _, row := range []struct {
		after   time.Duration
		granted bool
	}{{0, false}, {minimumElectionTimeout - time.Millisecond, false}, {minimumElectionTimeout, true}} {
		restarted.drainOutput()
		restarted.step(now.Add(row.after), messageReceived{envelope: envelope{from: "b", to: "a", message: voteRequest{Term: 3, LastIndex: 1, LastTerm: 1, Pre: true}}})
		for _, sent := range restarted.drainOutput().afterSync {
			if reply, isReply := sent.message.(voteReply); isReply && reply.Granted != row.granted {
				t.Errorf("%v after its restart: vote granted %t, expected %t", row.after, reply.Granted, row.granted)
			}
		}
	}
}

// TestLeaderCommitsOwnEntryAfterSync guards against a leader that counts its own entry as durable
// before it has synced it. The leader is the only voter, and sends the appends of two commands
// before one sync.
func TestLeaderCommitsOwnEntryAfterSync(t *testing.T) {
	now := time.Unix(1000, 0)
	leader := &core{id: "a", random: rand.New(rand.NewPCG(1, 1)), sizes: defaultSizes(), diskVerified: true}
	leader.start(now)
	leader.adoptBootstrapEntry(now, entry{Index: 1, Term: 1, Kind: entryMembers, Data: encodeMembers([]member{{ID: "a", Voter: true}, {ID: "b"}})})
	leader.Term = 2
	leader.startLeading(now)
	for leader.commit < leader.log.lastIndex() {
		leader.drainOutput()
		leader.step(now, synced{})
	}
	leader.progressOf(now, "b").probing = false
	syncedIndex := leader.log.lastIndex()
	for range 2 {
		leader.step(now, proposed{commands: [][]byte{{1}}})
	}
	sent := 0
	for _, envelope := range leader.drainOutput().immediate {
		request, isAppend := envelope.message.(appendRequest)
		if !isAppend {
			continue
		}
		sent++
		if request.Commit > syncedIndex {
			t.Errorf("the leader sends commit index %d, expected at most the synced index %d", request.Commit, syncedIndex)
		}
	}
	if sent < 2 {
		t.Fatalf("the leader sent %d appends, expected at least 2", sent)
	}
}

// TestLeaderlessQuorumEndsVoteHoldOff checks that a restarted replica ends its vote hold-off once a
// quorum has reported that it follows no leader. In a group of five, one other replica is not
// enough.
func TestLeaderlessQuorumEndsVoteHoldOff(t *testing.T) {
	now := time.Unix(1000, 0)
	var members []member
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		members = append(members, member{ID: id, Voter: true})
	}
	restarted := restartedCore(now, members)
	for _, row := range []struct {
		other string
		ended bool
	}{{"b", false}, {"c", true}} {
		restarted.step(now, messageReceived{envelope: envelope{from: row.other, to: "a", message: generationReply{Generation: restarted.Generation, Leaderless: true}}})
		if ended := restarted.noVoteBefore.Equal(now); ended != row.ended {
			t.Errorf("after the report of %s: vote hold-off ended %t, expected %t", row.other, ended, row.ended)
		}
	}
}

// TestReplacedMemberEndsVerification checks that a restarted replica doesn't wait for a member at whose
// address another replica replies. In a group of five that lost power together with one disk, that
// wait would otherwise delay the election by verifyTimeout.
func TestReplacedMemberEndsVerification(t *testing.T) {
	now := time.Unix(1000, 0)
	var members []member
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		members = append(members, member{ID: id, Address: id + ":1", Voter: true})
	}
	restarted := restartedCore(now, members)
	newcomer := &core{id: "e#2", address: "e:1", random: rand.New(rand.NewPCG(1, 1))}
	newcomer.start(now)
	newcomer.drainOutput()
	newcomer.step(now, messageReceived{envelope: envelope{from: "a", fromAddress: "a:1", to: "e", toAddress: "e:1", message: generationReport{Generation: restarted.Generation}}})
	replies := newcomer.drainOutput().immediate
	replies = slices.DeleteFunc(replies, func(sent envelope) bool { return sent.toAddress != "a:1" })
	if len(replies) != 1 {
		t.Fatalf("the replica with the lost disk sends %d replies, expected 1", len(replies))
	}
	restarted.step(now, messageReceived{envelope: replies[0]})
	for _, other := range []string{"b", "c", "d"} {
		if restarted.diskVerified {
			t.Fatalf("the disk is verified before the reply of %s, expected the wait for all remaining members", other)
		}
		restarted.step(now, messageReceived{envelope: envelope{from: other, fromAddress: other + ":1", to: "a", message: generationReply{Generation: restarted.Generation}}})
	}
	if !restarted.diskVerified {
		t.Fatal("the disk is not verified, expected no wait for the member that was replaced")
	}
}

// TestReplacedMembersAreNoQuorum checks that replies from replaced members don't verify a disk.
func TestReplacedMembersAreNoQuorum(t *testing.T) {
	now := time.Unix(1000, 0)
	members := []member{{ID: "a", Address: "a:1", Voter: true}, {ID: "b", Address: "b:1", Voter: true}, {ID: "c", Address: "c:1", Voter: true}}
	restarted := restartedCore(now, members)
	for _, other := range []string{"b", "c"} {
		restarted.step(now, messageReceived{envelope: envelope{from: other + "#2", fromAddress: other + ":1", to: "a", message: generationReply{Generation: restarted.Generation, AddresseeGone: true}}})
	}
	restarted.step(now.Add(2*verifyTimeout), ticked{})
	if restarted.diskVerified {
		t.Fatal("the disk is verified without the reply of any other member")
	}
}

// TestVoteRequestWaitsForVerification checks that a vote request that arrives before the disk is
// verified is answered once it is. When everything restarts together, replicas verify their disks at
// different times, and the first candidate would otherwise ask in vain.
func TestVoteRequestWaitsForVerification(t *testing.T) {
	now := time.Unix(1000, 0)
	members := []member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	restarted := restartedCore(now, members)
	granted := func() int {
		count := 0
		for _, sent := range restarted.drainOutput().afterSync {
			if reply, isReply := sent.message.(voteReply); isReply && reply.Granted && sent.to == "b" {
				count++
			}
		}
		return count
	}
	request := envelope{from: "b", to: "a", message: voteRequest{Term: 3, LastIndex: 1, LastTerm: 1, Pre: true}}
	restarted.step(now, messageReceived{envelope: request})
	if granted() != 0 {
		t.Fatal("a vote was granted before the disk is verified")
	}
	for _, other := range []string{"b", "c"} {
		restarted.step(now, messageReceived{envelope: envelope{from: other, to: "a", message: generationReply{Generation: restarted.Generation, Leaderless: true}}})
	}
	if granted() != 1 {
		t.Fatal("the vote request that came before the verification was not answered after it")
	}
}

// TestCandidateYieldsToEarlierOne guards against two replicas that stand for election at the same time after a restart of
// all and split the votes, so that the next try takes another two round trips.
func TestCandidateYieldsToEarlierOne(t *testing.T) {
	now := time.Unix(1000, 0)
	members := []member{{ID: "0", Voter: true}, {ID: "a", Voter: true}, {ID: "b", Voter: true}}
	for _, row := range []struct {
		from   string
		yields bool
	}{{"0", true}, {"b", false}} {
		candidate := restartedCore(now, members)
		for _, other := range []string{"0", "b"} {
			candidate.step(now, messageReceived{envelope: envelope{from: other, to: "a", message: generationReply{Generation: candidate.Generation, Leaderless: true}}})
		}
		standing := now.Add(2 * electionStagger)
		candidate.step(standing, ticked{})
		if candidate.role != rolePreCandidate {
			t.Fatalf("the role is %d, expected that of a candidate", candidate.role)
		}
		candidate.drainOutput()
		candidate.step(standing, messageReceived{envelope: envelope{from: row.from, to: "a", message: voteRequest{Term: 3, LastIndex: 1, LastTerm: 1, Pre: true}}})
		if granted := grantsVote(candidate.drainOutput().afterSync); !granted {
			t.Errorf("the vote for %s isn't granted", row.from)
		}
		if yields := candidate.role == roleFollower; yields != row.yields {
			t.Errorf("yields to %s: %t, expected %t", row.from, yields, row.yields)
		}
		// If the other one fails, this replica stands again.
		candidate.step(standing.Add(electionStagger+electionRetryDelay+minimumElectionTimeout), ticked{})
		if candidate.role != rolePreCandidate {
			t.Errorf("after yielding to %s the replica doesn't stand again", row.from)
		}
	}
}

func grantsVote(sent []envelope) bool {
	return slices.ContainsFunc(sent, func(sent envelope) bool {
		reply, isReply := sent.message.(voteReply)
		return isReply && reply.Granted
	})
}

// TestReportIsAnsweredByReport guards against a verification that waits for the next report, because the previous one was
// sent before the other replica was up.
func TestReportIsAnsweredByReport(t *testing.T) {
	now := time.Unix(1000, 0)
	restarted := restartedCore(now, []member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}})
	reports := func() int {
		count := 0
		for _, sent := range restarted.drainOutput().afterSync {
			if _, isReport := sent.message.(generationReport); isReport && sent.to == "b" {
				count++
			}
		}
		return count
	}
	restarted.step(now, ticked{})
	reports()
	report := messageReceived{envelope: envelope{from: "b", to: "a", message: generationReport{Generation: diskGeneration{Number: 5}}}}
	restarted.step(now, report)
	if sent := reports(); sent != 1 {
		t.Errorf("%d reports are sent to a replica that has just come up, expected 1", sent)
	}
	restarted.step(now, messageReceived{envelope: envelope{from: "b", to: "a", message: generationReply{Generation: restarted.Generation}}})
	restarted.step(now, report)
	if sent := reports(); sent != 0 {
		t.Errorf("%d reports are sent to a replica that has replied, expected none", sent)
	}
}
