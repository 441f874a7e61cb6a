// This file exists so that Go programs send requests to one entry without
// writing HTTP.

package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/exchange"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	idleConnections = 64
	// idleTimeout is shorter than an entry's, so that no request meets the
	// entry's close of an idle connection.
	idleTimeout = 30 * time.Second
	dialTimeout = 2 * time.Second
)

var (
	// ErrNotSent reports a request of which no byte was sent, because there
	// was no connection to the entry.
	ErrNotSent = errors.New("the entry can't be reached; use another entry")
)

type (
	// EntryClient sends requests to one entry. Construct it with
	// NewEntryClient.
	EntryClient struct {
		address string
		client  http.Client
	}
)

// NewEntryClient returns a client for the entry at an IP:port. A nil dial uses
// the HTTP library's own.
func NewEntryClient(address string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *EntryClient {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	marked := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
		return connection, nil
	}
	return &EntryClient{address: address, client: http.Client{Transport: &http.Transport{
		DialContext: marked, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout,
	}}}
}

// Close closes idle connections.
func (entryClient *EntryClient) Close() {
	entryClient.client.CloseIdleConnections()
}

// Send sends one request, once. The error is a *Refusal where the entry
// refused, and is ErrNotSent where no byte was sent. Any other error means that
// the request may have run.
func (entryClient *EntryClient) Send(ctx context.Context, request *Request) (*Answer, error) {
	return entryClient.sendConnecting(ctx, dialTimeout, request)
}

// sendConnecting is Send that gives up where there is no connection within a
// span. Where the caller gave up first, the error says so too.
func (entryClient *EntryClient) sendConnecting(outer context.Context, span time.Duration, request *Request) (*Answer, error) {
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	var connected atomic.Bool
	giveUp := time.AfterFunc(span, func() {
		if !connected.Load() {
			cancel()
		}
	})
	defer giveUp.Stop()
	// The HTTP library tells of the connection before it writes to it.
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	answer := new(Answer)
	err := entryClient.exchange(traced, http.MethodPost, "/v1/requests", request, answer, new(Refusal))
	switch {
	case err == nil:
		return answer, nil
	case !connected.Load() && outer.Err() != nil:
		return nil, fmt.Errorf("%w: %w", ErrNotSent, outer.Err())
	case !connected.Load():
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return nil, err
}

// Addresses asks the entry which entries to use.
func (entryClient *EntryClient) Addresses(ctx context.Context) (*Addresses, error) {
	addresses := new(Addresses)
	if err := entryClient.exchange(ctx, http.MethodGet, "/v1/entries", nil, addresses, new(fault.Error)); err != nil {
		return nil, err
	}
	return addresses, nil
}

func (entryClient *EntryClient) exchange(ctx context.Context, method, path string, body, into any, refused error) error {
	return exchange.JSON(ctx, &entryClient.client, method, "http://"+entryClient.address+path, body, into, refused)
}
