// The server end of the protocol: named methods that peers can call.

package frame

import (
	"context"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.opentelemetry.io/otel/propagation"

	"gitlab.com/comfreythread/comfreythread/internal/inbound"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// MaximumCalls bounds the calls in flight on one connection.
	MaximumCalls = 4096
	// MaximumConnections bounds the open connections of a server.
	MaximumConnections = 8192

	traceParentKey = "traceparent"

	// Reasons why a call isn't begun, as label values and in messages.
	reasonGivenUp = "given up"
	reasonLate    = "late"
)

type (
	// Server serves methods to peers. The zero value has no methods.
	Server struct {
		// OnPanic, if not nil, is called with the value and the stack of a panic in a method.
		// The process goes on, and the caller gets a fault.Error.
		OnPanic func(method string, recovered any, stack []byte)
		// OnUnwanted, if not nil, is called for a call that isn't begun, because its caller has given it up or may
		// have by now, with the estimated time since it was sent.
		OnUnwanted func(method, reason string, waited time.Duration)
		// Account, if not nil, bounds the memory for frames on their way in, calls in progress and replies on their way out. A link is
		// closed if what it takes is needed for others.
		Account *inbound.Account

		lock     sync.Mutex
		methods  map[string]method
		links    map[*link]bool
		listener net.Listener
		stopped  bool
		running  sync.WaitGroup
	}

	// method handles a call. It sends parts by send, and returns the reply.
	method func(ctx context.Context, body []byte, send func(part any) error) (reply any, err error)

	// startByKey is the context key of the time by which a call has to begin.
	startByKey struct{}

	// callTable tracks the calls in flight on one connection.
	callTable struct {
		// onDemandMonitor is nil if the connection sends heartbeats continuously.
		onDemandMonitor *onDemandMonitor
		lock            sync.Mutex
		cancels         map[uint64]context.CancelFunc
	}
)

// Handle registers a method that takes one message and returns one.
func Handle[In, Out any](server *Server, name string, handler func(ctx context.Context, in *In) (*Out, error)) {
	server.register(name, func(ctx context.Context, body []byte, _ func(any) error) (any, error) {
		in, err := decode[In](body)
		if err != nil {
			return nil, err
		}
		return handler(ctx, in)
	})
}

// HandleStream registers a method that takes one message and returns many parts.
func HandleStream[In, Part any](server *Server, name string, handler func(ctx context.Context, in *In, send func(*Part) error) error) {
	server.register(name, func(ctx context.Context, body []byte, send func(any) error) (any, error) {
		in, err := decode[In](body)
		if err != nil {
			return nil, err
		}
		return nil, handler(ctx, in, func(part *Part) error { return send(part) })
	})
}

func decode[In any](body []byte) (*In, error) {
	in := new(In)
	if err := msgpack.Unmarshal(body, in); err != nil {
		return nil, fault.New(fault.BadRequest, "the call's message can't be decoded", "check that both processes run the same release")
	}
	return in, nil
}

func (server *Server) register(name string, offered method) {
	server.lock.Lock()
	defer server.lock.Unlock()
	if server.methods == nil {
		server.methods = map[string]method{}
	}
	server.methods[name] = offered
}

// Serve accepts connections until Stop. It returns nil after Stop.
func (server *Server) Serve(listener net.Listener) error {
	if !server.setListener(listener) {
		return nil
	}
	for {
		connection, err := listener.Accept()
		if err != nil {
			if server.isStopped() {
				return nil
			}
			return errors.Wrap(err, "accept peer connection")
		}
		link := newLink(connection)
		if !server.add(link) {
			link.close()
			continue
		}
		go server.serve(link)
	}
}

// setListener stores the listener and returns true. If the server is already stopped, it
// closes the listener and returns false.
func (server *Server) setListener(listener net.Listener) bool {
	server.lock.Lock()
	defer server.lock.Unlock()
	if server.stopped {
		_ = listener.Close()
		return false
	}
	server.listener = listener
	return true
}

