// This file exists so that control proposes commands and reads state without
// knowing how replicas agree.

package replica

import (
	"context"
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

type (
	// Machine is the state that the log's commands build up. Its methods are
	// called by one goroutine at a time.
	Machine interface {
		// Apply applies one command and returns its result. It must depend
		// on the command and the state alone.
		Apply(index uint64, command []byte) []byte
		// Snapshot returns the whole state.
		Snapshot() ([]byte, error)
		// Restore replaces the whole state by a snapshot.
		Restore(snapshot []byte) error
	}

	// Replica is one member of the group that agrees on the log.
	Replica struct {
		machine Machine
		lock    sync.Mutex
		index   uint64
		since   time.Time
	}
)

// New returns a replica that is a group of its own, without a disk.
func New(machine Machine) *Replica {
	return &Replica{machine: machine, since: time.Now()}
}

// Propose adds a command to the log and returns the machine's result once the
// command is durable on a quorum and applied here. It returns a
// NotLeadingError where this replica doesn't lead.
func (replica *Replica) Propose(_ context.Context, command []byte) ([]byte, error) {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	replica.index++
	return replica.machine.Apply(replica.index, command), nil
}

// Confirm returns nil once this replica is certain that it leads and that its
// machine holds every command accepted before the call. It returns a
// NotLeadingError where this replica doesn't lead.
func (replica *Replica) Confirm(context.Context) error {
	return nil
}

// Term returns the present term and whether this replica leads it.
func (replica *Replica) Term() (term uint64, leading bool) {
	return 1, true
}

// LeadingSince returns the time since which this replica has led without a
// break; it is zero where it doesn't lead.
func (replica *Replica) LeadingSince() time.Time {
	return replica.since
}

// Status returns how the group stands, as seen from this replica.
func (replica *Replica) Status() Status {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	return Status{Term: 1, Leading: true, Applied: replica.index}
}

// AddReplica adds the replica that runs at a peer address under a name. It
// returns nil once the replica has caught up and is counted in quorums.
func (replica *Replica) AddReplica(context.Context, string, string) error {
	return fault.New(fault.Unavailable, "this group has one replica in memory", "run the control role")
}

// RemoveReplica removes a replica by its ID or its process's name. It returns
// nil once the removal is durable.
func (replica *Replica) RemoveReplica(context.Context, string) error {
	return fault.New(fault.Unavailable, "this group has one replica in memory", "run the control role")
}
