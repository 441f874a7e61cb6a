// Package metrics defines the Prometheus metrics of a process.
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
		// attempts counts runs sent to targets, by pool and by the reason of the attempt: first,
		// hedge or retry.
		attempts           *prometheus.CounterVec
		outcomes           *prometheus.CounterVec
		refusals           *prometheus.CounterVec
		sheds              *prometheus.CounterVec
		droppedAnswers     *prometheus.CounterVec
		queueWait          *prometheus.HistogramVec
		slotsInUse         *prometheus.GaugeVec
		coverage           *prometheus.HistogramVec
		latency            *prometheus.HistogramVec
		tablesVersion      prometheus.Gauge
		viewNumber         prometheus.Gauge
		fenced             prometheus.Gauge
		targetsMoved       prometheus.Counter
		directoryChanges   *prometheus.CounterVec
		directoryExchanges *prometheus.CounterVec
		directoryUnequal   prometheus.Gauge
		logLinesLeftOut    prometheus.Counter
		httpRequests       *prometheus.HistogramVec
		httpAttempts       *prometheus.HistogramVec
		diskSync           prometheus.Histogram
		missingParts       *prometheus.CounterVec
		panics             prometheus.Counter
		targetWords        *prometheus.CounterVec
		permits            *prometheus.CounterVec
		allotments         *prometheus.CounterVec
		relayedAttempts    *prometheus.CounterVec
		unwantedAttempts   *prometheus.CounterVec
		unwantedCalls      *prometheus.CounterVec
		tenantRequests     *prometheus.CounterVec
		rolloutAttempts    *prometheus.CounterVec
		entryGrants        *prometheus.CounterVec
		rolloutReports     *prometheus.CounterVec
		rolloutOrders      *prometheus.CounterVec
		rolloutPhases      *prometheus.CounterVec
		rolloutGrants      prometheus.Counter
		groupChanges       *prometheus.CounterVec
		admissionWaiting   prometheus.Gauge
		admissionWait      *prometheus.HistogramVec
		admissionRefusals  *prometheus.CounterVec
		clientsDropped     *prometheus.CounterVec
	}
)

