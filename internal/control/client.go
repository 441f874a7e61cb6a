package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/pause"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/internal/replica"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// attemptTimeout is the time after which the next replica is called.
	attemptTimeout = time.Second
	// maximumPendingAttempts limits the attempts of one call that are in progress. One that lasts longer than that many
	// attempts is given up.
	maximumPendingAttempts = 4
	// replicasTimeout limits a membership change of the replica group. Adding a replica takes
	// longer than other calls, because it waits until the new replica has caught up.
	replicasTimeout = time.Minute
	// callTimeout and maximumAttempts limit one call to the group, all attempts included.
	callTimeout     = 10 * time.Second
	maximumAttempts = 100
	// roundDelay is the pause after each round, in which every replica is tried about once.
	roundDelay = 100 * time.Millisecond
	// maximumKnownPeers limits the number of replica addresses the client keeps, including
	// those of former replicas.
	maximumKnownPeers = 64
)

type (
	// Client sends each call to the replica that currently leads. It retries calls, so a call
	// may be sent again even if an earlier attempt took effect.
	Client struct {
		dial tcp.Dialer

		lock  sync.Mutex
		peers []*frame.Client
		// preferredIndex is the index in peers of the replica to call first, which is expected to
		// lead.
		preferredIndex int
		// transferIndex, modulo the number of peers, is the index of the replica that sends updates of the tables.
		transferIndex int
		// member is the member as control last received it, and view is the last view that
		// control sent. Renewals and leases omit what both sides already have.
		member membership.Member
		view   *membership.View
		// seeds are the addresses from the settings. replicas are the addresses of the replica
		// group from the last lease that listed them, and groupHash is the hash of that list. Before
		// the first lease, groupHash is 0 and replicas are what a replica that doesn't lead has named.
		seeds     []string
		groupHash uint64
		replicas  []string
		// contact is the policy.ControlContact of the latest reply.
		contact atomic.Uint32
		// pauses is nil if orders are accepted after pauses of the process.
		pauses *pause.Monitor
	}

	// attemptResult is the outcome of one attempt of a call.
	attemptResult[Out any] struct {
		number   int
		response *reply[Out]
		err      error
	}

	// lackingReplicas holds the replicas whose builds lack the method of a call.
	lackingReplicas struct {
		method string
		// mustKnow is true if the call ends once the leader is known to lack the method.
		mustKnow bool
		errs     map[string]error
	}

	// attemptRound counts the attempts of one call since its last pause.
	attemptRound struct {
		attempts int
	}
)

// NewClient returns a client for the replicas at the given IP:port addresses. It also adds the
// addresses of leaders that replicas name in their replies.
func NewClient(addresses []string, dial tcp.Dialer) *Client {
	client := &Client{dial: dial, transferIndex: rand.IntN(maximumKnownPeers)}
	client.SetSeeds(addresses)
	return client
}

// SetSeeds replaces the addresses from the settings, which may be reloaded while the process
// runs.
func (client *Client) SetSeeds(addresses []string) {
	client.lock.Lock()
	defer client.lock.Unlock()
	client.seeds = slices.Clone(addresses)
	client.rebuildPeers()
}

