// One attempt: one request sent to one target, and what is known of it after.

package httptarget

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/dialect"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
)

const (
	// MaximumAnswerBytes bounds the body of an answer.
	MaximumAnswerBytes = 64 << 20

	// connectTimeout bounds the opening of a connection: twice the round trip
	// between regions and a target that is slow to accept.
	connectTimeout = 250 * time.Millisecond
	// largeBody is the size above which a body is written while the answer is
	// read, because a target may answer before it has read everything.
	largeBody = 16 << 10
	// maximumStray bounds the answers to other requests that are skipped before
	// a connection is given up.
	maximumStray = 4
	// disownedStatus is the status by which a target says that it isn't the one
	// the request was for.
	disownedStatus = http.StatusMisdirectedRequest

	lineEnd = "\r\n"
	// headerRoom is room for a number and the ends of lines.
	headerRoom = 40
)

const (
	// Shed is a target without room.
	Shed RefusalReason = iota + 1
	// Disowned is another target at the address.
	Disowned
	// Unreachable is a target to which no connection could be opened.
	Unreachable
	// Busy is a target to which this entry may open no further connection.
	Busy
)

var (
	// ErrStray reports a connection with too many answers to other requests.
	ErrStray = errors.New("the connection holds answers to other requests; it was closed")
	// ErrTooLarge reports an answer above MaximumAnswerBytes.
	ErrTooLarge = errors.New("the answer is too large; it was dropped")
	// ErrBusy reports that as many connections to the target are open as may be.
	ErrBusy = errors.New("no connection to the target is free")
)

type (
	// Request is what is sent to targets.
	Request struct {
		ID string
		// Repeatable requests may meet a connection that has just broken.
		Repeatable bool
		Method     string
		// URI is the path and query as the caller sent them.
		URI  string
		Host string
		// head and body are what is written, but for what differs by target.
		head []byte
		body []byte
	}

	// Outcome is Answered, Refused or Lost.
	Outcome interface {
		isOutcome()
	}

	// Answered is a whole answer of the target, of any status.
	Answered struct {
		Status int
		Header http.Header
		Body   []byte
		// Proof is the target's proof of the answer, "" where there is none.
		Proof string
	}

	// Refused states that the target has not run the request and will not.
	Refused struct {
		Reason RefusalReason
		Cause  error
	}

	// Lost states that no whole answer came. Sent states that the target may
	// have run the request.
	Lost struct {
		Sent  bool
		Cause error
	}

	// RefusalReason says why a target has not run a request.
	RefusalReason uint8

	// Sender sends requests to targets. The zero value is not usable; construct
	// it with NewSender.
	Sender struct {
		headers dialect.Headers
		dial    tcp.Dialer
	}

	// exchange is an attempt in progress.
	exchange struct {
		sender     *Sender
		target     *Target
		request    *Request
		deadline   time.Time
		connection *connection
		// written is closed once the request has been written whole.
		written chan struct{}
	}
)

func (*Answered) isOutcome() {}
func (*Refused) isOutcome()  {}
func (*Lost) isOutcome()     {}

// String names the reason for logs and metrics.
func (reason RefusalReason) String() string {
	switch reason {
	case Shed:
		return "shed"
	case Disowned:
		return "disowned"
	case Unreachable:
		return "unreachable"
	case Busy:
		return "busy"
	}
	return "unknown"
}

// NewSender returns a sender that uses the given header names.
func NewSender(headers dialect.Headers, dial tcp.Dialer) *Sender {
	if dial == nil {
		dial = tcp.Dial
	}
	return &Sender{headers: headers, dial: dial}
}

// Send sends a request to a target and waits for the outcome until the deadline,
// or until ctx ends, which closes the connection so that the target can stop.
// At most limit connections to the target are open.
func (sender *Sender) Send(ctx context.Context, target *Target, request *Request, deadline time.Time, limit int) Outcome {
	begun := time.Now()
	target.begin(begun)
	connection, err := sender.connect(ctx, target, request, deadline, limit)
	if err != nil {
		return unsent(ctx, target, begun, err)
	}
	exchange := &exchange{sender: sender, target: target, request: request, deadline: deadline, connection: connection, written: make(chan struct{})}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	outcome, reusable := exchange.run()
	now := time.Now()
	connection.used = true
	if stop() && reusable {
		target.connections.keep(connection, now)
	} else {
		target.connections.end(connection)
	}
	exchange.record(ctx, outcome, begun, now)
	return outcome
}

func unsent(ctx context.Context, target *Target, begun time.Time, err error) Outcome {
	reason := Unreachable
	switch {
	case errors.Is(err, ErrBusy):
		reason = Busy
		target.shed(begun)
	case ctx.Err() != nil:
		target.abandoned(begun, time.Now())
	default:
		target.failed(begun, time.Now())
	}
	return &Refused{Reason: reason, Cause: err}
}

// record tells the target's estimates of the outcome.
func (exchange *exchange) record(ctx context.Context, outcome Outcome, begun, now time.Time) {
	target := exchange.target
	switch outcome := outcome.(type) {
	case *Answered:
		if outcome.Status >= http.StatusInternalServerError {
			target.failed(begun, now)
			return
		}
		target.answered(begun, now)
	case *Refused:
		if outcome.Reason == Shed {
			target.failed(begun, now)
			return
		}
		target.shed(begun)
	case *Lost:
		if ctx.Err() != nil || errors.Is(outcome.Cause, context.DeadlineExceeded) || tcp.IsTimeout(outcome.Cause) {
			target.abandoned(begun, now)
			return
		}
		target.failed(begun, now)
	}
}