// Stop closes the listener and all connections and waits for calls to end.
func (server *Server) Stop() {
	server.lock.Lock()
	server.stopped = true
	if server.listener != nil {
		_ = server.listener.Close()
	}
	for link := range server.links {
		link.close()
	}
	server.lock.Unlock()
	server.running.Wait()
}

func (server *Server) isStopped() bool {
	server.lock.Lock()
	defer server.lock.Unlock()
	return server.stopped
}

// add registers a link and adds it to the wait group under the lock, so that Stop waits
// for each link that was added before it. It returns false if the server is stopped or has
// too many connections.
func (server *Server) add(added *link) bool {
	server.lock.Lock()
	defer server.lock.Unlock()
	if server.stopped || len(server.links) >= MaximumConnections {
		return false
	}
	if server.links == nil {
		server.links = map[*link]bool{}
	}
	server.links[added] = true
	server.running.Add(1)
	return true
}

func (server *Server) remove(removed *link) {
	server.lock.Lock()
	defer server.lock.Unlock()
	delete(server.links, removed)
}

func (server *Server) serve(link *link) {
	defer server.running.Done()
	defer server.remove(link)
	defer link.close()
	if link.handshake(false) != nil {
		return
	}
	holders, err := newHolders(server.Account, link.close)
	if err != nil {
		return
	}
	link.holders = holders
	defer holders.clear()
	if link.onDemandMonitor == nil {
		server.running.Go(link.sendHeartbeats)
	} else {
		server.running.Go(link.closeWhenIdle)
	}
	calls := &callTable{onDemandMonitor: link.onDemandMonitor}
	defer calls.cancelAll()
	var transit transit
	for {
		message, err := link.read()
		if err != nil {
			return
		}
		sentAt := time.Now()
		if message.SentAt > 0 {
			sentAt = sentAt.Add(-transit.observe(message.SentAt, sentAt.Sub(link.openedAt)))
		}
		switch message.Type {
		case typeCall:
			server.startCall(link, calls, message, sentAt)
		case typeCancel:
			calls.cancel(message.CallID)
		case typePing:
			link.answerPing()
		case typeHello, typePart, typeReply, typePong:
		}
	}
}

// startCall begins a call that was sent at about a time by this process's clock.
func (server *Server) startCall(link *link, calls *callTable, call *message, sentAt time.Time) {
	server.lock.Lock()
	method, found := server.methods[call.Method]
	server.lock.Unlock()
	if !found {
		_ = link.write(&message{Type: typeReply, CallID: call.CallID, Fault: fault.New(fault.NotFound, unknownMethodMessage(call.Method), "run the same release on all VMs and give the peer the right role")})
		return
	}
	end := link.holders.beginCall(call)
	ctx, admitted := context.Context(nil), false
	if end != nil {
		ctx, admitted = calls.begin(call, sentAt)
	}
	if !admitted {
		if end != nil {
			end()
		}
		_ = link.write(&message{Type: typeReply, CallID: call.CallID, Fault: fault.New(fault.Unavailable, "too many calls in flight", "wait for earlier calls")})
		return
	}
	server.running.Go(func() {
		defer end()
		defer calls.cancel(call.CallID)
		if reason := unwanted(ctx, call); reason != "" {
			if server.OnUnwanted != nil {
				server.OnUnwanted(call.Method, reason, time.Since(sentAt))
			}
			_ = link.write(&message{Type: typeReply, CallID: call.CallID, Fault: fault.New(fault.Unavailable, "the call has not begun: it is "+reason, "try another peer")})
			return
		}
		send := func(part any) error { return respond(link, typePart, call.CallID, part, nil) }
		reply, err := server.invoke(ctx, method, call, send)
		_ = respond(link, typeReply, call.CallID, reply, err)
	})
}

