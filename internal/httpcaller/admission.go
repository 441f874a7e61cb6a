// Admission of requests: each takes a place at what its route competes for, and one at the entry. While either has none
// left, requests wait in the order of policy.WaitQueue.

package httpcaller

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// entryFloor is the least limit of requests in progress of the entry. It leaves room for the least limits of
	// several pools.
	entryFloor = 32
	// entryRoutes is the number of routes whose latencies must have risen together for the entry's limit to
	// shrink. Those of one route are the matter of its pools.
	entryRoutes = 2
	// slotsFactor is the number of requests in progress, for each slot of the pool that is this entry's part, that the
	// limit of a pool always allows: one that runs and one that is next.
	slotsFactor = 2
	// censoredFactor is applied to the latency of a query that was answered without its late parts, which would
	// have taken longer.
	censoredFactor = 2
)

const (
	// Results of waiting, as label values and in the log. The last two are refusals without waiting.
	waitAdmitted  = "admitted"
	waitDisplaced = "displaced"
	waitExpired   = "expired"
	waitLeft      = "left"
	waitLate      = "late"
	waitFull      = "full"
	waitStopping  = "stopping"
)

type (
	// admission counts the requests in progress and holds those that wait. Create it with newAdmission.
	admission struct {
		lock      sync.Mutex
		queue     *policy.WaitQueue
		waits     map[*policy.WaitItem]*wait
		entry     places
		resources map[string]*places
	}

	// places are those of the entry, or of the pools that a request is sent to.
	places struct {
		concurrency *policy.Concurrency
		inProgress  int
	}

	// wait describes how a request met a limit, for its own goroutine and for the log. The lock of admission
	// guards it until decided is closed.
	wait struct {
		item     policy.WaitItem
		position int
		expected time.Duration
		limit    int
		// startedAt and endedAt are the times between which it waited.
		startedAt, endedAt time.Time
		result             string
		retryAfter         time.Duration
		// deadline is the time at which a response becomes useless to the caller.
		deadline time.Time
		decided  chan struct{}
	}

	// tenantWeights holds the weights of requests whose tenant has no rate.
	tenantWeights struct {
		unlimited, anonymous float64
	}
)

func newAdmission() *admission {
	return &admission{
		queue: policy.NewWaitQueue(policy.MaximumWaiting), waits: map[*policy.WaitItem]*wait{}, resources: map[string]*places{},
		entry: places{concurrency: policy.NewConcurrency(policy.ConcurrencyBounds{Floor: entryFloor, Ample: policy.MaximumInFlight, Routes: entryRoutes})},
	}
}

// resourcesOf maps the HTTP routes of tables to what their requests compete for: the pool, or the set of pools of a
// query or a split.
func resourcesOf(tables *operator.Tables) map[*operator.Route]string {
	resources := map[*operator.Route]string{}
	for index := range tables.Routes {
		if route := &tables.Routes[index]; route.HTTP != nil {
			resources[route] = strings.Join(poolsOf(route), " ")
		}
	}
	return resources
}

// poolsOf returns the sorted names of the pools that requests of a route may be sent to.
func poolsOf(route *operator.Route) []string {
	var pools []string
	switch {
	case route.HTTP.Gather != nil:
		pools = slices.Clone(route.HTTP.Gather.Pools)
	case len(route.HTTP.Split) > 0:
		for _, weightedPool := range route.HTTP.Split {
			pools = append(pools, weightedPool.Pool)
		}
	default:
		pools = []string{route.Pool}
	}
	slices.Sort(pools)
	return slices.Compact(pools)
}

// newTenantWeights returns the weights for tables: a tenant without a limit counts as the one with the highest rate,
// and requests without a tenant together as an average tenant.
func newTenantWeights(tables *operator.Tables) tenantWeights {
	highest, sum, count := 1.0, 0.0, 0.0
	for index := range tables.Tenants {
		if rate := tables.Tenants[index].RatePerSecond; rate > 0 {
			highest, sum, count = max(highest, rate), sum+rate, count+1
		}
	}
	if count == 0 {
		return tenantWeights{unlimited: 1, anonymous: 1}
	}
	return tenantWeights{unlimited: highest, anonymous: sum / count}
}

