// Conversion between a core and its durable state.

package replica

// durableState returns the state that must survive a restart.
func (core *core) durableState() *durableState {
	state := &durableState{id: core.id, hard: core.hardState, snapshot: core.snapshot}
	if first := core.snapshot.Index + 1; first <= core.log.lastIndex() {
		state.entries = core.log.entries[first-core.log.offset-1:]
	}
	return state
}

// load restores durable state at the start of a process.
func (core *core) load(state *durableState) {
	core.id, core.hardState, core.snapshot = state.id, state.hard, state.snapshot
	core.advanceGeneration()
	core.log.reset(state.snapshot.Index, state.snapshot.Term)
	if len(state.snapshot.Members) > 0 {
		core.memberships = []membership{{index: state.snapshot.Index, members: state.snapshot.Members}}
	}
	if len(state.entries) > 0 {
		core.log.append(state.entries...)
		core.recordMemberships(state.entries)
	}
	if state.snapshot.Index > 0 {
		toRestore := state.snapshot
		core.out.restore = &toRestore
	}
}

func (core *core) statusOf(member member) MemberStatus {
	status := MemberStatus{ID: member.ID, Address: member.Address, Voter: member.Voter}
	if core.role == roleLeader {
		status.Level = core.memberLevel(member.ID)
	}
	switch {
	case member.ID == core.id:
		status.Match = core.durable
	case core.progress[member.ID] != nil:
		status.Match = core.progress[member.ID].match
	}
	if status.Match < core.log.lastIndex() {
		status.Lag = core.log.lastIndex() - status.Match
	}
	return status
}
