// Dispatch of a request to one pool: a first attempt, a hedge if that attempt is
// overdue, and a retry if it failed.

package httpcaller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/pause"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// maximumAttempts is the maximum number of targets tried in a row in one dispatch,
	// including those that refuse the request.
	maximumAttempts = 4
	// maximumStalledAttempts is the maximum number of attempts of a dispatch that has
	// waited for targets or for budget.
	maximumStalledAttempts = 24
	// connectionRetryDelay is the delay before a hedge is considered again that found no free connection to any
	// target, about the duration of a short run.
	connectionRetryDelay = 20 * time.Millisecond
	// maximumPostponements bounds how often a hedge is put off because the entry itself is late, and maximumPostponement for
	// how long.
	maximumPostponements = 3
	maximumPostponement  = 100 * time.Millisecond
	// domainRoundTrip, regionRoundTrip and farRoundTrip are the assumed network
	// round-trip times within a failure domain, to another failure domain of the
	// same region, and to another region. They apply until a latency is measured.
	domainRoundTrip = time.Millisecond
	regionRoundTrip = 3 * time.Millisecond
	farRoundTrip    = 25 * time.Millisecond
)

const (
	// Triggers of attempts, as label values and in the log.
	triggerFirst = "first"
	triggerHedge = "hedge"
	triggerRetry = "retry"
)

const (
	localityDomain locality = "domain"
	localityRegion locality = "region"
	localityFar    locality = "far"
)

var (
	errPanicked = errors.New("the attempt hit a defect; see the log")
)

type (
	// locality is the location of a target relative to the entry: in the same
	// failure domain, elsewhere in the same region, or in another region.
	locality string

	// dispatch is the sending of one request to one pool, over all its attempts.
	dispatch struct {
		call *call
		pool string
		// repeatable is true if the request may run more than once.
		repeatable bool
		// softDeadline is the time by which a response is wanted, and hardDeadline
		// the time after which a response is useless.
		softDeadline, hardDeadline time.Time

		targets    []*httptarget.Target
		candidates []policy.Candidate
		// order lists indices into targets, the best candidate first, and next is
		// the position in order of the target to try next.
		order []int
		next  int
		// attempts counts the attempts, arrivals those that may have reached a
		// target, and possibleRuns those whose request may have run.
		attempts, arrivals, possibleRuns int
		// possibleRunners holds the targets that may have run the request.
		possibleRunners []*httptarget.Target
		// timer ends at the time of the next hedge, or of the next attempt after a wait.
		timer *time.Timer
		// timerAt is when the timer ends, and postponed how often a hedge was put off because this entry was late.
		timerAt   time.Time
		postponed int
		// waits counts how often the dispatch has waited for the next attempt.
		waits int
		// stalled is true while the dispatch waits without an attempt in progress.
		stalled bool
		// inFlight counts the attempts without an outcome so far.
		inFlight int
		outcomes chan finishedAttempt

		lock sync.Mutex
		// sentAttempts lists the attempts for the log, and budgetDenied is
		// true if the budget ruled out a further attempt.
		sentAttempts []sentAttempt
		budgetDenied bool
		// availableAt is when the first of the targets may be asked that were left out, because they
		// pause or their rate limits have no room; zero if none was.
		availableAt time.Time
		// releases is the part of the dispatch that rollouts decide on.
		releases releases
		// charged is true if this entry's budget allowed the next attempt.
		charged bool
		// lastFailure is why the latest attempt that failed gave no part, as a label value.
		lastFailure string
	}

	// sentAttempt describes an attempt for the log: its target, the time from the receipt
	// of the request until the attempt was sent, the expected latency of the target at
	// that time, and whether it was the first attempt, a hedge or a retry.
	sentAttempt struct {
		target          string
		elapsed         time.Duration
		expectedLatency time.Duration
		trigger         string
	}

	// finishedAttempt is the outcome of an attempt at a target.
	finishedAttempt struct {
		target  *httptarget.Target
		outcome httptarget.Outcome
		// trigger is that of sentAttempt, and charged is true if this entry's budget allowed the attempt.
		trigger string
		charged bool
	}

	// dispatchResult is a complete response, or the reason why there is none.
	dispatchResult struct {
		pool     string
		target   *httptarget.Target
		response *httptarget.Answered
		// mayHaveRun is true if a target may have run the request.
		mayHaveRun bool
		reason     policy.Reason
		cause      error
		hedged     bool
		retried    bool
	}
)

