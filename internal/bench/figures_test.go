package bench_test

import (
	"slices"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

const (
	// timelineStep is the width of one point of the timeline.
	timelineStep = 250 * time.Millisecond
)

type (
	// figures are the results of one system under one load.
	figures struct {
		requests       int
		p50, p99, p999 time.Duration
		// inBound is the share of requests answered completely within the
		// users' bound on latency.
		inBound  float64
		coverage float64
		complete float64
		// extraLoad is the ratio of attempts to needed attempts, less one.
		extraLoad float64
		refused   int
		// refusals counts the refusals by kind.
		refusals map[caller.RefusalKind]int
		failed   int
		// goodput is the number of complete answers a second within the callers'
		// timeout, and goodputInBound within the users' bound on latency.
		goodput, goodputInBound float64
		// peak is the largest ratio of a target's concurrent runs to its slots.
		peak       float64
		violations map[standin.Promise]int
		example    map[standin.Promise]string
		// timeline is the mean coverage of the requests sent in each timelineStep.
		timeline []float64
	}
)

// computeFigures computes the figures from the records.
func (trial *trial) computeFigures() *figures {
	measured := &figures{refusals: map[caller.RefusalKind]int{}, violations: map[standin.Promise]int{}, example: map[standin.Promise]string{}}
	sendings := trial.journal.SentRequests()
	measured.requests = len(sendings)
	var latencies []time.Duration
	timeline, counts := make([]float64, trial.load.span/timelineStep+1), make([]int, trial.load.span/timelineStep+1)
	neededAttempts, inBound := 0, 0
	ids := map[string]bool{}
	for index := range sendings {
		sending := &sendings[index]
		ids[string(sending.Request.ID)] = true
		latency := sending.Received.Sub(sending.Sent)
		share := 0.0
		switch {
		case sending.Answer != nil:
			share = sending.Answer.Coverage.Share()
			neededAttempts += sending.Answer.Coverage.Total
		case sending.Refusal() != nil:
			measured.refused++
			measured.refusals[sending.Refusal().Kind]++
		default:
			measured.failed++
		}
		if share == 1 {
			measured.complete++
		} else {
			// A request without a complete answer counts with at least its
			// timeout.
			latency = max(latency, sending.Request.Timeout.Std())
		}
		if share == 1 && latency <= tailBound {
			inBound++
		}
		measured.coverage += share
		latencies = append(latencies, latency)
		step := min(len(timeline)-1, int(sending.Sent.Sub(trial.start)/timelineStep))
		timeline[step] += share
		counts[step]++
	}
	for step := range timeline {
		if counts[step] > 0 {
			measured.timeline = append(measured.timeline, timeline[step]/float64(counts[step]))
		}
	}
	total := float64(max(1, len(sendings)))
	measured.inBound = float64(inBound) / total
	measured.coverage /= total
	measured.complete /= total
	measured.goodput = measured.complete * total / trial.load.span.Seconds()
	measured.goodputInBound = float64(inBound) / trial.load.span.Seconds()
	measured.p50, measured.p99, measured.p999 = quantile(latencies, 0.5), quantile(latencies, 0.99), quantile(latencies, 0.999)
	trial.addTargetFigures(measured, ids, neededAttempts)
	return measured
}

// addTargetFigures adds the figures that come from the records of the targets.
func (trial *trial) addTargetFigures(measured *figures, ids map[string]bool, neededAttempts int) {
	evidence := trial.tier.Evidence(trial.journal)
	attempts := 0
	for index := range evidence.Targets {
		observed := &evidence.Targets[index]
		measured.peak = max(measured.peak, float64(observed.Record.Peak)/float64(observed.Slots))
		for _, arrival := range observed.Record.Arrivals {
			if ids[arrival.RequestID] {
				attempts++
			}
		}
	}
	measured.extraLoad = float64(attempts)/float64(max(1, neededAttempts)) - 1
	for _, violation := range evidence.Violations() {
		measured.violations[violation.Promise]++
		measured.example[violation.Promise] = violation.Detail
	}
}

func (figures *figures) violationCount() int {
	count := 0
	for _, violations := range figures.violations {
		count += violations
	}
	return count
}

func quantile(latencies []time.Duration, share float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[min(len(latencies)-1, int(share*float64(len(latencies))))]
}
