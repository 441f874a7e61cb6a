// This file exists so that entries find the replica that leads.

package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// attemptTimeout bounds one call to one replica.
	attemptTimeout = time.Second
	// roundDelay is the pause after all replicas have been asked in vain.
	roundDelay = 100 * time.Millisecond
)

type (
	// Client calls whichever control replica leads.
	Client struct {
		peers []*frame.Client
		lock  sync.Mutex
		// leader is the index of the replica that answered last.
		leader int
	}
)

// NewClient returns a client for the replicas at the given IP:port addresses.
func NewClient(addresses []string, dial tcp.Dialer) *Client {
	client := &Client{}
	for _, address := range addresses {
		client.peers = append(client.peers, frame.NewClient(address, dial))
	}
	return client
}

// Close closes the connections to all replicas.
func (client *Client) Close() {
	for _, peer := range client.peers {
		peer.Close()
	}
}

// Renew renews an entry's lease.
func (client *Client) Renew(ctx context.Context, renewal *Renewal) (*Lease, error) {
	return call[Renewal, Lease](ctx, client, MethodRenew, renewal)
}

// Change changes the tables. It may be sent again with the same change ID.
func (client *Client) Change(ctx context.Context, change *operator.Change) (*operator.Accepted, error) {
	return call[operator.Change, operator.Accepted](ctx, client, MethodChange, change)
}

// Tables reads one version of the tables; zero reads the newest.
func (client *Client) Tables(ctx context.Context, version uint64) (*operator.Versioned, error) {
	return call[TablesRequest, operator.Versioned](ctx, client, MethodTables, &TablesRequest{Version: version})
}

// Status reads the status.
func (client *Client) Status(ctx context.Context) (*operator.Status, error) {
	return call[StatusRequest, operator.Status](ctx, client, MethodStatus, &StatusRequest{})
}

// Grant asks for a run right.
func (client *Client) Grant(ctx context.Context, request *GrantRequest) (*Grant, error) {
	return call[GrantRequest, Grant](ctx, client, MethodGrant, request)
}

// Record records the outcome of a granted run.
func (client *Client) Record(ctx context.Context, request *RecordRequest) error {
	_, err := call[RecordRequest, Recorded](ctx, client, MethodRecord, request)
	return err
}

// call asks one replica after the other until one answers or ctx ends. All
// calls may be repeated without harm.
func call[In, Out any](ctx context.Context, client *Client, method string, in *In) (*Out, error) {
	if len(client.peers) == 0 {
		return nil, fault.New(fault.Unavailable, "no control replica is known", "list control_replicas in the settings")
	}
	var last error
	for {
		for range client.peers {
			index := client.current()
			out, err := callOnce[In, Out](ctx, client.peers[index], method, in)
			if err == nil || isFinal(err) {
				return out, err
			}
			last = err
			client.advance(index)
			if ctx.Err() != nil {
				return nil, unavailable(last)
			}
		}
		select {
		case <-ctx.Done():
			return nil, unavailable(last)
		case <-time.After(roundDelay):
		}
	}
}

func callOnce[In, Out any](ctx context.Context, peer *frame.Client, method string, in *In) (*Out, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return frame.Call[In, Out](ctx, peer, method, in)
}

// isFinal reports whether another replica would answer the same.
func isFinal(err error) bool {
	var typed *fault.Error
	return errors.As(err, &typed) && typed.Kind != fault.Unavailable
}

func unavailable(err error) error {
	return fault.New(fault.Unavailable, "no control replica answers as leader: "+err.Error(), "check that a quorum of control VMs is up, then try again")
}

func (client *Client) current() int {
	client.lock.Lock()
	defer client.lock.Unlock()
	return client.leader
}

func (client *Client) advance(failed int) {
	client.lock.Lock()
	defer client.lock.Unlock()
	if client.leader == failed {
		client.leader = (failed + 1) % len(client.peers)
	}
}
