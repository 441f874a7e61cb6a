// What an entry has met at one target: times, failures and what is in progress.

package httptarget

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// latencyWeight is the part of the smoothed latency that one sample makes
	// up, as in TCP's estimate of the round trip (RFC 6298).
	latencyWeight = 8
	// deviationWeight is the same for the smoothed deviation.
	deviationWeight = 4
	// deviationRoom is how many deviations above the smoothed latency an answer
	// still counts as usual, as in RFC 6298.
	deviationRoom = 4
	// outlierFactor and outlierRoom bound how far one sample counts: a target that
	// pauses for a moment is as fast as before afterwards, and one that has
	// turned slow shows it by many samples.
	outlierFactor = 2
	outlierRoom   = 4 * time.Millisecond
	// pauseSpan is how far apart two attempts in a row begin that were both late
	// through one pause of the target; further apart they show that it is slow.
	pauseSpan = 200 * time.Millisecond
	// forgetSpan is the time after which half of what was measured is forgotten,
	// so that a target that was slow is tried again.
	forgetSpan = 3 * time.Second
	// firstSuspicion is how long a target is avoided after a failure; it doubles
	// with each further one up to maximumSuspicion.
	firstSuspicion   = 250 * time.Millisecond
	maximumSuspicion = 4 * time.Second
	// lossForgetSpan and answerForgetSpan are the times after which half of what
	// was counted of lost answers and of answers is forgotten. Load: an entry that
	// asks a target once in two seconds must heed one loss until its next
	// requests, and one that asks ten times a second may not.
	lossForgetSpan   = 2 * time.Second
	answerForgetSpan = 8 * time.Second
	// lossPrior is the number of answers that a target is taken to have given
	// before any was counted.
	lossPrior = 1
)

type (
	// Target is one target as an entry knows it. It lasts for one start of the
	// target's process.
	Target struct {
		foundAt time.Time

		// The record's ID, pool, address, failure domain and start never change;
		// its other fields and what follows are under the lock.
		lock      sync.Mutex
		record    Record
		silent    bool
		coldUntil time.Time
		// coldRunAt is when the last request was let through in cold start.
		coldRunAt time.Time

		latency    time.Duration
		deviation  time.Duration
		measuredAt time.Time
		// lateSince is when the first of the latest attempts began that were all
		// late; zero after one that wasn't.
		lateSince time.Time
		// running holds the beginnings of the attempts in progress.
		running      []time.Time
		failures     int
		suspectUntil time.Time
		// answers and losses count attempts by whether an answer came; what is
		// older counts less, as of countedAt.
		answers, losses float64
		countedAt       time.Time

		connections idleConnections
	}

	// Condition is a target's state at one moment, for decisions.
	Condition struct {
		Slots int
		Cold  bool
		// Suspect states that the target has just failed.
		Suspect bool
		// Lost is the share of attempts, 0 to 1, that were lost or shed lately.
		Lost float64
		// Known states that Latency and Usual are measured.
		Known bool
		// Latency is the smoothed time to an answer, and Usual the time within
		// which most come. What is old counts less: Age is since the newest.
		Latency time.Duration
		Usual   time.Duration
		Age     time.Duration
		// Running is the number of attempts in progress, and Oldest the time
		// since the first of them began.
		Running int
		Oldest  time.Duration
		// Connected states that an open connection waits for use.
		Connected bool
	}
)

func newTarget(record *Record) *Target {
	return &Target{foundAt: time.Now(), record: *record}
}

// ID returns the target's ID.
func (target *Target) ID() string { return target.record.ID }

// Address returns the target's IP:port.
func (target *Target) Address() string { return target.record.Address }

// FailureDomain returns the target's failure domain.
func (target *Target) FailureDomain() string { return target.record.FailureDomain }

// Condition returns the target's state now.
func (target *Target) Condition(now time.Time) Condition {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.forget(now)
	condition := Condition{
		Lost:  target.losses / (target.answers + target.losses + lossPrior),
		Slots: target.record.Slots, Cold: now.Before(target.coldUntil), Suspect: now.Before(target.suspectUntil),
		Known: !target.measuredAt.IsZero(), Latency: target.latency, Usual: target.latency + deviationRoom*target.deviation,
		Running: len(target.running), Connected: target.connections.waiting() > 0,
	}
	if condition.Known {
		condition.Age = now.Sub(target.measuredAt)
	}
	if condition.Running > 0 {
		condition.Oldest = now.Sub(target.running[0])
	}
	return condition
}