func (tenantWeights *tenantWeights) of(tenant *operator.Tenant) float64 {
	switch {
	case tenant == nil:
		return tenantWeights.anonymous
	case tenant.RatePerSecond > 0:
		return tenant.RatePerSecond
	}
	return tenantWeights.unlimited
}

// admit takes a place for a request, and waits for one if there is none. It returns a function that gives the place back,
// or the reason for a refusal and the delay after which the caller may retry. Both are missing if the caller left.
func (server *Server) admit(ctx context.Context, call *call) (release func(), refusal policy.Reason, retryAfter time.Duration) {
	admission, resource := server.admission, call.routeIndex.resources[call.route]
	admission.lock.Lock()
	if admission.resources[resource] == nil {
		admission.resources[resource] = server.newPlaces(call.route)
	}
	if admission.hasPlace(resource) {
		admission.take(resource)
		admission.lock.Unlock()
		return server.releaser(call, resource), 0, 0
	}
	call.wait = admission.offer(call, resource, time.Now())
	isDecided := call.wait.result != ""
	server.metrics.AdmissionWaiting().Set(float64(admission.queue.Waiting()))
	admission.lock.Unlock()
	if !isDecided {
		server.awaitDecision(ctx, call)
	}
	switch call.wait.result {
	case waitAdmitted:
		return server.releaser(call, resource), 0, 0
	case waitLeft:
		return nil, 0, 0
	}
	server.metrics.AdmissionRefusals().WithLabelValues(call.wait.result).Inc()
	if call.wait.result == waitLate || call.wait.result == waitExpired {
		return nil, policy.TooLate, call.wait.retryAfter
	}
	return nil, policy.NoRoom, call.wait.retryAfter
}

// awaitDecision waits until a request is taken up, displaced or expired, or its caller leaves.
func (server *Server) awaitDecision(ctx context.Context, call *call) {
	admission, wait := server.admission, call.wait
	timer := time.NewTimer(time.Until(wait.item.ServeUntil))
	defer timer.Stop()
	result := waitLeft
	select {
	case <-wait.decided:
	case <-ctx.Done():
	case <-timer.C:
		result = waitExpired
	case <-server.finished:
		result = waitStopping
	}
	admission.lock.Lock()
	defer admission.lock.Unlock()
	now := time.Now()
	switch {
	case admission.queue.Remove(&wait.item):
		admission.decide(wait, result, now)
	case ctx.Err() != nil && wait.result == waitAdmitted:
		wait.result = waitLeft
		admission.giveBack(wait.item.Resource, now)
	}
	server.metrics.AdmissionWaiting().Set(float64(admission.queue.Waiting()))
	server.metrics.AdmissionWait().WithLabelValues(wait.result).Observe(wait.endedAt.Sub(wait.startedAt).Seconds())
}

// releaser returns the function that gives the place of a request back.
func (server *Server) releaser(call *call, resource string) func() {
	admission, admittedAt := server.admission, time.Now()
	return func() {
		now := time.Now()
		admission.lock.Lock()
		places := admission.resources[resource]
		limit := places.concurrency.Limit()
		ended := call.attempts.Load() > 0 && admission.observe(call, places, now.Sub(admittedAt), now)
		newLimit := places.concurrency.Limit()
		admission.giveBack(resource, now)
		admission.lock.Unlock()
		if !ended {
			return
		}
		if newLimit < limit {
			server.requestLog.limitLowered(resource, limit, newLimit, call.routeKind())
		}
		floor := server.floor(call.route, now)
		admission.lock.Lock()
		places.concurrency.SetFloor(floor)
		admission.serveWaiting(now)
		admission.lock.Unlock()
	}
}

// newPlaces returns the places of the pools of a route.
func (server *Server) newPlaces(route *operator.Route) *places {
	places := &places{concurrency: policy.NewConcurrency(policy.ConcurrencyBounds{Ample: policy.AmpleConcurrency, Routes: 1})}
	places.concurrency.SetFloor(server.floor(route, time.Now()))
	return places
}