// New returns the metrics, registered in a new registry.
func New() *Metrics {
	metrics := &Metrics{
		registry:           prometheus.NewRegistry(),
		attempts:           counter("attempts_total", "Runs sent to targets.", "pool", "why"),
		outcomes:           counter("attempt_outcomes_total", "What became of attempts.", "pool", "outcome"),
		refusals:           counter("refusals_total", "Refusals sent to callers.", "kind"),
		sheds:              counter("sheds_total", "Runs that targets shed.", "pool", "reason"),
		droppedAnswers:     counter("dropped_answers_total", "Late, crossed or damaged answers that were dropped.", "reason"),
		queueWait:          histogram("queue_seconds", "Time that runs waited for a slot.", prometheus.ExponentialBuckets(0.0005, 2, 14), "pool"),
		slotsInUse:         prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "slots_in_use", Help: "Runs in progress at targets."}, []string{"pool"}),
		coverage:           histogram("coverage_ratio", "Covered share of shards in answers.", prometheus.LinearBuckets(0, 0.1, 11), "kind"),
		latency:            histogram("request_seconds", "Time from a request to its answer or refusal.", prometheus.ExponentialBuckets(0.0005, 2, 16), "kind"),
		tablesVersion:      prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "tables_version", Help: "Version of the tables in force."}),
		viewNumber:         prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "view_number", Help: "Number of the view of entries."}),
		fenced:             prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "fenced", Help: "1 while the entry holds no lease."}),
		targetsMoved:       prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "targets_moved_total", Help: "Targets that this entry gave up to another home."}),
		directoryChanges:   counter("directory_changes_total", "Changes of the directory of targets.", "from"),
		directoryExchanges: counter("directory_exchanges_total", "Exchanges of directory digests with peers.", "result"),
		logLinesLeftOut:    prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "log_lines_left_out_total", Help: "Log lines about requests that were left out because there were many of their kind."}),
		httpRequests:       histogram("http_request_seconds", "Time from a request of an HTTP route to its end, by what became of it and why.", prometheus.ExponentialBuckets(0.001, 2, 14), "route", "outcome", "reason"),
		httpAttempts:       histogram("http_attempt_seconds", "Time of attempts at targets of HTTP routes, by where the target stands and what came of it.", prometheus.ExponentialBuckets(0.001, 2, 12), "place", "outcome"),
		diskSync:           prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "disk_sync_seconds", Help: "Time of syncs of the log file.", Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16)}),
		missingParts:       counter("missing_parts_total", "Shards without a part in the answers to queries of HTTP routes, and in those given up.", "route", "reason"),
		panics:             prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "panics_total", Help: "Tasks of requests and calls of peers that hit a defect of the program."}),
		targetWords:        counter("target_words_total", "What targets of HTTP routes said of themselves in answers.", "word"),
		permits:            counter("permits_total", "Permits for requests to targets with a rate limit.", "result"),
		allotments:         counter("allotments_total", "Requests of tenants with a rate, by what was decided and how.", "result", "way"),
		relayedAttempts:    counter("relayed_attempts_total", "Attempts at targets of HTTP routes that this entry made through other entries.", "result"),
		unwantedAttempts:   counter("unwanted_attempts_total", "Attempts that weren't sent because nobody waited for them any more, by way.", "way"),
		unwantedCalls:      counter("unwanted_calls_total", "Calls of other processes that weren't begun, because they had been given up or may have been, by method and reason.", "method", "reason"),
		tenantRequests:     counter("tenant_requests_total", "Requests of HTTP routes by tenant; those with the lowest rates together as other.", "tenant", "outcome"),
		rolloutAttempts:    counter("rollout_attempts_total", "Attempts that reached targets of pools with a rollout in progress, by its phase and by whether the target has the new release.", "phase", "side"),
		entryGrants:        counter("rollout_entry_grants_total", "Grants of attempts at new releases, as this entry got and used them.", "event"),
		rolloutReports:     counter("rollout_reports_total", "Reports of rollouts to control.", "result"),
		rolloutOrders:      counter("rollout_orders_total", "Orders of rollouts, by what became of them.", "outcome"),
		rolloutPhases:      counter("rollout_phases_total", "Phases that rollouts entered after the first.", "phase"),
		rolloutGrants:      prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "rollout_grants_total", Help: "Grants of requests to new releases that entries got."}),
		groupChanges:       counter("group_changes_total", "Changes of members of the control group that this replica made as leader.", "change", "reason"),
		admissionWaiting:   prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "admission_waiting", Help: "Requests of HTTP routes that wait for a place."}),
		admissionWait:      histogram("admission_wait_seconds", "Time that requests of HTTP routes waited for a place, by what ended it.", prometheus.ExponentialBuckets(0.001, 2, 14), "end"),
		admissionRefusals:  counter("admission_refusals_total", "Requests of HTTP routes that were refused while a limit of requests in progress was reached.", "reason"),
		clientsDropped:     counter("clients_dropped_total", "Connections of clients that were closed for lack of memory or descriptors.", "listener", "reason"),
		directoryUnequal:   prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "directory_unequal_seconds", Help: "Time since the directory was last equal to a peer's."}),
	}
	metrics.registry.MustRegister(
		metrics.attempts, metrics.outcomes, metrics.refusals, metrics.sheds, metrics.droppedAnswers,
		metrics.queueWait, metrics.slotsInUse, metrics.coverage, metrics.latency,
		metrics.tablesVersion, metrics.viewNumber, metrics.fenced,
		metrics.targetsMoved, metrics.directoryChanges, metrics.directoryExchanges, metrics.directoryUnequal, metrics.logLinesLeftOut,
		metrics.httpRequests, metrics.httpAttempts, metrics.diskSync, metrics.missingParts, metrics.panics, metrics.targetWords, metrics.permits, metrics.allotments, metrics.relayedAttempts, metrics.unwantedAttempts, metrics.unwantedCalls, metrics.tenantRequests,
		metrics.rolloutAttempts, metrics.entryGrants, metrics.rolloutReports,
		metrics.rolloutOrders, metrics.rolloutPhases, metrics.rolloutGrants, metrics.groupChanges,
		metrics.admissionWaiting, metrics.admissionWait, metrics.admissionRefusals, metrics.clientsDropped,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return metrics
}

// Registry returns the registry to scrape.
func (metrics *Metrics) Registry() *prometheus.Registry { return metrics.registry }

