// This file exists so that entries and operators' front ends find the replica
// that leads.

package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// attemptTimeout bounds one call to one replica.
	attemptTimeout = time.Second
	// replicasTimeout bounds a change of the group of replicas, which waits
	// until a new replica has caught up.
	replicasTimeout = time.Minute
	// callTimeout and maximumAttempts bound one call to the group.
	callTimeout     = 10 * time.Second
	maximumAttempts = 100
	// roundDelay is the pause after as many attempts as there are replicas.
	roundDelay = 100 * time.Millisecond
	// maximumPeers bounds the replicas that are known, old ones included.
	maximumPeers = 64
)

type (
	// Client calls whichever control replica leads. Every call may be sent
	// more than once, also where its first sending was acted on.
	Client struct {
		dial tcp.Dialer

		lock  sync.Mutex
		peers []*frame.Client
		// leader is the index of the replica to ask first.
		leader int
		// member is the one that control has in the view, and view the last
		// that control sent, so that neither travels again.
		member membership.Member
		view   *membership.View
		// seeds are the addresses from the settings. group numbers the group
		// of replicas that control told, and replicas are its addresses.
		seeds    []string
		group    uint64
		replicas []string
	}

	// round counts the attempts of a call since its last pause.
	round struct {
		attempts int
	}
)

// NewClient returns a client for the replicas at the given IP:port addresses.
// It learns of other replicas as they come to lead.
func NewClient(addresses []string, dial tcp.Dialer) *Client {
	client := &Client{dial: dial}
	client.Reseed(addresses)
	return client
}

// Reseed replaces the addresses from the settings, which may change while the
// process runs.
func (client *Client) Reseed(addresses []string) {
	client.lock.Lock()
	defer client.lock.Unlock()
	client.seeds = slices.Clone(addresses)
	client.arrange()
}

// Replicas returns the peer addresses of the group of replicas: those that
// control told with the last lease, or those from the settings before.
func (client *Client) Replicas() []string {
	client.lock.Lock()
	defer client.lock.Unlock()
	if len(client.replicas) == 0 {
		return slices.Clone(client.seeds)
	}
	return slices.Clone(client.replicas)
}

// arrange makes the list of peers: the group first, then the seeds, which lead
// to a group that has moved. The lock is held.
func (client *Client) arrange() {
	known := map[string]*frame.Client{}
	for _, peer := range client.peers {
		known[peer.Address()] = peer
	}
	leader := ""
	if client.leader < len(client.peers) {
		leader = client.peers[client.leader].Address()
	}
	client.peers, client.leader = nil, 0
	for _, address := range slices.Concat(client.replicas, client.seeds) {
		if slices.ContainsFunc(client.peers, func(peer *frame.Client) bool { return peer.Address() == address }) {
			continue
		}
		peer := known[address]
		if peer == nil {
			peer = frame.NewClient(address, client.dial)
		}
		delete(known, address)
		if address == leader {
			client.leader = len(client.peers)
		}
		client.peers = append(client.peers, peer)
	}
	for _, dropped := range known {
		dropped.Close()
	}
}

// Close closes the connections to all replicas.
func (client *Client) Close() {
	client.lock.Lock()
	defer client.lock.Unlock()
	for _, peer := range client.peers {
		peer.Close()
	}
}

// Renew renews an entry's lease. One client serves one entry.
func (client *Client) Renew(ctx context.Context, renewal *Renewal) (*Lease, error) {
	sent := client.shorten(renewal)
	lease, err := call[Renewal, Lease](ctx, client, MethodRenew, sent, attemptTimeout)
	if err == nil && lease.Unknown {
		full := *renewal
		lease, err = call[Renewal, Lease](ctx, client, MethodRenew, &full, attemptTimeout)
	}
	if err != nil {
		return nil, err
	}
	return lease, client.restore(renewal, lease)
}

// shorten leaves out of a renewal what control knows.
func (client *Client) shorten(renewal *Renewal) *Renewal {
	client.lock.Lock()
	defer client.lock.Unlock()
	sent := *renewal
	sent.Group = client.group
	if sent.Member == client.member {
		sent.Brief = true
		sent.Member = membership.Member{ID: renewal.Member.ID, Incarnation: renewal.Member.Incarnation, Stopping: renewal.Member.Stopping, Leaving: renewal.Member.Leaving, Reserve: renewal.Member.Reserve}
	}
	sent.AcceptsDelta = client.view != nil && client.view.Number == renewal.KnownView
	return &sent
}