// Replicas returns the peer addresses of the replica group: the addresses from the last lease
// that listed them. Before the first one these are those from the settings and those that replicas have named.
func (client *Client) Replicas() []string {
	client.lock.Lock()
	defer client.lock.Unlock()
	if client.groupHash != 0 {
		return slices.Clone(client.replicas)
	}
	addresses := slices.Concat(client.replicas, client.seeds)
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// rebuildPeers rebuilds the list of peers and reuses existing connections. The replicas of the
// group come first. The seeds follow, so that the client can still find a group whose replicas
// were all replaced. The lock must be held.
func (client *Client) rebuildPeers() {
	existing := map[string]*frame.Client{}
	for _, peer := range client.peers {
		existing[peer.Address()] = peer
	}
	leaderAddress := ""
	if client.preferredIndex < len(client.peers) {
		leaderAddress = client.peers[client.preferredIndex].Address()
	}
	client.peers, client.preferredIndex = nil, 0
	for _, address := range slices.Concat(client.replicas, client.seeds) {
		if slices.ContainsFunc(client.peers, func(peer *frame.Client) bool { return peer.Address() == address }) {
			continue
		}
		peer := existing[address]
		if peer == nil {
			peer = frame.NewClient(address, client.dial)
		}
		delete(existing, address)
		if address == leaderAddress {
			client.preferredIndex = len(client.peers)
		}
		client.peers = append(client.peers, peer)
	}
	for _, unused := range existing {
		unused.Close()
	}
}

// learnReplicas sets the addresses of the replica group as a replica that doesn't lead knows them, until the
// first lease lists them. After a restart of everything they are thus known before a leader is elected.
func (client *Client) learnReplicas(addresses []string) {
	client.lock.Lock()
	defer client.lock.Unlock()
	if len(client.replicas) == 0 && len(addresses) > 0 {
		client.replicas = addresses
		client.rebuildPeers()
	}
}

// Contact returns what the latest reply of a replica said of the group's leader.
func (client *Client) Contact() policy.ControlContact {
	return policy.ControlContact(client.contact.Load())
}

// contactOf returns what the reply of a replica that doesn't lead says of the leader.
func contactOf(leaderNamed bool) policy.ControlContact {
	if leaderNamed {
		return policy.ControlLed
	}
	return policy.ControlLeaderless
}

func (client *Client) recordContact(contact policy.ControlContact) {
	client.contact.Store(uint32(contact))
}

// Close closes the connections to all replicas.
func (client *Client) Close() {
	client.lock.Lock()
	defer client.lock.Unlock()
	for _, peer := range client.peers {
		peer.Close()
	}
}

// Renew renews an entry's lease. A client must be used by one entry only, because it omits from
// each renewal what control already has.
func (client *Client) Renew(ctx context.Context, renewal *Renewal) (*Lease, error) {
	shortened := client.shortenRenewal(renewal)
	lease, err := call[Renewal, Lease](ctx, client, MethodRenew, shortened, attemptTimeout)
	if err == nil && lease.UnknownMember {
		full := *renewal
		full.Level, full.AcceptsUpdates = replica.BuildLevel, true
		lease, err = call[Renewal, Lease](ctx, client, MethodRenew, &full, attemptTimeout)
	}
	if err != nil {
		return nil, err
	}
	return lease, client.completeLease(renewal, lease)
}

// shortenRenewal returns the renewal without the fields that control already has.
func (client *Client) shortenRenewal(renewal *Renewal) *Renewal {
	client.lock.Lock()
	defer client.lock.Unlock()
	shortened := *renewal
	shortened.GroupHash, shortened.Level, shortened.AcceptsUpdates = client.groupHash, replica.BuildLevel, true
	if shortened.Member == client.member {
		shortened.Brief = true
		shortened.Member = membership.Member{ID: renewal.Member.ID, Incarnation: renewal.Member.Incarnation, Stopping: renewal.Member.Stopping, Leaving: renewal.Member.Leaving, Reserve: renewal.Member.Reserve}
	}
	shortened.AcceptsDelta = client.view != nil && client.view.Number == renewal.KnownView
	return &shortened
}

// completeLease fills in the view if control sent only the changes, and stores what later
// renewals and leases may omit. It returns an error if the changes don't fit the stored view.
func (client *Client) completeLease(renewal *Renewal, lease *Lease) error {
	client.lock.Lock()
	defer client.lock.Unlock()
	client.member = renewal.Member
	if lease.Replicas != nil {
		client.groupHash, client.replicas = lease.GroupHash, lease.Replicas
		client.rebuildPeers()
	}
	if lease.Delta != nil {
		view, applied := lease.Delta.apply(client.view)
		if !applied {
			client.view = nil
			return fault.New(fault.Unavailable, "the change of the view doesn't fit the view", "try again")
		}
		lease.View, lease.Delta = view, nil
	}
	if lease.View != nil {
		client.view = lease.View
	}
	return nil
}

// Change changes the tables. Sending it again with the same change ID is safe.
func (client *Client) Change(ctx context.Context, change *operator.Change) (*operator.ChangeReply, error) {
	method := changeMethod(requiredLevel(changeTables{Change: *change}))
	return call[operator.Change, operator.ChangeReply](ctx, client, method, change, attemptTimeout)
}

// SetDomainOut takes a failure domain out of service or puts it back.
func (client *Client) SetDomainOut(ctx context.Context, change *operator.DomainChange) (*operator.ChangeReply, error) {
	return sendOrder(ctx, client, func(ticket *OrderTicket) (*operator.ChangeReply, error) {
		if ticket == nil {
			return call[operator.DomainChange, operator.ChangeReply](ctx, client, MethodDomain, change, attemptTimeout)
		}
		return call[DomainOrder, operator.ChangeReply](ctx, client, MethodTicketedDomain, &DomainOrder{Ticket: *ticket, Change: *change}, attemptTimeout)
	})
}

// Tables reads one version of the tables; version 0 reads the newest.
func (client *Client) Tables(ctx context.Context, version uint64) (*operator.VersionedTables, error) {
	return call[TablesRequest, operator.VersionedTables](ctx, client, MethodTables, &TablesRequest{Version: version}, attemptTimeout)
}

// Status reads the status of control.
func (client *Client) Status(ctx context.Context) (*operator.Status, error) {
	return call[StatusRequest, operator.Status](ctx, client, MethodStatus, &StatusRequest{}, attemptTimeout)
}

// ReplaceExceptions replaces the exceptions of the view. The request has no effect if the view has
// changed since the exceptions were computed.
func (client *Client) ReplaceExceptions(ctx context.Context, request *ExceptionsRequest) error {
	_, err := call[ExceptionsRequest, ExceptionsReply](ctx, client, MethodExceptions, request, attemptTimeout)
	return err
}

// Grant requests a run right.
func (client *Client) Grant(ctx context.Context, request *GrantRequest) (*Grant, error) {
	return call[GrantRequest, Grant](ctx, client, MethodGrant, request, attemptTimeout)
}

// Record records the outcome of a granted run.
func (client *Client) Record(ctx context.Context, request *RecordRequest) error {
	_, err := call[RecordRequest, RecordReply](ctx, client, MethodRecord, request, attemptTimeout)
	return err
}

// StartRollout orders a rollout. Sending the order again is safe.
func (client *Client) StartRollout(ctx context.Context, order *operator.RolloutOrder) (*operator.Rollout, error) {
	return sendOrder(ctx, client, func(ticket *OrderTicket) (*operator.Rollout, error) {
		if ticket == nil {
			return call[operator.RolloutOrder, operator.Rollout](ctx, client, MethodRollout, order, attemptTimeout)
		}
		return call[RolloutOrder, operator.Rollout](ctx, client, MethodTicketedRollout, &RolloutOrder{Ticket: *ticket, Order: *order}, attemptTimeout)
	})
}

// Rollout reads the newest rollout of a pool.
func (client *Client) Rollout(ctx context.Context, pool string) (*operator.Rollout, error) {
	return call[RolloutStateRequest, operator.Rollout](ctx, client, MethodRolloutState, &RolloutStateRequest{Pool: pool}, attemptTimeout)
}

// ReportRollouts reports what an entry has seen of the rollouts in progress, and returns its grants.
func (client *Client) ReportRollouts(ctx context.Context, report *RolloutReport) (*RolloutGrants, error) {
	return call[RolloutReport, RolloutGrants](ctx, client, MethodRolloutEvidence, report, attemptTimeout)
}

// AddReplica adds a control replica. It returns after the replica has become a voter.
func (client *Client) AddReplica(ctx context.Context, added *operator.Replica) (*operator.EmptyReply, error) {
	return call[ReplicasRequest, operator.EmptyReply](ctx, client, MethodReplicas, &ReplicasRequest{Add: added}, replicasTimeout)
}

// RemoveReplica removes a control replica by its ID or by the name of its process.
func (client *Client) RemoveReplica(ctx context.Context, id string) (*operator.EmptyReply, error) {
	return call[ReplicasRequest, operator.EmptyReply](ctx, client, MethodReplicas, &ReplicasRequest{Remove: id}, replicasTimeout)
}

// call sends a call to the replica that is expected to lead, then to the others in turn, until
// one of them answers as leader or the limits on time and attempts are reached. Timeout is the time
// after which the next replica is called. Earlier attempts may still succeed meanwhile.
func call[In, Out any](ctx context.Context, client *Client, method string, in *In, timeout time.Duration) (*Out, error) {
	return callLeader[In, Out](ctx, client, method, in, timeout, false)
}

// callKnown is like call, but returns an error for which frame.IsUnknownMethod holds once the build of the leader is known
// to lack the method.
func callKnown[In, Out any](ctx context.Context, client *Client, method string, in *In, timeout time.Duration) (*Out, error) {
	return callLeader[In, Out](ctx, client, method, in, timeout, true)
}

func callLeader[In, Out any](ctx context.Context, client *Client, method string, in *In, timeout time.Duration, mustKnow bool) (*Out, error) {
	ctx, cancel := context.WithTimeout(ctx, max(callTimeout, timeout))
	defer cancel()
	lastErr := errors.New("no control replica is known; list control_replicas in the settings")
	var attemptRound attemptRound
	lacking := lackingReplicas{method: method, mustKnow: mustKnow}
	results := make(chan attemptResult[Out], maximumAttempts)
	for number := range maximumAttempts {
		index, peer := client.preferredPeer()
		if peer == nil {
			break
		}
		go func() {
			response, err := callOnce[In, reply[Out]](ctx, peer, method, in, maximumPendingAttempts*timeout)
			results <- attemptResult[Out]{number: number, response: response, err: err}
		}()
		response, err := awaitResult(ctx, client, results, number, timeout)
		leaderNamed := false
		switch {
		case err == nil && !response.NotLeading:
			client.recordContact(policy.ControlLed)
			return orEmpty(response.Body), nil
		case err == nil:
			leaderNamed = response.Leader != ""
			client.recordContact(contactOf(leaderNamed))
			if !isUnavailable(lastErr) {
				lastErr = errors.Errorf("the replica at %s doesn't lead", peer.Address())
			}
			client.chooseNextPeer(index, response.Leader)
			client.learnReplicas(response.Replicas)
			if err := lacking.check(response.Leader); err != nil {
				return nil, err
			}
		case isFinal(err) && !frame.IsUnknownMethod(err, method):
			// A replica of an older build that lacks the method may be followed by a newer one that
			// leads.
			return nil, err
		default:
			if err := lacking.record(peer.Address(), err, client.peerCount()); err != nil {
				return nil, err
			}
			lastErr = errors.Wrap(err, "ask the replica at "+peer.Address())
			client.chooseNextPeer(index, "")
		}
		if err := client.pauseAfterRound(ctx, &attemptRound, leaderNamed); err != nil {
			break
		}
	}
	return nil, fault.New(fault.Unavailable, fmt.Sprintf("no control replica accepted the call as leader; the last error: %s", lastErr),
		"check that a quorum of control VMs is up and reachable, then try again")
}

// record records the error of a replica, and returns it if all replicas, and so the leader, lack the method.
func (lackingReplicas *lackingReplicas) record(address string, err error, replicas int) error {
	if !lackingReplicas.mustKnow || !frame.IsUnknownMethod(err, lackingReplicas.method) {
		return nil
	}
	if lackingReplicas.errs == nil {
		lackingReplicas.errs = map[string]error{}
	}
	lackingReplicas.errs[address] = err
	if len(lackingReplicas.errs) < replicas {
		return nil
	}
	return err
}

// check returns the error of a replica that was named as the leader, if it lacks the method.
func (lackingReplicas *lackingReplicas) check(leader string) error {
	return lackingReplicas.errs[leader]
}

// awaitResult returns the result of the attempt with a number, or that of an earlier one if a leader has sent it. If neither
// comes within the timeout, it returns context.DeadlineExceeded.
func awaitResult[Out any](ctx context.Context, client *Client, results <-chan attemptResult[Out], number int, timeout time.Duration) (*reply[Out], error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
			return nil, context.DeadlineExceeded
		case result := <-results:
			if result.number == number || result.err == nil && !result.response.NotLeading {
				return result.response, result.err
			}
			if result.err == nil {
				client.learnReplicas(result.response.Replicas)
			}
		}
	}
}