// newDispatch prepares a dispatch to a pool, with the eligible targets ranked. The
// softDeadline counts from the receipt of the request.
func (call *call) newDispatch(pool string, softDeadline time.Duration) *dispatch {
	hardDeadline := call.startedAt.Add(policy.FinalDeadline(call.timeout))
	dispatch := &dispatch{
		call: call, pool: pool, repeatable: !call.route.NeverRepeat,
		softDeadline: call.startedAt.Add(softDeadline), hardDeadline: hardDeadline,
	}
	dispatch.releases.admission = call.server.options.Rollouts.Begin(pool, call.route.Kind)
	dispatch.outcomes = make(chan finishedAttempt, maximumAttempts)
	dispatch.rankTargets()
	return dispatch
}

// rankTargets ranks the targets that may get the request now, without those that may have run it.
func (dispatch *dispatch) rankTargets() {
	call := dispatch.call
	dispatch.targets, dispatch.candidates, dispatch.next, dispatch.availableAt = nil, nil, 0, time.Time{}
	dispatch.releases = releases{admission: dispatch.releases.admission}
	now := time.Now()
	for _, target := range call.server.directory.Pool(dispatch.pool) {
		if !call.isEligible(target) || slices.Contains(dispatch.possibleRunners, target) {
			continue
		}
		condition := target.Condition(now)
		if condition.Leaving {
			continue
		}
		if now.Before(condition.AvailableAt) {
			if dispatch.availableAt.IsZero() || condition.AvailableAt.Before(dispatch.availableAt) {
				dispatch.availableAt = condition.AvailableAt
			}
			continue
		}
		dispatch.releases.anyFresh = dispatch.releases.anyFresh || condition.Fresh
		dispatch.targets = append(dispatch.targets, target)
		dispatch.candidates = append(dispatch.candidates, dispatch.candidate(target, &condition))
	}
	dispatch.order = policy.Rank(dispatch.candidates, randomNumbers(len(dispatch.candidates)))
	dispatch.arrange()
}

// isEligible reports whether the tables in force now allow sending requests of this route and tenant to target, because a
// request may outlast a change. The regions that it began with hold as well.
func (call *call) isEligible(target *httptarget.Target) bool {
	domain := target.FailureDomain()
	current := call.server.currentRouteIndex()
	return current != nil && !current.tables.IsOut(domain) && call.allowsRegion(call.server.options.Regions[domain])
}

// allowsRegion reports whether the request may be sent to targets and entries in a region.
func (call *call) allowsRegion(region string) bool {
	current := call.server.currentRouteIndex()
	if current == nil || !allowsRegions(call.route, call.tenant, region) {
		return false
	}
	if current == call.routeIndex {
		return true
	}
	path, _, _ := strings.Cut(call.request.URI, "?")
	route, found := current.routes.Match(call.request.Host, path)
	tenant := call.tenant
	if tenant != nil {
		tenant = current.tenants.ByName(tenant.Name)
	}
	return !found || allowsRegions(route, tenant, region)
}

// allowsRegions reports whether a route and a tenant, which may be nil, allow targets in a region.
func allowsRegions(route *operator.Route, tenant *operator.Tenant, region string) bool {
	return allowsRegion(route.HTTP.Regions, region) && (tenant == nil || allowsRegion(tenant.Regions, region))
}

// mayGet reports whether a target may get the request at this moment. Every attempt asks that, because its target was
// ranked earlier, and may have left or been taken out of service since.
func (dispatch *dispatch) mayGet(target *httptarget.Target) bool {
	return dispatch.call.server.directory.InUse(target) && dispatch.call.isEligible(target)
}