// restore completes a lease by what control left out of it.
func (client *Client) restore(renewal *Renewal, lease *Lease) error {
	client.lock.Lock()
	defer client.lock.Unlock()
	client.member = renewal.Member
	if lease.Replicas != nil {
		client.group, client.replicas = lease.Group, lease.Replicas
		client.arrange()
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

// Change changes the tables. It may be sent again with the same change ID.
func (client *Client) Change(ctx context.Context, change *operator.Change) (*operator.Accepted, error) {
	return call[operator.Change, operator.Accepted](ctx, client, MethodChange, change, attemptTimeout)
}

// OrderDomain takes a failure domain out or in.
func (client *Client) OrderDomain(ctx context.Context, order *operator.DomainOrder) (*operator.Accepted, error) {
	return call[operator.DomainOrder, operator.Accepted](ctx, client, MethodDomain, order, attemptTimeout)
}

// Tables reads one version of the tables; zero reads the newest.
func (client *Client) Tables(ctx context.Context, version uint64) (*operator.Versioned, error) {
	return call[TablesRequest, operator.Versioned](ctx, client, MethodTables, &TablesRequest{Version: version}, attemptTimeout)
}

// Status reads the status.
func (client *Client) Status(ctx context.Context) (*operator.Status, error) {
	return call[StatusRequest, operator.Status](ctx, client, MethodStatus, &StatusRequest{}, attemptTimeout)
}

// Balance replaces the exceptions of a view.
func (client *Client) Balance(ctx context.Context, request *BalanceRequest) error {
	_, err := call[BalanceRequest, Balanced](ctx, client, MethodBalance, request, attemptTimeout)
	return err
}

// Grant asks for a run right.
func (client *Client) Grant(ctx context.Context, request *GrantRequest) (*Grant, error) {
	return call[GrantRequest, Grant](ctx, client, MethodGrant, request, attemptTimeout)
}

// Record records the outcome of a granted run.
func (client *Client) Record(ctx context.Context, request *RecordRequest) error {
	_, err := call[RecordRequest, Recorded](ctx, client, MethodRecord, request, attemptTimeout)
	return err
}

// AddReplica adds a control replica. It returns once the replica counts.
func (client *Client) AddReplica(ctx context.Context, added *operator.Replica) (*operator.Done, error) {
	return call[ReplicasRequest, operator.Done](ctx, client, MethodReplicas, &ReplicasRequest{Add: added}, replicasTimeout)
}

// RemoveReplica removes a control replica by its ID or its process's name.
func (client *Client) RemoveReplica(ctx context.Context, id string) (*operator.Done, error) {
	return call[ReplicasRequest, operator.Done](ctx, client, MethodReplicas, &ReplicasRequest{Remove: id}, replicasTimeout)
}

// call asks the replica that leads, as far as it is known, and the others in
// turn, until one answers or the bounds are reached.
func call[In, Out any](ctx context.Context, client *Client, method string, in *In, timeout time.Duration) (*Out, error) {
	ctx, cancel := context.WithTimeout(ctx, max(callTimeout, timeout))
	defer cancel()
	last := errors.New("no control replica is known; list control_replicas in the settings")
	var round round
	for range maximumAttempts {
		index, peer := client.current()
		if peer == nil {
			break
		}
		answered, err := callOnce[In, reply[Out]](ctx, peer, method, in, timeout)
		named := false
		switch {
		case err == nil && !answered.NotLeading:
			return orEmpty(answered.Body), nil
		case err == nil:
			named = answered.Leader != ""
			last = errors.Errorf("the replica at %s doesn't lead", peer.Address())
			client.follow(index, answered.Leader)
		case isFinal(err):
			return nil, err
		default:
			last = errors.Wrap(err, "ask the replica at "+peer.Address())
			client.follow(index, "")
		}
		if err := client.pace(ctx, &round, named); err != nil {
			break
		}
	}
	return nil, fault.New(fault.Unavailable, fmt.Sprintf("no control replica answered as leader; the last attempt: %s", last),
		"check that a quorum of control VMs is up and reachable, then try again")
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

// isFinal reports whether another replica would answer the same.
func isFinal(err error) bool {
	var typed *fault.Error
	return errors.As(err, &typed) && typed.Kind != fault.Unavailable
}

// pace pauses after each round of attempts. A leader that was named is asked at
// once, but not more than one in a round, because two replicas may name each
// other.
func (client *Client) pace(ctx context.Context, round *round, named bool) error {
	client.lock.Lock()
	peers := len(client.peers)
	client.lock.Unlock()
	round.attempts++
	if round.attempts < peers || named && round.attempts == peers {
		return ctx.Err()
	}
	round.attempts = 0
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(roundDelay):
		return nil
	}
}

func (client *Client) current() (int, *frame.Client) {
	client.lock.Lock()
	defer client.lock.Unlock()
	if len(client.peers) == 0 {
		return 0, nil
	}
	return client.leader, client.peers[client.leader]
}

// follow chooses the replica to ask after the one at index has failed: the
// leader that it named, or the next one.
func (client *Client) follow(failed int, leader string) {
	client.lock.Lock()
	defer client.lock.Unlock()
	if client.leader != failed {
		return
	}
	client.leader = (failed + 1) % len(client.peers)
	if leader == "" {
		return
	}
	for index, peer := range client.peers {
		if peer.Address() == leader {
			client.leader = index
			return
		}
	}
	if len(client.peers) < maximumPeers {
		client.peers = append(client.peers, frame.NewClient(leader, client.dial))
		client.leader = len(client.peers) - 1
	}
}
