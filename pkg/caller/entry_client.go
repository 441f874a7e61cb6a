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
	maximumIdleConnections = 64
	// idleTimeout is shorter than the entry's, so that the client never sends
	// a request on a connection that the entry is closing as idle.
	idleTimeout = 30 * time.Second
	dialTimeout = 2 * time.Second
)

var (
	// ErrNotSent means that no byte of the request was sent, because no
	// connection to the entry could be opened.
	ErrNotSent = errors.New("the entry can't be reached; use another entry")
)

type (
	// EntryClient sends requests to a single entry over HTTP. Construct it
	// with NewEntryClient.
	EntryClient struct {
		address string
		client  http.Client
	}
)

// NewEntryClient returns a client for the entry at address, an IP:port. If dial
// is nil, a net.Dialer is used.
func NewEntryClient(address string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *EntryClient {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	dialWithTimeout := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
		return connection, nil
	}
	return &EntryClient{address: address, client: http.Client{Transport: &http.Transport{
		DialContext: dialWithTimeout, MaxIdleConnsPerHost: maximumIdleConnections, IdleConnTimeout: idleTimeout,
	}}}
}

// Close closes idle connections.
func (entryClient *EntryClient) Close() {
	entryClient.client.CloseIdleConnections()
}

// Send sends the request without retries. The error is a *Refusal if the entry
// refused the request, and ErrNotSent if no byte was sent. After any other
// error the request may have run.
func (entryClient *EntryClient) Send(ctx context.Context, request *Request) (*Answer, error) {
	return entryClient.sendWithConnectTimeout(ctx, dialTimeout, request)
}

// sendWithConnectTimeout does what Send does, but returns ErrNotSent if there is
// no connection within connectTimeout. If parent ended before there was one,
// the error wraps the error of parent as well.
func (entryClient *EntryClient) sendWithConnectTimeout(parent context.Context, connectTimeout time.Duration, request *Request) (*Answer, error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	var connected atomic.Bool
	connectTimer := time.AfterFunc(connectTimeout, func() {
		if !connected.Load() {
			cancel()
		}
	})
	defer connectTimer.Stop()
	// The HTTP transport calls GotConn before it writes to the connection.
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	answer := new(Answer)
	err := entryClient.exchange(tracedCtx, http.MethodPost, "/v1/requests", request, answer, new(Refusal))
	switch {
	case err == nil:
		return answer, nil
	case !connected.Load() && parent.Err() != nil:
		return nil, fmt.Errorf("%w: %w", ErrNotSent, parent.Err())
	case !connected.Load():
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return nil, err
}

// Addresses returns the entries to use, as this entry lists them.
func (entryClient *EntryClient) Addresses(ctx context.Context) (*Addresses, error) {
	addresses := new(Addresses)
	if err := entryClient.exchange(ctx, http.MethodGet, "/v1/entries", nil, addresses, new(fault.Error)); err != nil {
		return nil, err
	}
	return addresses, nil
}

func (entryClient *EntryClient) exchange(ctx context.Context, method, path string, body, reply any, refusal error) error {
	return exchange.JSON(ctx, &entryClient.client, method, "http://"+entryClient.address+path, body, reply, refusal)
}
