// This file exists so that replicas are chosen, and hedges timed, by what was
// observed of targets and of the homes on the way to them.

package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gitlab.com/comfreythread/comfreythread/internal/target"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// initialHedgeDelay serves until enough runs of a pool were observed.
	initialHedgeDelay = 20 * time.Millisecond
	// minimumHedgeDelay spares targets whose runs take next to no time.
	minimumHedgeDelay = 2 * time.Millisecond
	// lateMedians bounds the hedge delay by so many medians.
	lateMedians = 3
	// minimumSamples is the number of runs from which a quantile is taken.
	minimumSamples = 50
	// histogramSpan is how long a histogram is filled before it is replaced.
	histogramSpan = 10 * time.Second
	// maximumLatency is the longest latency that is told apart.
	maximumLatency = time.Minute

	// latencyWeight is the share of the newest latency in the average.
	latencyWeight = 0.25
	// forgetSpan is the half-life of what is known of a target, so that a
	// slow one is tried again.
	forgetSpan = 5 * time.Second
	// loadSpan is how long a reported load is taken into account.
	loadSpan = 200 * time.Millisecond
	// failureSpan is how long a target that couldn't be used comes last. One
	// that restarts earlier announces a new incarnation.
	failureSpan = 3 * time.Second
	// failurePenalty puts targets that can't be used last.
	failurePenalty = time.Minute
	// elsewhere is what an untried home in another failure domain counts as.
	elsewhere = time.Millisecond

	// hedgeBurst and retryBurst bound the extra attempts at once.
	hedgeBurst = 50
	retryBurst = 100
)

type (
	// Estimates holds what an entry as coordinator has observed. The zero
	// value has observed nothing.
	Estimates struct {
		lock    sync.Mutex
		targets map[string]*peerEstimate
		homes   map[string]*peerEstimate
		pools   map[string]*pace
	}

	// peerEstimate is what is known of a target or of the way to a home.
	peerEstimate struct {
		// failedAt is the time at which the target's failed incarnation was
		// last found unusable.
		failedAt          time.Time
		failedIncarnation uint64

		latency    time.Duration
		observedAt time.Time
		load       target.Load
		// outstanding counts the attempts without a report, and quietSince is
		// the time since which none of them brought one.
		outstanding int
		quietSince  time.Time
	}

	// pace is the latency of a pool's runs and the budgets for extra load.
	pace struct {
		present, before *hdrhistogram.Histogram
		begunAt         time.Time
		hedges, retries budget
	}

	// budget is a token bucket that first attempts fill. It holds its burst
	// and what was earned, less what was spent.
	budget struct {
		spent, earned float64
	}
)

// sent records that an attempt is on its way.
func (estimates *Estimates) sent(attempt *attemptProgress) {
	estimates.lock.Lock()
	defer estimates.lock.Unlock()
	now := time.Now()
	estimates.target(attempt.target).begin(now)
	estimates.home(attempt.home.ID).begin(now)
}

// reported records the report on an attempt.
func (estimates *Estimates) reported(pool string, attempt *attemptProgress, report *Report) {
	estimates.lock.Lock()
	defer estimates.lock.Unlock()
	now := time.Now()
	way := now.Sub(attempt.sentAt)
	target, home := estimates.target(attempt.target), estimates.home(attempt.home.ID)
	target.end(now)
	home.end(now)
	if report.unreachable {
		home.observe(way, now)
		return
	}
	home.observe(max(0, way-report.Elapsed), now)
	target.load = report.Load
	if report.unusable() {
		target.failedAt, target.failedIncarnation = now, attempt.incarnation
	}
	late := report.Kind == reportLost && !report.Broken && report.Elapsed > target.latency
	if report.Kind == reportAnswered || late {
		target.observe(report.Elapsed, now)
		estimates.pace(pool).observe(report.Elapsed, now)
	}
}

// abandoned records that an attempt is no longer waited for. It would have
// taken longer than it did so far.
func (estimates *Estimates) abandoned(pool string, attempt *attemptProgress) {
	estimates.lock.Lock()
	defer estimates.lock.Unlock()
	now := time.Now()
	target, home := estimates.target(attempt.target), estimates.home(attempt.home.ID)
	target.outstanding--
	home.outstanding--
	elapsed := max(0, now.Sub(attempt.sentAt)-home.latency)
	if elapsed > target.latency {
		target.observe(elapsed, now)
		estimates.pace(pool).observe(elapsed, now)
	}
}

// expected returns how long an attempt at a target would take.
func (estimates *Estimates) expected(candidate *candidate, near bool) time.Duration {
	estimates.lock.Lock()
	defer estimates.lock.Unlock()
	now := time.Now()
	home, target := estimates.home(candidate.home.ID), estimates.target(candidate.target)
	way := home.faded(now)
	if home.observedAt.IsZero() && !near {
		way = elsewhere
	}
	run := max(target.faded(now), target.quiet(now))
	return max(way, home.quiet(now)) + run + target.queue(now) + target.penalty(candidate.incarnation, now)
}

// roundTrip returns the time that a message to a home and back takes.
func (estimates *Estimates) roundTrip(homeID string) time.Duration {
	estimates.lock.Lock()
	defer estimates.lock.Unlock()
	return estimates.home(homeID).latency
}

