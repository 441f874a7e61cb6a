// This file exists so that control's state is a pure function of the log.

package control

import (
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

type (
	// State is control's replicated state. The zero value is empty.
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

// Apply applies one batch of commands of the log.
func (state *State) Apply(_ uint64, data []byte) []byte {
	state.lock.Lock()
	defer state.lock.Unlock()
	var envelopes []envelope
	if err := msgpack.Unmarshal(data, &envelopes); err != nil {
		return nil
	}
	results := make([]result, 0, len(envelopes))
	number := state.data.View.View.Number
	for index := range envelopes {
		results = append(results, state.data.apply(&envelopes[index], number+1))
	}
	encoded, _ := msgpack.Marshal(results)
	return encoded
}

// apply applies one command. All edits of the view in one batch make one new
// view, which gets the given number.
func (stateData *stateData) apply(envelope *envelope, viewNumber uint64) result {
	opened, err := envelope.open()
	if err != nil {
		return result{Fault: fault.New(fault.Internal, err.Error(), "run one release on all control VMs")}
	}
	switch command := opened.(type) {
	case beginTenure:
		// One that was held up must not end a later leader's tenure.
		stateData.View.Term = max(stateData.View.Term, command.Term)
	case changeTables:
		return stateData.Tables.change(&command.Change, &stateData.View)
	case orderDomain:
		return stateData.Tables.order(&command.Order)
	case editView:
		stateData.View.edit(&command, viewNumber)
	case balanceView:
		stateData.View.balance(&command.Request, viewNumber)
	case grantRun:
		return result{Grant: stateData.Ledger.grant(&command)}
	case recordRun:
		stateData.Ledger.record(&command.Request)
	}
	return result{}
}

// Snapshot returns the whole state.
func (state *State) Snapshot() ([]byte, error) {
	state.lock.RLock()
	defer state.lock.RUnlock()
	return msgpack.Marshal(&state.data)
}

// Restore replaces the whole state by a snapshot.
func (state *State) Restore(snapshot []byte) error {
	var data stateData
	if err := msgpack.Unmarshal(snapshot, &data); err != nil {
		return err
	}
	data.Ledger.index()
	state.lock.Lock()
	defer state.lock.Unlock()
	state.data = data
	return nil
}

// Newest returns the newest version of the tables; version 0 is empty.
func (state *State) Newest() operator.Versioned {
	state.lock.RLock()
	defer state.lock.RUnlock()
	return state.data.Tables.newest()
}

// Version returns one version of the tables, or a typed error where it isn't
// kept.
func (state *State) Version(version uint64) (operator.Versioned, error) {
	state.lock.RLock()
	defer state.lock.RUnlock()
	return state.data.Tables.version(version)
}

// CheckChange tells what a change would come to without making it.
func (state *State) CheckChange(change *operator.Change) (version uint64, refused error) {
	state.lock.RLock()
	defer state.lock.RUnlock()
	remembered, known, fault := state.data.Tables.judge(change, &state.data.View)
	if fault != nil {
		return 0, fault
	}
	if known {
		return remembered, nil
	}
	return state.data.Tables.newest().Version + 1, nil
}

// View returns the newest view. Its members must not be changed.
func (state *State) View() membership.View {
	state.lock.RLock()
	defer state.lock.RUnlock()
	return state.data.View.View
}

// viewSince returns what changed from the view with the given number to the
// newest, or false where that view is no longer remembered.
func (state *State) viewSince(number uint64) (ViewDelta, bool) {
	state.lock.RLock()
	defer state.lock.RUnlock()
	return state.data.View.since(number)
}
