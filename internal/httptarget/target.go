// An entry's statistics of one target: latencies, failures and attempts in progress.

package httptarget

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// latencyDivisor is the inverse of a sample's weight in the smoothed latency, as in
	// TCP's estimate of the round-trip time (RFC 6298).
	latencyDivisor = 8
	// deviationDivisor is the same for the smoothed deviation.
	deviationDivisor = 4
	// deviationFactor is the number of deviations above the smoothed latency within
	// which an answer counts as usual, as in RFC 6298.
	deviationFactor = 4
	// outlierFactor and outlierAllowance limit the effect of one sample: a target is
	// as fast as before after a short pause, and one that has become slow shows it in
	// many samples.
	outlierFactor    = 2
	outlierAllowance = 4 * time.Millisecond
	// pauseSpan is the longest time between the starts of late attempts that one
	// pause of the target can explain; a longer time shows that the target is slow.
	pauseSpan = 200 * time.Millisecond
	// latencyHalfLife is the age at which a latency measurement has lost half of its
	// weight, so that a target that was slow is tried again.
	latencyHalfLife = 3 * time.Second
	// firstSuspectSpan is how long a target is avoided after a failure; it doubles
	// with each further failure up to maximumSuspectSpan.
	firstSuspectSpan   = 250 * time.Millisecond
	maximumSuspectSpan = 4 * time.Second
	// lossHalfLife and answerHalfLife are the half-lives of the counts of lost
	// answers and of answers. For an entry that sends a request every two seconds one
	// loss must still count at its next requests; for one that sends ten a second it
	// must not.
	lossHalfLife   = 2 * time.Second
	answerHalfLife = 8 * time.Second
	// lossPrior is the number of answers assumed in the loss share before any is
	// counted.
	lossPrior = 1
)

type (
	// Target is an entry's state of one target, for one start of the target's
	// process.
	Target struct {
		foundAt time.Time

		// The lock guards the fields below, except the record's ID, pool, address,
		// failure domain, release and start, which never change.
		lock      sync.Mutex
		record    Record
		silent    bool
		coldUntil time.Time
		// freshUntil is the time before which the target's release counts as fresh.
		freshUntil time.Time

		latency    time.Duration
		deviation  time.Duration
		measuredAt time.Time
		// lateSince is the start of the first attempt in the current series of late
		// ones; zero if the last attempt wasn't late.
		lateSince time.Time
		// attemptStarts holds the start times of the attempts in progress.
		attemptStarts []time.Time
		// failuresInRow counts the failures since the latest answer.
		failuresInRow int
		suspectUntil  time.Time
		// answers and losses count attempts with and without an answer; both decay
		// with age and are current as of countedAt.
		answers, losses float64
		countedAt       time.Time

		limit Limit
		// deferredUntil is the time before which the limit has no room.
		deferredUntil time.Time
		// leaving is true once an answer said that the target leaves, whatever the registries say, and
		// pausedUntil is the end of a pause that it has asked for.
		leaving     bool
		pausedUntil time.Time
		// wordLoggedAt is when a change of what the target says was last logged.
		wordLoggedAt time.Time

		link        linkState
		connections targetConnections
	}

	// Condition is a snapshot of a target's state, for the choice of a target.
	Condition struct {
		Slots int
		Cold  bool
		// Fresh is true if the target's release has just appeared beside another one of the pool.
		Fresh bool
		// Suspect is true while the target is avoided after a failure.
		Suspect bool
		// FailureShare is the share, 0 to 1, of recent attempts that failed.
		FailureShare float64
		// Measured is true if Latency and UsualLatency have been measured.
		Measured bool
		// Latency is the smoothed time to an answer, UsualLatency the time within which
		// most answers arrive, and Age the time since the latest measurement. The weight
		// of both latencies decreases with Age by StaleShare.
		Latency      time.Duration
		UsualLatency time.Duration
		Age          time.Duration
		// Running is the number of attempts in progress, and OldestAge the age of the
		// oldest of them.
		Running   int
		OldestAge time.Duration
		// Connected is true if an idle connection is open.
		Connected bool
		// Limited is true if the target names a rate limit.
		Limited bool
		// Leaving is true once the target has said that it leaves, and AvailableAt is when it may get the
		// next request after a pause that it asked for, or for its limit or the rate of its cold start.
		Leaving     bool
		AvailableAt time.Time
	}
)

// HasConnection reports whether an attempt finds a connection to the target. Limit is the number of connections
// that this entry may open; 0 means that it uses those of other entries.
func (target *Target) HasConnection(limit int) bool {
	return limit <= 0 || target.connections.hasRoom(limit) || target.linkDown()
}

func newTarget(record *Record) *Target {
	return &Target{foundAt: time.Now(), record: *record}
}

// ID returns the target's ID.
func (target *Target) ID() string { return target.record.ID }

// Address returns the target's IP:port.
func (target *Target) Address() string { return target.record.Address }

// Pool returns the name of the target's pool.
func (target *Target) Pool() string { return target.record.Pool }

// Release returns the version of the target's software, or "" if unknown.
func (target *Target) Release() string { return target.record.Release }

// StartedAt returns when the target's process started, as its record has it.
func (target *Target) StartedAt() int64 { return target.record.StartedAt }

// Start returns a name of the target that differs between the starts of its process.
func (target *Target) Start() string {
	return fmt.Sprintf("%s@%d", target.record.ID, target.record.StartedAt)
}

