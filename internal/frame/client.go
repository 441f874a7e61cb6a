// This file exists so that a process can call a peer's methods over one
// connection, which is opened when needed and opened anew once it has died.

package frame

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.opentelemetry.io/otel/propagation"

	"gitlab.com/comfreythread/comfreythread/internal/tcp"
)

const (
	dialTimeout = 2 * time.Second
	// redialDelay spares a dead peer from a dial for each call.
	redialDelay = 100 * time.Millisecond
)

var (
	// ErrNotSent reports a call of which no byte was written to the peer.
	ErrNotSent = errors.New("the call was not sent; try another peer")
	// ErrLost reports a call whose reply was lost with the connection.
	ErrLost = errors.New("the connection was lost before the reply; the call may have run")
)

type (
	// Client calls one peer. Construct it with NewClient.
	Client struct {
		address  string
		dial     tcp.Dialer
		onDemand bool

		lock      sync.Mutex
		session   *session
		failedAt  time.Time
		dialing   chan struct{}
		lastError error
		closed    bool
	}

	session struct {
		*link
		lock    sync.Mutex
		next    uint64
		pending map[uint64]*pendingCall
	}

	pendingCall struct {
		responses chan *message
		// done is closed when nobody reads responses any more.
		done chan struct{}
	}
)

// NewClient returns a client for the peer at an IP:port. A nil dial uses real
// sockets.
func NewClient(address string, dial tcp.Dialer) *Client {
	if dial == nil {
		dial = tcp.Dial
	}
	return &Client{address: address, dial: dial}
}

// NewOnDemandClient is NewClient for one of many peers that are seldom called:
// heartbeats are sent only while a reply is awaited, and the connection is
// closed once no call has used it for a minute. A connection that dies
// meanwhile is noticed by the next call.
func NewOnDemandClient(address string, dial tcp.Dialer) *Client {
	client := NewClient(address, dial)
	client.onDemand = true
	return client
}

// Address returns the peer's IP:port.
func (client *Client) Address() string {
	return client.address
}

// Reachable reports whether there is a connection to the peer, or none was
// tried yet or needed any more. Where one has failed, it is dialed anew in the
// background.
func (client *Client) Reachable() bool {
	client.lock.Lock()
	defer client.lock.Unlock()
	if client.session != nil && client.session.retired() {
		client.session = nil
	}
	tried := client.session != nil || client.lastError != nil
	if client.closed || !tried || client.session != nil && client.session.alive() {
		return !client.closed
	}
	if client.dialing == nil && time.Since(client.failedAt) >= redialDelay {
		client.dialing = make(chan struct{})
		go client.connect(context.Background(), client.dialing)
	}
	return false
}

// Close ends the connection; calls in flight return ErrLost.
func (client *Client) Close() {
	client.lock.Lock()
	defer client.lock.Unlock()
	client.closed = true
	if client.session != nil {
		client.session.close()
	}
}

