// The interface of the package: proposals, confirmed reads, status and changes of members.

package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/disk"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// MaximumCommandBytes bounds one command.
	MaximumCommandBytes = 4 << 20

	// maximumRequests bounds the requests queued for the driver.
	maximumRequests = 1024
	// transferTimeout bounds how long a stopping leader tries to transfer its leadership.
	transferTimeout = time.Second
	// voterPollInterval is the time between two checks of whether an added replica is a voter.
	voterPollInterval = 50 * time.Millisecond
)

type (
	// Machine is the state machine that applies the log's commands. Its methods are called by one
	// goroutine at a time.
	Machine interface {
		// Apply applies one command and returns its result. It must depend on the command and the
		// state alone.
		Apply(index uint64, command []byte) []byte
		// Snapshot returns the whole state.
		Snapshot() ([]byte, error)
		// Restore replaces the whole state by a snapshot.
		Restore(snapshot []byte) error
	}

	// Options configure a replica. The zero value is a group of one replica without a disk.
	Options struct {
		// Name is the name of the process.
		Name string
		// Address is the process's IP:port for peers, and Peers are the addresses of all replicas
		// that bootstrap the group. Replicas that join later list any of them.
		Address string
		Peers   []string
		Dial    tcp.Dialer
		Logger  *zap.Logger
		// JoinOnly keeps a replica without a group from bootstrapping one.
		JoinOnly bool
		// SelfManaged lets the group add replicas that send hello, and replace members that stay
		// unreachable, without an operator.
		SelfManaged bool
		// Folder holds the replica's state; if it is empty, the state is kept in memory only. A nil
		// FileSystem is the operating system's.
		Folder     string
		FileSystem disk.FileSystem
		// CountMemberChange, if not nil, is told the kind and the reason of each change of members that this
		// replica makes as leader.
		CountMemberChange func(kind, reason string)
		// Now returns the time of the VM's clock. If it is nil, time.Now is used.
		Now func() time.Time
	}

	// Replica is one member of the group that agrees on the log. Construct it with New.
	Replica struct {
		options Options
		// batchedRequests bounds the requests that share one sync of the disk.
		batchedRequests int
		machine         Machine
		transport       transport
		requests        chan request
		stopping        chan struct{}
		stopped         chan struct{}
		startOnce       sync.Once
		stopOnce        sync.Once
		published       atomic.Pointer[publishedState]
	}

	// publishedState is the state that the driver publishes, so that callers can read it without a
	// request to the driver.
	publishedState struct {
		status       Status
		leadingSince time.Time
		// featureLevel is the lowest feature level of the group's members if this replica leads.
		featureLevel int
		// leaderChanged is closed once a state with another leader is published.
		leaderChanged chan struct{}
	}
)

// New returns a replica that applies the log to a state machine. It joins the group after Start.
func New(options Options, machine Machine) *Replica {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	replica := &Replica{
		options: options, batchedRequests: maximumBatchedRequests, machine: machine, transport: transport{dial: options.Dial},
		requests: make(chan request, maximumRequests), stopping: make(chan struct{}), stopped: make(chan struct{}),
	}
	replica.published.Store(&publishedState{leaderChanged: make(chan struct{})})
	return replica
}

func (options *Options) fileSystem() disk.FileSystem {
	if options.FileSystem == nil {
		return disk.OS{}
	}
	return options.FileSystem
}

// Register registers MethodDeliver with the server, so that peers can send this replica messages.
func (replica *Replica) Register(server *frame.Server) {
	frame.Handle(server, MethodDeliver, replica.deliver)
}

// Start opens the disk and starts the replica, which runs until Stop. A full disk is no error: the
// replica takes part once its disk has space.
func (replica *Replica) Start() error {
	emptyState, err := replica.machine.Snapshot()
	if err != nil {
		return err
	}
	driver := &driver{replica: replica, emptyState: emptyState, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	if err := driver.open(driver.now()); !driver.canRun(err) {
		return err
	}
	replica.startOnce.Do(func() { go driver.run() })
	return nil
}

// Stop stops the replica. If it leads, it first tries for up to transferTimeout to transfer its
// leadership to another replica.
func (replica *Replica) Stop(ctx context.Context) error {
	replica.stopOnce.Do(func() { close(replica.stopping) })
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-replica.stopped:
		return nil
	}
}