// FailureDomain returns the target's failure domain.
func (target *Target) FailureDomain() string { return target.record.FailureDomain }

// Condition returns the target's state at a time.
func (target *Target) Condition(now time.Time) Condition {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.decayCounts(now)
	condition := Condition{
		FailureShare: target.losses / (target.answers + target.losses + lossPrior),
		Slots:        target.record.Slots, Cold: now.Before(target.coldUntil), Fresh: now.Before(target.freshUntil), Suspect: now.Before(target.suspectUntil),
		Measured: !target.measuredAt.IsZero(), Latency: target.latency, UsualLatency: target.latency + deviationFactor*target.deviation,
		Running: len(target.attemptStarts), Connected: target.connections.idleCount() > 0,
		Limited: target.limit.named, Leaving: target.leaving, AvailableAt: target.availableAt(),
	}
	if condition.Measured {
		condition.Age = now.Sub(target.measuredAt)
	}
	if condition.Running > 0 {
		condition.OldestAge = now.Sub(target.attemptStarts[0])
	}
	return condition
}

// StaleShare returns the share of its weight, 0 to 1, that a latency measurement
// has lost at the given age.
func StaleShare(age time.Duration) float64 {
	return decayedShare(age, latencyHalfLife)
}

func decayedShare(age, halfLife time.Duration) float64 {
	return 1 - math.Exp2(-float64(age)/float64(halfLife))
}

// update applies a newer record of the same start.
func (target *Target) update(record *receivedRecord, silent bool) {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.record.State, target.record.Slots, target.record.Revision = record.State, record.Slots, record.Revision
	target.silent = silent
	if record.coldUntil.After(target.coldUntil) {
		target.coldUntil = record.coldUntil
	}
}

func (target *Target) beginAttempt(now time.Time) {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.attemptStarts = append(target.attemptStarts, now)
}

// recordAnswer ends an attempt that was answered at now.
func (target *Target) recordAnswer(startedAt, now time.Time) {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.endAttempt(startedAt)
	target.failuresInRow, target.suspectUntil = 0, time.Time{}
	target.decayCounts(now)
	target.answers++
	target.recordLatency(startedAt, now)
}

// decayCounts decays the counts of answers and losses by their age. The lock
// must be held.
func (target *Target) decayCounts(now time.Time) {
	age := now.Sub(target.countedAt)
	target.answers *= 1 - decayedShare(age, answerHalfLife)
	target.losses *= 1 - decayedShare(age, lossHalfLife)
	target.countedAt = now
}

// recordLatency updates the latency estimates by the duration of an attempt. The
// first sample sets them, and so does a late one if a series of late attempts has
// lasted longer than pauseSpan. Otherwise outlierFactor and outlierAllowance limit the
// sample's effect. The lock must be held.
func (target *Target) recordLatency(startedAt, now time.Time) {
	sample, usual := now.Sub(startedAt), outlierFactor*target.latency+outlierAllowance
	late := sample > usual
	switch {
	case target.measuredAt.IsZero():
		target.latency, target.deviation = sample, sample/2
	case late && !target.lateSince.IsZero() && startedAt.Sub(target.lateSince) > pauseSpan:
		target.latency, target.deviation = sample, sample/4
	default:
		difference := min(sample, usual) - target.latency
		target.deviation += (difference.Abs() - target.deviation) / deviationDivisor
		target.latency += difference / latencyDivisor
	}
	target.measuredAt = now
	if !late {
		target.lateSince = time.Time{}
	} else if target.lateSince.IsZero() {
		target.lateSince = startedAt
	}
}

// recordFailure ends an attempt that failed through a fault of the target or of the
// network.
func (target *Target) recordFailure(startedAt, now time.Time) {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.endAttempt(startedAt)
	span := min(maximumSuspectSpan, firstSuspectSpan<<min(target.failuresInRow, 8))
	target.failuresInRow++
	target.suspectUntil = now.Add(span)
	target.decayCounts(now)
	target.losses++
}

// recordConnectFailure records that the target couldn't be reached, which counts as a failed
// attempt.
func (target *Target) recordConnectFailure(startedAt, now time.Time) {
	target.beginAttempt(startedAt)
	target.recordFailure(startedAt, now)
}

// recordUncounted ends an attempt that counts neither as an answer nor as a failure:
// the connection limit was reached, another target answered, or nothing could be
// written to the connection.
func (target *Target) recordUncounted(startedAt time.Time) {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.endAttempt(startedAt)
}

// recordAbandoned ends an attempt that was cancelled or timed out. Its duration is
// a lower bound of the latency, so it is recorded only if it exceeds the smoothed
// latency or if no latency was measured yet.
func (target *Target) recordAbandoned(startedAt, now time.Time) {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.endAttempt(startedAt)
	if waited := now.Sub(startedAt); target.measuredAt.IsZero() || waited > target.latency {
		target.recordLatency(startedAt, now)
	}
}

// endAttempt removes an attempt from those in progress. The lock must be held.
func (target *Target) endAttempt(startedAt time.Time) {
	if index := slices.Index(target.attemptStarts, startedAt); index >= 0 {
		target.attemptStarts = slices.Delete(target.attemptStarts, index, index+1)
	}
}

// closeConnections closes the idle connections; those in use close after use.
func (target *Target) closeConnections() {
	target.connections.closeAll()
}
