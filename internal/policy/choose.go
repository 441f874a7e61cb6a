// Which target gets a request. Load: targets of a pool differ in speed, pause for
// a moment each at its own time, turn slow or dark, and stand in regions that are
// tens of milliseconds apart.

package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// usualRun is what a run is taken to last before anything was measured.
	usualRun = 10 * time.Millisecond
	// stallFactor is how many times its usual latency the oldest attempt at a
	// target may take before the target counts as stalled.
	stallFactor = 1.5
	// suspectPenalty and coldPenalty are added to what is expected of a target
	// that has just failed or is in cold start: so much more than any usual
	// latency that it is used only where no other is left, or so much as a cold
	// target is slower.
	suspectPenalty = 5 * time.Second
	coldPenalty    = 60 * time.Millisecond
	// lossPenalty is what a lost answer costs: another attempt, part of the budget
	// for such, and now and then the shard. Load: half of the targets lose four
	// answers in ten, and an entry asks each of them once in two seconds, so that
	// no suspicion lasts until the next request.
	lossPenalty = 400 * time.Millisecond
	// connectRoom is what a target takes to accept a connection, besides the round
	// trip.
	connectRoom = 6 * time.Millisecond
	// leastHedgeDelay bounds how soon a second target is asked.
	leastHedgeDelay = 8 * time.Millisecond
)

type (
	// Candidate is a target that may get a request.
	Candidate struct {
		// RoundTrip is the time to the target and back, and Slots the runs that
		// it bears at a time.
		RoundTrip time.Duration
		Slots     int
		Cold      bool
		Suspect   bool
		// Lost is the share of attempts, 0 to 1, that were lost or shed lately.
		Lost float64
		// Measured states that Latency and Usual, the smoothed time to an answer
		// and the time within which most come, are known; Forgotten is the
		// share, 0 to 1, of them that is too old to count.
		Measured  bool
		Latency   time.Duration
		Usual     time.Duration
		Forgotten float64
		// Running is the number of this entry's attempts in progress at the
		// target, and Oldest the age of the first.
		Running int
		Oldest  time.Duration
		// Connected states that an open connection to the target waits for use.
		Connected bool
	}
)

// Expect returns the time within which a target is expected to answer.
func (candidate *Candidate) Expect() time.Duration {
	expected := candidate.usual(candidate.Latency)
	// A target whose oldest attempt is overdue answers nothing else sooner.
	overdue := candidate.Oldest - time.Duration(stallFactor*float64(candidate.usual(candidate.Usual)))
	if candidate.Running > 0 && overdue > 0 {
		expected += candidate.Oldest
	}
	if queued := candidate.Running + 1 - candidate.Slots; queued > 0 {
		run := max(0, expected-candidate.RoundTrip)
		expected += run * time.Duration(queued) / time.Duration(max(1, candidate.Slots))
	}
	if !candidate.Connected {
		expected += candidate.RoundTrip + connectRoom
	}
	expected += time.Duration(candidate.Lost * float64(lossPenalty))
	if candidate.Cold {
		expected += coldPenalty
	}
	if candidate.Suspect {
		expected += suspectPenalty
	}
	return expected
}

// usual mixes a measured time with what is expected of a target that was never
// measured, by how much of the measurement still counts.
func (candidate *Candidate) usual(measured time.Duration) time.Duration {
	unmeasured := candidate.RoundTrip + usualRun
	if !candidate.Measured {
		return unmeasured
	}
	if measured <= unmeasured {
		return measured
	}
	return measured - time.Duration(candidate.Forgotten*float64(measured-unmeasured))
}

// Rank returns the indexes of the candidates, the best first. Drawn are numbers
// from 0 up to 1, one a candidate, by which equals are shared out.
func Rank(candidates []Candidate, drawn []float64) []int {
	order := make([]int, len(candidates))
	expected := make([]float64, len(candidates))
	for index := range candidates {
		order[index] = index
		// A tenth either way keeps entries from choosing the same target all
		// at once.
		expected[index] = float64(candidates[index].Expect()) * (0.95 + 0.1*drawn[index])
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

// HedgeDelay returns how long an attempt is waited for before a second target is
// asked: until the first one's answer is overdue, but not longer than the second
// one needs to answer within the time that is left.
func HedgeDelay(first, second *Candidate, left time.Duration) time.Duration {
	overdue := max(leastHedgeDelay, first.usual(first.Usual))
	last := left - max(second.Expect(), second.usual(second.Usual))
	if last < leastHedgeDelay {
		// Too late for the second one to be of full use: only a first one that
		// is far overdue is worth it.
		return overdue
	}
	return min(overdue, last)
}

// Spread draws a span evenly from a share of it up to all of it.
func Spread(span time.Duration, drawn float64) time.Duration {
	return time.Duration(float64(span) * (0.5 + math.Min(1, math.Max(0, drawn))/2))
}