// floor returns the least limit of the pools of a route, by the slots of the pool that has the fewest.
func (server *Server) floor(route *operator.Route, now time.Time) int {
	fewest := math.MaxInt
	for _, pool := range poolsOf(route) {
		slots := 0
		for _, target := range server.directory.Pool(pool) {
			condition := target.Condition(now)
			slots += condition.Slots
		}
		fewest = min(fewest, slots)
	}
	return max(policy.MinimumConcurrency, slotsFactor*fewest/server.entryCount())
}

// observe records the latency of a request that ended, and reports whether that ended a window of its resource. The lock
// must be held.
func (admission *admission) observe(call *call, places *places, latency time.Duration, now time.Time) bool {
	// Errors may come faster than any answer, and would lower the best latency.
	answered := call.outcome == outcomeAnswered && call.status < http.StatusBadRequest
	if call.outcome == outcomePartial && now.Sub(call.startedAt) >= call.route.HTTP.TargetLatency.Std()-policy.ResponseMargin {
		latency *= censoredFactor
	}
	admission.entry.concurrency.Observe(call.route.Kind, latency, answered, now)
	return places.concurrency.Observe(call.route.Kind, latency, answered, now)
}

// offer offers a request to the queue. The lock must be held.
func (admission *admission) offer(call *call, resource string, now time.Time) *wait {
	places := admission.resources[resource]
	expected := places.concurrency.ExpectedLatency(call.route.Kind)
	wait := &wait{startedAt: now, limit: places.concurrency.Limit(), deadline: call.startedAt.Add(call.timeout), decided: make(chan struct{})}
	wait.item = policy.WaitItem{
		Resource: resource, Kind: call.route.Kind, Weight: call.routeIndex.weights.of(call.tenant), Priority: call.priority(),
		ServeUntil: call.startedAt.Add(policy.FinalDeadline(call.timeout) - expected),
	}
	wait.item.ObjectiveUntil = wait.item.ServeUntil
	if objective := call.route.HTTP.TargetLatency.Std(); objective > 0 && objective < call.timeout {
		// An objective that is missed without any wait no longer decides the order.
		if until := call.startedAt.Add(objective - policy.ResponseMargin - expected); until.After(now) {
			wait.item.ObjectiveUntil = until
		}
	}
	if call.tenant != nil {
		wait.item.Tenant = call.tenant.Name
	}
	if places.hasRoom() {
		wait.limit = admission.entry.concurrency.Limit()
	}
	if call.server.isStopping() {
		admission.decide(wait, waitStopping, now)
		return wait
	}
	offer := admission.queue.Offer(&wait.item, admission.interval(resource), now)
	wait.position, wait.expected = offer.Position, offer.Wait
	switch offer.Result {
	case policy.RefusedLate:
		admission.decide(wait, waitLate, now)
	case policy.RefusedFull:
		admission.decide(wait, waitFull, now)
	case policy.Queued:
		admission.waits[&wait.item] = wait
	}
	if offer.Displaced != nil {
		admission.decide(admission.waits[offer.Displaced], waitDisplaced, now)
	}
	return wait
}

// decide ends the wait of a request, or refuses it without one. The lock must be held.
func (admission *admission) decide(wait *wait, result string, now time.Time) {
	delete(admission.waits, &wait.item)
	wait.result, wait.endedAt = result, now
	resource, remaining := wait.item.Resource, wait.deadline.Sub(now)
	interval := admission.interval(resource)
	switch result {
	case waitLate, waitFull:
		wait.retryAfter = admission.queue.ReturnDelay(resource, wait.expected, interval, remaining, rand.Float64(), now)
	case waitDisplaced, waitExpired:
		behind := time.Duration(admission.queue.WaitingFor(resource)+1) * interval
		wait.retryAfter = admission.queue.ReturnDelay(resource, behind, interval, remaining, rand.Float64(), now)
	case waitStopping:
		wait.retryAfter = policy.RetryAfter(policy.NoRoom, rand.Float64())
	}
	close(wait.decided)
}

