package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

const (
	renewAttempt = time.Second
)

type (
	// process is one process of an entry, as internal/entry behaves.
	process struct {
		group  *group
		member membership.Member
		client *Client
		cancel context.CancelFunc
		// renewing holds a token during a renewal. A mutex would stop the
		// bubble's clock.
		renewing chan struct{}

		lock       sync.Mutex
		view       membership.View
		settled    uint64
		yielded    uint64
		version    uint64
		leaseUntil time.Time
		frozen     time.Time
		left       bool
	}
)

func (group *group) start(ctx context.Context, number int) *process {
	ctx, cancel := context.WithCancel(ctx)
	group.started++
	process := &process{group: group, cancel: cancel, renewing: make(chan struct{}, 1), client: &Client{}, member: membership.Member{
		ID: fmt.Sprintf("entry-%d", number), FailureDomain: fmt.Sprintf("domain-%d", number%3), Incarnation: group.started,
	}}
	go func() {
		for ctx.Err() == nil {
			process.renew()
			time.Sleep(RenewInterval)
		}
	}()
	return process
}

// ask sends a renewal to the leader or to another replica, at times twice.
func (process *process) ask(renewal Renewal) *Lease {
	group := process.group
	number := group.intn(3)
	leader, calm := group.present()
	if leader >= 0 && group.intn(8) > 0 {
		number = leader
	}
	if !calm && group.intn(10) == 0 {
		again, late := renewal, time.Duration(group.intn(5000))*time.Millisecond
		go func() {
			time.Sleep(late)
			_, _ = group.replicas[number].service.renew(context.Background(), &again)
		}()
	}
	replied := make(chan *Lease, 1)
	go func() {
		sent := process.client.shorten(&renewal)
		lease, err := group.replicas[number].service.renew(context.Background(), sent)
		if err == nil && lease.Unknown {
			lease, err = group.replicas[number].service.renew(context.Background(), &renewal)
		}
		if err != nil {
			lease = nil
		}
		replied <- lease
	}()
	patience := renewAttempt
	if _, calm := group.present(); !calm && group.intn(10) == 0 {
		// The entry is frozen too, and finds the reply when it wakes.
		patience *= 10
	}
	select {
	case lease := <-replied:
		if lease == nil || process.client.restore(&renewal, lease) != nil {
			return nil
		}
		return lease
	case <-time.After(patience):
		return nil
	}
}

func (process *process) renew() {
	process.renewing <- struct{}{}
	defer func() { <-process.renewing }()
	process.lock.Lock()
	renewal := Renewal{Member: process.member, Version: process.version, View: process.yielded, KnownView: process.view.Number}
	stopped := process.left || time.Now().Before(process.frozen)
	process.lock.Unlock()
	if stopped {
		return
	}
	sent := time.Now()
	lease := process.ask(renewal)
	process.lock.Lock()
	defer process.lock.Unlock()
	if lease == nil || process.left || time.Now().Before(process.frozen) {
		return
	}
	if !time.Now().Before(process.leaseUntil) {
		process.settled, process.yielded = 0, process.view.Number
		if lease.View != nil {
			process.yielded = lease.View.Number
		}
	}
	if lease.View != nil {
		process.view = *lease.View
		go process.yield(lease.View.Number)
	}
	process.settled = max(process.settled, lease.Settled)
	process.version = max(process.version, lease.Version)
	// The entry's clock is as slow as is allowed for.
	span := lease.Duration * (100 - ClockRateErrorPercent) / 100
	process.leaseUntil = sent.Add(span * (100 + ClockRateErrorPercent) / 100)
}

// yield gives up what is lost under a view and renews at once.
func (process *process) yield(number uint64) {
	time.Sleep(time.Duration(process.group.intn(300)) * time.Millisecond)
	process.lock.Lock()
	process.yielded = max(process.yielded, number)
	process.lock.Unlock()
	process.renew()
}

func (process *process) leave() {
	process.lock.Lock()
	process.left = true
	member := process.member
	process.lock.Unlock()
	process.cancel()
	go func() {
		for range 5 {
			if process.ask(Renewal{Member: member, Leave: true}) != nil {
				return
			}
		}
	}()
}

// acts reports whether the process may use targets now. A frozen process
// does nothing, and its lease is judged when it wakes.
func (process *process) acts(now time.Time) bool {
	return !process.left && process.view.Number > 0 && now.Before(process.leaseUntil)
}
