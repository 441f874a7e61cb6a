package control

import (
	"testing"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// declare returns a change of the tables that declares a version. The source doubles as the
// change ID and as the name of the only pool.
func declare(number uint64, source string) changeTables {
	return changeTables{Change: operator.Change{ID: source, Declared: number, Source: []byte(source), Tables: operator.Tables{
		Pools: []operator.Pool{{Name: source, Connections: 5, HTTP: &operator.HTTPPool{}}},
	}}}
}

// TestHighestDeclaredVersionWins sends declared versions out of order and more than once. The
// highest must always be the newest, with its source unchanged.
func TestHighestDeclaredVersionWins(t *testing.T) {
	state := &State{}
	for _, row := range []struct {
		number   uint64
		source   string
		expected string
	}{
		{7, "seven", "seven"}, {7, "another seven", "seven"}, {3, "three", "seven"}, {7, "seven", "seven"}, {12, "twelve", "twelve"}, {8, "eight", "twelve"},
	} {
		before := state.Newest().Version
		state.Apply(0, encode(t, []command{declare(row.number, row.source)}))
		newest := state.Newest()
		if string(newest.Source) != row.expected || newest.Tables.Pools[0].Name != row.expected {
			t.Errorf("after declared version %d %q the newest has source %q, expected the source and the pool of the highest declared version", row.number, row.source, newest.Source)
		}
		if changed := newest.Version != before; changed != (row.expected == row.source && (row.source != "seven" || before == 0)) {
			t.Errorf("declared version %d %q made a new version: got %t, expected the opposite", row.number, row.source, changed)
		}
	}
}

// TestDomainChangesOutlastDeclaredVersions checks that a change that takes a failure domain out
// lasts until it is revoked, through changes of the tables and a restore, and that repeating it
// makes no version.
func TestDomainChangesOutlastDeclaredVersions(t *testing.T) {
	state := &State{}
	apply := func(commands ...command) { state.Apply(0, encode(t, commands)) }
	expectOut := func(expected bool) {
		t.Helper()
		newest := state.Newest()
		if newest.Tables.IsOut("nord") != expected {
			t.Errorf("nord is out: %t, expected %t", !expected, expected)
		}
		if string(newest.Source) == "" {
			t.Error("the newest version has no source, expected the one of the last declared version")
		}
	}
	apply(declare(1, "one"), changeDomain{Change: operator.DomainChange{FailureDomain: "nord", Out: true}})
	expectOut(true)
	version := state.Newest().Version
	apply(changeDomain{Change: operator.DomainChange{FailureDomain: "nord", Out: true}})
	if state.Newest().Version != version {
		t.Error("a repeated change made a version, expected none")
	}
	apply(declare(2, "two"))
	expectOut(true)
	snapshot, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	state = &State{}
	if err := state.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	expectOut(true)
	apply(changeDomain{Change: operator.DomainChange{FailureDomain: "nord"}}, declare(3, "three"))
	expectOut(false)
}
