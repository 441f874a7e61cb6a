// This file exists so that Go programs operate the system without writing
// HTTP.

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
	// Client operates the system through any of its processes. All its errors
	// are *fault.Error. Construct it with NewClient.
	Client struct {
		address string
		client  http.Client
	}
)

// NewClient returns a client for the HTTP interface at an IP:port.
func NewClient(address string) *Client {
	return &Client{address: address, client: http.Client{Timeout: clientTimeout}}
}

// Change changes the tables. Sent again with the same ID it gets the first
// reply. A change that lost against another is a fault.Conflict.
func (client *Client) Change(ctx context.Context, change *Change) (*Accepted, error) {
	return do[Accepted](ctx, client, http.MethodPut, "/v1/tables", change)
}

// Tables reads one version of the tables; zero reads the newest.
func (client *Client) Tables(ctx context.Context, version uint64) (*Versioned, error) {
	return do[Versioned](ctx, client, http.MethodGet, fmt.Sprintf("/v1/tables?version=%d", version), nil)
}

// Status reads the status of the system.
func (client *Client) Status(ctx context.Context) (*Status, error) {
	return do[Status](ctx, client, http.MethodGet, "/v1/status", nil)
}

// AddReplica adds a control replica, or names a replacement for a lost one.
func (client *Client) AddReplica(ctx context.Context, added *Replica) (*Done, error) {
	return do[Done](ctx, client, http.MethodPost, "/v1/replicas", added)
}

// RemoveReplica removes a control replica.
func (client *Client) RemoveReplica(ctx context.Context, id string) (*Done, error) {
	return do[Done](ctx, client, http.MethodDelete, "/v1/replicas/"+url.PathEscape(id), nil)
}

// OrderDomain takes a failure domain out, or in again.
func (client *Client) OrderDomain(ctx context.Context, order *DomainOrder) (*Accepted, error) {
	method := http.MethodDelete
	if order.Out {
		method = http.MethodPut
	}
	return do[Accepted](ctx, client, method, "/v1/failure-domains/"+url.PathEscape(order.FailureDomain)+"/out", nil)
}

func do[Out any](ctx context.Context, client *Client, method, path string, body any) (*Out, error) {
	out := new(Out)
	err := exchange.JSON(ctx, &client.client, method, "http://"+client.address+path, body, out, new(fault.Error))
	if err == nil {
		return out, nil
	}
	var typed *fault.Error
	if errors.As(err, &typed) && typed.Kind != "" {
		return nil, typed
	}
	return nil, fault.New(fault.Unavailable, err.Error(), "check --address, or the address that the client was given, and that the process runs")
}
