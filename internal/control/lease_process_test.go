package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

const (
	renewTimeout = time.Second
)

type (
	// process simulates one process of an entry as internal/entry implements it.
	process struct {
		group  *group
		member membership.Member
		client *Client
		cancel context.CancelFunc
		// renewing holds a token during a renewal. It isn't a mutex, because waiting for a
		// mutex would stop the fake clock of the test bubble.
		renewing chan struct{}

		lock          sync.Mutex
		view          membership.View
		settledView   uint64
		releasedView  uint64
		tablesVersion uint64
		leaseUntil    time.Time
		frozenUntil   time.Time
		hasLeft       bool
	}
)

// start starts another process of the entry with a number.
func (group *group) start(ctx context.Context, number int) *process {
	ctx, cancel := context.WithCancel(ctx)
	group.startedProcesses++
	process := &process{group: group, cancel: cancel, renewing: make(chan struct{}, 1), client: &Client{}, member: membership.Member{
		ID: fmt.Sprintf("entry-%d", number), FailureDomain: fmt.Sprintf("domain-%d", number%3), Incarnation: group.startedProcesses,
	}}
	go func() {
		for ctx.Err() == nil {
			process.renew()
			time.Sleep(RenewInterval)
		}
	}()
	return process
}

// sendRenewal sends a renewal to the leader or to another replica, sometimes twice. It returns nil
// if no lease was granted in time.
func (process *process) sendRenewal(renewal Renewal) *Lease {
	group := process.group
	number := group.intn(3)
	leader, faultsEnded := group.currentLeader()
	if leader >= 0 && group.intn(8) > 0 {
		number = leader
	}
	if !faultsEnded && group.intn(10) == 0 {
		duplicate, delay := renewal, time.Duration(group.intn(5000))*time.Millisecond
		go func() {
			time.Sleep(delay)
			_, _ = group.replicas[number].service.renew(context.Background(), &duplicate)
		}()
	}
	replied := make(chan *Lease, 1)
	go func() {
		sent := process.client.shortenRenewal(&renewal)
		lease, err := group.replicas[number].service.renew(context.Background(), sent)
		if err == nil && lease.UnknownMember {
			lease, err = group.replicas[number].service.renew(context.Background(), &renewal)
		}
		if err != nil {
			lease = nil
		}
		replied <- lease
	}()
	timeout := renewTimeout
	if _, faultsEnded := group.currentLeader(); !faultsEnded && group.intn(10) == 0 {
		// The entry is frozen as well, and reads the reply when it resumes.
		timeout *= 10
	}
	select {
	case lease := <-replied:
		if lease == nil || process.client.completeLease(&renewal, lease) != nil {
			return nil
		}
		return lease
	case <-time.After(timeout):
		return nil
	}
}

func (process *process) renew() {
	process.renewing <- struct{}{}
	defer func() { <-process.renewing }()
	process.lock.Lock()
	renewal := Renewal{Member: process.member, TablesVersion: process.tablesVersion, ReleasedView: process.releasedView, KnownView: process.view.Number}
	inactive := process.hasLeft || time.Now().Before(process.frozenUntil)
	process.lock.Unlock()
	if inactive {
		return
	}
	sent := time.Now()
	lease := process.sendRenewal(renewal)
	process.lock.Lock()
	defer process.lock.Unlock()
	if lease == nil || process.hasLeft || time.Now().Before(process.frozenUntil) {
		return
	}
	if !time.Now().Before(process.leaseUntil) {
		process.settledView, process.releasedView = 0, process.view.Number
		if lease.View != nil {
			process.releasedView = lease.View.Number
		}
	}
	if lease.View != nil {
		process.view = *lease.View
		go process.releaseTargets(lease.View.Number)
	}
	process.settledView = max(process.settledView, lease.SettledView)
	process.tablesVersion = max(process.tablesVersion, lease.TablesVersion)
	// The entry's clock is as slow as leases tolerate.
	span := lease.Duration * (100 - ClockRateErrorPercent) / 100
	process.leaseUntil = sent.Add(span * (100 + ClockRateErrorPercent) / 100)
}

// releaseTargets releases the targets that the process lost in a view, and renews at once.
func (process *process) releaseTargets(number uint64) {
	time.Sleep(time.Duration(process.group.intn(300)) * time.Millisecond)
	process.lock.Lock()
	process.releasedView = max(process.releasedView, number)
	process.lock.Unlock()
	process.renew()
}

func (process *process) leave() {
	process.lock.Lock()
	process.hasLeft = true
	member := process.member
	process.lock.Unlock()
	process.cancel()
	go func() {
		for range 5 {
			if process.sendRenewal(Renewal{Member: member, Leave: true}) != nil {
				return
			}
		}
	}()
}

// mayUseTargets reports whether the process may use targets now. A frozen process does nothing,
// and checks its lease when it resumes.
func (process *process) mayUseTargets(now time.Time) bool {
	return !process.hasLeft && process.view.Number > 0 && now.Before(process.leaseUntil)
}