// hedgeDelay returns the span after which a run of a pool, without the way to
// its home, is late.
func (estimates *Estimates) hedgeDelay(pool *operator.Pool) time.Duration {
	estimates.lock.Lock()
	defer estimates.lock.Unlock()
	return estimates.pace(pool.Name).late(float64(100 - pool.HedgePercent))
}

// earn lets first attempts fill the budgets of a pool.
func (estimates *Estimates) earn(pool *operator.Pool, attempts int) {
	estimates.lock.Lock()
	defer estimates.lock.Unlock()
	pace := estimates.pace(pool.Name)
	pace.hedges.earn(float64(attempts*pool.HedgePercent) / 100)
	pace.retries.earn(float64(attempts*pool.RetryPercent) / 100)
}

// spend takes one attempt from a budget of a pool, where the pool allows such
// attempts and there is one left.
func (estimates *Estimates) spend(pool *operator.Pool, why target.Why) bool {
	estimates.lock.Lock()
	defer estimates.lock.Unlock()
	pace := estimates.pace(pool.Name)
	switch why {
	case target.Hedge:
		return !pool.DisableHedges && pace.hedges.spend(hedgeBurst)
	case target.Retry:
		return !pool.DisableRetries && pace.retries.spend(retryBurst)
	case target.First:
	}
	return true
}

func (estimates *Estimates) target(id string) *peerEstimate {
	return find(&estimates.targets, id)
}

func (estimates *Estimates) home(id string) *peerEstimate {
	return find(&estimates.homes, id)
}

func (estimates *Estimates) pace(pool string) *pace {
	return find(&estimates.pools, pool)
}

func find[Value any](values *map[string]*Value, key string) *Value {
	if *values == nil {
		*values = map[string]*Value{}
	}
	found, known := (*values)[key]
	if !known {
		found = new(Value)
		(*values)[key] = found
	}
	return found
}

func (peerEstimate *peerEstimate) begin(now time.Time) {
	if peerEstimate.outstanding == 0 {
		peerEstimate.quietSince = now
	}
	peerEstimate.outstanding++
}

func (peerEstimate *peerEstimate) end(now time.Time) {
	peerEstimate.outstanding--
	peerEstimate.quietSince = now
}

func (peerEstimate *peerEstimate) observe(latency time.Duration, now time.Time) {
	if peerEstimate.observedAt.IsZero() {
		peerEstimate.latency = latency
	} else {
		present := peerEstimate.faded(now)
		peerEstimate.latency = present + time.Duration(latencyWeight*float64(latency-present))
	}
	peerEstimate.observedAt = now
}

// faded returns the latency, halved for each span in which nothing was heard.
func (peerEstimate *peerEstimate) faded(now time.Time) time.Duration {
	halvings := now.Sub(peerEstimate.observedAt) / forgetSpan
	return peerEstimate.latency >> min(halvings, 62)
}

// penalty puts a target last for a while whose incarnation was found
// unusable.
func (peerEstimate *peerEstimate) penalty(incarnation uint64, now time.Time) time.Duration {
	if incarnation != peerEstimate.failedIncarnation || now.Sub(peerEstimate.failedAt) >= failureSpan {
		return 0
	}
	return failurePenalty
}

// quiet returns for how long attempts have waited without any report.
func (peerEstimate *peerEstimate) quiet(now time.Time) time.Duration {
	if peerEstimate.outstanding == 0 {
		return 0
	}
	return now.Sub(peerEstimate.quietSince)
}

// queue returns how long an attempt would wait for a slot.
func (peerEstimate *peerEstimate) queue(now time.Time) time.Duration {
	load := peerEstimate.load
	ahead := peerEstimate.outstanding
	if now.Sub(peerEstimate.observedAt) < loadSpan {
		ahead = max(ahead, load.Waiting+load.Running)
	}
	return slotWait(&load, ahead)
}

// slotWait returns how long an attempt waits for a slot behind others.
func slotWait(load *target.Load, ahead int) time.Duration {
	slots := max(1, load.Slots)
	if ahead < slots {
		return 0
	}
	return time.Duration(ahead-slots+1) * load.Typical / time.Duration(slots)
}

func (pace *pace) observe(latency time.Duration, now time.Time) {
	if pace.present == nil || now.Sub(pace.begunAt) > histogramSpan {
		pace.before, pace.present, pace.begunAt = pace.present, newHistogram(), now
	}
	_ = pace.present.RecordValue(min(latency, maximumLatency).Microseconds())
}

// late returns the span after which a run is late: a quantile, in percent, of
// the newest full histogram, but no more than a few medians, because more
// runs than the quantile leaves out may be slow at the same time.
func (pace *pace) late(percent float64) time.Duration {
	histogram := pace.present
	if histogram == nil || histogram.TotalCount() < minimumSamples {
		histogram = pace.before
	}
	if histogram == nil || histogram.TotalCount() < minimumSamples {
		return initialHedgeDelay
	}
	span := min(histogram.ValueAtQuantile(percent), lateMedians*histogram.ValueAtQuantile(50))
	return max(minimumHedgeDelay, time.Duration(span)*time.Microsecond)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maximumLatency.Microseconds(), 2)
}

// earn adds tokens to the bucket, which holds no more than its burst.
func (budget *budget) earn(tokens float64) {
	budget.earned = min(budget.earned+tokens, budget.spent)
}

// spend takes a token from the bucket, which is full at first.
func (budget *budget) spend(burst float64) bool {
	if budget.spent+1 > budget.earned+burst {
		return false
	}
	budget.spent++
	return true
}