// allowsRegion reports whether a list of allowed regions has a region. An empty list allows all.
func allowsRegion(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// candidate describes a target's condition for the ranking.
func (dispatch *dispatch) candidate(target *httptarget.Target, condition *httptarget.Condition) policy.Candidate {
	server := dispatch.call.server
	// An attempt through another entry uses a connection of that one, which is open already.
	isShared := !condition.Connected && server.connectionLimit(dispatch.call.routeIndex.routes.Pool(dispatch.pool), target) == 0
	return policy.Candidate{
		RoundTrip: server.roundTrip(target.FailureDomain()), Slots: condition.Slots, Cold: condition.Cold, Suspect: condition.Suspect, FailureShare: condition.FailureShare,
		Measured: condition.Measured, Latency: condition.Latency, UsualLatency: condition.UsualLatency, StaleShare: httptarget.StaleShare(condition.Age),
		Running: condition.Running, OldestAge: condition.OldestAge, Connected: condition.Connected || isShared, Limited: condition.Limited,
	}
}

// locality returns the locality, relative to this entry, of targets in a failure domain.
func (server *Server) locality(domain string) locality {
	switch {
	case domain == server.options.FailureDomain:
		return localityDomain
	case server.options.Regions[domain] == server.options.Region:
		return localityRegion
	}
	return localityFar
}

// roundTrip returns the assumed network round-trip time to targets in a failure domain.
func (server *Server) roundTrip(domain string) time.Duration {
	switch server.locality(domain) {
	case localityDomain:
		return domainRoundTrip
	case localityRegion:
		return regionRoundTrip
	case localityFar:
	}
	return farRoundTrip
}

// refusalReason returns the reason to refuse the request without an attempt, or zero
// if it can be sent.
func (dispatch *dispatch) refusalReason() policy.Reason {
	switch {
	case len(dispatch.order) == 0 && !dispatch.availableAt.IsZero():
		return policy.Paused
	case len(dispatch.order) == 0:
		return policy.NoTarget
	case dispatch.call.cutShort && dispatch.call.route.HTTP.Gather == nil && !dispatch.endsBeforeStop():
		return policy.Stopping
	case !policy.AdmitTarget(&dispatch.candidates[dispatch.order[0]], time.Until(dispatch.hardDeadline)):
		return policy.NoRoom
	}
	return 0
}

// usualLatency returns the time within which the best target usually answers, and whether that was measured.
func (dispatch *dispatch) usualLatency() (usual time.Duration, measured bool) {
	best := &dispatch.candidates[dispatch.order[0]]
	return max(best.ExpectedLatency(), best.UsualLatency), best.Measured
}

// endsBeforeStop reports whether the best target is expected to answer before the entry stops. Without a measurement
// only a request that may be repeated is expected to be quick.
func (dispatch *dispatch) endsBeforeStop() bool {
	usual, measured := dispatch.usualLatency()
	return policy.EndsBeforeStop(usual, measured || dispatch.repeatable, time.Until(dispatch.hardDeadline))
}

// refusalAfter returns the reason to refuse the request after attempts that have not run, and when the first
// target may be asked again if all of them pause or have no room.
func (dispatch *dispatch) refusalAfter(reason policy.Reason) (policy.Reason, time.Time) {
	now := time.Now()
	availableAt := dispatch.availableAt
	for _, target := range dispatch.targets {
		condition := target.Condition(now)
		if condition.Leaving {
			continue
		}
		if !now.Before(condition.AvailableAt) {
			return reason, time.Time{}
		}
		if availableAt.IsZero() || condition.AvailableAt.Before(availableAt) {
			availableAt = condition.AvailableAt
		}
	}
	if availableAt.IsZero() {
		return policy.NoTarget, availableAt
	}
	return policy.Paused, availableAt
}

// execute sends attempts until one yields a final response, no further attempt is
// possible, or ctx ends. While the budget or the targets allow none, it waits.
func (dispatch *dispatch) execute(ctx context.Context) dispatchResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	result := dispatchResult{pool: dispatch.pool, reason: policy.NoRoom}
	if dispatch.sendNext(ctx, triggerFirst) {
		dispatch.scheduleNext(dispatch.hedgeDelay())
	} else if !dispatch.awaitRetry() {
		return result
	}
	defer func() { dispatch.timer.Stop() }()
	for dispatch.inFlight > 0 || dispatch.stalled {
		select {
		case <-ctx.Done():
			result.mayHaveRun, result.cause = dispatch.possibleRuns > 0, ctx.Err()
			return result
		case <-dispatch.call.server.finished:
			return dispatch.finish(&result)
		case <-dispatch.timer.C:
			if !dispatch.postponeHedge() {
				dispatch.sendOverdue(ctx, &result)
			}
		case finishedAttempt := <-dispatch.outcomes:
			dispatch.inFlight--
			if dispatch.handleOutcome(finishedAttempt, &result) {
				return result
			}
			if dispatch.sendFurther(ctx, finishedAttempt) {
				result.retried = true
			} else if dispatch.inFlight == 0 {
				dispatch.awaitRetry()
			}
		}
	}
	result.mayHaveRun = dispatch.possibleRuns > 0
	return result
}