// StartBy returns the time by which the call that a method serves has to begin what it was made for, or zero if its caller set
// no limit.
func StartBy(ctx context.Context) time.Time {
	startBy, _ := ctx.Value(startByKey{}).(time.Time)
	return startBy
}

// unwanted returns why a call that would begin now must not, or "". Its context has ended if it was cancelled, or if its time
// has passed; one that waited for long may have been given up by a cancel that wasn't read yet.
func unwanted(ctx context.Context, call *message) string {
	switch {
	case ctx.Err() != nil:
		return reasonGivenUp
	case call.StartWithin > 0 && time.Now().After(StartBy(ctx)):
		return reasonLate
	}
	return ""
}

// invoke calls a method and turns a panic into an error.
func (server *Server) invoke(ctx context.Context, method method, call *message, send func(part any) error) (reply any, err error) {
	defer func() {
		recovered := recover()
		if recovered == nil {
			return
		}
		if server.OnPanic != nil {
			server.OnPanic(call.Method, recovered, debug.Stack())
		}
		reply, err = nil, fault.New(fault.Internal, "the call hit a defect", "report it with the log of the process that was called")
	}()
	return method(ctx, call.Body, send)
}

func respond(link *link, messageType messageType, callID uint64, body any, failure error) error {
	response := &message{Type: messageType, CallID: callID}
	if failure != nil {
		response.Fault = asFault(failure)
		return link.write(response)
	}
	encoded, err := msgpack.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode response")
	}
	response.Body = encoded
	err = link.holders.write(len(encoded), func() error { return link.write(response) })
	if err != nil {
		link.close()
	}
	return err
}

func asFault(err error) *fault.Error {
	var typed *fault.Error
	if errors.As(err, &typed) {
		return typed
	}
	return fault.New(fault.Unavailable, err.Error(), "try again")
}

// begin registers a call that was sent at a time and returns its context, or false if too many calls are in flight.
func (callTable *callTable) begin(call *message, sentAt time.Time) (context.Context, bool) {
	callTable.lock.Lock()
	defer callTable.lock.Unlock()
	if len(callTable.cancels) >= MaximumCalls {
		return nil, false
	}
	if callTable.cancels == nil {
		callTable.cancels = map[uint64]context.CancelFunc{}
	}
	ctx := context.Background()
	if call.StartWithin > 0 {
		ctx = context.WithValue(ctx, startByKey{}, sentAt.Add(call.StartWithin))
	}
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceParentKey: call.TraceParent})
	var cancel context.CancelFunc
	if call.Timeout > 0 {
		ctx, cancel = context.WithDeadline(ctx, sentAt.Add(call.Timeout))
	} else {
		ctx, cancel = context.WithCancel(ctx)
	}
	callTable.cancels[call.CallID] = cancel
	if callTable.onDemandMonitor != nil {
		callTable.onDemandMonitor.beginServerCall()
	}
	return ctx, true
}

// cancel cancels the context of a call and removes the call, which may have ended.
func (callTable *callTable) cancel(callID uint64) {
	callTable.lock.Lock()
	defer callTable.lock.Unlock()
	if cancel, running := callTable.cancels[callID]; running {
		cancel()
		delete(callTable.cancels, callID)
		if callTable.onDemandMonitor != nil {
			callTable.onDemandMonitor.endCall()
		}
	}
}

func (callTable *callTable) cancelAll() {
	callTable.lock.Lock()
	defer callTable.lock.Unlock()
	for callID, cancel := range callTable.cancels {
		cancel()
		delete(callTable.cancels, callID)
	}
}

// IsUnknownMethod reports whether a call failed because the peer's build lacks the method. Builds of
// other releases recognize the fault by its kind and message, so neither may change.
func IsUnknownMethod(err error, method string) bool {
	var typed *fault.Error
	return errors.As(err, &typed) && typed.Kind == fault.NotFound && typed.Message == unknownMethodMessage(method)
}

func unknownMethodMessage(method string) string {
	return "method " + method + " is unknown"
}
