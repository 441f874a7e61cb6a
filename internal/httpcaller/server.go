// Receipt, validation and routing of HTTP requests.

package httpcaller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/dialect"
	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/inbound"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/permit"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/internal/rollout"
	"gitlab.com/comfreythread/comfreythread/internal/settings"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// DefaultBodyBytes limits the body of a request if the tables set no limit.
	DefaultBodyBytes = 256 << 10
	// DefaultHeaderBytes limits the head of a request if the tables set no limit.
	DefaultHeaderBytes = 16 << 10
	// DefaultTimeout limits the time of every request, including those without a
	// deadline header.
	DefaultTimeout = 30 * time.Second
	// headerOverhead is the least size of a header line without name and value: a colon and a line feed.
	headerOverhead = 2
	// writeTimeout is how long a caller may take to read an answer.
	writeTimeout = 30 * time.Second
)

var (
	tracer = otel.Tracer("comfreythread/httpcaller")

	errFinished = errors.New("the entry stopped before an answer arrived")
)

type (
	// Options configure a Server: the location of its entry, the headers, and the budget
	// for hedges and retries.
	Options struct {
		// Name is the name of the entry.
		Name          string
		FailureDomain string
		Region        string
		// Regions maps each failure domain to its region.
		Regions map[string]string
		Headers dialect.Headers
		Budget  policy.BudgetLimits
		// Revocation defines how keys are treated without contact with control.
		Revocation settings.Revocation
		// Rollouts is nil if rollouts are turned off.
		Rollouts *rollout.Tracker
		// Disabled lists the mechanisms that are turned off.
		Disabled policy.Mechanisms
		// ControlContact returns what the entry last heard from control replicas; nil counts as nothing.
		ControlContact func() policy.ControlContact
	}

	// Server forwards requests of HTTP routes. Create it with NewServer.
	Server struct {
		options        Options
		board          *blackboard.Board
		directory      *httptarget.Directory
		sender         *httptarget.Sender
		permits        *permit.Permits
		budgets        *policy.Budgets
		sharedBudgets  sharedBudgets
		requestLog     *requestLog
		metrics        *metrics.Metrics
		requestMetrics requestMetrics
		createdAt      time.Time
		workers        *workers
		admission      *admission
		shardLoads     policy.ShardLoads

		cachedRouteIndex    atomic.Pointer[routeIndex]
		cachedActiveEntries atomic.Pointer[activeEntries]
		// inFlight counts the requests in progress, and placed those of them that have a place: from the arrival of the body until an
		// answer is ready.
		inFlight, placed atomic.Int64
		// servesUntil is nil unless the entry stops.
		servesUntil atomic.Pointer[time.Time]
		// finished is closed once every request in progress has to be answered at once.
		finished   chan struct{}
		finishOnce sync.Once
	}

	// routeIndex holds one version of the tables with its routes and tenants.
	routeIndex struct {
		tables  *operator.Tables
		routes  *policy.Routes
		tenants *policy.Tenants
		// resources maps each route to the name of what its requests compete for.
		resources map[*operator.Route]string
		weights   tenantWeights
	}

	// call is one request in progress.
	call struct {
		server *Server
		ctx    context.Context
		// connection is nil if the server's listener doesn't count what callers send, and headBytes the size of the head, as far as it
		// is known.
		connection *inbound.Connection
		headBytes  int
		// hasPlace is true while the request counts as one that has arrived and has no answer yet.
		hasPlace   bool
		request    httptarget.Request
		route      *operator.Route
		routeIndex *routeIndex
		// tenant is nil if the tables hold none, and for a request to a public route without a known key.
		tenant    *operator.Tenant
		startedAt time.Time
		// timeout is the time after startedAt at which a response becomes useless.
		timeout time.Duration
		// cutShort is true if timeout is less than the caller allows, because the entry stops.
		cutShort bool
		// attempts counts the attempts over all pools, for the log.
		attempts atomic.Int64
		// fingerprint identifies the content of the request, regardless of its ID.
		fingerprint blackboard.Fingerprint
		// answered is true if a target has answered the request.
		answered atomic.Bool
		// stalledDispatches counts the dispatches that wait without an attempt in progress, and
		// stalledChanged is notified when one begins to wait; nil if nobody is interested.
		stalledDispatches atomic.Int64
		stalledChanged    chan struct{}
		// reservedFor is the name of the tenant whose allotment counts the request, or "".
		reservedFor string
		// outcome is that of the request in metrics, and status that of the response, once it has ended.
		outcome string
		status  int
		// wait is nil unless the request met a limit of requests in progress.
		wait *wait
	}
)