// finish returns the result of a dispatch that ends with the entry: an answer that has arrived, or what is known of the
// attempts in progress.
func (dispatch *dispatch) finish(result *dispatchResult) dispatchResult {
	for range dispatch.inFlight {
		select {
		case finishedAttempt := <-dispatch.outcomes:
			if dispatch.handleOutcome(finishedAttempt, result) {
				return *result
			}
		default:
		}
	}
	result.mayHaveRun, result.cause, result.reason = dispatch.possibleRuns > 0, errFinished, policy.Stopping
	return *result
}

// sendOverdue sends a hedge, or after a wait the next attempt. If the budget or the targets allow
// none, it waits again.
func (dispatch *dispatch) sendOverdue(ctx context.Context, result *dispatchResult) {
	if dispatch.inFlight > 0 {
		switch {
		case !dispatch.mayAttempt():
		case !dispatch.selectNext():
			dispatch.scheduleNext(connectionRetryDelay)
		case !dispatch.spendBudget(ctx, true):
			// A late hedge that can't make the objective takes the budget from others that can. After that, a
			// request that is still unanswered needs it.
			dispatch.scheduleNext(max(policy.HedgeRetryDelay, time.Until(dispatch.softDeadline)))
		case dispatch.sendNext(ctx, triggerHedge):
			result.hedged = true
		}
		return
	}
	dispatch.setStalled(false)
	dispatch.rankTargets()
	if dispatch.mayAttempt() && dispatch.selectNext() && dispatch.spendBudget(ctx, false) && dispatch.sendNext(ctx, triggerRetry) {
		result.retried = true
		dispatch.scheduleNext(dispatch.hedgeDelay())
		return
	}
	dispatch.awaitRetry()
}

// awaitRetry lets a dispatch without an attempt in progress wait before it looks for a target again.
// It returns false if the dispatch has failed for good.
func (dispatch *dispatch) awaitRetry() bool {
	stall := policy.Stall{
		PossibleRuns: dispatch.possibleRuns, AllowedRuns: dispatch.allowedRuns(), Gathered: dispatch.call.route.HTTP.Gather != nil,
		Waits: dispatch.waits, Remaining: time.Until(dispatch.hardDeadline),
	}
	delay, waits := stall.Delay(rand.Float64())
	if !waits || dispatch.call.server.options.Disabled.Has(policy.MechanismStallWaits) || dispatch.attempts >= maximumStalledAttempts || dispatch.call.isQuarantined() || !dispatch.mayFindTarget() {
		return false
	}
	dispatch.waits++
	dispatch.setStalled(true)
	dispatch.scheduleNext(delay)
	return true
}

// scheduleNext sets the time of the next hedge or attempt. The timer is a new one each time: a reset one may hold
// an earlier tick where the runtime buffers the ticks of timers, and would send a hedge at once.
func (dispatch *dispatch) scheduleNext(delay time.Duration) {
	if dispatch.timer != nil {
		dispatch.timer.Stop()
	}
	dispatch.timer, dispatch.timerAt = time.NewTimer(delay), time.Now().Add(delay)
}

// postponeHedge puts a hedge off if this entry notices late that it is due, so that answers which have arrived are read first.
// An entry that is short of processor time would hedge all shards at once, and be later for it.
func (dispatch *dispatch) postponeHedge() bool {
	late := dispatch.call.server.sender.Lateness().Observe(dispatch.timerAt, time.Now())
	if dispatch.inFlight == 0 || late < pause.LateLimit || dispatch.postponed >= maximumPostponements {
		return false
	}
	dispatch.postponed++
	dispatch.scheduleNext(min(late, maximumPostponement))
	return true
}

// mayFindTarget reports whether the pool has a target that can't have run the request, although it may have
// no room now.
func (dispatch *dispatch) mayFindTarget() bool {
	return slices.ContainsFunc(dispatch.call.server.directory.Pool(dispatch.pool), func(target *httptarget.Target) bool {
		return dispatch.call.isEligible(target) && !target.Leaving() && !slices.Contains(dispatch.possibleRunners, target)
	})
}

