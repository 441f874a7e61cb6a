package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/replica"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// LeaseDuration is how long an entry may act after one renewal.
	LeaseDuration = 3 * time.Second
	// RenewInterval is the interval between an entry's renewals.
	RenewInterval = 500 * time.Millisecond
	// ClockRateErrorPercent is the difference between the clock rates of two VMs that leases
	// tolerate.
	ClockRateErrorPercent = 1

	// maximumChangesInFlight is the maximum number of changes of the tables in flight.
	maximumChangesInFlight = 2
	// viewWindow is how long an edit of the view waits for others. Many entries that start at
	// the same time then share a few views.
	viewWindow = 20 * time.Millisecond
	// maximumViewEditsInFlight is the maximum number of batches of view edits in flight. After a
	// restart of everything all entries join at about the same time, and those of a later batch
	// don't wait for the replication of an earlier one.
	maximumViewEditsInFlight = 4
	// leaderWait is how long a call at a replica that knows no leader waits for an election to
	// end. Callers would otherwise only learn of the leader in their next round of attempts.
	leaderWait = 100 * time.Millisecond
	// maximumClockSkew is added to the maximum lifetime of a request ID, because the leader's
	// clock may be behind the clock of the entry that checked the ID.
	maximumClockSkew = time.Minute
)

type (
	// Log is the replicated log. replica.Replica implements it.
	Log interface {
		// Propose appends a command to the log and returns its result after the command is
		// durable on a quorum and applied here.
		Propose(ctx context.Context, command []byte) ([]byte, error)
		// Confirm returns nil once it is certain that this replica leads and has applied every
		// command that was committed before the call.
		Confirm(ctx context.Context) error
		// Term returns the current term and whether this replica leads it.
		Term() (term uint64, leading bool)
		// LeadingSince returns the time since which this replica has led without interruption; it
		// is zero if the replica doesn't lead.
		LeadingSince() time.Time
		// FeatureLevel returns the lowest feature level of all replicas of the group, as far as
		// this replica knows as the leader; it is 0 if this replica doesn't lead.
		FeatureLevel() int
		// AwaitLeader returns the leader's peer address once one is known, or "" if ctx ends first.
		AwaitLeader(ctx context.Context) string
		// Status returns the state of the replica group as seen by this replica.
		Status() replica.Status
		// AddReplica returns nil once the replica of that process name at the peer address is a
		// voter.
		AddReplica(ctx context.Context, name, address string) error
		// RemoveReplica removes a replica by its ID or by the name of its process.
		RemoveReplica(ctx context.Context, id string) error
	}

	// Service handles the calls of entries and operators at one control replica.
	Service struct {
		log   Log
		state *State
		// ledgerBatcher batches grants and records, viewBatcher batches edits of the view, and
		// changeBatcher proposes changes of the tables, which are large, one per log entry.
		ledgerBatcher batcher
		viewBatcher   batcher
		changeBatcher batcher
		orders        orderQueue
		// rollouts is nil if rollouts are turned off.
		rollouts *rolloutController
		updates  updateCache

		// lock must be acquired before the lock of state.
		lock   sync.Mutex
		tenure *tenure
		// tenureStart is the latest start of a tenure, or nil.
		tenureStart *tenureStart
	}

	// tenureStart is a beginTenure command that all calls of one term share. Its error is set
	// before done is closed.
	tenureStart struct {
		term uint64
		done chan struct{}
		err  error
	}
)

// NewService returns the service of a control replica with the given log and state.
func NewService(log Log, state *State) *Service {
	checkLevel := func(command command) error { return checkFeatureLevel(log, command) }
	return &Service{
		log: log, state: state,
		ledgerBatcher: batcher{propose: log.Propose, check: checkLevel, maximumInFlight: 1, maximumBatchSize: maximumBatch},
		viewBatcher:   batcher{propose: log.Propose, check: checkLevel, maximumInFlight: maximumViewEditsInFlight, maximumBatchSize: maximumBatch, window: viewWindow},
		changeBatcher: batcher{propose: log.Propose, check: checkLevel, maximumInFlight: maximumChangesInFlight, maximumBatchSize: 1},
		orders:        newOrderQueue(),
	}
}

// Register registers the methods of the service at the server.
func (service *Service) Register(server *frame.Server) {
	handle(server, service.log, MethodRenew, service.renew)
	handle(server, service.log, MethodChange, service.change)
	handle(server, service.log, MethodLeveledChange, service.change)
	handle(server, service.log, MethodRequireKeysChange, service.change)
	handle(server, service.log, MethodTables, service.tables)
	frame.HandleStream(server, MethodTablesUpdate, service.sendUpdate)
	handle(server, service.log, MethodStatus, service.status)
	handle(server, service.log, MethodGrant, service.grant)
	handle(server, service.log, MethodRecord, service.record)
	handle(server, service.log, MethodReplicas, service.replicas)
	handle(server, service.log, MethodDomain, service.domain)
	handle(server, service.log, MethodOrderTicket, service.orderTicket)
	handle(server, service.log, MethodTicketedDomain, service.ticketedDomain)
	handle(server, service.log, MethodTicketedRollout, service.ticketedRollout)
	handle(server, service.log, MethodExceptions, service.replaceExceptions)
	handle(server, service.log, MethodRollout, service.startRollout)
	handle(server, service.log, MethodRolloutState, service.rolloutState)
	handle(server, service.log, MethodRolloutEvidence, service.rolloutEvidence)
}