// NewServer returns a server, which becomes ready once its entry has tables and has heard
// from a registry of targets.
func NewServer(options Options, board *blackboard.Board, directory *httptarget.Directory, sender *httptarget.Sender, permits *permit.Permits, logger *zap.Logger, metrics *metrics.Metrics) *Server {
	server := &Server{
		options: options, board: board, directory: directory, sender: sender, permits: permits, budgets: policy.NewBudgets(options.Budget),
		requestLog: newRequestLog(logger, metrics), metrics: metrics, requestMetrics: requestMetrics{metrics: metrics}, createdAt: time.Now(), admission: newAdmission(), finished: make(chan struct{}),
	}
	server.workers = newWorkers(server.recordPanic)
	if options.Rollouts != nil {
		directory.TrackReleases()
	}
	if len(options.Disabled) > 0 {
		logger.Warn("mechanisms are turned off by the settings", zap.Strings("mechanisms", options.Disabled.Names()))
	}
	return server
}

// recordPanic counts and logs a panic in a task of a request.
func (server *Server) recordPanic(recovered any, stack []byte) {
	server.metrics.Panics().Inc()
	server.requestLog.taskPanicked(recovered, stack)
}

// Ready reports whether callers should send requests to this server.
func (server *Server) Ready() bool {
	_, version := server.board.InForce().Tables()
	return version > 0 && !server.isStopping() && server.directory.Synced() && server.tablesAge().Refusal() == 0
}

// Stop makes each further response close its connection, so that callers move to other
// entries. Requests are still served if they are expected to end by a time.
func (server *Server) Stop(until time.Time) {
	server.servesUntil.Store(&until)
}

func (server *Server) isStopping() bool {
	return server.servesUntil.Load() != nil
}

// StopsWithin returns for how long the entry still serves, and whether it stops at all.
func (server *Server) StopsWithin() (time.Duration, bool) {
	until := server.servesUntil.Load()
	if until == nil {
		return 0, false
	}
	return max(0, time.Until(*until)), true
}

// Finish answers the requests in progress at once, with what has arrived, and refuses further ones as not run.
// A request that a target may have run gets a response that says so.
func (server *Server) Finish() {
	server.Stop(time.Now())
	server.finishOnce.Do(func() { close(server.finished) })
}

// Close ends the goroutines that are kept for further requests. Requests are still served.
func (server *Server) Close() {
	server.workers.close()
}

// InFlight returns the number of requests in progress.
func (server *Server) InFlight() int {
	return int(server.inFlight.Load())
}

