// Latency estimates of targets and homes, from which replicas are chosen and
// hedges are timed, and the budgets for hedges and retries.

package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gitlab.com/comfreythread/comfreythread/internal/target"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// initialHedgeDelay applies until enough runs of a pool have been observed.
	initialHedgeDelay = 20 * time.Millisecond
	// minimumHedgeDelay prevents needless hedges to targets with very short runs.
	minimumHedgeDelay = 2 * time.Millisecond
	// maximumHedgeMedians bounds the hedge delay to this multiple of the median.
	maximumHedgeMedians = 3
	// minimumSamples is the number of runs that a quantile requires.
	minimumSamples = 50
	// histogramSpan is the time after which a new histogram is started.
	histogramSpan = 10 * time.Second
	// maximumLatency is the longest latency that histograms distinguish.
	maximumLatency = time.Minute

	// latencyWeight is the weight of the newest latency in the moving average.
	latencyWeight = 0.25
	// latencyHalfLife is the half-life of a latency that is no longer observed,
	// so that a target that was slow is tried again.
	latencyHalfLife = 5 * time.Second
	// loadValidity is how long a reported load is taken into account.
	loadValidity = 200 * time.Millisecond
	// failurePenaltySpan is how long an unusable target is ranked last. A target
	// that restarts earlier announces a new incarnation, which has no penalty.
	failurePenaltySpan = 3 * time.Second
	// failurePenalty ranks unusable targets last.
	failurePenalty = time.Minute
	// remoteHomeLatency is the assumed latency to a home in another failure
	// domain before the first observation.
	remoteHomeLatency = time.Millisecond

	// hedgeBurst and retryBurst are the capacities of the token buckets for
	// hedges and retries.
	hedgeBurst = 50
	retryBurst = 100
)

type (
	// Estimates holds what a coordinator has observed of targets, homes and
	// pools. The zero value is ready to use.
	Estimates struct {
		lock    sync.Mutex
		targets map[string]*peerEstimate
		homes   map[string]*peerEstimate
		pools   map[string]*poolEstimate
	}

	// peerEstimate holds the observations of a target, or of the network path to
	// a home.
	peerEstimate struct {
		// failedAt is when failedIncarnation of the target was last found
		// unusable.
		failedAt          time.Time
		failedIncarnation uint64

		latency    time.Duration
		observedAt time.Time
		load       target.Load
		// outstanding counts the attempts without a report. silentSince is when
		// the last report arrived, or when the first attempt was sent after an
		// idle period.
		outstanding int
		silentSince time.Time
	}

	// poolEstimate holds the run latencies of a pool and its budgets for extra
	// attempts.
	poolEstimate struct {
		// current is the histogram to which runs are added since currentStartedAt, and
		// previous the one before it.
		current, previous *hdrhistogram.Histogram
		currentStartedAt  time.Time
		hedges, retries   tokenBucket
	}

	// tokenBucket limits extra attempts. First attempts refill it. It holds its
	// burst plus the refilled tokens, less the spent ones.
	tokenBucket struct {
		spent, refilled float64
	}
)

// recordSent records that an attempt was sent.
func (estimates *Estimates) recordSent(attempt *attemptProgress) {
	estimates.lock.Lock()
	defer estimates.lock.Unlock()
	now := time.Now()
	estimates.target(attempt.target).beginAttempt(now)
	estimates.home(attempt.home.ID).beginAttempt(now)
}

// recordReport records the report on an attempt.
func (estimates *Estimates) recordReport(pool string, attempt *attemptProgress, report *Report) {
	estimates.lock.Lock()
	defer estimates.lock.Unlock()
	now := time.Now()
	elapsed := now.Sub(attempt.sentAt)
	target, home := estimates.target(attempt.target), estimates.home(attempt.home.ID)
	target.endAttempt(now)
	home.endAttempt(now)
	if report.unreachable {
		home.observe(elapsed, now)
		return
	}
	home.observe(max(0, elapsed-report.Elapsed), now)
	target.load = report.Load
	if report.targetUnusable() {
		target.failedAt, target.failedIncarnation = now, attempt.incarnation
	}
	timedOut := report.Kind == reportLost && !report.Broken && report.Elapsed > target.latency
	if report.Kind == reportAnswered || timedOut {
		target.observe(report.Elapsed, now)
		estimates.poolEstimate(pool).observe(report.Elapsed, now)
	}
}