// Forgotten returns the share, 0 to 1, of a measurement that no longer counts
// after an age.
func Forgotten(age time.Duration) float64 {
	return forgotten(age, forgetSpan)
}

func forgotten(age, half time.Duration) float64 {
	return 1 - math.Exp2(-float64(age)/float64(half))
}

func (target *Target) update(record *Record, silent bool) {
	target.lock.Lock()
	defer target.lock.Unlock()
	now := time.Now()
	target.record.State, target.record.Slots, target.record.Revision = record.State, record.Slots, record.Revision
	target.silent = silent
	if until := now.Add(record.ColdFor); record.ColdFor > 0 && until.After(target.coldUntil) {
		target.coldUntil = until
	}
}

// Admit reports whether a request may be sent now. In cold start only one in a
// span may; a span of zero states no bound.
func (target *Target) Admit(now time.Time, coldSpan time.Duration) bool {
	target.lock.Lock()
	defer target.lock.Unlock()
	if coldSpan <= 0 || !now.Before(target.coldUntil) {
		return true
	}
	if now.Sub(target.coldRunAt) < coldSpan {
		return false
	}
	target.coldRunAt = now
	return true
}

func (target *Target) begin(now time.Time) {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.running = append(target.running, now)
}

// answered ends an attempt whose answer took a time.
func (target *Target) answered(begun, now time.Time) {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.finish(begun)
	target.failures, target.suspectUntil = 0, time.Time{}
	target.forget(now)
	target.answers++
	target.measure(begun, now)
}

// forget lessens what was counted by its age. The lock is held.
func (target *Target) forget(now time.Time) {
	age := now.Sub(target.countedAt)
	target.answers *= 1 - forgotten(age, answerForgetSpan)
	target.losses *= 1 - forgotten(age, lossForgetSpan)
	target.countedAt = now
}

// measure takes the time of an attempt into the estimates.
func (target *Target) measure(begun, now time.Time) {
	sample, usual := now.Sub(begun), outlierFactor*target.latency+outlierRoom
	late := sample > usual
	switch {
	case target.measuredAt.IsZero():
		target.latency, target.deviation = sample, sample/2
	case late && !target.lateSince.IsZero() && begun.Sub(target.lateSince) > pauseSpan:
		target.latency, target.deviation = sample, sample/4
	default:
		difference := min(sample, usual) - target.latency
		target.deviation += (difference.Abs() - target.deviation) / deviationWeight
		target.latency += difference / latencyWeight
	}
	target.measuredAt = now
	if !late {
		target.lateSince = time.Time{}
	} else if target.lateSince.IsZero() {
		target.lateSince = begun
	}
}

// failed ends an attempt that met a fault of the target or of the way to it.
func (target *Target) failed(begun, now time.Time) {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.finish(begun)
	span := min(maximumSuspicion, firstSuspicion<<min(target.failures, 8))
	target.failures++
	target.suspectUntil = now.Add(span)
	target.forget(now)
	target.losses++
}

// unreachable takes a connection that couldn't be opened for later use.
func (target *Target) unreachable(begun, now time.Time) {
	target.begin(begun)
	target.failed(begun, now)
}

// shed ends an attempt that the target turned away without running it.
func (target *Target) shed(begun time.Time) {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.finish(begun)
}

// abandoned ends an attempt that was given up before its answer. The answer
// takes at least as long as was waited.
func (target *Target) abandoned(begun, now time.Time) {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.finish(begun)
	if waited := now.Sub(begun); target.measuredAt.IsZero() || waited > target.latency {
		target.measure(begun, now)
	}
}

func (target *Target) finish(begun time.Time) {
	if index := slices.Index(target.running, begun); index >= 0 {
		target.running = slices.Delete(target.running, index, index+1)
	}
}

// retire closes the connections that wait for use.
func (target *Target) retire() {
	target.connections.closeAll()
}
