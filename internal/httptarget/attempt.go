// Attempts: an attempt sends one request to one target and classifies the
// outcome.

package httptarget

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/answer"
	"gitlab.com/comfreythread/comfreythread/internal/dialect"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/pause"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
)

const (
	// MaximumAnswerBytes bounds the body of an answer.
	MaximumAnswerBytes = 64 << 20

	// connectTimeout bounds the opening of a connection. It leaves room for two
	// round trips between regions and a target that is slow to accept.
	connectTimeout = 250 * time.Millisecond
	// largeMessageBytes is the size above which a message is written while the
	// answer is read, because a target may answer before it has read everything.
	largeMessageBytes = 16 << 10
	// maximumResponses bounds the responses read for one request before its
	// connection is closed: the answer, interim 1xx responses and skipped answers to
	// other requests.
	maximumResponses = 4
	// wrongTargetStatus is the status with which a target reports that the request
	// is addressed to another one.
	wrongTargetStatus = http.StatusMisdirectedRequest

	// requestWithdrawn is the state of a request that nothing was written of to any target, and
	// nothing will be. Other states count the attempts that may have written something.
	requestWithdrawn = -1

	lineEnd = "\r\n"
	headEnd = lineEnd + lineEnd
	// headerOverhead is the capacity reserved for the deadline's digits, the
	// separators and the line ends.
	headerOverhead = 40
)

const (
	// Shed means that the target has no capacity for the request.
	Shed RefusalReason = iota + 1
	// WrongTarget means that another target answered at the address.
	WrongTarget
	// Unreachable means that no connection to the target could be opened, or that
	// nothing could be written to it.
	Unreachable
	// Busy means that this entry has reached its limit of connections to the target.
	Busy
	// Limited means that the target's rate limit leaves no room for the request.
	Limited
	// Withheld means that nobody waits for the answer any more, or may not, by the time at which the request
	// would be sent.
	Withheld
)

var (
	// ErrStray reports a connection that delivered too many answers to other requests, or one
	// that may be such an answer.
	ErrStray = errors.New("the connection holds answers to other requests; it was closed")
	// ErrBusy reports that the limit of connections to the target is reached.
	ErrBusy = errors.New("no connection to the target is free")

	errWithdrawn = errors.New("the request was withdrawn before it was sent")
	errLateStart = errors.New("too late to begin the attempt: its caller may have left")
	errLate      = errors.New("this entry is late itself")
	errNoLink    = errors.New("no entry has a link to the target")
)

type (
	// Request is a request as it is sent to targets. Call Encode before sending it.
	Request struct {
		ID string
		// Repeatable allows reuse of a recently used connection without a health
		// check: if it has broken, the request can be sent again.
		Repeatable bool
		Method     string
		// URI is the path and query as the caller sent them.
		URI  string
		Host string
		// AllowsRegion reports whether the request may be passed to an entry in a region; nil means any.
		AllowsRegion func(region string) bool
		// head and body are the encoded message, without the headers that differ by
		// target.
		head []byte
		body []byte
		// startBy is the time after which no attempt begins; zero means no limit.
		startBy time.Time
		// state is requestWithdrawn, or the number of attempts that may have written something.
		state atomic.Int32
	}

	// headWriter keeps the head of a message that is written to it, and drops the body.
	headWriter struct {
		head  []byte
		ended bool
	}

	// Outcome is Answered, Refused or Lost.
	Outcome interface {
		isOutcome()
	}

	// Answered is a complete answer of the target, with any status.
	Answered struct {
		Status int
		Header http.Header
		Body   []byte
		// Proof is the target's proof that it has produced the answer, taken from a
		// header, or "" if the answer has none.
		Proof string
	}

	// Refused means that the target has not run the request and will not run it.
	Refused struct {
		Reason RefusalReason
		Cause  error
	}

	// Lost means that no complete answer was received. Sent is true if the target
	// may have run the request.
	Lost struct {
		Sent  bool
		Cause error
	}

	// RefusalReason is why a target has not run a request.
	RefusalReason uint8

	// Sender sends requests to targets. The zero value is not usable; construct
	// it with NewSender.
	Sender struct {
		headers dialect.Headers
		dial    tcp.Dialer
		logger  *zap.Logger
		// sampled is for lines that come with requests.
		sampled *zap.Logger
		// metrics is nil if nothing observes the sender.
		metrics *metrics.Metrics
		// relay is nil if the sender has only its own links.
		relay Relay
		links linkMonitor
		// lateness is that of this process.
		lateness pause.Lateness
		// budget bounds the memory of answers.
		budget *answer.Budget
	}

	// exchange is an attempt in progress on one connection.
	exchange struct {
		sender     *Sender
		target     *Target
		request    *Request
		deadline   time.Time
		connection *connection
		// writeDone is closed unless a large request is still being written in the
		// background.
		writeDone chan struct{}
	}
)

