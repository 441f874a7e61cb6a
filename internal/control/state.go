package control

import (
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

type (
	// State is the replicated state of control. It is a pure function of the log. The zero
	// value is empty and ready to use.
	State struct {
		lock sync.RWMutex
		data stateData
	}

	stateData struct {
		Tables tablesData `msgpack:"t"`
		View   viewData   `msgpack:"v"`
		Ledger ledgerData `msgpack:"l"`
	}
)

// Apply applies one log entry, which is a batch of commands.
func (state *State) Apply(_ uint64, data []byte) []byte {
	state.lock.Lock()
	defer state.lock.Unlock()
	var envelopes []envelope
	if err := msgpack.Unmarshal(data, &envelopes); err != nil {
		return nil
	}
	results := make([]result, 0, len(envelopes))
	currentViewNumber := state.data.View.View.Number
	for index := range envelopes {
		results = append(results, state.data.apply(&envelopes[index], currentViewNumber+1))
	}
	encoded, _ := msgpack.Marshal(results)
	return encoded
}

// apply applies one command. All edits of the view in one batch share one new view, which gets
// the number viewNumber.
func (stateData *stateData) apply(envelope *envelope, viewNumber uint64) result {
	unwrapped, err := envelope.unwrap()
	if err != nil {
		return result{Fault: fault.New(fault.Internal, err.Error(), "run one release on all control VMs")}
	}
	switch command := unwrapped.(type) {
	case beginTenure:
		// A delayed command of an earlier term must not end the tenure of a later leader.
		stateData.View.Term = max(stateData.View.Term, command.Term)
	case changeTables:
		return stateData.Tables.change(&command.Change, &stateData.View)
	case changeDomain:
		return stateData.Tables.applyDomainChange(&command.Change)
	case editView:
		stateData.View.edit(&command, viewNumber)
	case replaceExceptions:
		stateData.View.replaceExceptions(&command.Request, viewNumber)
	case grantRun:
		return result{Grant: stateData.Ledger.grant(&command)}
	case recordRun:
		stateData.Ledger.record(&command.Request)
	case startRollout:
		return stateData.Tables.startRollout(&command)
	case advanceRollout:
		return stateData.Tables.advanceRollout(&command)
	}
	return result{}
}

// Snapshot returns the encoded state.
func (state *State) Snapshot() ([]byte, error) {
	state.lock.RLock()
	defer state.lock.RUnlock()
	return msgpack.Marshal(&state.data)
}

// Restore replaces the state with a snapshot.
func (state *State) Restore(snapshot []byte) error {
	var data stateData
	if err := msgpack.Unmarshal(snapshot, &data); err != nil {
		return err
	}
	data.Ledger.rebuildExpirySchedule()
	state.lock.Lock()
	defer state.lock.Unlock()
	state.data = data
	return nil
}

// Newest returns the newest version of the tables; version 0 means that there are none yet.
func (state *State) Newest() operator.VersionedTables {
	state.lock.RLock()
	defer state.lock.RUnlock()
	return state.data.Tables.newest()
}

// Version returns one version of the tables, or a typed error if that version isn't stored.
func (state *State) Version(version uint64) (operator.VersionedTables, error) {
	state.lock.RLock()
	defer state.lock.RUnlock()
	return state.data.Tables.version(version)
}

// CheckChange returns the version that a change would make or, if it is a resend, the version
// that it made before. It doesn't apply the change.
func (state *State) CheckChange(change *operator.Change) (version uint64, err error) {
	state.lock.RLock()
	defer state.lock.RUnlock()
	acceptedVersion, resent, refusal := state.data.Tables.checkChange(change, &state.data.View)
	if refusal != nil {
		return 0, refusal
	}
	if resent {
		return acceptedVersion, nil
	}
	return state.data.Tables.newest().Version + 1, nil
}

// View returns the newest view. Callers must not modify its members.
func (state *State) View() membership.View {
	state.lock.RLock()
	defer state.lock.RUnlock()
	return state.data.View.View
}

// viewDeltaSince returns the changes from the view with the given number to the newest, or
// false if the edits since that view are no longer stored.
func (state *State) viewDeltaSince(number uint64) (ViewDelta, bool) {
	state.lock.RLock()
	defer state.lock.RUnlock()
	return state.data.View.deltaSince(number)
}
