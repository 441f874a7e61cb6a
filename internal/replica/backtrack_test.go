package replica

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestRejectionBacktracksToMatch guards against a leader that moves the next index to send back to
// before the match index, because a replica's rejection reports an older index.
func TestRejectionBacktracksToMatch(t *testing.T) {
	now := time.Unix(1000, 0)
	members := []member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	leader := &core{id: "a", random: rand.New(rand.NewPCG(1, 1)), diskVerified: true}
	leader.start(now)
	leader.adoptBootstrapEntry(now, entry{Index: 1, Term: 1, Kind: entryMembers, Data: encodeMembers(members)})
	for index := uint64(2); index <= 4; index++ {
		leader.appendEntries(entry{Index: index, Term: 2, Kind: entryCommand})
	}
	leader.Term = 3
	leader.startLeading(now)
	leader.drainOutput()
	// Entries 4 and 5 were lost on their way to b, whose log holds other entries of term 2 from
	// index 4 on. So b knows only that term 2 begins at 2.
	leader.progress["b"] = &progress{match: 3, next: 5, probing: true, inFlight: []uint64{5}, acknowledgedStamp: 1, matchStamp: 1}
	leader.step(now.Add(time.Millisecond), messageReceived{envelope: envelope{
		from: "b", to: "a", message: appendReply{Term: 3, RequestTerm: 3, Rejected: true, Match: 1, Last: 5, Stamp: time.Millisecond},
	}})
	for _, sent := range leader.drainOutput().immediate {
		if request, isAppend := sent.message.(appendRequest); isAppend && sent.to == "b" && request.Prev == 3 && len(request.Entries) == 2 {
			return
		}
	}
	t.Fatal("the leader sends b no append of the two entries after index 3")
}
