// This file exists so that control proposes commands and reads state without
// knowing how replicas agree.

package replica

import (
	"context"
	"sync"
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
	}
)

// New returns a replica that is a group of its own, without a disk.
func New(machine Machine) *Replica {
	return &Replica{machine: machine}
}

// Propose adds a command to the log and returns the machine's result once the
// command is durable on a quorum and applied here.
func (replica *Replica) Propose(_ context.Context, command []byte) ([]byte, error) {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	replica.index++
	return replica.machine.Apply(replica.index, command), nil
}

// Confirm returns nil once this replica is certain that it leads and that its
// machine holds every command accepted before the call.
func (replica *Replica) Confirm(context.Context) error {
	return nil
}

// Term returns the present term and whether this replica leads it.
func (replica *Replica) Term() (term uint64, leading bool) {
	return 1, true
}
