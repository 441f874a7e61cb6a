package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestLaterAppendReplacesUnwrittenEntries guards against a follower that writes two entries of the
// same index in one record to its disk store, after it has received appends of two leaders and
// before it has written any of them.
func TestLaterAppendReplacesUnwrittenEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	members := []member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	first := entry{Index: 1, Term: 1, Kind: entryMembers, Data: encodeMembers(members)}
	follower := &core{id: "a", random: rand.New(rand.NewPCG(1, 1)), diskVerified: true}
	follower.start(now)
	follower.adoptBootstrapEntry(now, first)
	for _, sent := range []appendRequest{
		{Term: 2, Prev: 1, PrevTerm: 1, Entries: []entry{
			{Index: 2, Term: 2, Kind: entryEmpty}, {Index: 3, Term: 2, Kind: entryCommand}, {Index: 4, Term: 2, Kind: entryCommand},
		}},
		{Term: 3, Prev: 2, PrevTerm: 2, Entries: []entry{{Index: 3, Term: 3, Kind: entryEmpty}}},
	} {
		follower.step(now, messageReceived{envelope: envelope{from: fmt.Sprint("b", sent.Term), to: "a", message: sent}})
	}
	toWrite := follower.drainOutput().entries
	for position, entry := range toWrite {
		if entry.Index != uint64(position+1) {
			t.Fatalf("entry %d is at position %d of the %d entries to write, expected each index once and in order", entry.Index, position+1, len(toWrite))
		}
	}
	if toWrite[len(toWrite)-1].Term != 3 {
		t.Fatalf("the last entry to write has term %d, expected 3", toWrite[len(toWrite)-1].Term)
	}
}