// Propose appends a command to the log and returns the state machine's result once the command is
// durable on a quorum and applied here. It returns a NotLeadingError if this replica doesn't lead and has
// not appended it.
func (replica *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaximumCommandBytes {
		return nil, fault.New(fault.TooLarge, "the command is too large", "change less at once")
	}
	outcome, err := replica.submit(ctx, request{command: command, kind: requestPropose})
	if err != nil {
		return nil, err
	}
	return outcome.result, outcome.err
}

// Confirm returns nil once it is certain that this replica leads and that its state machine has
// applied every command committed before the call. It returns a NotLeadingError if this replica doesn't
// lead.
func (replica *Replica) Confirm(ctx context.Context) error {
	outcome, err := replica.submit(ctx, request{kind: requestConfirm})
	if err != nil {
		return err
	}
	return outcome.err
}

// Term returns the current term and whether this replica leads it.
func (replica *Replica) Term() (term uint64, leading bool) {
	status := &replica.published.Load().status
	return status.Term, status.Leading
}

// LeadingSince returns the time since which this replica has led without interruption; it is zero if
// the replica doesn't lead.
func (replica *Replica) LeadingSince() time.Time {
	return replica.published.Load().leadingSince
}

// FeatureLevel returns the lowest feature level of all replicas of the group, as far as this replica
// knows as the leader; it is 0 if the replica doesn't lead.
func (replica *Replica) FeatureLevel() int {
	return replica.published.Load().featureLevel
}

// AwaitLeader returns the leader's peer address once this replica knows a leader, or "" if ctx ends
// or the replica stops first.
func (replica *Replica) AwaitLeader(ctx context.Context) string {
	for {
		published := replica.published.Load()
		if published.status.LeaderAddress != "" {
			return published.status.LeaderAddress
		}
		select {
		case <-ctx.Done():
			return ""
		case <-replica.stopped:
			return ""
		case <-published.leaderChanged:
		}
	}
}

// Status returns the state of the group as seen by this replica.
func (replica *Replica) Status() Status {
	return replica.published.Load().status
}

// AddReplica adds the replica that runs at a peer address under a process name. It returns nil once
// the replica has caught up and is a voter.
func (replica *Replica) AddReplica(ctx context.Context, name, address string) error {
	for deadline := time.Now().Add(helloTTL); ; {
		outcome, err := replica.submit(ctx, request{kind: requestChange, change: addRequested{name: name, address: address}})
		// A replica that has only just started may not have sent hello yet.
		retry := isNotFound(outcome.err) && time.Now().Before(deadline)
		if err != nil || outcome.err != nil && !retry {
			return firstError(err, outcome.err)
		}
		for _, member := range replica.Status().Replicas {
			if member.Address == address && nameOf(member.ID) == name && member.Voter {
				return nil
			}
		}
		if err := replica.pause(ctx); err != nil {
			return err
		}
	}
}

// RemoveReplica removes a replica by its ID or its process name. It returns nil once the removal is
// durable.
func (replica *Replica) RemoveReplica(ctx context.Context, id string) error {
	outcome, err := replica.submit(ctx, request{kind: requestChange, change: removeRequested{id: id}})
	if err != nil || outcome.err != nil {
		return firstError(err, outcome.err)
	}
	return replica.Confirm(ctx)
}

func isNotFound(err error) bool {
	var typed *fault.Error
	return errors.As(err, &typed) && typed.Kind == fault.NotFound
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

func (replica *Replica) pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return interrupted()
	case <-replica.stopped:
		return stopped()
	case <-time.After(voterPollInterval):
		return nil
	}
}

// submit passes a request to the driver and waits for its outcome.
func (replica *Replica) submit(ctx context.Context, submitted request) (outcome, error) {
	submitted.reply = make(chan outcome, 1)
	select {
	case <-ctx.Done():
		return outcome{}, interrupted()
	case <-replica.stopped:
		return outcome{}, stopped()
	case replica.requests <- submitted:
	}
	select {
	case <-ctx.Done():
		return outcome{}, interrupted()
	case <-replica.stopped:
		return outcome{}, stopped()
	case result := <-submitted.reply:
		return result, nil
	}
}

func (replica *Replica) deliver(ctx context.Context, batch *batch) (*receipt, error) {
	for index := range batch.Envelopes {
		envelope, err := batch.Envelopes[index].envelope()
		if err != nil {
			return nil, fault.New(fault.BadRequest, err.Error(), "run one release on all control VMs")
		}
		replica.transport.recordHeard(envelope.fromAddress)
		select {
		case <-ctx.Done():
			return nil, interrupted()
		case <-replica.stopped:
			return nil, stopped()
		case replica.requests <- request{kind: requestDeliver, envelope: envelope}:
		}
	}
	return &receipt{}, nil
}
