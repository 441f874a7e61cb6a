// Queries over shards: the request is sent to one target of each shard, each of
// which answers with a part, and the response contains the greatest records of all
// parts.

package httpcaller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

type (
	// query is a request in progress that is sent to several shards.
	query struct {
		call *call
		// shards holds the name of each shard's pool.
		shards  []string
		results chan dispatchResult
		// unanswered holds the dispatches without a usable response so far, by the name
		// of the shard's pool.
		unanswered map[string]*dispatch
		// omitted holds the pools of shards that can't serve all queries, and to which this one wasn't sent.
		omitted []string
		// unsent holds the reasons why nothing was sent to some shards.
		unsent []policy.Reason
		// availableAt is when each of these shards that has targets may be asked again.
		availableAt  time.Time
		parts        [][]byte
		proofs       []string
		failedShards int
		// pending counts the dispatches in progress.
		pending    int
		mayHaveRun bool
		// reason is why the last shard without a part has none.
		reason  policy.Reason
		hedges  int
		retries int
	}
)

// gather sends the request to one target of each shard and responds with the parts
// received by the time that the policy chooses. If these aren't enough, it refuses the
// request, or reports it as lost if a target may have run it.
func (call *call) gather(writer http.ResponseWriter) {
	gather := call.route.HTTP.Gather
	query := &query{call: call, shards: gather.Pools, results: make(chan dispatchResult, len(gather.Pools)), unanswered: map[string]*dispatch{}}
	progress := &policy.QueryProgress{
		TargetLatency: call.route.HTTP.TargetLatency.Std(), Limit: call.timeout, Shards: len(gather.Pools), MinimumCoverage: gather.MinimumCoverage,
	}
	call.stalledChanged = make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(call.ctx)
	defer cancel()
	if reason := query.start(ctx, progress); reason != 0 {
		call.refuseUntil(writer, reason, query.availableAt)
		return
	}
	decision := query.collect(progress)
	cancel()
	call.server.requestMetrics.countMissingParts(query)
	switch {
	case call.ctx.Err() != nil:
		call.abort()
	case decision == policy.Answer:
		query.respond(writer, progress)
	case (query.mayHaveRun || query.pending > 0) && !call.request.Withdraw():
		call.reportLost(writer, &dispatchResult{reason: policy.TooLate, mayHaveRun: query.mayHaveRun}, query.fields()...)
	case query.reason == policy.NoLink:
		call.refuse(writer, policy.NoLink)
	default:
		call.refuse(writer, policy.NoRoom)
	}
}

// start dispatches the request to every shard. If the minimum coverage can't be
// reached, it sends nothing and returns the reason.
func (query *query) start(ctx context.Context, progress *policy.QueryProgress) policy.Reason {
	server := query.call.server
	softTimeout := progress.TargetLatency
	if softTimeout <= 0 {
		softTimeout = query.call.timeout
	}
	dispatches := make([]*dispatch, 0, len(query.shards))
	reason := policy.Reason(0)
	for _, pool := range query.shards {
		server.budgets.Count(pool, server.uptime())
		dispatch := query.call.newDispatch(pool, softTimeout-policy.ResponseMargin)
		if refusalReason := dispatch.refusalReason(); refusalReason != 0 {
			query.failedShards++
			query.unsent = append(query.unsent, refusalReason)
			reason = refusalReason
			if dispatch.availableAt.After(query.availableAt) {
				query.availableAt = dispatch.availableAt
			}
			continue
		}
		dispatches = append(dispatches, dispatch)
	}
	progress.Failed = query.failedShards
	if decision, _ := progress.Decide(); decision == policy.GiveUp {
		return reason
	}
	if query.call.cutShort && !policy.EndsBeforeStop(query.usualLatency(dispatches), true, query.call.remaining()) {
		return policy.Stopping
	}
	dispatches, admitted := query.omitShards(dispatches, progress)
	if !admitted {
		return policy.NoRoom
	}
	for _, dispatch := range dispatches {
		query.unanswered[dispatch.pool] = dispatch
		query.pending++
		server.workers.run(func() {
			result := dispatchResult{pool: dispatch.pool, mayHaveRun: true, cause: errPanicked}
			defer func() { query.results <- result }()
			result = dispatch.execute(ctx)
		})
	}
	return 0
}