// setStalled records whether the dispatch waits without an attempt in progress.
func (dispatch *dispatch) setStalled(stalled bool) {
	if stalled == dispatch.stalled {
		return
	}
	dispatch.stalled = stalled
	if stalled {
		dispatch.call.stalledDispatches.Add(1)
		dispatch.call.notifyStalled()
	} else {
		dispatch.call.stalledDispatches.Add(-1)
	}
}

// sendFurther sends the request to another target after an attempt without a usable answer, and
// reports whether that is a retry. An attempt that got no permit is made at the next target instead;
// its budget was spent before.
func (dispatch *dispatch) sendFurther(ctx context.Context, finishedAttempt finishedAttempt) bool {
	if !dispatch.mayAttempt() {
		return false
	}
	if isLimited(finishedAttempt.outcome) && dispatch.sendNext(ctx, finishedAttempt.trigger) {
		return false
	}
	if dispatch.inFlight > 0 && finishedAttempt.trigger == triggerHedge && wasNotSent(finishedAttempt.outcome) {
		dispatch.scheduleNext(connectionRetryDelay)
		return false
	}
	return dispatch.inFlight == 0 && dispatch.selectNext() && dispatch.spendBudget(ctx, false) && dispatch.sendNext(ctx, triggerRetry)
}

// handleOutcome updates the result by the outcome of an attempt and reports whether it
// ends the dispatch.
func (dispatch *dispatch) handleOutcome(finishedAttempt finishedAttempt, result *dispatchResult) bool {
	result.target = finishedAttempt.target
	dispatch.lock.Lock()
	dispatch.lastFailure = failureReason(finishedAttempt.outcome)
	dispatch.lock.Unlock()
	switch outcome := finishedAttempt.outcome.(type) {
	case *httptarget.Answered:
		result.response = outcome
		dispatch.call.recordAnswer()
		if outcome.Status < http.StatusInternalServerError || !dispatch.repeatable {
			return true
		}
		dispatch.recordFailure(finishedAttempt.target, "failure", zap.Int("status", outcome.Status))
	case *httptarget.Refused:
		if finishedAttempt.charged && wasNotSent(outcome) {
			dispatch.call.server.budgets.Refund(dispatch.pool, dispatch.call.server.uptime())
		}
		dispatch.possibleRuns--
		dispatch.possibleRunners = slices.DeleteFunc(dispatch.possibleRunners, func(target *httptarget.Target) bool { return target == finishedAttempt.target })
		switch outcome.Reason {
		case httptarget.Unreachable:
			dispatch.arrivals--
			result.reason = policy.NoLink
		case httptarget.Busy, httptarget.Withheld:
			dispatch.arrivals--
		case httptarget.Limited:
			dispatch.arrivals--
			dispatch.attempts--
		case httptarget.Shed:
			dispatch.call.server.shardLoads.Observe(dispatch.pool, true, time.Now())
		case httptarget.WrongTarget:
		}
		result.cause = outcome.Cause
		if outcome.Reason == httptarget.WrongTarget {
			dispatch.call.server.directory.Exclude(finishedAttempt.target)
		}
		dispatch.recordFailure(finishedAttempt.target, outcome.Reason.String(), causeField(outcome.Cause))
	case *httptarget.Lost:
		result.cause = outcome.Cause
		dispatch.recordFailure(finishedAttempt.target, "lost", causeField(outcome.Cause))
		dispatch.call.checkCrash(finishedAttempt.target, outcome)
		if !dispatch.repeatable {
			result.mayHaveRun, result.response = true, nil
			return true
		}
	}
	return false
}

func (dispatch *dispatch) recordFailure(target *httptarget.Target, outcome string, fields ...zap.Field) {
	dispatch.call.server.metrics.Outcomes().WithLabelValues(dispatch.pool, outcome).Inc()
	dispatch.call.server.requestLog.attemptFailed(dispatch.call, target, outcome, dispatch.attempts, fields...)
}