// retryDelay returns the delay after which the caller of a refused request may retry. While others wait for the same pools,
// it returns behind them.
func (call *call) retryDelay(reason policy.Reason) time.Duration {
	delay := policy.RetryAfter(reason, rand.Float64())
	if reason != policy.NoRoom && reason != policy.TooLate {
		return delay
	}
	admission, resource := call.server.admission, call.routeIndex.resources[call.route]
	admission.lock.Lock()
	defer admission.lock.Unlock()
	waiting := admission.queue.WaitingFor(resource)
	if waiting == 0 {
		return delay
	}
	interval := admission.interval(resource)
	return admission.queue.ReturnDelay(resource, time.Duration(waiting+1)*interval, interval, call.remaining(), rand.Float64(), time.Now())
}

// giveBack gives a place back and takes up requests that wait. The lock must be held.
func (admission *admission) giveBack(resource string, now time.Time) {
	admission.resources[resource].inProgress--
	admission.entry.inProgress--
	admission.serveWaiting(now)
}

// serveWaiting takes up the requests that wait for places that are free. The lock must be held.
func (admission *admission) serveWaiting(now time.Time) {
	if admission.queue.Waiting() == 0 {
		return
	}
	for _, item := range admission.queue.Expire(now) {
		admission.decide(admission.waits[item], waitExpired, now)
	}
	for admission.queue.Waiting() > 0 {
		item := admission.queue.Next(now, admission.hasPlace)
		if item == nil {
			return
		}
		admission.take(item.Resource)
		admission.decide(admission.waits[item], waitAdmitted, now)
	}
}

// interval returns the expected time between two places that become free for requests that wait for a resource. Where the
// entry is full, all that wait share its places. The lock must be held.
func (admission *admission) interval(resource string) time.Duration {
	if admission.entry.hasRoom() {
		return admission.resources[resource].concurrency.Interval()
	}
	sharers := float64(admission.queue.Waiting()+1) / float64(admission.queue.WaitingFor(resource)+1)
	return time.Duration(sharers * float64(admission.entry.concurrency.Interval()))
}

// hasPlace reports whether a resource and the entry have a free place. The lock must be held.
func (admission *admission) hasPlace(resource string) bool {
	return admission.resources[resource].hasRoom() && admission.entry.hasRoom()
}

// take takes a place. The lock must be held.
func (admission *admission) take(resource string) {
	admission.resources[resource].take()
	admission.entry.take()
}

// forgetExcept drops unused resources that the tables no longer hold.
func (admission *admission) forgetExcept(resources map[*operator.Route]string) {
	used := map[string]bool{}
	for _, resource := range resources {
		used[resource] = true
	}
	admission.lock.Lock()
	defer admission.lock.Unlock()
	for resource, places := range admission.resources {
		if !used[resource] && places.inProgress == 0 && admission.queue.WaitingFor(resource) == 0 {
			delete(admission.resources, resource)
		}
	}
}

func (places *places) hasRoom() bool {
	return places.inProgress < places.concurrency.Limit()
}

func (places *places) take() {
	places.inProgress++
	places.concurrency.Begin(places.inProgress)
}

// fields describe for the log why a request waited or was refused.
func (wait *wait) fields() []zap.Field {
	return []zap.Field{
		zap.String("wait", wait.result), zap.Duration("waited", wait.endedAt.Sub(wait.startedAt)), zap.Int("position", wait.position),
		zap.Duration("expected_wait", wait.expected), zap.Int("concurrency_limit", wait.limit),
	}
}

// limitLowered logs that requests may have to wait because latencies have risen. It is logged at most once a second for
// each resource.
func (requestLog *requestLog) limitLowered(resource string, from, to int, route string) {
	requestLog.logger.Info("concurrency limit lowered", zap.String("pools", resource), zap.Int("from", from), zap.Int("to", to), zap.String("route", route))
}
