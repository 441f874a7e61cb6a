package replica

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// answerAppends answers what a leader has sent to some replicas as if each of them had stored it, until the leader sends them
// nothing more. The leader's records are durable at once.
func answerAppends(now time.Time, leader *core, answering ...string) {
	for {
		out := leader.drainOutput()
		if out.hard != nil || len(out.entries) > 0 {
			leader.step(now, synced{})
		}
		answered := false
		for _, sent := range out.immediate {
			request, isAppend := sent.message.(appendRequest)
			if !isAppend || !slices.Contains(answering, sent.to) {
				continue
			}
			answered = true
			last := request.Prev + uint64(len(request.Entries))
			leader.step(now, messageReceived{envelope: envelope{from: sent.to, fromAddress: sent.toAddress, to: leader.id, message: appendReply{
				Term: request.Term, RequestTerm: request.Term, Match: last, Last: last, Stamp: request.Stamp,
			}}})
		}
		if !answered && len(out.entries) == 0 {
			return
		}
	}
}

// newSelfManagedLeader returns the first of several voters, which leads and which all others have answered.
func newSelfManagedLeader(now time.Time, ids ...string) *core {
	leader := &core{id: ids[0], address: ids[0], random: rand.New(rand.NewPCG(1, 1)), sizes: defaultSizes(), diskVerified: true, selfManaged: true}
	var members []member
	for _, id := range ids {
		members = append(members, member{ID: id, Address: id, Voter: true})
	}
	leader.start(now)
	leader.adoptBootstrapEntry(now, entry{Index: 1, Term: 1, Kind: entryMembers, Data: encodeMembers(members)})
	leader.Term = 2
	leader.startLeading(now)
	answerAppends(now, leader, ids...)
	return leader
}

// Guards against a group that grows by several newcomers before it removes the voters that they replace: it then tolerates fewer
// failures than before, until the delay for groups of an odd size.
func TestSilentVotersGoBeforeFurtherPromotions(t *testing.T) {
	now := time.Unix(1000, 0)
	leader := newSelfManagedLeader(now, "a", "b", "c", "d", "e", "f", "g", "h", "i")
	up := []string{"b", "c", "d", "e", "f", "g", "x", "y"}
	run := func(span time.Duration) {
		for end := now.Add(span); now.Before(end); {
			now = now.Add(heartbeatInterval)
			leader.step(now, ticked{})
			answerAppends(now, leader, up...)
		}
	}
	run(evenGroupRemovalDelay)
	for _, id := range []string{"x", "y"} {
		leader.newcomers[id] = newcomer{id: id, helloAt: now}
	}
	run(time.Second)
	if voters, want := leader.voters(), []string{"a", "b", "c", "d", "e", "f", "g", "x", "y"}; !slices.Equal(voters, want) {
		t.Errorf("voters %v a second after the newcomers' hello, want %v", voters, want)
	}
}

// Guards against a group that a newcomer takes the quorum from: with one of three voters gone, a fourth voter that fails right after
// its promotion would leave two of four.
func TestPromotionKeepsQuorumWithoutLearner(t *testing.T) {
	now := time.Unix(1000, 0)
	leader := newSelfManagedLeader(now, "a", "b", "c")
	var lists [][]string
	for elapsed := time.Duration(0); elapsed < 6*time.Second; elapsed += heartbeatInterval {
		now = now.Add(heartbeatInterval)
		if elapsed == time.Second {
			leader.newcomers["d"] = newcomer{id: "d", helloAt: now}
		}
		leader.step(now, ticked{})
		answerAppends(now, leader, "b", "d")
		if voters := leader.voters(); len(lists) == 0 || !slices.Equal(lists[len(lists)-1], voters) {
			lists = append(lists, voters)
		}
	}
	for index, want := range [][]string{{"a", "b", "c"}, {"a", "b"}, {"a", "b", "d"}} {
		if index >= len(lists) || !slices.Equal(lists[index], want) {
			t.Fatalf("voters went through %v, want those without the silent one before those with the newcomer", lists)
		}
	}
}

// Guards against a learner that is judged by replies to messages from before it was removed and added again.
func TestReplyOfEarlierMembershipIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	leader := &core{id: "a", address: "a", random: rand.New(rand.NewPCG(1, 1)), sizes: defaultSizes(), diskVerified: true}
	leader.start(now)
	leader.adoptBootstrapEntry(now, entry{Index: 1, Term: 1, Kind: entryMembers, Data: encodeMembers([]member{{ID: "a", Address: "a", Voter: true}})})
	leader.Term = 2
	leader.startLeading(now)
	answerAppends(now, leader)
	learner := member{ID: "b", Address: "b"}
	leader.changeMember(now, changeAdd, reasonNewAddress, learner)
	earlierStamp := leader.stamp(now)
	answerAppends(now, leader)
	leader.changeMember(now, changeRemove, reasonUnreachableLearner, learner)
	answerAppends(now, leader)
	leader.changeMember(now, changeAdd, reasonNewAddress, learner)
	leader.step(now, messageReceived{envelope: envelope{from: "b", fromAddress: "b", to: "a", message: appendReply{
		Term: 2, RequestTerm: 2, Match: 3, Last: 3, Stamp: earlierStamp,
	}}})
	if leader.isUp(now, "b") || leader.progress["b"].match != 0 {
		t.Errorf("the learner is up or matches up to %d by a reply from before its removal, want neither", leader.progress["b"].match)
	}
}