// hedgeDelay returns the delay after which a hedge is sent to a second target. If no
// hedge is possible, it returns the time left to the hard deadline.
func (dispatch *dispatch) hedgeDelay() time.Duration {
	if !dispatch.repeatable || dispatch.next >= len(dispatch.order) || dispatch.call.server.options.Disabled.Has(policy.MechanismHedges) {
		return time.Until(dispatch.hardDeadline)
	}
	if dispatch.next == 0 {
		return policy.HedgeRetryDelay
	}
	first, second := &dispatch.candidates[dispatch.order[dispatch.next-1]], &dispatch.candidates[dispatch.order[dispatch.next]]
	return policy.HedgeDelay(first, second, time.Until(dispatch.softDeadline))
}

// rankUntried ranks the remaining targets again by their current condition. It leaves out those that may no longer get the
// request, and adds those that were found or became available since.
func (dispatch *dispatch) rankUntried() {
	now := time.Now()
	dispatch.restoreOmitted()
	dispatch.addFound(now)
	untried := slices.DeleteFunc(dispatch.order[dispatch.next:], func(index int) bool { return !dispatch.mayGet(dispatch.targets[index]) })
	dispatch.order = dispatch.order[:dispatch.next+len(untried)]
	candidates := make([]policy.Candidate, len(untried))
	for position, index := range untried {
		condition := dispatch.targets[index].Condition(now)
		dispatch.candidates[index] = dispatch.candidate(dispatch.targets[index], &condition)
		candidates[position] = dispatch.candidates[index]
	}
	ranked := make([]int, len(untried))
	for position, chosen := range policy.Rank(candidates, randomNumbers(len(candidates))) {
		ranked[position] = untried[chosen]
	}
	copy(untried, ranked)
	dispatch.arrange()
}

// addFound adds the targets that may get the request now and weren't ranked.
func (dispatch *dispatch) addFound(now time.Time) {
	for _, target := range dispatch.call.server.directory.Pool(dispatch.pool) {
		if slices.Contains(dispatch.targets, target) || slices.Contains(dispatch.possibleRunners, target) || !target.Admits(now) || !dispatch.call.isEligible(target) {
			continue
		}
		condition := target.Condition(now)
		dispatch.order = append(dispatch.order, len(dispatch.targets))
		dispatch.targets = append(dispatch.targets, target)
		dispatch.candidates = append(dispatch.candidates, dispatch.candidate(target, &condition))
		dispatch.releases.add(condition.Fresh)
	}
}

// mayAttempt reports whether another attempt is allowed by the route and the time left,
// has a target to go to, and would not send a quarantined request.
func (dispatch *dispatch) mayAttempt() bool {
	maximum := maximumAttempts
	if dispatch.waits > 0 {
		maximum = maximumStalledAttempts
	}
	return dispatch.possibleRuns < dispatch.allowedRuns() && dispatch.attempts < maximum && dispatch.inFlight < maximumAttempts && dispatch.next < len(dispatch.order) && time.Now().Before(dispatch.hardDeadline) && !dispatch.call.isQuarantined()
}

// allowedRuns returns the number of targets that may run the request.
func (dispatch *dispatch) allowedRuns() int {
	if !dispatch.repeatable {
		return 1
	}
	return max(1, dispatch.call.route.HTTP.MaxAttempts)
}

// spendBudget charges a hedge or retry to the pool's budget and reports whether it is
// allowed. An attempt is free as long as no earlier one may have reached a target.
func (dispatch *dispatch) spendBudget(ctx context.Context, isHedge bool) bool {
	dispatch.charged = false
	if dispatch.arrivals == 0 {
		return true
	}
	server := dispatch.call.server
	if server.budgets.Spend(dispatch.pool, isHedge, server.entryCount(), server.uptime()) {
		dispatch.charged = true
		return true
	}
	if server.spendSharedBudget(ctx, dispatch.pool, isHedge) {
		return true
	}
	dispatch.lock.Lock()
	dispatch.budgetDenied = true
	dispatch.lock.Unlock()
	return false
}

// selectNext makes the best untried target that can get the request now the next one, and reports whether there is
// one. Before any attempt but the first it ranks the untried targets again.
func (dispatch *dispatch) selectNext() bool {
	if dispatch.next > 0 && dispatch.next < len(dispatch.order) {
		dispatch.rankUntried()
	}
	if dispatch.next >= len(dispatch.order) {
		return false
	}
	now := time.Now()
	pool := dispatch.call.routeIndex.routes.Pool(dispatch.pool)
	untried := dispatch.order[dispatch.next:]
	selected := slices.IndexFunc(untried, func(index int) bool {
		target := dispatch.targets[index]
		return target.Admits(now) && dispatch.mayGet(target) && target.HasConnection(dispatch.call.server.connectionLimit(pool, target))
	})
	if selected < 0 {
		return false
	}
	chosen := untried[selected]
	copy(untried[1:selected+1], untried[:selected])
	untried[0] = chosen
	return true
}

