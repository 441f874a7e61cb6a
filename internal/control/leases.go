// The leader adds entries to the view, renews their leases and removes entries whose leases
// have expired. Its tenure decides when each of these is safe.

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
	// expiryInterval is the interval between checks for expired leases.
	expiryInterval = 200 * time.Millisecond
	// maximumViewConflicts limits how often one renewal retries after its edit of the view lost
	// against a concurrent edit.
	maximumViewConflicts = 8
)

// Run removes entries whose leases have expired and moves rollouts from phase to phase, until ctx ends.
func (service *Service) Run(ctx context.Context) {
	if service.rollouts != nil {
		go service.runRollouts(ctx)
	}
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if _, leading := service.log.Term(); leading {
				// On failure, the next tick tries again.
				_ = service.removeExpired(ctx)
			}
		}
	}
}

// currentTenure returns the tenure of the current term. The first call in a term commits a
// beginTenure command. After it is applied, the local state contains everything that earlier
// leaders accepted.
func (service *Service) currentTenure(ctx context.Context) (*tenure, error) {
	term, leading := service.log.Term()
	leaderSince := service.log.LeadingSince()
	if termAfter, _ := service.log.Term(); !leading || termAfter != term || leaderSince.IsZero() {
		return nil, service.notLeadingError(ctx)
	}
	service.lock.Lock()
	current := service.tenure
	service.lock.Unlock()
	if current != nil && current.term == term {
		return current, nil
	}
	if err := service.startTenure(ctx, term); err != nil {
		return nil, err
	}
	service.lock.Lock()
	defer service.lock.Unlock()
	if service.tenure == nil || service.tenure.term < term {
		service.tenure = newTenure(term, leaderSince)
	}
	if service.tenure.term != term {
		return nil, fault.New(fault.Unavailable, "the leader is changing", "try again")
	}
	return service.tenure, nil
}

// startTenure returns once a beginTenure command of the term is applied. Calls that arrive
// together share one command: after a restart of everything all entries renew at once, and the
// log replicates commands on the tables a few at a time.
func (service *Service) startTenure(ctx context.Context, term uint64) error {
	start := service.sharedTenureStart(term)
	select {
	case <-ctx.Done():
		return fault.New(fault.Unavailable, "the leader is changing", "try again")
	case <-start.done:
		return start.err
	}
}

// sharedTenureStart returns the start of the term's tenure that is in progress or was successful,
// or begins another one.
func (service *Service) sharedTenureStart(term uint64) *tenureStart {
	service.lock.Lock()
	defer service.lock.Unlock()
	if current := service.tenureStart; current != nil && current.term == term && !current.failed() {
		return current
	}
	start := &tenureStart{term: term, done: make(chan struct{})}
	service.tenureStart = start
	go func() {
		_, start.err = service.changeBatcher.submit(context.Background(), beginTenure{Term: term})
		close(start.done)
	}()
	return start
}

func (tenureStart *tenureStart) failed() bool {
	select {
	case <-tenureStart.done:
		return tenureStart.err != nil
	default:
		return false
	}
}

func (service *Service) notLeadingError(ctx context.Context) error {
	if err := service.log.Confirm(ctx); err != nil {
		return err
	}
	return fault.New(fault.Unavailable, "the leader is changing", "try again")
}

// confirmTenure returns an error unless this replica has led without interruption since the
// tenure began. Data that was read in between was therefore current when it was read.
func (service *Service) confirmTenure(ctx context.Context, tenure *tenure) error {
	if err := service.log.Confirm(ctx); err != nil {
		return err
	}
	return service.checkTerm(tenure)
}

// checkTerm returns an error unless this replica leads the tenure's term.
func (service *Service) checkTerm(tenure *tenure) error {
	if term, leading := service.log.Term(); !leading || term != tenure.term {
		return fault.New(fault.Unavailable, "the leader has changed", "try again")
	}
	return nil
}

func (service *Service) renew(ctx context.Context, renewal *Renewal) (*Lease, error) {
	tenure, err := service.currentTenure(ctx)
	if err != nil {
		return nil, err
	}
	if renewal.Brief && !service.completeMember(&renewal.Member) {
		return &Lease{UnknownMember: true}, nil
	}
	if renewal.Leave {
		return service.leave(ctx, tenure, renewal)
	}
	edited := false
	for range maximumViewConflicts {
		lease, edit, err := service.tryRenew(tenure, renewal)
		if err != nil {
			return nil, err
		}
		if lease != nil {
			return lease, service.completeLease(ctx, tenure, renewal, lease, edited)
		}
		if _, err := service.viewBatcher.submit(ctx, *edit); err != nil {
			return nil, err
		}
		edited = true
	}
	return nil, fault.New(fault.Unavailable, "the view changes too fast", "try again")
}