func (sender *Sender) connect(ctx context.Context, target *Target, request *Request, deadline time.Time, limit int) (*connection, error) {
	trusted := time.Duration(0)
	if request.Repeatable {
		trusted = trustedSpan
	}
	if waiting := target.connections.take(time.Now(), trusted); waiting != nil {
		return waiting, nil
	}
	if !target.connections.reserve(limit) {
		return nil, ErrBusy
	}
	dialing, cancel := context.WithDeadline(ctx, earlier(deadline, time.Now().Add(connectTimeout)))
	defer cancel()
	opened, err := sender.dial(dialing, "tcp", target.Address())
	if err != nil {
		target.connections.release()
		return nil, err
	}
	return newConnection(opened), nil
}

// Connect opens a connection to wait for use, where none waits that stays open
// for a margin.
func (sender *Sender) Connect(ctx context.Context, target *Target, limit int, margin time.Duration) {
	now := time.Now()
	if target.connections.expire(now, margin) > 0 || target.connections.busy() || !target.connections.mayRenew(now) || !target.connections.reserve(limit) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	opened, err := sender.dial(ctx, "tcp", target.Address())
	if err != nil {
		target.connections.release()
		target.unreachable(now, time.Now())
		return
	}
	target.connections.keep(newConnection(opened), time.Now())
}

func earlier(first, second time.Time) time.Time {
	if first.Before(second) {
		return first
	}
	return second
}

// run writes the request and reads its answer. The connection may be used again
// where it holds nothing more.
func (exchange *exchange) run() (outcome Outcome, reusable bool) {
	connection := exchange.connection
	if err := connection.SetDeadline(exchange.deadline); err != nil {
		return &Refused{Reason: Unreachable, Cause: err}, false
	}
	message := exchange.message()
	if len(message) > largeBody {
		go func() {
			defer close(exchange.written)
			// A failure shows in the reading.
			_, _ = connection.Write(message)
		}()
	} else {
		close(exchange.written)
		if written, err := connection.Write(message); err != nil && written == 0 {
			return &Refused{Reason: Unreachable, Cause: err}, false
		}
	}
	return exchange.receive()
}

// Encode prepares the request with its headers, those of one connection left out.
func (request *Request) Encode(header http.Header, body []byte) error {
	if header.Get("User-Agent") == "" {
		header["User-Agent"] = []string{""}
	}
	message := http.Request{
		Method: request.Method, URL: &url.URL{Opaque: request.URI}, Host: request.Host, Header: header,
		ContentLength: int64(len(body)), Body: http.NoBody,
	}
	if len(body) > 0 {
		message.Body = io.NopCloser(bytes.NewReader(body))
	}
	var buffer bytes.Buffer
	if err := message.Write(&buffer); err != nil {
		return errors.Wrap(err, "write the request")
	}
	request.head = bytes.TrimSuffix(buffer.Bytes()[:buffer.Len()-len(body)], []byte(lineEnd))
	request.body = body
	return nil
}

// message returns the bytes for one target: the head with the time left and the
// target's ID, and the body.
func (exchange *exchange) message() []byte {
	request, headers, id := exchange.request, &exchange.sender.headers, exchange.target.ID()
	message := make([]byte, 0, len(request.head)+len(request.body)+len(headers.Deadline)+len(headers.Target)+len(id)+headerRoom)
	message = append(message, request.head...)
	message = append(message, headers.Deadline+": "...)
	message = strconv.AppendInt(message, max(1, time.Until(exchange.deadline).Milliseconds()), 10)
	message = append(message, lineEnd+headers.Target+": "+id+lineEnd+lineEnd...)
	return append(message, request.body...)
}

// receive reads until the answer to this request. Answers that name another
// request came late or twice and are skipped.
func (exchange *exchange) receive() (outcome Outcome, reusable bool) {
	for range maximumStray {
		response, err := http.ReadResponse(exchange.connection.reader, &http.Request{Method: exchange.request.Method})
		if err != nil {
			return &Lost{Sent: true, Cause: err}, false
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, MaximumAnswerBytes+1))
		_ = response.Body.Close()
		if err == nil && len(body) > MaximumAnswerBytes {
			err = ErrTooLarge
		}
		if err != nil {
			return &Lost{Sent: true, Cause: err}, false
		}
		named := response.Header.Get(exchange.sender.headers.RequestID)
		if named != "" && named != exchange.request.ID {
			if response.Close {
				break
			}
			continue
		}
		return exchange.judge(response, body), exchange.isReusable(response)
	}
	return &Lost{Sent: true, Cause: ErrStray}, false
}

// isReusable reports whether the connection can carry another request: the whole
// request was read, nothing more has come, and the target keeps it open.
func (exchange *exchange) isReusable(response *http.Response) bool {
	exchange.connection.heed(response.Header)
	select {
	case <-exchange.written:
	default:
		return false
	}
	return !response.Close && exchange.connection.reader.Buffered() == 0
}

func (exchange *exchange) judge(response *http.Response, body []byte) Outcome {
	headers := &exchange.sender.headers
	switch {
	case response.StatusCode == disownedStatus:
		return &Refused{Reason: Disowned}
	case response.Header.Get(headers.NotRun) != "":
		return &Refused{Reason: Shed}
	}
	return &Answered{Status: response.StatusCode, Header: response.Header, Body: body, Proof: response.Header.Get(headers.Proof)}
}
