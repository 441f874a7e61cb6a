package replica

import (
	"math/rand/v2"
	"testing"
	"time"
)

var levelTestStart = time.Unix(1000, 0)

// newLevelLeader returns a leader of level 1 in a group with the voter b and the learner c.
func newLevelLeader() *core {
	leader := &core{id: "a", level: 1, random: rand.New(rand.NewPCG(1, 1)), sizes: defaultSizes(), diskVerified: true}
	leader.start(levelTestStart)
	leader.adoptBootstrapEntry(levelTestStart, entry{Index: 1, Term: 1, Kind: entryMembers, Data: encodeMembers([]member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c"}})})
	leader.Term = 2
	leader.startLeading(levelTestStart)
	return leader
}

func receiveFrom(receiver *core, from string, message message) {
	receiver.step(levelTestStart.Add(time.Millisecond), messageReceived{envelope: envelope{from: from, to: receiver.id, message: message}})
}

// TestFeatureLevelIsTheLowestOfTheGroup checks what a leader concludes from the replies and the
// registered generations of its group. A level that is too high lets it accept commands that a
// replica of an older build drops.
func TestFeatureLevelIsTheLowestOfTheGroup(t *testing.T) {
	reply := func(stamp time.Duration, level int) appendReply {
		return appendReply{Term: 2, RequestTerm: 2, Match: 1, Last: 1, Stamp: stamp, Level: level}
	}
	report := func(number uint64, level int) generationReport {
		return generationReport{Generation: diskGeneration{Number: number}, Level: level}
	}
	for _, row := range []struct {
		name  string
		level int
		steps func(leader *core)
	}{
		{"no replica has answered", 0, func(*core) {}},
		{"the learner hasn't answered", 0, func(leader *core) { receiveFrom(leader, "b", reply(1, 1)) }},
		{"all have answered", 1, func(leader *core) {
			receiveFrom(leader, "b", reply(1, 1))
			receiveFrom(leader, "c", installReply{Term: 2, RequestTerm: 2, Stamp: 1, Level: 1})
		}},
		{"the voter is of an older build", 0, func(leader *core) {
			receiveFrom(leader, "b", reply(1, 0))
			receiveFrom(leader, "c", reply(1, 1))
		}},
		{"the voter was replaced by one of an older build, whose reply is overtaken by an earlier one", 0, func(leader *core) {
			receiveFrom(leader, "c", reply(1, 1))
			receiveFrom(leader, "b", reply(2, 0))
			receiveFrom(leader, "b", reply(1, 1))
		}},
		{"the voter registered its level and has been down since the election", 1, func(leader *core) {
			receiveFrom(leader, "b", report(1, 1))
			receiveFrom(leader, "c", reply(1, 1))
		}},
		{"the voter then registered as one of an older build", 0, func(leader *core) {
			receiveFrom(leader, "b", report(1, 1))
			receiveFrom(leader, "b", report(2, 0))
			receiveFrom(leader, "c", reply(1, 1))
		}},
		{"the voter registered a level and answers with a lower one", 0, func(leader *core) {
			receiveFrom(leader, "b", report(1, 1))
			receiveFrom(leader, "b", reply(1, 0))
			receiveFrom(leader, "c", reply(1, 1))
		}},
		{"replies count for one term only", 0, func(leader *core) {
			receiveFrom(leader, "b", reply(1, 1))
			receiveFrom(leader, "c", reply(1, 1))
			leader.Term = 3
			leader.startLeading(levelTestStart)
		}},
		{"a replica was added", 0, func(leader *core) {
			receiveFrom(leader, "b", reply(1, 1))
			receiveFrom(leader, "c", reply(1, 1))
			leader.setMembers(levelTestStart, append(leader.membersWithout(""), member{ID: "d"}))
		}},
		{"this replica no longer leads", 0, func(leader *core) {
			receiveFrom(leader, "b", reply(1, 1))
			receiveFrom(leader, "c", reply(1, 1))
			leader.follow(levelTestStart, 3, "b", "")
		}},
	} {
		leader := newLevelLeader()
		row.steps(leader)
		if level := leader.featureLevel(); level != row.level {
			t.Errorf("%s: level %d, expected %d", row.name, level, row.level)
		}
	}
}

// TestRepliesCarryTheLevel checks that a follower shows its level in each reply to the leader, and with
// its generation. A leader otherwise refuses rollouts for ever.
func TestRepliesCarryTheLevel(t *testing.T) {
	follower := newLevelLeader()
	follower.follow(levelTestStart, 2, "", "")
	_ = follower.drainOutput()
	receiveFrom(follower, "b", appendRequest{Term: 1})
	receiveFrom(follower, "b", appendRequest{Term: 3, Prev: 9})
	receiveFrom(follower, "b", installRequest{Term: 1})
	receiveFrom(follower, "b", installRequest{Term: 3, Snapshot: snapshot{Index: 9, Data: []byte("d")}})
	receiveFrom(follower, "b", installRequest{Term: 3, Snapshot: snapshot{Index: 1}})
	receiveFrom(follower, "b", installRequest{Term: 3, Snapshot: snapshot{Index: 9, Term: 3}, Offset: 0, Done: true})
	follower.sendGeneration()
	levels := 0
	for _, sent := range follower.drainOutput().afterSync {
		level := -1
		switch message := sent.message.(type) {
		case appendReply:
			level = message.Level
		case installReply:
			level = message.Level
		case generationReport:
			level = message.Level
		}
		if level != 1 {
			t.Errorf("the message %+v carries level %d, expected 1", sent.message, level)
		}
		levels++
	}
	if levels < 6 {
		t.Errorf("%d messages were sent, expected 6 replies at least", levels)
	}
}

// TestRegisteredLevelsAreDurable checks that a restarted replica still knows the levels that others
// registered. A new leader otherwise refuses rollouts as long as one replica is down.
func TestRegisteredLevelsAreDurable(t *testing.T) {
	leader := newLevelLeader()
	receiveFrom(leader, "b", generationReport{Generation: diskGeneration{Number: 1}, Level: 1})
	recorded := leader.drainOutput().hard
	receiveFrom(leader, "b", generationReport{Generation: diskGeneration{Number: 2}})
	if recorded == nil || recorded.PeerLevels["b"] != 1 {
		t.Errorf("the recorded state is %+v, expected level 1 of b", recorded)
	}
}