func (*Answered) isOutcome() {}
func (*Refused) isOutcome()  {}
func (*Lost) isOutcome()     {}

// String returns the reason's name in logs and metrics.
func (reason RefusalReason) String() string {
	switch reason {
	case Shed:
		return "shed"
	case WrongTarget:
		return "disowned"
	case Unreachable:
		return "unreachable"
	case Busy:
		return "busy"
	case Limited:
		return "limited"
	case Withheld:
		return "withheld"
	}
	return "unknown"
}

// NewSender returns a sender that uses the given header names and dialer; a nil
// dialer means tcp.Dial.
func NewSender(headers dialect.Headers, dial tcp.Dialer) *Sender {
	if dial == nil {
		dial = tcp.Dial
	}
	return &Sender{headers: headers, dial: dial, logger: zap.NewNop(), sampled: zap.NewNop(), budget: &answer.Budget{}}
}

// UseBudget makes the sender count answers toward a budget that others may share. It must be called before the first request is
// sent.
func (sender *Sender) UseBudget(budget *answer.Budget) {
	sender.budget = budget
}

// Observe makes the sender log and count what targets say of themselves in their answers. It must
// be called before the first request is sent.
func (sender *Sender) Observe(logger *zap.Logger, metrics *metrics.Metrics) {
	sender.logger, sender.sampled, sender.metrics = logger, metrics.Sample(logger), metrics
}

// Send sends a request to a target and returns the outcome. It waits until the
// deadline or the end of ctx; the latter closes the connection, so that the target
// can stop. If no idle connection is left and limit connections to the target are
// open, the request is refused as Busy. If this entry has no link to the target, or
// limit is 0, the request is sent through another entry.
func (sender *Sender) Send(ctx context.Context, target *Target, request *Request, deadline time.Time, limit int) Outcome {
	if sender.relay == nil {
		return sender.SendDirectly(ctx, target, request, deadline, limit)
	}
	if limit <= 0 {
		return sender.sendOverSharedConnection(ctx, target, request, deadline)
	}
	if !sender.LinkLost(target, limit) {
		outcome := sender.SendDirectly(ctx, target, request, deadline, limit)
		if !wantsRelay(ctx, outcome) {
			return outcome
		}
		if relayed, sent := sender.sendThroughEntry(ctx, target, request, deadline, false); sent {
			return relayed
		}
		return outcome
	}
	if relayed, sent := sender.sendThroughEntry(ctx, target, request, deadline, false); sent {
		return relayed
	}
	return &Refused{Reason: Unreachable, Cause: errNoLink}
}

// sendOverSharedConnection sends a request through an entry near the target, because this entry may open no
// connection to it. If no entry can be asked, it opens one all the same.
func (sender *Sender) sendOverSharedConnection(ctx context.Context, target *Target, request *Request, deadline time.Time) Outcome {
	unreachable := target.unreachable(time.Now())
	if relayed, sent := sender.sendThroughEntry(ctx, target, request, deadline, true); sent {
		return relayed
	}
	if unreachable || ContextError(ctx) != nil {
		return &Refused{Reason: Unreachable, Cause: errNoLink}
	}
	return sender.SendDirectly(ctx, target, request, deadline, 1)
}

// wantsRelay reports whether an attempt that was not sent, because no connection could be opened, should
// be made through another entry. An attempt that found all connections busy should not: the target may
// be slow, and has no room for more.
func wantsRelay(ctx context.Context, outcome Outcome) bool {
	refused, isRefused := outcome.(*Refused)
	return isRefused && refused.Reason == Unreachable && ContextError(ctx) == nil
}

