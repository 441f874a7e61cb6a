// The client end of the protocol. A client uses one connection for all its calls,
// dials it on the first call and dials again after it has failed.

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
	// firstDialTimeout limits a dial. It is several round trips between regions, because TCP repeats a connection
	// request that was lost, as at a VM without power, only after a second. The limit doubles with each dial that
	// exceeds it, up to maximumDialTimeout, and applies anew once a peer has replied.
	firstDialTimeout   = 250 * time.Millisecond
	maximumDialTimeout = 2 * time.Second
	// redialDelay is the minimum time between a failed dial and the next one, so that
	// calls to a dead peer don't dial each time.
	redialDelay = 100 * time.Millisecond
)

var (
	// ErrNotSent reports a call that failed before any byte was written to the peer.
	ErrNotSent = errors.New("the call was not sent; try another peer")
	// ErrLost reports a call whose reply was lost with the connection.
	ErrLost = errors.New("the connection was lost before the reply; the call may have run")
)

type (
	// Client calls the methods of one peer. Construct it with NewClient or
	// NewOnDemandClient.
	Client struct {
		address  string
		dial     tcp.Dialer
		onDemand bool

		lock    sync.Mutex
		session *session
		// lastDialAt is when the last dial ended; zero if there was none.
		lastDialAt time.Time
		// dialing is closed when the dial in progress ends; nil if there is none.
		dialing       chan struct{}
		lastDialError error
		// dialStartedAt is when the dial in progress began, cancelDial ends it, and redial is true if another
		// one may follow at once.
		dialStartedAt time.Time
		cancelDial    context.CancelFunc
		redial        bool
		// dialTimeout is the limit of the next dial; zero means firstDialTimeout.
		dialTimeout time.Duration
		closed      bool
	}

	// session is the client's link to the peer with the calls in flight on it.
	session struct {
		*link
		lock       sync.Mutex
		lastCallID uint64
		pending    map[uint64]*pendingCall
	}

	// pendingCall is a call whose reply is awaited.
	pendingCall struct {
		responses chan *message
		// done is closed once the caller no longer reads responses.
		done chan struct{}
	}
)

// NewClient returns a client for the peer at an IP:port. A nil dial means tcp.Dial.
func NewClient(address string, dial tcp.Dialer) *Client {
	if dial == nil {
		dial = tcp.Dial
	}
	return &Client{address: address, dial: dial}
}

// NewOnDemandClient is like NewClient, for a process with many peers that it seldom
// calls: the client sends heartbeats only while it awaits a reply, and closes the
// connection after a minute without a call. A connection that fails while idle is
// detected by the next call.
func NewOnDemandClient(address string, dial tcp.Dialer) *Client {
	client := NewClient(address, dial)
	client.onDemand = true
	return client
}

// Address returns the peer's IP:port.
func (client *Client) Address() string {
	return client.address
}

// Reachable reports whether the client is open and its connection has not failed.
// It returns true if no connection was dialed yet or the last one was closed for being
// idle. After a failure it redials in the background.
func (client *Client) Reachable() bool {
	client.lock.Lock()
	defer client.lock.Unlock()
	if client.session != nil && client.session.retired() {
		client.session = nil
	}
	tried := client.session != nil || client.lastDialError != nil
	if client.closed || !tried || client.session != nil && client.session.alive() {
		return !client.closed
	}
	if client.dialing == nil && time.Since(client.lastDialAt) >= redialDelay {
		client.dialing = make(chan struct{})
		go client.connect(context.Background(), client.dialing)
	}
	return false
}

// RetryDial lets the next call dial at once after a failed dial, because the caller has learned that the peer is
// up. A dial in progress for longer than redialDelay is repeated: the peer may have missed it.
func (client *Client) RetryDial() {
	client.lock.Lock()
	defer client.lock.Unlock()
	client.lastDialError = nil
	if client.dialing != nil && client.cancelDial != nil && time.Since(client.dialStartedAt) >= redialDelay {
		client.redial = true
		client.cancelDial()
	}
}

// Close closes the connection; calls in flight return ErrLost, and later calls ErrNotSent.
func (client *Client) Close() {
	client.lock.Lock()
	defer client.lock.Unlock()
	client.closed = true
	if client.session != nil {
		client.session.close()
	}
}

// Call calls a method with one message and returns its reply. It returns ErrNotSent if ctx ends before the call is
// written.
func Call[In, Out any](ctx context.Context, client *Client, method string, in *In) (*Out, error) {
	return CallWithin[In, Out](ctx, client, 0, method, in)
}

