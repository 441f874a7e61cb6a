package relay

import (
	"fmt"
	"slices"
	"testing"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

const (
	nearDomain = "sud-a"
)

// boardOf returns a board with a view of a number of entries, which take turns in three failure domains.
func boardOf(entries int) *blackboard.Board {
	view := membership.View{Number: 1}
	for number := range entries {
		domain := []string{"nord-a", nearDomain, "sud-b"}[number%3]
		view.Members = append(view.Members, membership.Member{
			ID: fmt.Sprint("entry-", number), PeerAddress: fmt.Sprint("10.0.0.", number, ":1"), GatewayAddress: "10.0.0.1:2", FailureDomain: domain, Region: domain[:len(domain)-2],
		})
	}
	board := new(blackboard.Board)
	board.Membership().Update(&view, 1)
	return board
}

// Guards against attempts over shared connections that go to a different entry each time, each of which then
// opens a connection to the target, and against all entries choosing the same one.
func TestPinnedCandidatesStayTheSame(t *testing.T) {
	board := boardOf(12)
	first := map[string]bool{}
	for number := range 60 {
		relay := &Relay{board: board, options: Options{Self: fmt.Sprint("caller-", number), FailureDomain: "nord-a", Region: "nord", Regions: map[string]string{"nord-a": "nord", nearDomain: "sud", "sud-b": "sud"}}}
		candidates := relay.candidates(nearDomain, true, nil)
		if again := relay.candidates(nearDomain, true, nil); !slices.Equal(candidates, again) {
			t.Fatal("the order changes between two attempts")
		}
		if candidates[0].FailureDomain != nearDomain || candidates[4].FailureDomain != "sud-b" || candidates[8].FailureDomain != "nord-a" {
			t.Fatal("entries farther from the target come before nearer ones")
		}
		first[candidates[0].ID] = true
		relay.entries.begin(candidates[0].PeerAddress)(avoidEntry)
		if next := relay.candidates(nearDomain, true, nil); next[0] != candidates[1] || next[11] != candidates[0] {
			t.Fatal("an entry without a reply isn't passed over")
		}
	}
	if len(first) != 4 {
		t.Errorf("60 entries use the connections of %d of the 4 entries near the target", len(first))
	}
}

// Guards against attempts through entries that have to open a connection for each, while entries beside them have some open.
func TestEntriesWithConnectionsToLendComeFirst(t *testing.T) {
	board := boardOf(60)
	active := map[string]bool{}
	for _, number := range []int{1, 7, 16, 25, 31, 40, 46, 58} {
		active[fmt.Sprint("entry-", number)] = true
	}
	relay := &Relay{board: board, options: Options{Self: "entry-0", FailureDomain: "nord-a", Region: "nord", Regions: map[string]string{"nord-a": "nord", nearDomain: "sud", "sud-b": "sud"}}}
	relay.isSpare = func(id string) bool { return !active[id] }
	first := map[string]bool{}
	for range 100 {
		candidates := relay.candidates(nearDomain, false, nil)
		if len(candidates) != 59 {
			t.Fatalf("%d candidates", len(candidates))
		}
		for index, candidate := range candidates[:20] {
			if candidate.FailureDomain != nearDomain || active[candidate.ID] != (index < len(active)) {
				t.Fatalf("%s in %s stands at position %d", candidate.ID, candidate.FailureDomain, index)
			}
		}
		first[candidates[0].ID] = true
	}
	if len(first) != len(active) {
		t.Errorf("attempts go to %d of %d entries with connections", len(first), len(active))
	}
	for _, member := range board.Membership().View().Members {
		if active[member.ID] {
			relay.entries.begin(member.PeerAddress)(avoidEntry)
		}
	}
	candidates := relay.candidates(nearDomain, false, nil)
	if active[candidates[0].ID] || candidates[0].FailureDomain != nearDomain || !active[candidates[58].ID] {
		t.Error("entries that are avoided don't come last")
	}
}