// sendThroughEntry sends an attempt through another entry. It returns false if none has a link to the
// target.
func (sender *Sender) sendThroughEntry(ctx context.Context, target *Target, request *Request, deadline time.Time, pinned bool) (Outcome, bool) {
	if now := time.Now(); target.unreachable(now) {
		target.recordConnectFailure(now, now)
		return nil, false
	}
	if refused := sender.claim(ctx, target, request, wayRelayed); refused != nil {
		return refused, true
	}
	startedAt := time.Now()
	target.beginAttempt(startedAt)
	outcome, sent := sender.relay.Send(ctx, target, request, deadline, pinned)
	now := time.Now()
	if !sent {
		request.releaseSend()
		target.recordUncounted(startedAt)
		if refused := sender.withhold(ctx, target, request, wayRelayed); refused != nil {
			return refused, true
		}
		target.recordUnreachable(now)
		return nil, false
	}
	if answered, isAnswered := outcome.(*Answered); isAnswered {
		sender.readWord(target, answered.Status, answered.Header, now)
	}
	target.recordOutcome(ctx, outcome, startedAt, now)
	return outcome, true
}

// SendDirectly is like Send, but uses only this entry's own link.
func (sender *Sender) SendDirectly(ctx context.Context, target *Target, request *Request, deadline time.Time, limit int) Outcome {
	if refused := sender.withhold(ctx, target, request, wayDirect); refused != nil {
		return refused
	}
	startedAt := time.Now()
	target.beginAttempt(startedAt)
	// A panic must not leave an attempt in progress behind, whose age would make the target look stalled.
	completed := false
	defer func() {
		if !completed {
			target.recordUncounted(startedAt)
		}
	}()
	sender.links.begin(target.ID(), target.overdueAt(startedAt))
	connection, err := sender.connect(ctx, target, request, deadline, limit)
	if err != nil {
		completed = true
		return sender.handleConnectError(ctx, target, startedAt, err)
	}
	if refused := sender.claim(ctx, target, request, wayDirect); refused != nil {
		completed = true
		sender.links.abandon(target.ID(), time.Now())
		target.connections.addIdle(connection, time.Now())
		target.recordUncounted(startedAt)
		return refused
	}
	exchange := &exchange{sender: sender, target: target, request: request, deadline: deadline, connection: connection, writeDone: make(chan struct{})}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	outcome, reusable := exchange.run()
	sender.reportDropped(target, request, outcome)
	now := time.Now()
	connection.used = true
	if stop() && reusable {
		target.connections.addIdle(connection, now)
	} else {
		target.connections.discard(connection)
	}
	sender.links.abandon(target.ID(), now)
	completed = true
	target.recordOutcome(ctx, outcome, startedAt, now)
	return outcome
}

// reportDropped logs and counts an answer that was dropped for its size or for lack of memory.
func (sender *Sender) reportDropped(target *Target, request *Request, outcome Outcome) {
	lost, isLost := outcome.(*Lost)
	if !isLost {
		return
	}
	reason := answer.DropReason(lost.Cause)
	if reason == "" {
		return
	}
	if sender.metrics != nil {
		sender.metrics.DroppedAnswers().WithLabelValues(reason).Inc()
	}
	sender.sampled.Warn("answer dropped", zap.String("request", request.ID), zap.String("target", target.ID()), zap.String("reason", reason),
		zap.Int64("bytes_of_answers_held", sender.budget.Held()))
}

// handleConnectError ends an attempt that got no connection, updates the target's
// statistics and returns the attempt's outcome.
func (sender *Sender) handleConnectError(ctx context.Context, target *Target, startedAt time.Time, err error) Outcome {
	reason := Unreachable
	now := time.Now()
	sender.links.abandon(target.ID(), now)
	hasEnded := ContextError(ctx) != nil
	switch {
	case errors.Is(err, ErrBusy), errors.Is(err, errLate) && !hasEnded:
		reason = Busy
		target.recordUncounted(startedAt)
	case hasEnded:
		target.recordAbandoned(startedAt, now)
	case sender.relay != nil:
		// The target is at fault only if other entries can't reach it either.
		sender.lostLink(target, err)
		target.recordUncounted(startedAt)
	default:
		target.recordFailure(startedAt, now)
	}
	return &Refused{Reason: reason, Cause: err}
}

