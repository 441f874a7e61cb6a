package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// apply applies commands to a state as the log does.
func apply(expect gomega.Gomega, state *State, commands ...command) []result {
	encoded, err := encodeCommands(commands)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	var results []result
	expect.Expect(msgpack.Unmarshal(state.Apply(0, encoded), &results)).To(gomega.Succeed())
	return results
}

// restoreFromSnapshot returns a state restored from a snapshot of the given one, as after a
// restart or a compaction.
func restoreFromSnapshot(expect gomega.Gomega, state *State) *State {
	snapshot, err := state.Snapshot()
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	copied := &State{}
	expect.Expect(copied.Restore(snapshot)).To(gomega.Succeed())
	return copied
}

func TestLedgerGrantsOneRunAtATime(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	id := caller.NewRequestID(start.Add(time.Minute))
	granted := Grant{Granted: true, Outcome: caller.NotRun}
	expired := Grant{Expired: true, Outcome: caller.NotRun}
	grant := func(nonce uint64, now time.Time) command {
		return grantRun{Request: GrantRequest{RequestID: id, Nonce: nonce}, Now: now}
	}
	record := func(nonce uint64, outcome caller.RunOutcome) command {
		return recordRun{Request: RecordRequest{RequestID: id, Nonce: nonce, Outcome: outcome}}
	}
	for name, test := range map[string]struct {
		commands      []command
		expectedGrant Grant
	}{
		"a resent message gets the same reply":           {[]command{grant(1, start), grant(1, start)}, granted},
		"another sending may have run":                   {[]command{grant(1, start), grant(2, start)}, Grant{Outcome: caller.MayHaveRun}},
		"a recorded run is reported":                     {[]command{grant(1, start), record(1, caller.DidRun), grant(2, start)}, Grant{Outcome: caller.DidRun}},
		"a recorded refusal frees the ID":                {[]command{grant(1, start), record(1, caller.NotRun), grant(2, start)}, granted},
		"a sending that ended gets no new right":         {[]command{grant(1, start), record(1, caller.NotRun), grant(1, start)}, Grant{Outcome: caller.NotRun}},
		"a late record of an earlier sending is ignored": {[]command{grant(1, start), record(1, caller.NotRun), grant(2, start), record(1, caller.NotRun), grant(3, start)}, Grant{Outcome: caller.MayHaveRun}},
		"the first outcome stays":                        {[]command{grant(1, start), record(1, caller.DidRun), record(1, caller.NotRun), grant(2, start)}, Grant{Outcome: caller.DidRun}},
		"an expired ID is refused":                       {[]command{grant(1, start.Add(time.Minute))}, expired},
		"a leader whose clock is behind doesn't grant again": {
			[]command{grant(1, start), grant(2, start.Add(2*time.Minute)), grant(3, start)}, expired},
		"a leader whose clock is behind doesn't grant again after a large jump of the clock": {[]command{grant(1, start), grant(2, start.Add(48*time.Hour)), grant(3, start)}, expired},
	} {
		t.Run(name, func(t *testing.T) {
			expect, state := gomega.NewWithT(t), &State{}
			var results []result
			for _, command := range test.commands {
				results = apply(expect, state, command)
				state = restoreFromSnapshot(expect, state)
			}
			expect.Expect(*results[0].Grant).To(gomega.Equal(test.expectedGrant))
		})
	}
}

func TestLedgerIsBoundedByExpiry(t *testing.T) {
	expect, state := gomega.NewWithT(t), &State{}
	start := time.Unix(1_000_000, 0)
	for second := range 200 {
		now := start.Add(time.Duration(second) * time.Second)
		for nonce := range 10 {
			apply(expect, state, grantRun{Request: GrantRequest{RequestID: caller.NewRequestID(now.Add(5 * time.Second)), Nonce: uint64(nonce)}, Now: now})
		}
		if second == 100 {
			state = restoreFromSnapshot(expect, state)
		}
		expect.Expect(len(state.data.Ledger.RunRights)).To(gomega.BeNumerically("<=", 60))
		expect.Expect(len(state.data.Ledger.expiringAt)).To(gomega.BeNumerically("<=", 6))
	}
}

