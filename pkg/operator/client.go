package operator

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/exchange"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	clientTimeout = 70 * time.Second
)

type (
	// Client calls the HTTP interface for operators, at any process of the
	// system. All its errors are *fault.Error. Construct it with NewClient.
	Client struct {
		address string
		client  http.Client
	}
)

// NewClient returns a client for the HTTP interface at an IP:port.
func NewClient(address string) *Client {
	return &Client{address: address, client: http.Client{Timeout: clientTimeout}}
}

// Change changes the tables. A resend with the same ID returns the first reply.
// The error is of kind fault.Conflict if another change was applied first.
func (client *Client) Change(ctx context.Context, change *Change) (*ChangeReply, error) {
	return call[ChangeReply](ctx, client, http.MethodPut, "/v1/tables", change)
}

// Tables returns one version of the tables, or the newest if version is zero.
func (client *Client) Tables(ctx context.Context, version uint64) (*VersionedTables, error) {
	return call[VersionedTables](ctx, client, http.MethodGet, fmt.Sprintf("/v1/tables?version=%d", version), nil)
}

// Status returns the status of the system.
func (client *Client) Status(ctx context.Context) (*Status, error) {
	return call[Status](ctx, client, http.MethodGet, "/v1/status", nil)
}

// AddReplica adds a control replica, or a replacement for a lost one.
func (client *Client) AddReplica(ctx context.Context, replica *Replica) (*EmptyReply, error) {
	return call[EmptyReply](ctx, client, http.MethodPost, "/v1/replicas", replica)
}

// RemoveReplica removes a control replica.
func (client *Client) RemoveReplica(ctx context.Context, id string) (*EmptyReply, error) {
	return call[EmptyReply](ctx, client, http.MethodDelete, "/v1/replicas/"+url.PathEscape(id), nil)
}

// SetDomainOut takes a failure domain out of service, or back into service.
func (client *Client) SetDomainOut(ctx context.Context, change *DomainChange) (*ChangeReply, error) {
	method := http.MethodDelete
	if change.Out {
		method = http.MethodPut
	}
	return call[ChangeReply](ctx, client, method, "/v1/failure-domains/"+url.PathEscape(change.FailureDomain)+"/out", nil)
}

// StartRollout orders a rollout. Sending the same order again is safe. The error is
// of kind fault.Conflict if another rollout of the pool is in progress.
func (client *Client) StartRollout(ctx context.Context, order *RolloutOrder) (*Rollout, error) {
	return call[Rollout](ctx, client, http.MethodPost, "/v1/rollout", order)
}

// Rollout returns the newest rollout of a pool.
func (client *Client) Rollout(ctx context.Context, pool string) (*Rollout, error) {
	return call[Rollout](ctx, client, http.MethodGet, "/v1/rollout/"+url.PathEscape(pool), nil)
}

// call sends a request and decodes the reply. It returns any error as a
// *fault.Error.
func call[Reply any](ctx context.Context, client *Client, method, path string, body any) (*Reply, error) {
	reply := new(Reply)
	err := exchange.JSON(ctx, &client.client, method, "http://"+client.address+path, body, reply, new(fault.Error))
	if err == nil {
		return reply, nil
	}
	var faultErr *fault.Error
	if errors.As(err, &faultErr) && faultErr.Kind != "" {
		return nil, faultErr
	}
	return nil, fault.New(fault.Unavailable, err.Error(), "check --address, or the address that the client was given, and that the process runs")
}
