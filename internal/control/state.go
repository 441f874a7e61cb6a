// This file exists so that control's state is a pure function of the log.

package control

import (
	"fmt"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
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
		Versions []operator.Versioned          `msgpack:"v"`
		Changes  map[string]uint64             `msgpack:"c"`
		View     membership.View               `msgpack:"w"`
		Ledger   map[caller.RequestID]runRight `msgpack:"l"`
	}

	runRight struct {
		Nonce   uint64            `msgpack:"n"`
		Outcome caller.RunOutcome `msgpack:"o"`
	}
)

// Apply applies one command of the log.
func (state *State) Apply(_ uint64, data []byte) []byte {
	state.lock.Lock()
	defer state.lock.Unlock()
	var applied result
	decoded, err := decodeCommand(data)
	if err != nil {
		applied.Fault = fault.New(fault.Internal, err.Error(), "run one release on all control VMs")
	}
	switch command := decoded.(type) {
	case changeTables:
		applied = state.data.changeTables(&command.Change)
	case changeView:
		applied = state.data.changeView(&command)
	case grantRun:
		applied = state.data.grantRun(&command)
	case recordRun:
		state.data.recordRun(&command.Request)
	}
	encoded, _ := msgpack.Marshal(&applied)
	return encoded
}

// Snapshot returns the whole state.
func (state *State) Snapshot() ([]byte, error) {
	state.lock.RLock()
	defer state.lock.RUnlock()
	return msgpack.Marshal(&state.data)
}

// Restore replaces the whole state by a snapshot.
func (state *State) Restore(snapshot []byte) error {
	state.lock.Lock()
	defer state.lock.Unlock()
	var data stateData
	if err := msgpack.Unmarshal(snapshot, &data); err != nil {
		return err
	}
	state.data = data
	return nil
}

// Newest returns the newest version of the tables; version 0 is empty.
func (state *State) Newest() operator.Versioned {
	state.lock.RLock()
	defer state.lock.RUnlock()
	return state.data.newest()
}

// Version returns one version of the tables.
func (state *State) Version(version uint64) (operator.Versioned, bool) {
	state.lock.RLock()
	defer state.lock.RUnlock()
	for _, versioned := range state.data.Versions {
		if versioned.Version == version {
			return versioned, true
		}
	}
	return operator.Versioned{}, false
}

// View returns the newest view.
func (state *State) View() membership.View {
	state.lock.RLock()
	defer state.lock.RUnlock()
	return state.data.View
}

func (stateData *stateData) newest() operator.Versioned {
	if len(stateData.Versions) == 0 {
		return operator.Versioned{}
	}
	return stateData.Versions[len(stateData.Versions)-1]
}

func (stateData *stateData) changeTables(change *operator.Change) result {
	if version, resent := stateData.Changes[change.ID]; resent {
		return result{Version: version}
	}
	newest := stateData.newest()
	if change.Base != newest.Version {
		return result{Fault: fault.New(fault.Conflict,
			fmt.Sprintf("the change is based on version %d, but change %q has made version %d", change.Base, newest.ChangeID, newest.Version),
			fmt.Sprintf("get version %d, make the change again and apply it", newest.Version))}
	}
	if stateData.Changes == nil {
		stateData.Changes = map[string]uint64{}
	}
	version := newest.Version + 1
	stateData.Versions = append(stateData.Versions, operator.Versioned{Version: version, ChangeID: change.ID, Tables: change.Tables})
	stateData.Changes[change.ID] = version
	return result{Version: version}
}

func (stateData *stateData) changeView(command *changeView) result {
	if command.Base != stateData.View.Number {
		return result{Fault: fault.New(fault.Conflict, "the view has changed meanwhile", "read the view and try again")}
	}
	stateData.View = membership.View{Number: command.Base + 1, Members: command.Members}
	return result{Version: stateData.View.Number}
}

func (stateData *stateData) grantRun(command *grantRun) result {
	request := &command.Request
	expiry, err := request.RequestID.Expiry()
	if err != nil || command.Now.After(expiry) {
		return result{Grant: &Grant{Expired: true, Outcome: caller.NotRun}}
	}
	right, known := stateData.Ledger[request.RequestID]
	if known && right.Outcome != caller.NotRun {
		return result{Grant: &Grant{Granted: right.Nonce == request.Nonce && right.Outcome == caller.MayHaveRun, Outcome: right.Outcome}}
	}
	if stateData.Ledger == nil {
		stateData.Ledger = map[caller.RequestID]runRight{}
	}
	stateData.Ledger[request.RequestID] = runRight{Nonce: request.Nonce, Outcome: caller.MayHaveRun}
	return result{Grant: &Grant{Granted: true, Outcome: caller.NotRun}}
}

func (stateData *stateData) recordRun(request *RecordRequest) {
	right, known := stateData.Ledger[request.RequestID]
	if known && right.Nonce == request.Nonce {
		right.Outcome = request.Outcome
		stateData.Ledger[request.RequestID] = right
	}
}