// recordAbandoned records that the coordinator stopped waiting for an attempt. The
// elapsed time counts as a lower bound of its latency.
func (estimates *Estimates) recordAbandoned(pool string, attempt *attemptProgress) {
	estimates.lock.Lock()
	defer estimates.lock.Unlock()
	now := time.Now()
	target, home := estimates.target(attempt.target), estimates.home(attempt.home.ID)
	target.outstanding--
	home.outstanding--
	elapsed := max(0, now.Sub(attempt.sentAt)-home.latency)
	if elapsed > target.latency {
		target.observe(elapsed, now)
		estimates.poolEstimate(pool).observe(elapsed, now)
	}
}

// expectedLatency returns the expected time to an answer from a candidate. Near
// is true if the candidate's home is this entry or in the same failure domain.
func (estimates *Estimates) expectedLatency(candidate *candidate, near bool) time.Duration {
	estimates.lock.Lock()
	defer estimates.lock.Unlock()
	now := time.Now()
	home, target := estimates.home(candidate.home.ID), estimates.target(candidate.target)
	homeLatency := home.decayedLatency(now)
	if home.observedAt.IsZero() && !near {
		homeLatency = remoteHomeLatency
	}
	run := max(target.decayedLatency(now), target.silence(now))
	return max(homeLatency, home.silence(now)) + run + target.queueDelay(now) + target.penalty(candidate.incarnation, now)
}

// roundTrip returns the smoothed network time to a home and back.
func (estimates *Estimates) roundTrip(homeID string) time.Duration {
	estimates.lock.Lock()
	defer estimates.lock.Unlock()
	return estimates.home(homeID).latency
}

// hedgeDelay returns the run time after which an attempt at a pool is hedged. It
// excludes the network time to the home.
func (estimates *Estimates) hedgeDelay(pool *operator.Pool) time.Duration {
	estimates.lock.Lock()
	defer estimates.lock.Unlock()
	return estimates.poolEstimate(pool.Name).hedgeThreshold(float64(100 - pool.HedgePercent))
}

// refill adds the tokens for a number of first attempts to the budgets of a pool.
func (estimates *Estimates) refill(pool *operator.Pool, attempts int) {
	estimates.lock.Lock()
	defer estimates.lock.Unlock()
	poolEstimate := estimates.poolEstimate(pool.Name)
	poolEstimate.hedges.refill(float64(attempts*pool.HedgePercent) / 100)
	poolEstimate.retries.refill(float64(attempts*pool.RetryPercent) / 100)
}

// spend takes a token for an attempt from the budget of a pool. It returns false
// if the pool doesn't allow such attempts or the budget is exhausted. First
// attempts are always allowed.
func (estimates *Estimates) spend(pool *operator.Pool, reason target.AttemptReason) bool {
	estimates.lock.Lock()
	defer estimates.lock.Unlock()
	poolEstimate := estimates.poolEstimate(pool.Name)
	switch reason {
	case target.Hedge:
		return !pool.DisableHedges && poolEstimate.hedges.spend(hedgeBurst)
	case target.Retry:
		return !pool.DisableRetries && poolEstimate.retries.spend(retryBurst)
	case target.First:
	}
	return true
}

func (estimates *Estimates) target(id string) *peerEstimate {
	return findOrCreate(&estimates.targets, id)
}

func (estimates *Estimates) home(id string) *peerEstimate {
	return findOrCreate(&estimates.homes, id)
}

func (estimates *Estimates) poolEstimate(pool string) *poolEstimate {
	return findOrCreate(&estimates.pools, pool)
}

