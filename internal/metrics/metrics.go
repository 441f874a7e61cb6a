// Package metrics holds the counters and gauges of a process, in the form
// that Prometheus scrapes.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const (
	namespace = "comfreythread"
)

type (
	// Metrics holds a process's metrics. Construct it with New.
	Metrics struct {
		registry *prometheus.Registry
		// Attempts counts runs sent to targets, by pool and by why: first,
		// hedge or retry.
		attempts *prometheus.CounterVec
		outcomes *prometheus.CounterVec
		refusals *prometheus.CounterVec
		sheds    *prometheus.CounterVec
		dropped  *prometheus.CounterVec
		queue    *prometheus.HistogramVec
		slots    *prometheus.GaugeVec
		coverage *prometheus.HistogramVec
		latency  *prometheus.HistogramVec
		version  prometheus.Gauge
		view     prometheus.Gauge
		fenced   prometheus.Gauge
		moved    prometheus.Counter
		changes  *prometheus.CounterVec
		synced   *prometheus.CounterVec
		lag      prometheus.Gauge
		unlogged prometheus.Counter
		requests *prometheus.HistogramVec
		sent     *prometheus.HistogramVec
		disk     prometheus.Histogram
	}
)

// New returns metrics in a registry of their own.
func New() *Metrics {
	metrics := &Metrics{
		registry: prometheus.NewRegistry(),
		attempts: counter("attempts_total", "Runs sent to targets.", "pool", "why"),
		outcomes: counter("attempt_outcomes_total", "What became of attempts.", "pool", "outcome"),
		refusals: counter("refusals_total", "Refusals sent to callers.", "kind"),
		sheds:    counter("sheds_total", "Runs that targets shed.", "pool", "reason"),
		dropped:  counter("dropped_answers_total", "Late, crossed or damaged answers that were dropped.", "reason"),
		queue:    histogram("queue_seconds", "Time that runs waited for a slot.", prometheus.ExponentialBuckets(0.0005, 2, 14), "pool"),
		slots:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "slots_in_use", Help: "Runs in progress at targets."}, []string{"pool"}),
		coverage: histogram("coverage_ratio", "Covered share of shards in answers.", prometheus.LinearBuckets(0, 0.1, 11), "kind"),
		latency:  histogram("request_seconds", "Time from a request to its answer or refusal.", prometheus.ExponentialBuckets(0.0005, 2, 16), "kind"),
		version:  prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "tables_version", Help: "Version of the tables in force."}),
		view:     prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "view_number", Help: "Number of the view of entries."}),
		fenced:   prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "fenced", Help: "1 while the entry holds no lease."}),
		moved:    prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "targets_moved_total", Help: "Targets that this entry gave up to another home."}),
		changes:  counter("directory_changes_total", "Changes of the directory of targets.", "from"),
		synced:   counter("directory_exchanges_total", "Exchanges of directory digests with peers.", "result"),
		unlogged: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "log_lines_left_out_total", Help: "Log lines about requests that were left out because there were many of their kind."}),
		requests: histogram("http_request_seconds", "Time from a request of an HTTP route to its end, by what became of it and why.", prometheus.ExponentialBuckets(0.001, 2, 14), "route", "outcome", "reason"),
		sent:     histogram("http_attempt_seconds", "Time of attempts at targets of HTTP routes, by where the target stands and what came of it.", prometheus.ExponentialBuckets(0.001, 2, 12), "place", "outcome"),
		disk:     prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "disk_sync_seconds", Help: "Time of syncs of the log file.", Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16)}),
		lag:      prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "directory_unequal_seconds", Help: "Time since the directory was last equal to a peer's."}),
	}
	metrics.registry.MustRegister(
		metrics.attempts, metrics.outcomes, metrics.refusals, metrics.sheds, metrics.dropped,
		metrics.queue, metrics.slots, metrics.coverage, metrics.latency,
		metrics.version, metrics.view, metrics.fenced,
		metrics.moved, metrics.changes, metrics.synced, metrics.lag, metrics.unlogged,
		metrics.requests, metrics.sent, metrics.disk,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return metrics
}

// Registry returns the registry to scrape.
func (metrics *Metrics) Registry() *prometheus.Registry { return metrics.registry }

// Attempts counts runs sent to targets, by pool and why.
func (metrics *Metrics) Attempts() *prometheus.CounterVec { return metrics.attempts }

// Outcomes counts what became of attempts, by pool and outcome.
func (metrics *Metrics) Outcomes() *prometheus.CounterVec { return metrics.outcomes }

// Refusals counts refusals, by kind.
func (metrics *Metrics) Refusals() *prometheus.CounterVec { return metrics.refusals }

// Sheds counts sheds, by pool and reason.
func (metrics *Metrics) Sheds() *prometheus.CounterVec { return metrics.sheds }

// Dropped counts answers that were dropped, by reason.
func (metrics *Metrics) Dropped() *prometheus.CounterVec { return metrics.dropped }

// Queue observes the time that runs waited, by pool, in seconds.
func (metrics *Metrics) Queue() *prometheus.HistogramVec { return metrics.queue }

// Slots counts runs in progress, by pool.
func (metrics *Metrics) Slots() *prometheus.GaugeVec { return metrics.slots }

// Coverage observes the covered share, by kind of request.
func (metrics *Metrics) Coverage() *prometheus.HistogramVec { return metrics.coverage }

// Latency observes the time to the answer, by kind of request, in seconds.
func (metrics *Metrics) Latency() *prometheus.HistogramVec { return metrics.latency }

// Version is the version of the tables in force.
func (metrics *Metrics) Version() prometheus.Gauge { return metrics.version }

// View is the number of the view of entries.
func (metrics *Metrics) View() prometheus.Gauge { return metrics.view }

// Fenced is 1 while the entry holds no lease.
func (metrics *Metrics) Fenced() prometheus.Gauge { return metrics.fenced }

// Moved counts targets that this entry gave up to another home.
func (metrics *Metrics) Moved() prometheus.Counter { return metrics.moved }

// Changes counts changes of the directory, by where they came from.
func (metrics *Metrics) Changes() *prometheus.CounterVec { return metrics.changes }

// Synced counts exchanges of directory digests, by result.
func (metrics *Metrics) Synced() *prometheus.CounterVec { return metrics.synced }

// Lag is the time since the directory was last equal to a peer's, in seconds.
func (metrics *Metrics) Lag() prometheus.Gauge { return metrics.lag }

// Unlogged counts log lines about requests that were left out.
func (metrics *Metrics) Unlogged() prometheus.Counter { return metrics.unlogged }

// Requests observes requests of HTTP routes, by route, outcome and reason, in
// seconds.
func (metrics *Metrics) Requests() *prometheus.HistogramVec { return metrics.requests }

// Sent observes attempts of HTTP routes, by the place of the target and outcome,
// in seconds.
func (metrics *Metrics) Sent() *prometheus.HistogramVec { return metrics.sent }

// Disk observes syncs of the log file, in seconds.
func (metrics *Metrics) Disk() prometheus.Histogram { return metrics.disk }

// Func offers a number that is read when metrics are scraped.
func (metrics *Metrics) Func(name, help string, read func() float64) {
	metrics.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// FuncVec offers numbers by one label that are read when metrics are scraped.
func (metrics *Metrics) FuncVec(name, help, label string, read func() map[string]float64) {
	metrics.registry.MustRegister(&scraped{description: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{label}, nil), read: read})
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
}
