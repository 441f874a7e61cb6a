// Choice of the target for a request. The targets of a pool differ in speed, pause
// briefly at different times, become slow or unresponsive, and are in regions that
// are tens of milliseconds apart.

package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// defaultRunTime is the assumed duration of a run at a target without
	// measurements.
	defaultRunTime = 10 * time.Millisecond
	// stallFactor is the multiple of a target's usual latency after which its
	// oldest attempt marks the target as stalled.
	stallFactor = 1.5
	// suspectPenalty is added to the expected latency of a target that has just
	// failed. It exceeds any usual latency, so that such a target is used only
	// where no other is left. coldPenalty is the extra latency of a target in cold
	// start.
	suspectPenalty = 5 * time.Second
	coldPenalty    = 60 * time.Millisecond
	// lossPenalty is the cost of a lost answer: another attempt, a part of the
	// retry budget, and sometimes a shard that is missing from the answer. It is
	// needed if half of the targets lose four answers in ten while an entry asks each
	// of them only once in two seconds: Suspect has then expired before the next
	// request.
	lossPenalty = 400 * time.Millisecond
	// acceptDelay is the time that a target takes to accept a connection, in
	// addition to the round trip.
	acceptDelay = 6 * time.Millisecond
	// minimumHedgeDelay is the shortest delay before a hedge.
	minimumHedgeDelay = 8 * time.Millisecond
)

type (
	// Candidate is a target that may get a request.
	Candidate struct {
		// RoundTrip is the network time to the target and back, and Slots the
		// number of runs that the target executes concurrently.
		RoundTrip time.Duration
		Slots     int
		// Cold is true if the target is in cold start, and Suspect if it has just
		// failed.
		Cold    bool
		Suspect bool
		// FailureShare is the share, 0 to 1, of recent attempts that were lost or that
		// the target refused because of overload.
		FailureShare float64
		// Measured is true if Latency and UsualLatency are known. Latency is the
		// smoothed time to an answer, and UsualLatency the time within which most answers
		// arrive. StaleShare, 0 to 1, grows with the age of these two. If one exceeds the
		// default latency, RoundTrip plus defaultRunTime, estimates lower it by this share
		// of the excess.
		Measured     bool
		Latency      time.Duration
		UsualLatency time.Duration
		StaleShare   float64
		// Running is the number of this entry's attempts in progress at the
		// target, and OldestAge the age of the oldest one.
		Running   int
		OldestAge time.Duration
		// Connected is true if an idle connection to the target is open.
		Connected bool
		// Limited is true if each request needs a permit from an entry near the target.
		Limited bool
	}
)

// ExpectedLatency returns the expected time to an answer, penalties included.
func (candidate *Candidate) ExpectedLatency() time.Duration {
	expected := candidate.estimate(candidate.Latency)
	// While the oldest attempt is overdue, the target is expected not to answer
	// newer ones any sooner.
	overdue := candidate.OldestAge - time.Duration(stallFactor*float64(candidate.estimate(candidate.UsualLatency)))
	if candidate.Running > 0 && overdue > 0 {
		expected += candidate.OldestAge
	}
	if queued := candidate.Running + 1 - candidate.Slots; queued > 0 {
		run := max(0, expected-candidate.RoundTrip)
		expected += run * time.Duration(queued) / time.Duration(max(1, candidate.Slots))
	}
	if !candidate.Connected {
		expected += candidate.RoundTrip + acceptDelay
	}
	if candidate.Limited {
		expected += candidate.RoundTrip
	}
	expected += time.Duration(candidate.FailureShare * float64(lossPenalty))
	if candidate.Cold {
		expected += coldPenalty
	}
	if candidate.Suspect {
		expected += suspectPenalty
	}
	return expected
}

// estimate returns a measured time, decayed towards the default latency if it
// exceeds that, or the default latency if nothing was measured.
func (candidate *Candidate) estimate(measured time.Duration) time.Duration {
	defaultLatency := candidate.RoundTrip + defaultRunTime
	if !candidate.Measured {
		return defaultLatency
	}
	if measured <= defaultLatency {
		return measured
	}
	return measured - time.Duration(candidate.StaleShare*float64(measured-defaultLatency))
}

// Rank returns the indexes of the candidates, the best first. Random holds a number
// in [0, 1) for each candidate, which breaks ties.
func Rank(candidates []Candidate, random []float64) []int {
	order := make([]int, len(candidates))
	expected := make([]float64, len(candidates))
	for index := range candidates {
		order[index] = index
		// Jitter over a range of a tenth keeps entries from all choosing the same
		// target at once.
		expected[index] = float64(candidates[index].ExpectedLatency()) * (0.95 + 0.1*random[index])
	}
	slices.SortStableFunc(order, func(left, right int) int {
		switch {
		case expected[left] < expected[right]:
			return -1
		case expected[left] > expected[right]:
			return 1
		}
		return 0
	})
	return order
}

// HedgeDelay returns how long after an attempt at the first target a hedge is sent
// to the second one: until the first answer is overdue, or less if the second target
// would otherwise be too late to answer within the remaining time.
func HedgeDelay(first, second *Candidate, remaining time.Duration) time.Duration {
	overdueAfter := max(minimumHedgeDelay, first.estimate(first.UsualLatency))
	latestDelay := remaining - max(second.ExpectedLatency(), second.estimate(second.UsualLatency))
	if latestDelay < minimumHedgeDelay {
		// The second target can't answer in time any more, so that a hedge is only
		// worthwhile once the first answer is overdue.
		return overdueAfter
	}
	return min(overdueAfter, latestDelay)
}

// Jitter returns a duration between half of span and all of it. Random is a number
// in [0, 1).
func Jitter(span time.Duration, random float64) time.Duration {
	return time.Duration(float64(span) * (0.5 + math.Min(1, math.Max(0, random))/2))
}
