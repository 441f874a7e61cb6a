// Metrics of requests and attempts.

package httpcaller

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
)

const (
	// Outcomes of requests, as label values of metrics. An invalid request, which was
	// rejected, is labelled as wrong.
	outcomeAnswered  = "answered"
	outcomePartial   = "partial"
	outcomeRefused   = "refused"
	outcomeLost      = "lost"
	outcomeInvalid   = "wrong"
	outcomeCancelled = "cancelled"

	// missingLate, missingFailed and missingWithoutBudget are reasons for a missing part: no
	// answer in time, an answer that is no part, and no budget for a hedge or retry. The
	// other reasons are those of refusals and the outcomes of attempts.
	missingLate          = "late"
	missingFailed        = "failure"
	missingWithoutBudget = "budget"
	// missingOmitted is the reason for a part of a shard that can't serve all queries, which wasn't asked.
	missingOmitted = "omitted"

	// noReason is the label value of a request that ended without a reason.
	noReason = "none"
)

type (
	// requestMetrics updates the metrics of requests and attempts. It caches the metrics
	// of attempts, because a lookup by labels takes a twentieth of an attempt's time.
	requestMetrics struct {
		metrics   *metrics.Metrics
		attempts  metricCache[prometheus.Counter]
		durations metricCache[prometheus.Observer]
		tenants   tenantMetrics
	}

	// metricCache caches metrics by the values of their two labels.
	metricCache[Metric any] struct {
		cached sync.Map
	}
)

// get returns the metric with the given label values, and creates it on first use.
func (metricCache *metricCache[Metric]) get(labels [2]string, create func(labels ...string) Metric) Metric {
	cached, found := metricCache.cached.Load(labels)
	if !found {
		cached, _ = metricCache.cached.LoadOrStore(labels, create(labels[0], labels[1]))
	}
	return cached.(Metric) //nolint:forcetypeassert // cached holds only Metric values
}

// countAttempt counts a sent attempt.
func (requestMetrics *requestMetrics) countAttempt(pool, trigger string) {
	requestMetrics.attempts.get([2]string{pool, trigger}, requestMetrics.metrics.Attempts().WithLabelValues).Inc()
}

// observeAttempt observes the outcome and duration of an attempt.
func (requestMetrics *requestMetrics) observeAttempt(locality locality, outcome httptarget.Outcome, duration time.Duration) {
	requestMetrics.durations.get([2]string{string(locality), outcomeName(outcome)}, requestMetrics.metrics.HTTPAttempts().WithLabelValues).Observe(duration.Seconds())
}

// observeRequest observes the outcome and duration of a finished request.
func (requestMetrics *requestMetrics) observeRequest(call *call, outcome, reason string) {
	call.outcome = outcome
	requestMetrics.metrics.HTTPRequests().WithLabelValues(call.routeKind(), outcome, reason).Observe(time.Since(call.startedAt).Seconds())
	if call.tenant != nil {
		requestMetrics.tenants.count(requestMetrics.metrics.TenantRequests(), call.tenant.Name, outcome)
	}
}

// countMissingParts counts the shards without a part by reason.
func (requestMetrics *requestMetrics) countMissingParts(query *query) {
	missingParts := requestMetrics.metrics.MissingParts()
	for _, dispatch := range query.unanswered {
		missingParts.WithLabelValues(query.call.routeKind(), dispatch.missingReason()).Inc()
	}
	for range query.omitted {
		missingParts.WithLabelValues(query.call.routeKind(), missingOmitted).Inc()
	}
	for _, reason := range query.unsent {
		missingParts.WithLabelValues(query.call.routeKind(), reason.String()).Inc()
	}
}

// failureReason returns why an attempt with this outcome gives no part, as a label value. An
// attempt ends without an answer at the same time as its query is given up, so that which of the
// two comes first must not matter: both are late.
func failureReason(outcome httptarget.Outcome) string {
	switch outcome := outcome.(type) {
	case *httptarget.Answered:
		return missingFailed
	case *httptarget.Lost:
		if tcp.IsTimeout(outcome.Cause) {
			return missingLate
		}
	}
	return outcomeName(outcome)
}

func outcomeName(outcome httptarget.Outcome) string {
	switch outcome := outcome.(type) {
	case *httptarget.Refused:
		return outcome.Reason.String()
	case *httptarget.Lost:
		return outcomeLost
	}
	return outcomeAnswered
}

// BudgetsLeft returns the number of hedges and retries that this entry may still send
// to each pool.
func (server *Server) BudgetsLeft() map[string]float64 {
	return server.budgets.Remaining(server.entryCount(), server.uptime())
}

// routeKind returns the kind of the matched route, or "" if no route matched.
func (call *call) routeKind() string {
	if call.route == nil {
		return ""
	}
	return call.route.Kind
}
