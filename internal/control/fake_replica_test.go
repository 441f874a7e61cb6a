package control

import (
	"context"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/replica"
)

type (
	// fakeReplica implements Log as one replica of a group that shares one log in memory.
	fakeReplica struct {
		group          *group
		number         int
		appliedEntries int
		state          *State
		service        *Service
	}
)

// applyLog applies the commands that this replica has not applied yet, and returns the result of
// the last one, or nil if there were none.
func (fake *fakeReplica) applyLog() (lastResult []byte) {
	for ; fake.appliedEntries < len(fake.group.log); fake.appliedEntries++ {
		lastResult = fake.state.Apply(uint64(fake.appliedEntries+1), fake.group.log[fake.appliedEntries])
	}
	return lastResult
}

func (fake *fakeReplica) Propose(_ context.Context, command []byte) ([]byte, error) {
	fake.group.delayCall()
	defer fake.group.delayCall()
	fake.group.lock.Lock()
	defer fake.group.lock.Unlock()
	if fake.group.leader != fake.number {
		return nil, &replica.NotLeadingError{}
	}
	fake.group.log = append(fake.group.log, command)
	return fake.applyLog(), nil
}

func (fake *fakeReplica) Confirm(context.Context) error {
	fake.group.delayCall()
	defer fake.group.delayCall()
	fake.group.lock.Lock()
	defer fake.group.lock.Unlock()
	fake.applyLog()
	if fake.group.leader != fake.number {
		return &replica.NotLeadingError{}
	}
	return nil
}

func (fake *fakeReplica) Term() (uint64, bool) {
	defer fake.group.delayCall()
	fake.group.lock.Lock()
	defer fake.group.lock.Unlock()
	return fake.group.term, fake.group.leader == fake.number
}

func (fake *fakeReplica) LeadingSince() time.Time {
	fake.group.lock.Lock()
	defer fake.group.lock.Unlock()
	return fake.group.leaderSince
}

func (fake *fakeReplica) FeatureLevel() int {
	fake.group.lock.Lock()
	defer fake.group.lock.Unlock()
	if fake.group.leader != fake.number {
		return 0
	}
	return fake.group.featureLevel
}

func (fake *fakeReplica) AwaitLeader(context.Context) string { return "" }

func (fake *fakeReplica) Status() replica.Status { return replica.Status{} }

func (fake *fakeReplica) AddReplica(context.Context, string, string) error { return nil }

func (fake *fakeReplica) RemoveReplica(context.Context, string) error { return nil }