// CallWithin is like Call. The peer rejects the call with a fault.Error if it would begin more than startWithin after it was
// written: a cancel may wait behind it, on the way or unread. 0 means no limit.
func CallWithin[In, Out any](ctx context.Context, client *Client, startWithin time.Duration, method string, in *In) (*Out, error) {
	out := new(Out)
	err := client.roundTrip(ctx, &message{Type: typeCall, Method: method, StartWithin: startWithin}, in, func(*message) error { return nil }, func(reply *message) error {
		return msgpack.Unmarshal(reply.Body, out)
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

// Stream calls a method with one message and passes each part of the response to
// receive, one at a time.
func Stream[In, Part any](ctx context.Context, client *Client, method string, in *In, receive func(*Part)) error {
	return client.roundTrip(ctx, &message{Type: typeCall, Method: method}, in, func(response *message) error {
		part := new(Part)
		if err := msgpack.Unmarshal(response.Body, part); err != nil {
			return err
		}
		receive(part)
		return nil
	}, func(*message) error { return nil })
}

// roundTrip makes a call and passes each part of the response to onPart, and the reply to
// onReply.
func (client *Client) roundTrip(ctx context.Context, call *message, in any, onPart, onReply func(*message) error) error {
	if err := call.encodeCall(ctx, in); err != nil {
		return err
	}
	session, pendingCall, err := client.beginCall(ctx, call)
	if err != nil {
		return err
	}
	defer session.endCall(call.CallID)
	if err := session.writeWanted(ctx, call); err != nil {
		if errors.Is(err, ErrNotSent) {
			return err
		}
		return errors.Wrap(ErrLost, err.Error())
	}
	for {
		select {
		case <-ctx.Done():
			_ = session.write(&message{Type: typeCancel, CallID: call.CallID})
			return ctx.Err()
		case <-session.closed:
			return ErrLost
		case response := <-pendingCall.responses:
			if response.Type == typePart {
				if err := onPart(response); err != nil {
					_ = session.write(&message{Type: typeCancel, CallID: call.CallID})
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

// encodeCall sets the body and the trace context of a call.
func (message *message) encodeCall(ctx context.Context, in any) error {
	body, err := msgpack.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode call")
	}
	message.Body = body
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	message.TraceParent = carrier[traceParentKey]
	return nil
}

// beginCall registers the call with a session. If the session was just retired for
// being idle, it opens another one.
func (client *Client) beginCall(ctx context.Context, call *message) (*session, *pendingCall, error) {
	for {
		session, err := client.ensureSession(ctx)
		if err != nil {
			return nil, nil, err
		}
		pendingCall, err := session.beginCall(call)
		if err != nil || pendingCall != nil {
			return session, pendingCall, err
		}
	}
}

// ensureSession returns the live session, or dials a new one. Concurrent callers share
// one dial.
func (client *Client) ensureSession(ctx context.Context) (*session, error) {
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
		if client.lastDialError != nil && time.Since(client.lastDialAt) < redialDelay {
			err := client.lastDialError
			client.lock.Unlock()
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
		if client.dialing == nil {
			client.dialing = make(chan struct{})
			// The dial must outlive this call, because other calls wait for it too.
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

// connect dials the peer, stores the session or the error, and closes dialing.
func (client *Client) connect(ctx context.Context, dialing chan struct{}) {
	client.lock.Lock()
	timeout := max(firstDialTimeout, client.dialTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client.dialStartedAt, client.cancelDial, client.redial = time.Now(), cancel, false
	client.lock.Unlock()
	session, err := client.newSession(ctx)
	client.lock.Lock()
	defer client.lock.Unlock()
	client.dialTimeout = 0
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && err != nil {
		client.dialTimeout = min(maximumDialTimeout, 2*timeout)
	}
	client.session, client.lastDialError, client.lastDialAt, client.dialing, client.cancelDial = session, err, time.Now(), nil, nil
	if client.redial {
		client.lastDialError = nil
	}
	if client.closed && session != nil {
		session.close()
	}
	close(dialing)
}

func (client *Client) newSession(ctx context.Context) (*session, error) {
	connection, err := client.dial(ctx, "tcp", client.address)
	if err != nil {
		return nil, err
	}
	return startSession(connection, client.onDemand)
}

// startSession does the handshake on a connection and starts the goroutines of the session.
func startSession(connection net.Conn, onDemand bool) (*session, error) {
	session := &session{link: newLink(connection), pending: map[uint64]*pendingCall{}}
	if err := session.handshake(onDemand); err != nil {
		session.close()
		return nil, err
	}
	if onDemand {
		go session.sendHeartbeatsOnDemand()
	} else {
		go session.sendHeartbeats()
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

// retired reports whether the session was retired for being idle.
func (session *session) retired() bool {
	return session.onDemandMonitor != nil && session.onDemandMonitor.isRetired()
}

// beginCall assigns the call its ID and adds it to the pending calls. It returns nil
// if the session was retired.
func (session *session) beginCall(call *message) (*pendingCall, error) {
	session.lock.Lock()
	defer session.lock.Unlock()
	if len(session.pending) >= MaximumCalls {
		return nil, errors.Wrap(ErrNotSent, "too many calls in flight")
	}
	if session.onDemandMonitor != nil && !session.onDemandMonitor.beginClientCall() {
		return nil, nil //nolint:nilnil // the caller opens another session
	}
	session.lastCallID++
	call.CallID = session.lastCallID
	pendingCall := &pendingCall{responses: make(chan *message, 1), done: make(chan struct{})}
	session.pending[call.CallID] = pendingCall
	return pendingCall, nil
}

func (session *session) endCall(callID uint64) {
	session.lock.Lock()
	defer session.lock.Unlock()
	if pendingCall, pending := session.pending[callID]; pending {
		close(pendingCall.done)
		delete(session.pending, callID)
		if session.onDemandMonitor != nil {
			session.onDemandMonitor.endCall()
		}
	}
}

// receive passes the parts and replies that arrive to their calls until the connection closes.
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
		pendingCall, pending := session.pending[message.CallID]
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