// sendNext sends the request to the next target that can get it, and reports whether there was one. The outcome
// arrives on dispatch.outcomes.
func (dispatch *dispatch) sendNext(ctx context.Context, trigger string) bool {
	if !dispatch.selectNext() {
		return false
	}
	server := dispatch.call.server
	pool := dispatch.call.routeIndex.routes.Pool(dispatch.pool)
	target, sending := dispatch.targets[dispatch.order[dispatch.next]], dispatch.newSending(dispatch.order[dispatch.next])
	dispatch.lock.Lock()
	dispatch.sentAttempts = append(dispatch.sentAttempts, sentAttempt{target: target.ID(), elapsed: time.Since(dispatch.call.startedAt), expectedLatency: dispatch.candidates[dispatch.order[dispatch.next]].ExpectedLatency(), trigger: trigger})
	dispatch.lock.Unlock()
	dispatch.next++
	dispatch.attempts++
	dispatch.arrivals++
	dispatch.possibleRuns++
	dispatch.possibleRunners = append(dispatch.possibleRunners, target)
	dispatch.inFlight++
	dispatch.arrange()
	dispatch.call.attempts.Add(1)
	server.requestMetrics.countAttempt(dispatch.pool, trigger)
	limit := server.connectionLimit(pool, target)
	charged := dispatch.charged
	dispatch.charged = false
	server.workers.run(func() {
		var outcome httptarget.Outcome = &httptarget.Lost{Sent: true, Cause: errPanicked}
		defer func() {
			dispatch.outcomes <- finishedAttempt{target: target, outcome: outcome, trigger: trigger, charged: charged}
		}()
		ctx, span := tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
		defer span.End()
		startedAt := time.Now()
		if withheld := server.sender.Withhold(ctx, target, &dispatch.call.request); withheld != nil {
			outcome = withheld
			return
		}
		if !server.acquirePermit(ctx, pool, target, trigger == triggerHedge) {
			outcome = &httptarget.Refused{Reason: httptarget.Limited}
			return
		}
		// A permit may have taken a while.
		if !dispatch.mayGet(target) {
			outcome = &httptarget.Refused{Reason: httptarget.Limited}
			return
		}
		outcome = dispatch.send(ctx, sending, limit)
		server.requestMetrics.observeAttempt(server.locality(target.FailureDomain()), outcome, time.Since(startedAt))
	})
	return true
}

func isLimited(outcome httptarget.Outcome) bool {
	refused, isRefused := outcome.(*httptarget.Refused)
	return isRefused && refused.Reason == httptarget.Limited
}

// wasNotSent reports whether an attempt ended before anything reached its target.
func wasNotSent(outcome httptarget.Outcome) bool {
	refused, isRefused := outcome.(*httptarget.Refused)
	return isRefused && (refused.Reason == httptarget.Busy || refused.Reason == httptarget.Unreachable || refused.Reason == httptarget.Withheld)
}

// missingReason returns why the dispatch has no part so far, as a label value.
func (dispatch *dispatch) missingReason() string {
	dispatch.lock.Lock()
	defer dispatch.lock.Unlock()
	switch {
	case dispatch.budgetDenied:
		return missingWithoutBudget
	case dispatch.lastFailure != "":
		return dispatch.lastFailure
	}
	return missingLate
}

// String formats the attempts for the log.
func (dispatch *dispatch) String() string {
	dispatch.lock.Lock()
	defer dispatch.lock.Unlock()
	var text strings.Builder
	text.WriteString(dispatch.pool)
	for _, attempt := range dispatch.sentAttempts {
		fmt.Fprintf(&text, " %s:%s@%s~%s", attempt.trigger, attempt.target, attempt.elapsed.Round(time.Millisecond), attempt.expectedLatency.Round(time.Millisecond))
	}
	if dispatch.budgetDenied {
		text.WriteString(" budget-used-up")
	}
	return text.String()
}