// recordOutcome updates the target's statistics by the outcome.
func (target *Target) recordOutcome(ctx context.Context, outcome Outcome, startedAt, now time.Time) {
	switch outcome := outcome.(type) {
	case *Answered:
		if outcome.Status >= http.StatusInternalServerError {
			target.recordFailure(startedAt, now)
			return
		}
		target.recordAnswer(startedAt, now)
	case *Refused:
		if outcome.Reason == Shed {
			target.recordFailure(startedAt, now)
			return
		}
		target.recordUncounted(startedAt)
	case *Lost:
		if ctx.Err() != nil || errors.Is(outcome.Cause, context.DeadlineExceeded) || tcp.IsTimeout(outcome.Cause) {
			target.recordAbandoned(startedAt, now)
			return
		}
		if errors.Is(outcome.Cause, answer.ErrNoMemory) {
			target.recordUncounted(startedAt)
			return
		}
		target.recordFailure(startedAt, now)
	}
}

// connect returns an idle connection, or opens one. It returns ErrBusy if limit
// connections are open.
func (sender *Sender) connect(ctx context.Context, target *Target, request *Request, deadline time.Time, limit int) (*connection, error) {
	uncheckedSpan := time.Duration(0)
	if request.Repeatable {
		uncheckedSpan = uncheckedReuseSpan
	}
	if reused := target.connections.acquireIdle(time.Now(), sender.links.usableSince(), uncheckedSpan); reused != nil {
		return reused, nil
	}
	if !target.connections.reserve(limit) {
		return nil, ErrBusy
	}
	connectBy := earlier(deadline, time.Now().Add(connectTimeout))
	dialContext, cancel := context.WithDeadline(ctx, connectBy)
	defer cancel()
	opened, err := sender.dialReserved(dialContext, target)
	if err != nil {
		return nil, sender.connectError(err, connectBy)
	}
	sender.connected(target)
	return newConnection(opened), nil
}

// connectError returns the error of an attempt that got no connection by a time. If this process is late, a connection may have
// been accepted in time, so that a timeout says nothing about the target or the link to it.
func (sender *Sender) connectError(err error, connectBy time.Time) error {
	if !tcp.IsTimeout(err) && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	now := time.Now()
	sender.lateness.Observe(connectBy, now)
	if sender.lateness.Recent(now) < pause.LateLimit {
		return err
	}
	return errors.Wrap(errLate, err.Error())
}

// Lateness returns the estimate of this process's lateness, which callers of the sender add to.
func (sender *Sender) Lateness() *pause.Lateness {
	return &sender.lateness
}

// dialReserved opens a reserved connection. Without one, also after a panic, it releases the reservation.
func (sender *Sender) dialReserved(ctx context.Context, target *Target) (net.Conn, error) {
	opened := false
	defer func() {
		if !opened {
			target.connections.releaseReservation()
		}
	}()
	connection, err := sender.dial(ctx, "tcp", target.Address())
	opened = err == nil
	return connection, err
}

// WantsConnection reports whether Preconnect would open a connection to a target. It closes idle connections that can't be used
// any more.
func (sender *Sender) WantsConnection(target *Target, limit int, margin time.Duration) bool {
	now := time.Now()
	return target.connections.pruneIdle(now, sender.links.usableSince(), margin) == 0 && limit > 0 && !target.connections.anyInUse() && target.connections.mayPreconnect(now)
}

// Preconnect opens a connection in advance, unless one is in use, an idle one stays
// open for at least margin, limit connections are open, or the delay after an unused
// connection was closed by the target, or none could be opened, hasn't passed. A failure to connect counts as a
// failed attempt.
func (sender *Sender) Preconnect(ctx context.Context, target *Target, limit int, margin time.Duration) {
	now := time.Now()
	if !sender.WantsConnection(target, limit, margin) || !target.connections.reserve(limit) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	opened, err := sender.dialReserved(ctx, target)
	if err != nil {
		target.connections.recordPreconnectFailure(time.Now())
		if errors.Is(sender.connectError(err, now.Add(connectTimeout)), errLate) {
			return
		}
		if sender.relay != nil {
			sender.lostLink(target, err)
		}
		if sender.relay != nil && !sender.HasLinks() {
			return
		}
		target.recordConnectFailure(now, time.Now())
		return
	}
	sender.connected(target)
	target.connections.addIdle(newConnection(opened), time.Now())
}

func earlier(first, second time.Time) time.Time {
	if first.Before(second) {
		return first
	}
	return second
}