// Attempts counts runs sent to targets, by pool and by the reason of the attempt: first, hedge or
// retry.
func (metrics *Metrics) Attempts() *prometheus.CounterVec { return metrics.attempts }

// Outcomes counts completed attempts, by pool and outcome.
func (metrics *Metrics) Outcomes() *prometheus.CounterVec { return metrics.outcomes }

// Refusals counts refusals sent to callers, by kind.
func (metrics *Metrics) Refusals() *prometheus.CounterVec { return metrics.refusals }

// Sheds counts runs that targets shed, by pool and reason.
func (metrics *Metrics) Sheds() *prometheus.CounterVec { return metrics.sheds }

// MissingParts counts the shards without a part in the answers to queries of HTTP routes, and in those
// given up, by route and reason.
func (metrics *Metrics) MissingParts() *prometheus.CounterVec { return metrics.missingParts }

// Panics counts the tasks of requests and the calls of peers that panicked.
func (metrics *Metrics) Panics() prometheus.Counter { return metrics.panics }

// TargetWords counts what targets of HTTP routes said of themselves in answers: leaving, pause, limit and
// limit_lifted, invalid_pause and invalid_limit.
func (metrics *Metrics) TargetWords() *prometheus.CounterVec { return metrics.targetWords }

// Permits counts the permits that this entry wanted for requests to targets with a rate limit, by result: granted
// or refused, by the target's home or, as granted_separately and refused_separately, by this entry without it.
func (metrics *Metrics) Permits() *prometheus.CounterVec { return metrics.permits }

// Allotments counts the requests of tenants with a rate, by result (granted or refused) and way: by credit, the word
// of the tenant's home from before; asked, the home's reply; or separate, this entry's own part without the home.
func (metrics *Metrics) Allotments() *prometheus.CounterVec { return metrics.allotments }

// RelayedAttempts counts the attempts that this entry made through other entries because it had no link to the
// target, by result.
func (metrics *Metrics) RelayedAttempts() *prometheus.CounterVec { return metrics.relayedAttempts }

// UnwantedAttempts counts the attempts at targets of HTTP routes that weren't sent because their callers had left, or their
// requests were decided, by way: direct, relayed, or open before it was chosen.
func (metrics *Metrics) UnwantedAttempts() *prometheus.CounterVec { return metrics.unwantedAttempts }

// UnwantedCalls counts the calls of other processes that weren't begun, by method and reason: given up, or late, so that
// they may have been given up.
func (metrics *Metrics) UnwantedCalls() *prometheus.CounterVec { return metrics.unwantedCalls }

// TenantRequests counts requests on HTTP routes by tenant and outcome. Tenants without a series of their own
// are counted together as other.
func (metrics *Metrics) TenantRequests() *prometheus.CounterVec { return metrics.tenantRequests }

// RolloutAttempts counts the attempts that reached targets of pools with a rollout in progress, by phase and by
// side: new or other.
func (metrics *Metrics) RolloutAttempts() *prometheus.CounterVec { return metrics.rolloutAttempts }

// EntryGrants counts the grants of attempts at the new releases of rollouts that this entry got, by event: received, spent, or returned
// to control with a report.
func (metrics *Metrics) EntryGrants() *prometheus.CounterVec { return metrics.entryGrants }

// RolloutReports counts the reports of rollouts to control by result: received or failed.
func (metrics *Metrics) RolloutReports() *prometheus.CounterVec { return metrics.rolloutReports }

// RolloutOrders counts the orders of rollouts that this replica handled as leader, by outcome: started, resent,
// conflict or refused.
func (metrics *Metrics) RolloutOrders() *prometheus.CounterVec { return metrics.rolloutOrders }

// RolloutPhases counts the phase changes of rollouts that this replica made as leader, by the phase entered.
func (metrics *Metrics) RolloutPhases() *prometheus.CounterVec { return metrics.rolloutPhases }

// RolloutGrants counts the grants of requests to new releases that this replica gave as leader.
func (metrics *Metrics) RolloutGrants() prometheus.Counter { return metrics.rolloutGrants }

// GroupChanges counts the changes of members of the control group that this replica made as leader, by kind and reason.
func (metrics *Metrics) GroupChanges() *prometheus.CounterVec { return metrics.groupChanges }