// usualLatency returns the time within which the query is usually answered: that of the slowest shard, or the target
// latency, at which late shards are left out.
func (query *query) usualLatency(dispatches []*dispatch) time.Duration {
	slowest := time.Duration(0)
	for _, dispatch := range dispatches {
		usual, _ := dispatch.usualLatency()
		slowest = max(slowest, usual)
	}
	if target := query.call.route.HTTP.TargetLatency.Std(); target > 0 {
		return min(slowest, target)
	}
	return slowest
}

// omitShards returns the dispatches without those to shards that can't serve all queries, or false if too few would
// be left.
func (query *query) omitShards(dispatches []*dispatch, progress *policy.QueryProgress) ([]*dispatch, bool) {
	pools := make([]string, len(dispatches))
	for index, dispatch := range dispatches {
		pools[index] = dispatch.pool
	}
	if query.call.server.options.Disabled.Has(policy.MechanismShardShares) {
		return dispatches, true
	}
	shares := query.call.server.shardLoads.Shares(pools, time.Now())
	omitted, admitted := policy.OmitShards(shares, len(dispatches)-progress.MinimumParts(), rand.Float64())
	for _, index := range omitted {
		query.omitted = append(query.omitted, pools[index])
		query.failedShards++
		dispatches[index] = nil
	}
	return slices.DeleteFunc(dispatches, func(dispatch *dispatch) bool { return dispatch == nil }), admitted
}

// collect receives results until the policy decides to respond or to give up, or until
// the call's context ends, and returns the decision. The end of the context counts as
// giving up.
func (query *query) collect(progress *policy.QueryProgress) policy.QueryDecision {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		progress.Elapsed, progress.PartsReceived, progress.Failed = time.Since(query.call.startedAt), len(query.parts), query.failedShards
		progress.Stalled = int(query.call.stalledDispatches.Load())
		decision, until := progress.Decide()
		if decision != policy.Wait {
			return decision
		}
		timer.Reset(max(0, until-progress.Elapsed))
		select {
		case <-query.call.ctx.Done():
			return policy.GiveUp
		case <-query.call.server.finished:
			return progress.DecideNow()
		case result := <-query.results:
			query.addResult(&result)
		case <-query.call.stalledChanged:
		case <-timer.C:
		}
	}
}

// notifyStalled wakes the collector of a query, because a dispatch has begun to wait.
func (call *call) notifyStalled() {
	select {
	case call.stalledChanged <- struct{}{}:
	default:
	}
}

// addResult records the result of one shard. Only a successful response that carries
// a proof counts as a part.
func (query *query) addResult(result *dispatchResult) {
	query.pending--
	if result.hedged {
		query.hedges++
	}
	if result.retried {
		query.retries++
	}
	response := result.response
	if response == nil || response.Status < http.StatusOK || response.Status >= http.StatusMultipleChoices || response.Proof == "" {
		query.failedShards++
		query.reason = result.reason
		query.mayHaveRun = query.mayHaveRun || result.mayHaveRun || response != nil
		return
	}
	delete(query.unanswered, result.pool)
	query.call.server.shardLoads.Observe(result.pool, false, time.Now())
	query.parts = append(query.parts, response.Body)
	query.proofs = append(query.proofs, response.Proof)
	query.mayHaveRun = true
}

// respond writes the greatest records of the parts received.
func (query *query) respond(writer http.ResponseWriter, progress *policy.QueryProgress) {
	call := query.call
	headers := &call.server.options.Headers
	body := policy.MergeGreatest(query.parts, call.route.HTTP.Gather.Top)
	header := writer.Header()
	header.Set(headers.PartProofs, strings.Join(query.proofs, ", "))
	header.Set(headers.MissingParts, strconv.Itoa(len(query.shards)-len(query.parts)))
	header.Set(headers.RequestID, call.request.ID)
	header.Set("Content-Type", "application/octet-stream")
	call.writeResponse(writer, http.StatusOK, body)
	call.server.metrics.Coverage().WithLabelValues(call.route.Kind).Observe(float64(progress.PartsReceived) / float64(progress.Shards))
	outcome := outcomeAnswered
	if len(query.parts) < len(query.shards) {
		outcome = outcomePartial
	}
	call.server.requestMetrics.observeRequest(call, outcome, noReason)
	call.server.requestLog.queryAnswered(call, query)
}