// tablesAge returns how far the tables in force may be out of date.
func (server *Server) tablesAge() *policy.TablesAge {
	inForce := server.board.InForce()
	_, version := inForce.Tables()
	return &policy.TablesAge{LeaseLeft: time.Until(inForce.LeaseUntil()), Behind: inForce.Newest() > version}
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	startedAt := time.Now()
	inFlight := server.inFlight.Add(1)
	defer server.inFlight.Add(-1)
	if server.isStopping() {
		writer.Header().Set("Connection", "close")
	}
	call := &call{server: server, startedAt: startedAt, routeIndex: server.currentRouteIndex(), connection: inbound.ConnectionOf(request)}
	call.headBytes = call.connection.BeginRequest()
	call.limitReading(writer, request, DefaultTimeout)
	call.request.ID = request.Header.Get(server.options.Headers.RequestID)
	if call.routeIndex == nil && !call.awaitTables(writer, request, int(inFlight)) {
		return
	}
	if reason := server.tablesAge().Refusal(); reason != 0 {
		call.refuse(writer, reason)
		return
	}
	path, _, _ := strings.Cut(request.RequestURI, "?")
	route, found := call.routeIndex.routes.Match(request.Host, path)
	if !found {
		call.rejectByTables(writer, http.StatusNotFound, reasonInvalid, "no route has this host and path; see the table of routes")
		return
	}
	call.route = route
	ctx, span := tracer.Start(request.Context(), "forward "+route.Kind)
	defer span.End()
	call.ctx = ctx
	call.setTimeout(request)
	if !call.authenticate(writer, request) {
		return
	}
	call.receive(writer, request)
}

// receive reads and serves a request of a known route and caller if the entry has room for it.
func (call *call) receive(writer http.ResponseWriter, request *http.Request) {
	server := call.server
	switch {
	case !policy.AdmitEntry(int(server.placed.Load())+1, call.priority()):
		call.refuse(writer, policy.NoRoom)
		return
	case max(call.headBytes, headerSize(request)) > call.routeIndex.headerLimit():
		writer.Header().Set("Connection", "close")
		call.rejectInvalid(writer, http.StatusRequestHeaderFieldsTooLarge, "the head is larger than allowed; send less")
		return
	}
	if !call.readRequest(writer, request) {
		return
	}
	call.hasPlace = true
	defer call.leavePlace()
	if !policy.AdmitEntry(int(server.placed.Add(1)), call.priority()) || call.connection.Serve() != nil {
		call.refuse(writer, policy.NoRoom)
		return
	}
	if call.isQuarantined() {
		call.refuse(writer, policy.Harmful)
		return
	}
	if refused, retryAfter := call.reserve(call.tenant); refused {
		call.refuseOverAllotment(writer, retryAfter)
		return
	}
	call.forward(writer)
}

// forward sends the request to targets once it is admitted.
func (call *call) forward(writer http.ResponseWriter) {
	var refusal policy.Reason
	var retryAfter time.Duration
	// Without tenants there is nobody to be fair to, and a caller that is refused or late at a busy entry is
	// served sooner by another one.
	if call.routeIndex.tenants.Any() && !call.server.options.Disabled.Has(policy.MechanismAdmissionLimits) {
		var release func()
		release, refusal, retryAfter = call.server.admit(call.ctx, call)
		if release != nil {
			defer release()
		}
	}
	switch {
	case call.ctx.Err() != nil:
		call.abort()
	case refusal != 0:
		call.refuseFor(writer, refusal, retryAfter)
	case call.route.HTTP.Gather != nil:
		call.gather(writer)
	default:
		call.forwardOne(writer)
	}
}

// currentRouteIndex returns the routes in force, or nil if there are no tables yet.
func (server *Server) currentRouteIndex() *routeIndex {
	tables, version := server.board.InForce().Tables()
	if version == 0 {
		return nil
	}
	cached := server.cachedRouteIndex.Load()
	if cached == nil || cached.tables != tables {
		cached = &routeIndex{tables: tables, routes: policy.NewRoutes(tables), tenants: policy.NewTenants(tables), resources: resourcesOf(tables), weights: newTenantWeights(tables)}
		server.admission.forgetExcept(cached.resources)
		server.requestMetrics.tenants.update(server.metrics.TenantRequests(), tables.Tenants)
		server.cachedRouteIndex.Store(cached)
	}
	return cached
}

// setTimeout sets how long the request may take: the least of the caller's deadline
// header, the route's timeout, DefaultTimeout and the time until the entry stops.
func (call *call) setTimeout(request *http.Request) {
	call.timeout = min(call.route.HTTP.Timeout.Std(), call.deadlineOf(request))
	if left, stopping := call.server.StopsWithin(); stopping && left < call.timeout {
		call.timeout, call.cutShort = left, true
	}
}

