package replica

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestRestartKeepsThePromise has a replica that restarts, and knows from all
// that its disk is the newest, be asked for its vote while a leader that it
// heard before may lead on.
func TestRestartKeepsThePromise(t *testing.T) {
	now := time.Unix(1000, 0)
	members := []member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	restarted := &core{random: rand.New(rand.NewPCG(1, 1))}
	restarted.load(&durableState{
		id: "a", hard: hardState{Term: 2},
		entries: []entry{{Index: 1, Term: 1, Kind: entryMembers, Data: encodeMembers(members)}},
	})
	restarted.start(now)
	for _, other := range []string{"b", "c"} {
		restarted.step(now, arrived{parcel: parcel{from: other, to: "a", message: registered{Mark: restarted.Mark}}})
	}
	if !restarted.proved {
		t.Fatal("the replica is not proved")
	}
	for _, row := range []struct {
		after   time.Duration
		granted bool
	}{{0, false}, {promiseSpan - time.Millisecond, false}, {promiseSpan, true}} {
		restarted.take()
		restarted.step(now.Add(row.after), arrived{parcel: parcel{from: "b", to: "a", message: voteRequest{Term: 3, LastIndex: 1, LastTerm: 1, Pre: true}}})
		for _, sent := range restarted.take().late {
			if reply, isReply := sent.message.(voteReply); isReply && reply.Granted != row.granted {
				t.Errorf("%v after its restart the replica answers %t to a vote, expected %t", row.after, reply.Granted, row.granted)
			}
		}
	}
}

// TestOwnEntryCountsOnceSynced has a leader that is the only voter take two
// commands before one sync. What it sends goes out before that sync.
func TestOwnEntryCountsOnceSynced(t *testing.T) {
	now := time.Unix(1000, 0)
	leader := &core{id: "a", random: rand.New(rand.NewPCG(1, 1)), sizes: defaultSizes(), proved: true}
	leader.start(now)
	leader.join(now, entry{Index: 1, Term: 1, Kind: entryMembers, Data: encodeMembers([]member{{ID: "a", Voter: true}, {ID: "b"}})})
	leader.Term = 2
	leader.startLeading(now)
	for leader.commit < leader.log.last() {
		leader.take()
		leader.step(now, synced{})
	}
	leader.progressOf("b").probing = false
	synchronised := leader.log.last()
	for range 2 {
		leader.step(now, proposed{commands: [][]byte{{1}}})
	}
	sent := 0
	for _, parcel := range leader.take().early {
		request, isAppend := parcel.message.(appendRequest)
		if !isAppend {
			continue
		}
		sent++
		if request.Commit > synchronised {
			t.Errorf("the leader tells that entry %d is committed, and has synced up to %d", request.Commit, synchronised)
		}
	}
	if sent < 2 {
		t.Fatalf("the leader sent %d messages", sent)
	}
}

// TestLeaderlessQuorumReleasesThePromise has a replica that restarts hear from
// others that they follow nobody. One of two others isn't enough for a group of
// five.
func TestLeaderlessQuorumReleasesThePromise(t *testing.T) {
	now := time.Unix(1000, 0)
	var members []member
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		members = append(members, member{ID: id, Voter: true})
	}
	restarted := &core{random: rand.New(rand.NewPCG(1, 1))}
	restarted.load(&durableState{
		id: "a", hard: hardState{Term: 2},
		entries: []entry{{Index: 1, Term: 1, Kind: entryMembers, Data: encodeMembers(members)}},
	})
	restarted.start(now)
	for _, row := range []struct {
		other    string
		released bool
	}{{"b", false}, {"c", true}} {
		restarted.step(now, arrived{parcel: parcel{from: row.other, to: "a", message: registered{Mark: restarted.Mark, Leaderless: true}}})
		if released := restarted.promiseUntil.Equal(now); released != row.released {
			t.Errorf("after the word of %s the promise is released: %t, expected %t", row.other, released, row.released)
		}
	}
}
