package bench_test

import (
	"slices"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

const (
	// timelineStep is the period that one point of the timeline covers.
	timelineStep = 250 * time.Millisecond
)

type (
	// figures are the results of one system under one load.
	figures struct {
		requestCount int
		// p50, p99 and p999 are percentiles of the latency of all requests. One without
		// a complete answer counts with its timeout, or its latency if that is longer.
		p50, p99, p999 time.Duration
		// withinBoundShare is the share of requests answered completely within the
		// users' bound on latency.
		withinBoundShare float64
		// meanCoverage is the mean coverage of all requests, where one without an
		// answer counts as zero, and completeShare the share with a complete answer.
		meanCoverage  float64
		completeShare float64
		// extraLoad is the ratio of the attempts that reached targets to the attempts
		// needed, one for each shard of each answer, less one.
		extraLoad    float64
		refusedCount int
		// refusals counts the refusals by kind.
		refusals map[caller.RefusalKind]int
		// failedCount counts the requests with neither an answer nor a refusal.
		failedCount int
		// goodput is the number of complete answers a second within the callers'
		// timeout, and goodputWithinBound within the users' bound on latency.
		goodput, goodputWithinBound float64
		// peakSlotRatio is the largest ratio of a target's concurrent runs to its slots.
		peakSlotRatio float64
		// violations counts the violations of each promise, and exampleDetails describes
		// one of them.
		violations     map[standin.Promise]int
		exampleDetails map[standin.Promise]string
		// timeline is the mean coverage of the requests sent in each timelineStep.
		// Steps without requests are left out.
		timeline []float64
	}
)

// computeFigures computes the figures from the trial's journal of sent requests and
// the records of its targets.
func (trial *trial) computeFigures() *figures {
	measured := &figures{refusals: map[caller.RefusalKind]int{}, violations: map[standin.Promise]int{}, exampleDetails: map[standin.Promise]string{}}
	sentRequests := trial.journal.SentRequests()
	measured.requestCount = len(sentRequests)
	var latencies []time.Duration
	timeline, counts := make([]float64, trial.load.span/timelineStep+1), make([]int, trial.load.span/timelineStep+1)
	neededAttempts, withinBound := 0, 0
	requestIDs := map[string]bool{}
	for index := range sentRequests {
		sent := &sentRequests[index]
		requestIDs[string(sent.Request.ID)] = true
		latency := sent.Received.Sub(sent.Sent)
		coverage := 0.0
		switch {
		case sent.Answer != nil:
			coverage = sent.Answer.Coverage.Share()
			neededAttempts += sent.Answer.Coverage.Total
		case sent.Refusal() != nil:
			measured.refusedCount++
			measured.refusals[sent.Refusal().Kind]++
		default:
			measured.failedCount++
		}
		if coverage == 1 {
			measured.completeShare++
		} else {
			// Otherwise, a quick refusal would count as a short latency.
			latency = max(latency, sent.Request.Timeout.Std())
		}
		if coverage == 1 && latency <= tailBound {
			withinBound++
		}
		measured.meanCoverage += coverage
		latencies = append(latencies, latency)
		step := min(len(timeline)-1, int(sent.Sent.Sub(trial.start)/timelineStep))
		timeline[step] += coverage
		counts[step]++
	}
	for step := range timeline {
		if counts[step] > 0 {
			measured.timeline = append(measured.timeline, timeline[step]/float64(counts[step]))
		}
	}
	total := float64(max(1, len(sentRequests)))
	measured.withinBoundShare = float64(withinBound) / total
	measured.meanCoverage /= total
	measured.completeShare /= total
	measured.goodput = measured.completeShare * total / trial.load.span.Seconds()
	measured.goodputWithinBound = float64(withinBound) / trial.load.span.Seconds()
	measured.p50, measured.p99, measured.p999 = quantile(latencies, 0.5), quantile(latencies, 0.99), quantile(latencies, 0.999)
	trial.addTargetFigures(measured, requestIDs, neededAttempts)
	return measured
}

// addTargetFigures adds the figures that need the records of the targets:
// peakSlotRatio, extraLoad and the violations. requestIDs selects the attempts of
// the measured requests, so that the warm-up doesn't count.
func (trial *trial) addTargetFigures(measured *figures, requestIDs map[string]bool, neededAttempts int) {
	evidence := trial.tier.Evidence(trial.journal)
	attempts := 0
	for index := range evidence.Targets {
		observed := &evidence.Targets[index]
		measured.peakSlotRatio = max(measured.peakSlotRatio, float64(observed.Record.Peak)/float64(observed.Slots))
		for _, arrival := range observed.Record.Arrivals {
			if requestIDs[arrival.RequestID] {
				attempts++
			}
		}
	}
	measured.extraLoad = float64(attempts)/float64(max(1, neededAttempts)) - 1
	for _, violation := range evidence.Violations() {
		measured.violations[violation.Promise]++
		measured.exampleDetails[violation.Promise] = violation.Detail
	}
}

// violationCount returns the number of violations of all promises.
func (figures *figures) violationCount() int {
	count := 0
	for _, violations := range figures.violations {
		count += violations
	}
	return count
}

// quantile returns the latency at the given fraction of the sorted latencies, or zero if
// there are none. It sorts the latencies in place.
func quantile(latencies []time.Duration, fraction float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[min(len(latencies)-1, int(fraction*float64(len(latencies))))]
}