func (routeIndex *routeIndex) headerLimit() int {
	if limits := routeIndex.tables.HTTPLimits; limits != nil && limits.HeaderBytes > 0 {
		return limits.HeaderBytes
	}
	return DefaultHeaderBytes
}

// headerSize returns the least size in bytes that the request head may have had.
func headerSize(request *http.Request) int {
	size := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerOverhead
		}
	}
	return size
}

// readRequest reads the body and prepares the request for forwarding. If it returns
// false, the request was rejected and the response has been written.
func (call *call) readRequest(writer http.ResponseWriter, request *http.Request) bool {
	limit := DefaultBodyBytes
	if limits := call.routeIndex.tables.HTTPLimits; limits != nil && limits.BodyBytes > 0 {
		limit = limits.BodyBytes
	}
	call.limitReading(writer, request, call.timeout)
	body, err := call.connection.ReadBody(request.Body, request.ContentLength, int64(limit))
	if err != nil {
		writer.Header().Set("Connection", "close")
		call.rejectBody(writer, err)
		return false
	}
	call.limitReading(writer, request, 0)
	call.fingerprint = blackboard.NewFingerprint(request.Method+" "+request.Host+request.RequestURI, body)
	call.request.Method, call.request.URI, call.request.Host = request.Method, request.RequestURI, request.Host
	call.request.Repeatable, call.request.AllowsRegion = !call.route.NeverRepeat, call.allowsRegion
	header := endToEnd(request.Header)
	// Each attempt sets these two by its target and the time that is left then.
	header.Del(call.server.options.Headers.Deadline)
	header.Del(call.server.options.Headers.Target)
	call.replaceCredential(header)
	if err := call.request.Encode(header, body); err != nil {
		call.rejectInvalid(writer, http.StatusBadRequest, "the request can't be forwarded: "+err.Error())
		return false
	}
	return true
}

// limitReading bounds the time until the body has arrived, which counts from the receipt of the request; 0 means no bound. Without one,
// a caller that stops sending would keep the request open.
func (call *call) limitReading(writer http.ResponseWriter, request *http.Request, limit time.Duration) {
	if request.ContentLength == 0 {
		return
	}
	until := time.Time{}
	if limit > 0 {
		until = call.startedAt.Add(limit)
	}
	_ = http.NewResponseController(writer).SetReadDeadline(until) // fails only for a connection that is closed, or in tests
}

// leavePlace gives the request's place to another one, unless it has been given already.
func (call *call) leavePlace() {
	if call.hasPlace {
		call.hasPlace = false
		call.server.placed.Add(-1)
	}
}

// rejectBody responds to a request whose body couldn't be read.
func (call *call) rejectBody(writer http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, inbound.ErrTooLarge):
		call.rejectInvalid(writer, http.StatusRequestEntityTooLarge, "the body is larger than allowed; send less")
	case errors.Is(err, inbound.ErrNoMemory):
		call.refuse(writer, policy.NoRoom)
	case errors.Is(err, os.ErrDeadlineExceeded):
		call.reject(writer, http.StatusRequestTimeout, reasonTooSlow, "the body did not arrive within the time of the request; send it faster")
	default:
		call.rejectInvalid(writer, http.StatusBadRequest, "the body broke off; send as many bytes as the head says")
	}
}

// entryCount returns the number of entries that share the budgets and limits.
func (server *Server) entryCount() int {
	return max(1, len(server.board.Membership().View().Members))
}

func (server *Server) uptime() time.Duration {
	return time.Since(server.createdAt)
}

func (call *call) remaining() time.Duration {
	return call.timeout - time.Since(call.startedAt)
}

func randomNumbers(count int) []float64 {
	numbers := make([]float64, count)
	for index := range numbers {
		numbers[index] = rand.Float64()
	}
	return numbers
}