// findOrCreate returns the value of a key. It creates the value, and the map, if there
// is none.
func findOrCreate[Value any](values *map[string]*Value, key string) *Value {
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

func (peerEstimate *peerEstimate) beginAttempt(now time.Time) {
	if peerEstimate.outstanding == 0 {
		peerEstimate.silentSince = now
	}
	peerEstimate.outstanding++
}

func (peerEstimate *peerEstimate) endAttempt(now time.Time) {
	peerEstimate.outstanding--
	peerEstimate.silentSince = now
}

func (peerEstimate *peerEstimate) observe(latency time.Duration, now time.Time) {
	if peerEstimate.observedAt.IsZero() {
		peerEstimate.latency = latency
	} else {
		decayed := peerEstimate.decayedLatency(now)
		peerEstimate.latency = decayed + time.Duration(latencyWeight*float64(latency-decayed))
	}
	peerEstimate.observedAt = now
}

// decayedLatency returns the moving average of the latency, halved for each half-life
// since the last observation.
func (peerEstimate *peerEstimate) decayedLatency(now time.Time) time.Duration {
	halvings := now.Sub(peerEstimate.observedAt) / latencyHalfLife
	return peerEstimate.latency >> min(halvings, 62)
}

// penalty ranks an incarnation of a target last for some time after it was found
// unusable.
func (peerEstimate *peerEstimate) penalty(incarnation uint64, now time.Time) time.Duration {
	if incarnation != peerEstimate.failedIncarnation || now.Sub(peerEstimate.failedAt) >= failurePenaltySpan {
		return 0
	}
	return failurePenalty
}

// silence returns how long the outstanding attempts have been without any report.
func (peerEstimate *peerEstimate) silence(now time.Time) time.Duration {
	if peerEstimate.outstanding == 0 {
		return 0
	}
	return now.Sub(peerEstimate.silentSince)
}

// queueDelay returns how long a new attempt would wait for a slot at the target.
func (peerEstimate *peerEstimate) queueDelay(now time.Time) time.Duration {
	load := peerEstimate.load
	ahead := peerEstimate.outstanding
	if now.Sub(peerEstimate.observedAt) < loadValidity {
		ahead = max(ahead, load.Waiting+load.Running)
	}
	return slotWait(&load, ahead)
}

// slotWait returns how long an attempt waits for a slot if the given number of
// attempts are ahead of it.
func slotWait(load *target.Load, ahead int) time.Duration {
	slots := max(1, load.Slots)
	if ahead < slots {
		return 0
	}
	return time.Duration(ahead-slots+1) * load.Typical / time.Duration(slots)
}

func (poolEstimate *poolEstimate) observe(latency time.Duration, now time.Time) {
	if poolEstimate.current == nil || now.Sub(poolEstimate.currentStartedAt) > histogramSpan {
		poolEstimate.previous, poolEstimate.current, poolEstimate.currentStartedAt = poolEstimate.current, newHistogram(), now
	}
	_ = poolEstimate.current.RecordValue(min(latency, maximumLatency).Microseconds())
}

// hedgeThreshold returns the latency within which the given percentage of runs ended,
// by the newest histogram with enough samples, or initialHedgeDelay if there is none.
// It is bounded by a multiple of the median, because at times the share of slow runs
// may be larger than the share that the percentage leaves out.
func (poolEstimate *poolEstimate) hedgeThreshold(percent float64) time.Duration {
	histogram := poolEstimate.current
	if histogram == nil || histogram.TotalCount() < minimumSamples {
		histogram = poolEstimate.previous
	}
	if histogram == nil || histogram.TotalCount() < minimumSamples {
		return initialHedgeDelay
	}
	span := min(histogram.ValueAtQuantile(percent), maximumHedgeMedians*histogram.ValueAtQuantile(50))
	return max(minimumHedgeDelay, time.Duration(span)*time.Microsecond)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maximumLatency.Microseconds(), 2)
}

// refill adds tokens to the bucket, up to its burst.
func (tokenBucket *tokenBucket) refill(tokens float64) {
	tokenBucket.refilled = min(tokenBucket.refilled+tokens, tokenBucket.spent)
}

// spend takes a token from the bucket, which is full initially. It returns false
// if none is left.
func (tokenBucket *tokenBucket) spend(burst float64) bool {
	if tokenBucket.spent+1 > tokenBucket.refilled+burst {
		return false
	}
	tokenBucket.spent++
	return true
}