// AdmissionWaiting is the number of requests of HTTP routes that wait for a place.
func (metrics *Metrics) AdmissionWaiting() prometheus.Gauge { return metrics.admissionWaiting }

// AdmissionWait observes the time that requests of HTTP routes waited for a place, by what ended it: admitted,
// displaced, expired or left.
func (metrics *Metrics) AdmissionWait() *prometheus.HistogramVec { return metrics.admissionWait }

// AdmissionRefusals counts requests of HTTP routes that were refused while a limit of requests in progress was
// reached, by reason: late, full, displaced, expired or stopping.
func (metrics *Metrics) AdmissionRefusals() *prometheus.CounterVec { return metrics.admissionRefusals }

// ClientsDropped counts connections of clients that were closed for lack of memory or descriptors, by listener and reason.
func (metrics *Metrics) ClientsDropped() *prometheus.CounterVec { return metrics.clientsDropped }

// DroppedAnswers counts dropped answers, by reason: for example late, damaged, or for another
// attempt.
func (metrics *Metrics) DroppedAnswers() *prometheus.CounterVec { return metrics.droppedAnswers }

// QueueWait observes the time that runs waited for a slot, by pool, in seconds.
func (metrics *Metrics) QueueWait() *prometheus.HistogramVec { return metrics.queueWait }

// SlotsInUse is the number of runs in progress at targets, by pool.
func (metrics *Metrics) SlotsInUse() *prometheus.GaugeVec { return metrics.slotsInUse }

// Coverage observes the covered share of shards in answers, by kind of request.
func (metrics *Metrics) Coverage() *prometheus.HistogramVec { return metrics.coverage }

// Latency observes the time from a request to its answer or refusal, by kind of request, in
// seconds.
func (metrics *Metrics) Latency() *prometheus.HistogramVec { return metrics.latency }

// TablesVersion is the version of the tables in force.
func (metrics *Metrics) TablesVersion() prometheus.Gauge { return metrics.tablesVersion }

// ViewNumber is the number of the current view of entries.
func (metrics *Metrics) ViewNumber() prometheus.Gauge { return metrics.viewNumber }

// Fenced is 1 while the entry holds no lease.
func (metrics *Metrics) Fenced() prometheus.Gauge { return metrics.fenced }

// TargetsMoved counts targets that this entry handed over to another home.
func (metrics *Metrics) TargetsMoved() prometheus.Counter { return metrics.targetsMoved }

// DirectoryChanges counts changes of the directory of targets, by origin.
func (metrics *Metrics) DirectoryChanges() *prometheus.CounterVec { return metrics.directoryChanges }

// DirectoryExchanges counts exchanges of directory digests with peers, by result.
func (metrics *Metrics) DirectoryExchanges() *prometheus.CounterVec {
	return metrics.directoryExchanges
}

// DirectoryUnequal is the time since the directory last matched a peer's, in seconds.
func (metrics *Metrics) DirectoryUnequal() prometheus.Gauge { return metrics.directoryUnequal }

// LogLinesLeftOut counts log lines about requests that were suppressed because there were many of
// their kind.
func (metrics *Metrics) LogLinesLeftOut() prometheus.Counter { return metrics.logLinesLeftOut }

// HTTPRequests observes the duration of requests on HTTP routes, by route, outcome and reason, in
// seconds.
func (metrics *Metrics) HTTPRequests() *prometheus.HistogramVec { return metrics.httpRequests }

// HTTPAttempts observes the duration of attempts at targets of HTTP routes, by the location of the
// target and the outcome, in seconds.
func (metrics *Metrics) HTTPAttempts() *prometheus.HistogramVec { return metrics.httpAttempts }

// DiskSync observes the duration of syncs of the log file, in seconds.
func (metrics *Metrics) DiskSync() prometheus.Histogram { return metrics.diskSync }

// GaugeFunc registers a gauge whose value is read at each scrape.
func (metrics *Metrics) GaugeFunc(name, help string, read func() float64) {
	metrics.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// GaugeFuncVec registers a gauge with one label whose values are read at each scrape, by label
// value.
func (metrics *Metrics) GaugeFuncVec(name, help, label string, read func() map[string]float64) {
	metrics.registry.MustRegister(&gaugeFuncVec{description: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{label}, nil), read: read})
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
}
