package control

import (
	"context"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/replica"
)

type (
	// fakeReplica implements Log as one replica of a group that shares one log in memory.
	fakeReplica struct {
		group   *group
		number  int
		applied int
		state   *State
		service *Service
	}
)

func (fake *fakeReplica) applyLog() (last []byte) {
	for ; fake.applied < len(fake.group.log); fake.applied++ {
		last = fake.state.Apply(uint64(fake.applied+1), fake.group.log[fake.applied])
	}
	return last
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
	return fake.group.since
}

func (fake *fakeReplica) Status() replica.Status { return replica.Status{} }

func (fake *fakeReplica) AddReplica(context.Context, string, string) error { return nil }

func (fake *fakeReplica) RemoveReplica(context.Context, string) error { return nil }
