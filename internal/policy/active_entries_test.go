package policy_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

// placesOf returns a number of entries spread over failure domains.
func placesOf(entries, domains int) []policy.EntryPlace {
	places := make([]policy.EntryPlace, entries)
	for number := range places {
		places[number] = policy.EntryPlace{ID: fmt.Sprint("entry-", number), FailureDomain: fmt.Sprint("domain-", number%domains)}
	}
	return places
}

// Guards against 80 entries that each see too few requests and may open too few connections, and against a failure domain
// whose callers have a single address. With few entries all are active.
func TestActiveEntriesHaveEnoughConnections(t *testing.T) {
	for _, row := range []struct{ entries, domains, connections, perDomain int }{
		{80, 6, 72, 3}, {80, 6, 0, 14}, {80, 6, 1000, 14}, {7, 3, 46, 3}, {6, 3, 25, 2}, {300, 8, 16, 2},
	} {
		active := policy.ActiveEntries(placesOf(row.entries, row.domains), row.connections)
		byDomain := map[string]int{}
		for _, place := range placesOf(row.entries, row.domains) {
			if active[place.ID] {
				byDomain[place.FailureDomain]++
			}
		}
		if byDomain["domain-0"] != row.perDomain || len(byDomain) != row.domains {
			t.Errorf("%+v: active entries by failure domain %v", row, byDomain)
		}
	}
}

// Guards against callers and connections that move to other entries because one entry has left or come.
func TestActiveEntriesChangeOneByOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := placesOf(rapid.IntRange(20, 200).Draw(t, "entries"), rapid.IntRange(1, 8).Draw(t, "domains"))
		connections := rapid.IntRange(1, 80).Draw(t, "connections")
		leaving := rapid.IntRange(0, len(places)-1).Draw(t, "leaving")
		before := policy.ActiveEntries(places, connections)
		remaining := append(append([]policy.EntryPlace{}, places[:leaving]...), places[leaving+1:]...)
		after := policy.ActiveEntries(remaining, connections)
		if len(after) > len(before) && len(before) < len(places) {
			t.Skip("fewer entries need no choice")
		}
		added := 0
		for id := range after {
			if !before[id] {
				added++
			}
		}
		if added > 1 || added == 1 && !before[places[leaving].ID] {
			t.Fatalf("%d entries became active because one left", added)
		}
	})
}
