// This file exists so that the leading replica serves entries and operators.

package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/replica"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// LeaseDuration is how long an entry may act on one renewal.
	LeaseDuration = 3 * time.Second
	// RenewInterval is the span between an entry's renewals.
	RenewInterval = 500 * time.Millisecond
	// ClockRateErrorPercent is the difference between the clock rates of two
	// VMs that leases allow for.
	ClockRateErrorPercent = 1
)

type (
	// Service answers entries and operators at one control replica.
	Service struct {
		replica *replica.Replica
		state   *State

		lock    sync.Mutex
		entries map[string]*entryLease
	}

	// entryLease is what the leader remembers of an entry; it isn't
	// replicated.
	entryLease struct {
		until   time.Time
		version uint64
		view    uint64
	}
)

// NewService returns the service of a replica and its state.
func NewService(replica *replica.Replica, state *State) *Service {
	return &Service{replica: replica, state: state, entries: map[string]*entryLease{}}
}

// Register offers the service to peers.
func (service *Service) Register(server *frame.Server) {
	frame.Handle(server, MethodRenew, service.renew)
	frame.Handle(server, MethodChange, service.change)
	frame.Handle(server, MethodTables, service.tables)
	frame.Handle(server, MethodStatus, service.status)
	frame.Handle(server, MethodGrant, service.grant)
	frame.Handle(server, MethodRecord, service.record)
}

func (service *Service) propose(ctx context.Context, command command) (*result, error) {
	encoded, err := encodeCommand(command)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	applied, err := service.replica.Propose(ctx, encoded)
	if err != nil {
		return nil, err
	}
	var result result
	if err := msgpack.Unmarshal(applied, &result); err != nil {
		return nil, errors.Wrap(err, "decode result")
	}
	if result.Fault != nil {
		return nil, result.Fault
	}
	return &result, nil
}

func (service *Service) change(ctx context.Context, change *operator.Change) (*operator.Accepted, error) {
	if err := change.Tables.Check(); err != nil {
		return nil, err
	}
	result, err := service.propose(ctx, changeTables{Change: *change})
	if err != nil {
		return nil, err
	}
	return &operator.Accepted{ChangeID: change.ID, Version: result.Version}, nil
}

func (service *Service) tables(ctx context.Context, request *TablesRequest) (*operator.Versioned, error) {
	if err := service.replica.Confirm(ctx); err != nil {
		return nil, err
	}
	if request.Version == 0 {
		newest := service.state.Newest()
		return &newest, nil
	}
	versioned, found := service.state.Version(request.Version)
	if !found {
		return nil, fault.New(fault.NotFound, fmt.Sprintf("version %d is unknown", request.Version), "ask for a version up to the newest")
	}
	return &versioned, nil
}

func (service *Service) grant(ctx context.Context, request *GrantRequest) (*Grant, error) {
	result, err := service.propose(ctx, grantRun{Request: *request, Now: time.Now()})
	if err != nil {
		return nil, err
	}
	return result.Grant, nil
}

func (service *Service) record(ctx context.Context, request *RecordRequest) (*Recorded, error) {
	_, err := service.propose(ctx, recordRun{Request: *request})
	return &Recorded{}, err
}

func (service *Service) renew(ctx context.Context, renewal *Renewal) (*Lease, error) {
	if err := service.replica.Confirm(ctx); err != nil {
		return nil, err
	}
	if err := service.join(ctx, renewal); err != nil {
		return nil, err
	}
	newest, view := service.state.Newest(), service.state.View()
	lease := &Lease{Duration: LeaseDuration, Version: newest.Version}
	if renewal.Version < newest.Version {
		lease.Tables = &newest.Tables
	}
	if renewal.KnownView < view.Number {
		lease.View = &view
	}
	service.lock.Lock()
	defer service.lock.Unlock()
	service.entries[renewal.Member.ID] = &entryLease{
		until:   time.Now().Add(LeaseDuration * (100 + ClockRateErrorPercent) / 100),
		version: renewal.Version,
		view:    renewal.View,
	}
	lease.Settled = service.settled(&view)
	return lease, nil
}

// join brings the view up to date with what an entry says of itself.
func (service *Service) join(ctx context.Context, renewal *Renewal) error {
	view := service.state.View()
	present, known := view.Member(renewal.Member.ID)
	if renewal.Leave && !known || !renewal.Leave && known && present == renewal.Member {
		return nil
	}
	members := []membership.Member{}
	for _, member := range view.Members {
		if member.ID != renewal.Member.ID {
			members = append(members, member)
		}
	}
	if !renewal.Leave {
		members = append(members, renewal.Member)
	}
	_, err := service.propose(ctx, changeView{Base: view.Number, Members: members})
	return err
}

// settled returns the newest view that every member has acknowledged. The
// lock is held.
func (service *Service) settled(view *membership.View) uint64 {
	settled := view.Number
	for _, member := range view.Members {
		lease, known := service.entries[member.ID]
		if !known {
			return 0
		}
		settled = min(settled, lease.view)
	}
	return settled
}

func (service *Service) status(ctx context.Context, _ *StatusRequest) (*operator.Status, error) {
	if err := service.replica.Confirm(ctx); err != nil {
		return nil, err
	}
	newest, view := service.state.Newest(), service.state.View()
	status := &operator.Status{
		Version:           newest.Version,
		InForce:           true,
		View:              view.Number,
		FailureDomainsOut: newest.Tables.FailureDomainsOut,
	}
	service.lock.Lock()
	defer service.lock.Unlock()
	for _, member := range view.Members {
		entry := operator.EntryStatus{
			ID: member.ID, Address: member.CallerAddress, FailureDomain: member.FailureDomain, Stopping: member.Stopping, Fenced: true,
		}
		if lease, known := service.entries[member.ID]; known {
			entry.Version, entry.View, entry.LeaseUntil = lease.version, lease.view, lease.until
			entry.Fenced = !time.Now().Before(lease.until)
		}
		if entry.Version < newest.Version && !entry.Fenced {
			status.InForce = false
		}
		status.Entries = append(status.Entries, entry)
	}
	return status, nil
}