func TestLedgerStoresOnlyWhatASnapshotCanEncode(t *testing.T) {
	expect, state := gomega.NewWithT(t), &State{}
	start := time.Unix(1_000_000, 0)
	long := caller.RequestID(strings.Repeat("x", caller.MaximumRequestIDBytes)) + caller.NewRequestID(start.Add(time.Minute))
	unknownOutcome := caller.NewRequestID(start.Add(time.Minute))
	results := apply(expect, state,
		grantRun{Request: GrantRequest{RequestID: long, Nonce: 1}, Now: start},
		grantRun{Request: GrantRequest{RequestID: unknownOutcome, Nonce: 1}, Now: start},
		recordRun{Request: RecordRequest{RequestID: unknownOutcome, Nonce: 1, Outcome: "unheard_of"}})
	expect.Expect(results[0].Grant.Granted).To(gomega.BeFalse())
	expect.Expect(restoreFromSnapshot(expect, state).data.Ledger.RunRights).To(gomega.Equal(state.data.Ledger.RunRights))
	expect.Expect(state.data.Ledger.RunRights[unknownOutcome].Outcome).To(gomega.Equal(caller.MayHaveRun))
	expect.Expect(new(State).Restore([]byte{0x83, 0xa1, 'l', 0x01})).NotTo(gomega.Succeed())
}

func changeOf(id string, base uint64, out ...string) operator.Change {
	return operator.Change{ID: id, Base: base, Tables: operator.Tables{FailureDomainsOut: out}}
}

func joinCommands(domains ...string) []command {
	var commands []command
	for number, domain := range domains {
		commands = append(commands, editView{Member: membership.Member{ID: fmt.Sprint(number), FailureDomain: domain, Incarnation: 1}})
	}
	return commands
}

func TestConcurrentAndRepeatedChangesHaveADefinedOutcome(t *testing.T) {
	allOut := changeOf("c", 0, "nord", "sud")
	allowed := allOut
	allowed.AllowAllOut = true
	for name, test := range map[string]struct {
		changes []operator.Change
		version uint64
		kind    fault.Kind
		message string
	}{
		"equal bases: the refusal names the winner":  {[]operator.Change{changeOf("a", 0), changeOf("b", 0, "nord")}, 0, fault.Conflict, `change "a" won and made version 1 from version 0`},
		"a resend gets the first answer":             {[]operator.Change{changeOf("a", 0), changeOf("b", 1), changeOf("a", 0)}, 1, "", ""},
		"other content under the same ID":            {[]operator.Change{changeOf("a", 0), changeOf("a", 1, "nord")}, 0, fault.Conflict, "different content"},
		"a base that doesn't exist":                  {[]operator.Change{changeOf("a", 7)}, 0, fault.Conflict, "the newest is 0"},
		"a failure domain that no entry ever had":    {[]operator.Change{changeOf("a", 0, "mars")}, 0, fault.BadRequest, `failure domain "mars"`},
		"everything out at once":                     {[]operator.Change{allOut}, 0, fault.BadRequest, "allow_all_out"},
		"everything out at once, explicitly allowed": {[]operator.Change{allowed}, 1, "", ""},
		"a refused change leaves its base current":   {[]operator.Change{allOut, changeOf("d", 0, "sud")}, 1, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			expect, state := gomega.NewWithT(t), &State{}
			apply(expect, state, joinCommands("nord", "sud")...)
			var lastResult result
			for _, change := range test.changes {
				lastResult = apply(expect, state, changeTables{Change: change})[0]
				state = restoreFromSnapshot(expect, state)
			}
			expect.Expect(lastResult.Version).To(gomega.Equal(test.version))
			if test.kind != "" {
				expect.Expect(lastResult.Fault.Kind).To(gomega.Equal(test.kind))
				expect.Expect(lastResult.Fault.Error()).To(gomega.ContainSubstring(test.message))
			}
		})
	}
}

func TestHistoryAndMemoryOfChangesAreBounded(t *testing.T) {
	expect, state := gomega.NewWithT(t), &State{}
	const changes = MaximumRememberedChanges + 10
	for version := range uint64(changes) {
		change := changeOf(fmt.Sprint(version), version)
		expect.Expect(apply(expect, state, changeTables{Change: change})[0].Version).To(gomega.Equal(version + 1))
	}
	expect.Expect(state.data.Tables.Versions).To(gomega.HaveLen(MaximumVersions))
	expect.Expect(state.data.Tables.Changes).To(gomega.HaveLen(MaximumRememberedChanges))
	refusal := apply(expect, state, changeTables{Change: changeOf("3", 3)})[0].Fault
	expect.Expect(refusal.Kind).To(gomega.Equal(fault.Conflict))
	expect.Expect(refusal.Message).To(gomega.ContainSubstring("whether it was applied before is no longer known"))
	_, err := state.Version(1)
	expect.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("no longer kept")))
	_, err = state.Version(changes + 1)
	expect.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("doesn't exist")))
}