// run writes the request, which claim allowed, and reads its answer. It reports whether the connection
// can be used for another request.
func (exchange *exchange) run() (outcome Outcome, reusable bool) {
	connection := exchange.connection
	if err := connection.SetDeadline(exchange.deadline); err != nil {
		exchange.request.releaseSend()
		return &Refused{Reason: Unreachable, Cause: err}, false
	}
	body := exchange.request.body
	if headCapacity := exchange.headCapacity(); headCapacity+len(body) > largeMessageBytes {
		// A query sends the body to many targets at the same time, so that it isn't copied.
		buffers := net.Buffers{exchange.appendHead(make([]byte, 0, headCapacity)), body}
		go func() {
			defer close(exchange.writeDone)
			// A failed write makes the read of the answer fail as well.
			_, _ = buffers.WriteTo(connection.Conn)
		}()
	} else {
		close(exchange.writeDone)
		message := append(exchange.appendHead(make([]byte, 0, headCapacity+len(body))), body...)
		if written, err := connection.Write(message); err != nil && written == 0 {
			exchange.request.releaseSend()
			return &Refused{Reason: Unreachable, Cause: err}, false
		}
	}
	return exchange.receive()
}

// Withdraw keeps the request from being sent to any target from now on. It returns false if
// part of the request may have been sent already.
func (request *Request) Withdraw() bool {
	return request.state.CompareAndSwap(0, requestWithdrawn) || request.state.Load() == requestWithdrawn
}

// claimSend records that the request is about to be sent, unless it was withdrawn.
func (request *Request) claimSend() bool {
	for {
		state := request.state.Load()
		if state == requestWithdrawn {
			return false
		}
		if request.state.CompareAndSwap(state, state+1) {
			return true
		}
	}
}

// releaseSend records that an attempt which claimSend allowed has written nothing.
func (request *Request) releaseSend() {
	request.state.Add(-1)
}

// Encode encodes the request with the given headers, from which the caller has
// removed the hop-by-hop headers and those that each attempt adds. It sets a missing User-Agent in header to the empty
// string, which suppresses the default of net/http.
func (request *Request) Encode(header http.Header, body []byte) error {
	if header.Get("User-Agent") == "" {
		header["User-Agent"] = []string{""}
	}
	if request.URI == "" || strings.ContainsFunc(request.URI, isSeparator) {
		return errors.New("write the request: its URI is empty or has a space or a control character")
	}
	message := http.Request{
		Method: request.Method, URL: &url.URL{Path: "/"}, Host: request.Host, Header: header,
		ContentLength: int64(len(body)), Body: http.NoBody,
	}
	if len(body) > 0 {
		message.Body = io.NopCloser(bytes.NewReader(body))
	}
	var writer headWriter
	if err := message.Write(&writer); err != nil {
		return errors.Wrap(err, "write the request")
	}
	// The writer of net/http would change some request lines, such as one whose path begins with two slashes.
	_, fields, _ := bytes.Cut(bytes.TrimSuffix(writer.head, []byte(lineEnd)), []byte(lineEnd))
	request.head = slices.Concat([]byte(request.Method+" "+request.URI+" HTTP/1.1"+lineEnd), fields)
	request.body = body
	return nil
}

// isSeparator reports whether a character would end the URI in a request line.
func isSeparator(character rune) bool {
	return character <= ' ' || character == 0x7f
}

// Write implements io.Writer.
func (headWriter *headWriter) Write(text []byte) (int, error) {
	if headWriter.ended {
		return len(text), nil
	}
	searched := max(0, len(headWriter.head)-len(headEnd)+1)
	headWriter.head = append(headWriter.head, text...)
	if end := bytes.Index(headWriter.head[searched:], []byte(headEnd)); end >= 0 {
		headWriter.head = headWriter.head[:searched+end+len(headEnd)]
		headWriter.ended = true
	}
	return len(text), nil
}

// WriteByte implements io.ByteWriter, which keeps http.Request.Write from buffering.
func (headWriter *headWriter) WriteByte(character byte) error {
	_, err := headWriter.Write([]byte{character})
	return err
}

// NewEncoded returns the request that an entry passes on for another one, with the parts that Encoded
// returned there.
func NewEncoded(id, method string, repeatable bool, head, body []byte) *Request {
	return &Request{ID: id, Method: method, Repeatable: repeatable, head: head, body: body}
}