// completeLease confirms that this replica leads, and attaches the update of the tables to the lease. If the view was edited
// for the renewal, the commit of the edit has confirmed the lead since the renewal arrived.
func (service *Service) completeLease(ctx context.Context, tenure *tenure, renewal *Renewal, lease *Lease, edited bool) error {
	confirm := func() error { return service.confirmTenure(ctx, tenure) }
	if edited {
		confirm = func() error { return service.checkTerm(tenure) }
	}
	if err := confirm(); err != nil {
		return err
	}
	return service.attachUpdate(renewal, lease)
}

// completeMember fills in the member of a brief renewal from the view. It returns false if the
// view has another incarnation or other values of the fields that may change, for example after
// a delayed renewal; the entry must then send the member in full.
func (service *Service) completeMember(member *membership.Member) bool {
	view := service.state.View()
	present, known := view.Member(member.ID)
	if !known || present.Incarnation != member.Incarnation || present.Stopping != member.Stopping || present.Leaving != member.Leaving || present.Reserve != member.Reserve {
		return false
	}
	*member = present
	return true
}

// tryRenew grants a lease, or returns the edit of the view that must be committed first. It
// records the lease and reads the view and the tables under one lock, so that the tenure never
// takes the entry to have a newer view or newer tables than the reply contains.
func (service *Service) tryRenew(tenure *tenure, renewal *Renewal) (*Lease, *editView, error) {
	service.lock.Lock()
	defer service.lock.Unlock()
	now, view := time.Now(), service.state.View()
	switch tenure.admit(now, &renewal.Member, &view) {
	case mustJoin:
		present, _ := view.Member(renewal.Member.ID)
		return nil, &editView{ExpectedIncarnation: present.Incarnation, Member: renewal.Member}, nil
	case mustWait:
		return nil, nil, fault.New(fault.Unavailable, "the entry's lease has run out and it is being removed from the view", "try again")
	case superseded:
		return nil, nil, fault.New(fault.Conflict,
			fmt.Sprintf("another process runs as entry %q, or this one has left", renewal.Member.ID), "give each entry a name of its own, or restart this process")
	case admitted:
	}
	newest := service.state.Newest()
	if required := tablesLevel(&newest.Tables); renewal.Level < required {
		return nil, nil, fault.New(fault.Unavailable,
			fmt.Sprintf("the tables need feature level %d, and entry %q has level %d", required, renewal.Member.ID, renewal.Level), "run the newer build on this entry")
	}
	tenure.grant(now, renewal, &view, newest.Version)
	lease := &Lease{Duration: LeaseDuration, TablesVersion: newest.Version, SettledView: tenure.settled(now, &view)}
	if renewal.TablesVersion < newest.Version {
		lease.Tables = &newest.Tables
	}
	lease.GroupHash, lease.Replicas = replicaGroup(service.log)
	if lease.GroupHash == renewal.GroupHash {
		lease.Replicas = nil
	}
	if renewal.KnownView >= view.Number {
		return lease, nil, nil
	}
	if delta, known := service.state.viewDeltaSince(renewal.KnownView); known && renewal.AcceptsDelta && delta.Number == view.Number {
		lease.Delta = &delta
	} else {
		lease.View = &view
	}
	return lease, nil, nil
}

// replicaGroup returns a hash that distinguishes the list of the replica group's peer addresses
// from other lists, and the sorted list.
func replicaGroup(log Log) (uint64, []string) {
	var addresses []string
	for _, member := range log.Status().Replicas {
		addresses = append(addresses, member.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return xxhash.Sum64String(strings.Join(addresses, ",")), addresses
}

// leave removes an entry that has stopped. If another process of the same entry may still hold
// a lease, the entry is removed when that lease expires.
func (service *Service) leave(ctx context.Context, tenure *tenure, renewal *Renewal) (*Lease, error) {
	service.lock.Lock()
	tenure.leave(time.Now(), processKeyOf(&renewal.Member))
	service.lock.Unlock()
	if err := service.removeExpired(ctx); err != nil {
		return nil, err
	}
	return &Lease{}, service.confirmTenure(ctx, tenure)
}

// removeExpired removes the members that have left or whose leases have expired.
func (service *Service) removeExpired(ctx context.Context) error {
	tenure, err := service.currentTenure(ctx)
	if err != nil {
		return err
	}
	service.lock.Lock()
	now, view := time.Now(), service.state.View()
	tenure.prune(now, &view)
	removable := tenure.removable(now, &view)
	service.lock.Unlock()
	if len(removable) == 0 {
		return nil
	}
	errs := make(chan error, len(removable))
	for _, member := range removable {
		go func() {
			_, err := service.viewBatcher.submit(ctx, editView{ExpectedIncarnation: member.Incarnation, Member: member, Remove: true, Term: tenure.term})
			errs <- err
		}()
	}
	for range removable {
		err = firstError(err, <-errs)
	}
	return err
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