// handle registers a method. If this replica doesn't lead, the reply names the leader; if none is
// known yet, the reply waits for up to leaderWait.
func handle[In, Out any](server *frame.Server, log Log, name string, handler func(ctx context.Context, in *In) (*Out, error)) {
	frame.Handle(server, name, func(ctx context.Context, in *In) (*reply[Out], error) {
		out, err := handler(ctx, in)
		var notLeading *replica.NotLeadingError
		if errors.As(err, &notLeading) {
			_, replicas := replicaGroup(log)
			return &reply[Out]{NotLeading: true, Leader: leaderAddress(ctx, log, notLeading), Replicas: replicas}, nil
		}
		if err != nil {
			return nil, err
		}
		return &reply[Out]{Body: out}, nil
	})
}

func leaderAddress(ctx context.Context, log Log, notLeading *replica.NotLeadingError) string {
	if address := notLeading.LeaderAddress(); address != "" {
		return address
	}
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	return log.AwaitLeader(ctx)
}

func (service *Service) change(ctx context.Context, change *operator.Change) (*operator.ChangeReply, error) {
	if change.ID == "" || len(change.ID) > operator.MaximumNameBytes {
		return nil, fault.New(fault.BadRequest, "the change ID is missing or too long", fmt.Sprintf("use 1 to %d bytes", operator.MaximumNameBytes))
	}
	if err := change.Tables.Check(); err != nil {
		return nil, err
	}
	if change.DryRun {
		return service.dryRun(ctx, change)
	}
	if err := service.checkEntryLevels(ctx, changeTables{Change: *change}); err != nil {
		return nil, err
	}
	result, err := service.changeBatcher.submit(ctx, changeTables{Change: *change})
	if err != nil {
		return nil, err
	}
	return &operator.ChangeReply{ChangeID: change.ID, Version: result.Version}, nil
}

func (service *Service) dryRun(ctx context.Context, change *operator.Change) (*operator.ChangeReply, error) {
	if err := service.log.Confirm(ctx); err != nil {
		return nil, err
	}
	if err := checkFeatureLevel(service.log, changeTables{Change: *change}); err != nil {
		return nil, err
	}
	if err := service.checkEntryLevels(ctx, changeTables{Change: *change}); err != nil {
		return nil, err
	}
	change.DryRun = false
	version, err := service.state.CheckChange(change)
	if err != nil {
		return nil, err
	}
	return &operator.ChangeReply{ChangeID: change.ID, Version: version, DryRun: true}, nil
}

func (service *Service) tables(ctx context.Context, request *TablesRequest) (*operator.VersionedTables, error) {
	if err := service.log.Confirm(ctx); err != nil {
		return nil, err
	}
	if request.Version == 0 {
		newest := service.state.Newest()
		return &newest, nil
	}
	versioned, err := service.state.Version(request.Version)
	if err != nil {
		return nil, err
	}
	return &versioned, nil
}

func (service *Service) domain(ctx context.Context, change *operator.DomainChange) (*operator.ChangeReply, error) {
	return service.changeDomain(ctx, nil, change)
}

// changeDomain takes a failure domain out of service or puts it back. The domain need not have had an
// entry, because targets may run where no entry does.
func (service *Service) changeDomain(ctx context.Context, ticket *OrderTicket, change *operator.DomainChange) (*operator.ChangeReply, error) {
	if err := change.Check(); err != nil {
		return nil, err
	}
	result, err := service.submitOrder(ctx, ticket, changeDomain{Change: *change})
	if err != nil {
		return nil, err
	}
	return &operator.ChangeReply{Version: result.Version}, nil
}

func (service *Service) grant(ctx context.Context, request *GrantRequest) (*Grant, error) {
	expiry, err := request.RequestID.Expiry()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if expiry.Sub(now) > caller.MaximumRequestIDLifetime+maximumClockSkew {
		return nil, fault.New(fault.BadRequest, "the request ID expires too late", "let it expire within "+caller.MaximumRequestIDLifetime.String()+" and check the VMs' clocks")
	}
	result, err := service.ledgerBatcher.submit(ctx, grantRun{Request: *request, Now: now})
	if err != nil {
		return nil, err
	}
	return result.Grant, nil
}

func (service *Service) record(ctx context.Context, request *RecordRequest) (*RecordReply, error) {
	_, err := service.ledgerBatcher.submit(ctx, recordRun{Request: *request})
	return &RecordReply{}, err
}

func (service *Service) replicas(ctx context.Context, request *ReplicasRequest) (*operator.EmptyReply, error) {
	var err error
	switch {
	case request.Add != nil:
		err = service.log.AddReplica(ctx, request.Add.Name, request.Add.Address)
	case request.Remove != "":
		err = service.log.RemoveReplica(ctx, request.Remove)
	default:
		err = fault.New(fault.BadRequest, "no replica is named", "name one replica to add or to remove")
	}
	return &operator.EmptyReply{}, err
}