// StartBy sets the time after which no attempt begins; zero means no limit. It must be called before the request is sent.
func (request *Request) StartBy(at time.Time) {
	request.startBy = at
}

// Encoded returns the encoded head, without the headers that differ by target, and the body.
func (request *Request) Encoded() (head, body []byte) {
	return request.head, request.body
}

// appendHead appends the encoded head of the request for this target: the head, and the headers with
// the time left and the target's ID.
func (exchange *exchange) appendHead(message []byte) []byte {
	headers := &exchange.sender.headers
	message = append(message, exchange.request.head...)
	message = append(message, headers.Deadline+": "...)
	message = strconv.AppendInt(message, max(1, time.Until(exchange.deadline).Milliseconds()), 10)
	return append(message, lineEnd+headers.Target+": "+exchange.target.ID()+lineEnd+lineEnd...)
}

// headCapacity returns a size that suffices for the encoded head.
func (exchange *exchange) headCapacity() int {
	headers := &exchange.sender.headers
	return len(exchange.request.head) + len(headers.Deadline) + len(headers.Target) + len(exchange.target.ID()) + headerOverhead
}

// receive reads until the answer to this request. It skips interim 1xx responses, and
// answers that name another request: they are late or duplicate.
func (exchange *exchange) receive() (outcome Outcome, reusable bool) {
	bounded := exchange.connection.bounded
	for range maximumResponses {
		bounded.AllowHead()
		response, err := http.ReadResponse(exchange.connection.reader, &http.Request{Method: exchange.request.Method})
		if err != nil {
			return &Lost{Sent: true, Cause: bounded.Cause(err)}, false
		}
		exchange.sender.reached(exchange.target)
		if answer.IsInterim(response) {
			continue
		}
		if !answer.IsFinal(response.StatusCode) {
			return &Lost{Sent: true, Cause: answer.ErrStatus}, false
		}
		bounded.AllowBody(MaximumAnswerBytes)
		body, err := exchange.sender.budget.ReadBody(response.Body, response.ContentLength, MaximumAnswerBytes)
		if err != nil {
			// Closing the body would read on to its end. The connection is closed.
			return &Lost{Sent: true, Cause: bounded.Cause(err)}, false
		}
		_ = response.Body.Close()
		answeredID := response.Header.Get(exchange.sender.headers.RequestID)
		if exchange.isStray(response, answeredID) {
			return &Lost{Sent: true, Cause: ErrStray}, false
		}
		if answeredID != "" && answeredID != exchange.request.ID {
			if response.Close {
				break
			}
			continue
		}
		exchange.connection.echoesID = answeredID != ""
		if response.StatusCode != wrongTargetStatus {
			exchange.sender.readWord(exchange.target, response.StatusCode, response.Header, time.Now())
		}
		return exchange.classify(response, body), exchange.isReusable(response)
	}
	return &Lost{Sent: true, Cause: ErrStray}, false
}

// isStray reports whether a successful answer may belong to an earlier request on the
// connection: it names none, although the target names the request in its answers. It may
// be a late second copy of an earlier answer.
func (exchange *exchange) isStray(response *http.Response, answeredID string) bool {
	return answeredID == "" && exchange.connection.echoesID && response.StatusCode < http.StatusMultipleChoices
}

// isReusable reports whether the connection can carry another request: the request
// is fully written, no unread bytes are buffered, and the target keeps it open. It also
// applies the idle timeout from the answer's Keep-Alive header to the connection.
func (exchange *exchange) isReusable(response *http.Response) bool {
	exchange.connection.updateIdleTimeout(response.Header)
	select {
	case <-exchange.writeDone:
	default:
		return false
	}
	return !response.Close && exchange.connection.reader.Buffered() == 0
}

// classify returns the outcome for an answer to this request.
func (exchange *exchange) classify(response *http.Response, body []byte) Outcome {
	headers := &exchange.sender.headers
	switch {
	case response.StatusCode == wrongTargetStatus:
		return &Refused{Reason: WrongTarget}
	case response.Header.Get(headers.NotRun) != "":
		return &Refused{Reason: Shed}
	}
	return &Answered{Status: response.StatusCode, Header: response.Header, Body: body, Proof: response.Header.Get(headers.Proof)}
}
