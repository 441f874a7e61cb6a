// What is counted of requests and attempts.

package httpcaller

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
)

const (
	// What became of a request, for metrics.
	outcomeAnswered  = "answered"
	outcomePartial   = "partial"
	outcomeRefused   = "refused"
	outcomeLost      = "lost"
	outcomeWrong     = "wrong"
	outcomeCancelled = "cancelled"

	noReason = "none"
)

type (
	// measures holds the series of attempts, because a look-up by labels takes a
	// twentieth of an attempt's time.
	measures struct {
		metrics  *metrics.Metrics
		attempts series[prometheus.Counter]
		sent     series[prometheus.Observer]
	}

	// series finds what was made for two labels.
	series[Metric any] struct {
		known sync.Map
	}
)

func (series *series[Metric]) of(labels [2]string, create func(labels ...string) Metric) Metric {
	known, found := series.known.Load(labels)
	if !found {
		known, _ = series.known.LoadOrStore(labels, create(labels[0], labels[1]))
	}
	return known.(Metric) //nolint:forcetypeassert // holds nothing else
}

// attempt counts an attempt that is sent.
func (measures *measures) attempt(pool, why string) {
	measures.attempts.of([2]string{pool, why}, measures.metrics.Attempts().WithLabelValues).Inc()
}

// outcome observes what an attempt came to.
func (measures *measures) outcome(place place, outcome httptarget.Outcome, span time.Duration) {
	measures.sent.of([2]string{string(place), nameOf(outcome)}, measures.metrics.Sent().WithLabelValues).Observe(span.Seconds())
}

// request observes the end of a request.
func (measures *measures) request(call *call, outcome, reason string) {
	measures.metrics.Requests().WithLabelValues(call.kind(), outcome, reason).Observe(time.Since(call.begun).Seconds())
}

func nameOf(outcome httptarget.Outcome) string {
	switch outcome := outcome.(type) {
	case *httptarget.Refused:
		return outcome.Reason.String()
	case *httptarget.Lost:
		return outcomeLost
	}
	return outcomeAnswered
}

// BudgetsLeft returns by pool how many hedges and retries this entry may still
// send.
func (server *Server) BudgetsLeft() map[string]float64 {
	return server.budgets.Left(server.entries(), server.elapsed())
}

// kind names the route, "" where none was found.
func (call *call) kind() string {
	if call.route == nil {
		return ""
	}
	return call.route.Kind
}