// Call sends one message and returns the reply.
func Call[In, Out any](ctx context.Context, client *Client, method string, in *In) (*Out, error) {
	out := new(Out)
	err := client.exchange(ctx, method, in, func(*message) error { return nil }, func(reply *message) error {
		return msgpack.Unmarshal(reply.Body, out)
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

// Stream sends one message and hands each part of the response to receive,
// one at a time.
func Stream[In, Part any](ctx context.Context, client *Client, method string, in *In, receive func(*Part)) error {
	return client.exchange(ctx, method, in, func(response *message) error {
		part := new(Part)
		if err := msgpack.Unmarshal(response.Body, part); err != nil {
			return err
		}
		receive(part)
		return nil
	}, func(*message) error { return nil })
}

func (client *Client) exchange(ctx context.Context, method string, in any, onPart, onReply func(*message) error) error {
	call := &message{Type: typeCall, Method: method}
	if err := call.fill(ctx, in); err != nil {
		return err
	}
	session, pendingCall, err := client.begin(ctx, call)
	if err != nil {
		return err
	}
	defer session.end(call.Call)
	if err := session.write(call); err != nil {
		return errors.Wrap(ErrLost, err.Error())
	}
	for {
		select {
		case <-ctx.Done():
			_ = session.write(&message{Type: typeCancel, Call: call.Call})
			return ctx.Err()
		case <-session.closed:
			return ErrLost
		case response := <-pendingCall.responses:
			if response.Type == typePart {
				if err := onPart(response); err != nil {
					_ = session.write(&message{Type: typeCancel, Call: call.Call})
					return errors.Wrap(err, "decode part")
				}
				continue
			}
			if response.Fault != nil {
				return response.Fault
			}
			return onReply(response)
		}
	}
}

func (message *message) fill(ctx context.Context, in any) error {
	body, err := msgpack.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode call")
	}
	message.Body = body
	if deadline, set := ctx.Deadline(); set {
		message.Timeout = time.Until(deadline)
		if message.Timeout <= 0 {
			return errors.Wrap(ErrNotSent, context.DeadlineExceeded.Error())
		}
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	message.TraceParent = carrier[traceParentKey]
	return nil
}

// begin enters the call on a session, on another one where the first was given
// up for not being used.
func (client *Client) begin(ctx context.Context, call *message) (*session, *pendingCall, error) {
	for {
		session, err := client.open(ctx)
		if err != nil {
			return nil, nil, err
		}
		pendingCall, err := session.begin(call)
		if err != nil || pendingCall != nil {
			return session, pendingCall, err
		}
	}
}

// open returns the live session, or dials one. Concurrent callers share one
// dial.
func (client *Client) open(ctx context.Context) (*session, error) {
	for {
		client.lock.Lock()
		if client.closed {
			client.lock.Unlock()
			return nil, errors.Wrap(ErrNotSent, "the client is closed")
		}
		if client.session != nil && client.session.alive() && !client.session.retired() {
			session := client.session
			client.lock.Unlock()
			return session, nil
		}
		if client.lastError != nil && time.Since(client.failedAt) < redialDelay {
			err := client.lastError
			client.lock.Unlock()
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
		if client.dialing == nil {
			client.dialing = make(chan struct{})
			// The dial outlives this call, because others wait for it too.
			go client.connect(context.WithoutCancel(ctx), client.dialing)
		}
		dialing := client.dialing
		client.lock.Unlock()
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(ErrNotSent, ctx.Err().Error())
		case <-dialing:
		}
	}
}

func (client *Client) connect(ctx context.Context, done chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	session, err := client.newSession(ctx)
	client.lock.Lock()
	defer client.lock.Unlock()
	client.session, client.lastError, client.failedAt, client.dialing = session, err, time.Now(), nil
	if client.closed && session != nil {
		session.close()
	}
	close(done)
}

func (client *Client) newSession(ctx context.Context) (*session, error) {
	connection, err := client.dial(ctx, "tcp", client.address)
	if err != nil {
		return nil, err
	}
	return startSession(connection, client.onDemand)
}

func startSession(connection net.Conn, onDemand bool) (*session, error) {
	session := &session{link: newLink(connection), pending: map[uint64]*pendingCall{}}
	if err := session.shakeHands(onDemand); err != nil {
		session.close()
		return nil, err
	}
	if onDemand {
		go session.beatOnDemand()
	} else {
		go session.beat()
	}
	go session.receive()
	return session, nil
}

func (session *session) alive() bool {
	select {
	case <-session.closed:
		return false
	default:
		return true
	}
}

// retired reports whether the session was given up for not being used.
func (session *session) retired() bool {
	return session.demand != nil && session.demand.isRetired()
}

// begin returns nil where the session was given up.
func (session *session) begin(call *message) (*pendingCall, error) {
	session.lock.Lock()
	defer session.lock.Unlock()
	if len(session.pending) >= MaximumCalls {
		return nil, errors.Wrap(ErrNotSent, "too many calls in flight")
	}
	if session.demand != nil && !session.demand.call() {
		return nil, nil //nolint:nilnil // the caller opens another session
	}
	session.next++
	call.Call = session.next
	pendingCall := &pendingCall{responses: make(chan *message, 1), done: make(chan struct{})}
	session.pending[call.Call] = pendingCall
	return pendingCall, nil
}

func (session *session) end(call uint64) {
	session.lock.Lock()
	defer session.lock.Unlock()
	if pendingCall, pending := session.pending[call]; pending {
		close(pendingCall.done)
		delete(session.pending, call)
		if session.demand != nil {
			session.demand.end()
		}
	}
}

func (session *session) receive() {
	defer session.close()
	for {
		message, err := session.read()
		if err != nil {
			return
		}
		if message.Type != typePart && message.Type != typeReply {
			continue
		}
		session.lock.Lock()
		pendingCall, pending := session.pending[message.Call]
		session.lock.Unlock()
		if !pending {
			continue
		}
		select {
		case pendingCall.responses <- message:
		case <-pendingCall.done:
		case <-session.closed:
			return
		}
	}
}
