// This file exists so that the leader joins, renews and removes entries by
// what its tenure lets it conclude.

package control

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// expiryInterval is the span between two looks for expired leases.
	expiryInterval = 200 * time.Millisecond
	// maximumViewRaces bounds the retries of one renewal whose edit of the
	// view lost against others.
	maximumViewRaces = 8
)

// Run removes entries whose leases have run out, until ctx ends.
func (service *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if _, leading := service.log.Term(); leading {
				// A failure is tried again at the next tick.
				_ = service.expire(ctx)
			}
		}
	}
}

// lead returns the tenure of the present term. The first call in a term
// commits its beginning, after which the state holds all that earlier
// leaders accepted.
func (service *Service) lead(ctx context.Context) (*tenure, error) {
	term, leading := service.log.Term()
	since := service.log.LeadingSince()
	if again, _ := service.log.Term(); !leading || again != term || since.IsZero() {
		return nil, service.notLeading(ctx)
	}
	service.lock.Lock()
	present := service.tenure
	service.lock.Unlock()
	if present != nil && present.term == term {
		return present, nil
	}
	if _, err := service.changes.submit(ctx, beginTenure{Term: term}); err != nil {
		return nil, err
	}
	service.lock.Lock()
	defer service.lock.Unlock()
	if service.tenure == nil || service.tenure.term < term {
		service.tenure = newTenure(term, since)
	}
	if service.tenure.term != term {
		return nil, fault.New(fault.Unavailable, "the leader is changing", "try again")
	}
	return service.tenure, nil
}

func (service *Service) notLeading(ctx context.Context) error {
	if err := service.log.Confirm(ctx); err != nil {
		return err
	}
	return fault.New(fault.Unavailable, "the leader is changing", "try again")
}

// confirm makes sure that the replica has led in the tenure's term without a
// break up to now, so that what was read meanwhile was true.
func (service *Service) confirm(ctx context.Context, tenure *tenure) error {
	if err := service.log.Confirm(ctx); err != nil {
		return err
	}
	if term, leading := service.log.Term(); !leading || term != tenure.term {
		return fault.New(fault.Unavailable, "the leader has changed", "try again")
	}
	return nil
}

func (service *Service) renew(ctx context.Context, renewal *Renewal) (*Lease, error) {
	tenure, err := service.lead(ctx)
	if err != nil {
		return nil, err
	}
	if renewal.Brief && !service.fill(&renewal.Member) {
		return &Lease{Unknown: true}, nil
	}
	if renewal.Leave {
		return service.leave(ctx, tenure, renewal)
	}
	for range maximumViewRaces {
		lease, edit, err := service.tryRenew(tenure, renewal)
		if err != nil {
			return nil, err
		}
		if lease != nil {
			return lease, service.confirm(ctx, tenure)
		}
		if _, err := service.views.submit(ctx, *edit); err != nil {
			return nil, err
		}
	}
	return nil, fault.New(fault.Unavailable, "the view changes too fast", "try again")
}

// fill completes the member of a brief renewal from the view. Where the view
// differs in what can change, as after a renewal that was held up on its way,
// it must be sent in full.
func (service *Service) fill(member *membership.Member) bool {
	view := service.state.View()
	present, known := view.Member(member.ID)
	if !known || present.Incarnation != member.Incarnation || present.Stopping != member.Stopping || present.Leaving != member.Leaving || present.Reserve != member.Reserve {
		return false
	}
	*member = present
	return true
}

// tryRenew grants a lease, or returns the edit of the view that must come
// first. The lease is recorded under the lock, with the view and the tables
// that the reply carries, so that nothing is concluded past it.
func (service *Service) tryRenew(tenure *tenure, renewal *Renewal) (*Lease, *editView, error) {
	service.lock.Lock()
	defer service.lock.Unlock()
	now, view := time.Now(), service.state.View()
	switch tenure.admit(now, &renewal.Member, &view) {
	case edits:
		present, _ := view.Member(renewal.Member.ID)
		return nil, &editView{Present: present.Incarnation, Member: renewal.Member}, nil
	case waits:
		return nil, nil, fault.New(fault.Unavailable, "the entry's lease has run out and it is being removed from the view", "try again")
	case superseded:
		return nil, nil, fault.New(fault.Conflict,
			fmt.Sprintf("another process runs as entry %q, or this one has left", renewal.Member.ID), "give each entry a name of its own, or restart this process")
	case admitted:
	}
	newest := service.state.Newest()
	tenure.grant(now, renewal, &view, newest.Version)
	lease := &Lease{Duration: LeaseDuration, Version: newest.Version, Settled: tenure.settled(now, &view)}
	if renewal.Version < newest.Version {
		lease.Tables = &newest.Tables
	}
	lease.Group, lease.Replicas = service.group()
	if lease.Group == renewal.Group {
		lease.Replicas = nil
	}
	if renewal.KnownView >= view.Number {
		return lease, nil, nil
	}
	if delta, known := service.state.viewSince(renewal.KnownView); known && renewal.AcceptsDelta && delta.Number == view.Number {
		lease.Delta = &delta
	} else {
		lease.View = &view
	}
	return lease, nil, nil
}

// group returns the peer addresses of the group of replicas, and a number that
// tells this list from others.
func (service *Service) group() (uint64, []string) {
	var addresses []string
	for _, member := range service.log.Status().Replicas {
		addresses = append(addresses, member.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return xxhash.Sum64String(strings.Join(addresses, ",")), addresses
}

// leave removes an entry that has stopped. Where another process of its name
// may still hold a lease, the removal waits for that lease's end.
func (service *Service) leave(ctx context.Context, tenure *tenure, renewal *Renewal) (*Lease, error) {
	service.lock.Lock()
	tenure.leave(time.Now(), keyOf(&renewal.Member))
	service.lock.Unlock()
	if err := service.expire(ctx); err != nil {
		return nil, err
	}
	return &Lease{}, service.confirm(ctx, tenure)
}

// expire removes the members that have left or whose lease has run out.
func (service *Service) expire(ctx context.Context) error {
	tenure, err := service.lead(ctx)
	if err != nil {
		return err
	}
	service.lock.Lock()
	now, view := time.Now(), service.state.View()
	tenure.forget(now, &view)
	removable := tenure.removable(now, &view)
	service.lock.Unlock()
	if len(removable) == 0 {
		return nil
	}
	failed := make(chan error, len(removable))
	for _, member := range removable {
		go func() {
			_, err := service.views.submit(ctx, editView{Present: member.Incarnation, Member: member, Remove: true, Term: tenure.term})
			failed <- err
		}()
	}
	for range removable {
		err = firstError(err, <-failed)
	}
	return err
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