func callOnce[In, Out any](ctx context.Context, peer *frame.Client, method string, in *In, timeout time.Duration) (*Out, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return frame.Call[In, Out](ctx, peer, method, in)
}

func orEmpty[Body any](body *Body) *Body {
	if body == nil {
		return new(Body)
	}
	return body
}

// isUnavailable reports whether the error is the reason of a replica, which says more than that
// another replica doesn't lead.
func isUnavailable(err error) bool {
	var typed *fault.Error
	return errors.As(err, &typed) && typed.Kind == fault.Unavailable
}

// isFinal reports whether the error is one that every replica would return, so that a retry is
// pointless.
func isFinal(err error) bool {
	var typed *fault.Error
	return errors.As(err, &typed) && typed.Kind != fault.Unavailable
}

// pauseAfterRound pauses after each round of attempts. If a replica names the leader in the
// last attempt of a round, the leader is called without a pause. This happens at most once a
// round, because two replicas may name each other as leader. pauseAfterRound returns an error
// once ctx has ended.
func (client *Client) pauseAfterRound(ctx context.Context, attemptRound *attemptRound, leaderNamed bool) error {
	peers := client.peerCount()
	attemptRound.attempts++
	if attemptRound.attempts < peers || leaderNamed && attemptRound.attempts == peers {
		return ctx.Err()
	}
	attemptRound.attempts = 0
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(roundDelay):
		return nil
	}
}

func (client *Client) preferredPeer() (int, *frame.Client) {
	client.lock.Lock()
	defer client.lock.Unlock()
	if len(client.peers) == 0 {
		return 0, nil
	}
	return client.preferredIndex, client.peers[client.preferredIndex]
}

// chooseNextPeer selects the replica to call next, after the one at failedIndex failed or
// didn't lead: the leader that it named, or else the next replica in the list. It does nothing
// if a concurrent call has already selected another replica.
func (client *Client) chooseNextPeer(failedIndex int, leaderAddress string) {
	client.lock.Lock()
	defer client.lock.Unlock()
	if client.preferredIndex != failedIndex {
		return
	}
	client.preferredIndex = (failedIndex + 1) % len(client.peers)
	if leaderAddress == "" {
		return
	}
	for index, peer := range client.peers {
		if peer.Address() == leaderAddress {
			client.preferredIndex = index
			return
		}
	}
	if len(client.peers) < maximumKnownPeers {
		client.peers = append(client.peers, frame.NewClient(leaderAddress, client.dial))
		client.preferredIndex = len(client.peers) - 1
	}
}
