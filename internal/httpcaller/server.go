// How a request of an HTTP route comes in and which way it takes.

package httpcaller

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/dialect"
	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// DefaultBodyBytes bounds the body of a request where the tables don't.
	DefaultBodyBytes = 256 << 10
	// DefaultHeaderBytes bounds the head of a request where the tables don't.
	DefaultHeaderBytes = 16 << 10
	// DefaultTimeout bounds a request whose caller names no deadline.
	DefaultTimeout = 30 * time.Second
	// headerOverhead is what a header has besides name and value.
	headerOverhead = 4
	// MaximumStaleness is how long an entry that control doesn't answer goes on
	// with the tables that it has: callers are better served by tables of a
	// minute ago than by none.
	MaximumStaleness = time.Minute
)

var (
	tracer = otel.Tracer("comfreythread/httpcaller")

	errTooLarge = errors.New("the body is larger than allowed; send less")
)

type (
	// Options say where an entry stands and what it may spend.
	Options struct {
		// Name names the entry.
		Name          string
		FailureDomain string
		Region        string
		// Regions holds the region of each failure domain.
		Regions map[string]string
		Headers dialect.Headers
		Budget  policy.BudgetLimits
	}

	// Server forwards requests of HTTP routes. Construct it with NewServer.
	Server struct {
		options   Options
		board     *blackboard.Board
		directory *httptarget.Directory
		sender    *httptarget.Sender
		budgets   *policy.Budgets
		journal   *journal
		metrics   *metrics.Metrics
		measures  measures
		startedAt time.Time
		workers   *workers

		routes   atomic.Pointer[indexed]
		inFlight atomic.Int64
		stopping atomic.Bool
	}

	// indexed are the routes of one version of the tables.
	indexed struct {
		tables *operator.Tables
		routes *policy.Routes
	}

	// call is one request on its way.
	call struct {
		server  *Server
		ctx     context.Context
		request httptarget.Request
		route   *operator.Route
		indexed *indexed
		begun   time.Time
		// limit is the span after begun at which no answer is of use any more.
		limit time.Duration
		// sent counts the attempts, for the log.
		sent atomic.Int64
		// content identifies what is asked, whatever the request's ID.
		content blackboard.Fingerprint
		// answered states that a target has answered it.
		answered atomic.Bool
	}
)

// NewServer returns a server that is ready once its entry has tables.
func NewServer(options Options, board *blackboard.Board, directory *httptarget.Directory, sender *httptarget.Sender, logger *zap.Logger, metrics *metrics.Metrics) *Server {
	return &Server{
		options: options, board: board, directory: directory, sender: sender, budgets: policy.NewBudgets(options.Budget),
		journal: newJournal(logger, metrics), metrics: metrics, measures: measures{metrics: metrics}, startedAt: time.Now(),
		workers: newWorkers(),
	}
}

// Ready reports whether callers should be sent here.
func (server *Server) Ready() bool {
	_, version := server.board.InForce().Tables()
	return version > 0 && !server.stopping.Load() && server.directory.Heard() && !server.stale()
}

// Stop lets callers know, with each answer from now on, that this entry stops.
func (server *Server) Stop() {
	server.stopping.Store(true)
}

// InFlight returns the number of requests in progress.
func (server *Server) InFlight() int {
	return int(server.inFlight.Load())
}

func (server *Server) stale() bool {
	return time.Since(server.board.InForce().LeaseUntil()) > MaximumStaleness
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	begun := time.Now()
	inFlight := server.inFlight.Add(1)
	defer server.inFlight.Add(-1)
	if server.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	call := &call{server: server, begun: begun, indexed: server.index()}
	call.request.ID = request.Header.Get(server.options.Headers.RequestID)
	if call.indexed == nil {
		call.refuse(writer, policy.NoTables)
		return
	}
	path, _, _ := strings.Cut(request.RequestURI, "?")
	route, found := call.indexed.routes.Match(request.Host, path)
	if !found {
		call.fail(writer, http.StatusNotFound, "no route has this host and path; see the table of routes")
		return
	}
	call.route = route
	ctx, span := tracer.Start(request.Context(), "forward "+route.Kind)
	defer span.End()
	call.ctx = ctx
	call.limit = call.limitOf(request)
	switch {
	case server.stale():
		call.refuse(writer, policy.Stale)
		return
	case !policy.AdmitEntry(int(inFlight), route.HTTP.Priority):
		call.refuse(writer, policy.NoRoom)
		return
	case headBytes(request) > call.indexed.headerLimit():
		writer.Header().Set("Connection", "close")
		call.fail(writer, http.StatusRequestHeaderFieldsTooLarge, "the head is larger than allowed; send less")
		return
	}
	if !call.read(writer, request) {
		return
	}
	if call.harmful() {
		call.refuse(writer, policy.Harmful)
		return
	}
	call.forward(writer)
}

func (call *call) forward(writer http.ResponseWriter) {
	if call.route.HTTP.Gather != nil {
		call.gather(writer)
	} else {
		call.forwardOne(writer)
	}
}

// index returns the routes in force, or nil where there are no tables yet.
func (server *Server) index() *indexed {
	tables, version := server.board.InForce().Tables()
	if version == 0 {
		return nil
	}
	known := server.routes.Load()
	if known == nil || known.tables != tables {
		known = &indexed{tables: tables, routes: policy.NewRoutes(tables)}
		server.routes.Store(known)
	}
	return known
}

// limitOf returns how long the request may take: what its caller waits, and what
// the route allows.
func (call *call) limitOf(request *http.Request) time.Duration {
	limit := min(DefaultTimeout, call.route.HTTP.Timeout.Std())
	text := request.Header.Get(call.server.options.Headers.Deadline)
	if text == "" {
		return limit
	}
	milliseconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(milliseconds >= 0) {
		call.server.journal.unread(call, text)
		return limit
	}
	return min(limit, time.Duration(min(milliseconds, float64(DefaultTimeout/time.Millisecond))*float64(time.Millisecond)))
}

func (indexed *indexed) headerLimit() int {
	if limits := indexed.tables.HTTPLimits; limits != nil && limits.HeaderBytes > 0 {
		return limits.HeaderBytes
	}
	return DefaultHeaderBytes
}

// headBytes returns about how many bytes a head had.
func headBytes(request *http.Request) int {
	size := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerOverhead
		}
	}
	return size
}

// read takes in the whole request, and reports whether it may go on.
func (call *call) read(writer http.ResponseWriter, request *http.Request) bool {
	limit := DefaultBodyBytes
	if limits := call.indexed.tables.HTTPLimits; limits != nil && limits.BodyBytes > 0 {
		limit = limits.BodyBytes
	}
	body, err := readBody(request, limit)
	if errors.Is(err, errTooLarge) {
		writer.Header().Set("Connection", "close")
		call.fail(writer, http.StatusRequestEntityTooLarge, err.Error())
		return false
	}
	if err != nil {
		writer.Header().Set("Connection", "close")
		call.fail(writer, http.StatusBadRequest, "the body broke off; send as many bytes as the head says")
		return false
	}
	call.content = blackboard.NewFingerprint(request.Method+" "+request.Host+request.RequestURI, body)
	call.request.Method, call.request.URI, call.request.Host = request.Method, request.RequestURI, request.Host
	call.request.Repeatable = !call.route.NeverRepeat
	if err := call.request.Encode(endToEnd(request.Header), body); err != nil {
		call.fail(writer, http.StatusBadRequest, "the request can't be forwarded: "+err.Error())
		return false
	}
	return true
}

func readBody(request *http.Request, limit int) ([]byte, error) {
	if request.ContentLength == 0 {
		return nil, nil
	}
	if request.ContentLength > int64(limit) {
		return nil, errTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, errTooLarge
	}
	return body, nil
}

// entries returns the number of entries among which what all may spend is
// shared.
func (server *Server) entries() int {
	return max(1, len(server.board.Membership().View().Members))
}

func (server *Server) elapsed() time.Duration {
	return time.Since(server.startedAt)
}

func (call *call) left() time.Duration {
	return call.limit - time.Since(call.begun)
}

func draw(count int) []float64 {
	drawn := make([]float64, count)
	for index := range drawn {
		drawn[index] = rand.Float64()
	}
	return drawn
}
