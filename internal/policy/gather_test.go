package policy_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

const (
	// Each target pauses once per pauseInterval, for pauseDuration.
	pauseInterval = 3600 * time.Millisecond
	pauseDuration = 150 * time.Millisecond
	// transferTime is the time that an answer takes back to the caller.
	transferTime = 15 * time.Millisecond
	// lateFactor is the share of its value that an answer retains after the target
	// latency.
	lateFactor = 0.1
	queryCount = 4000
)

type (
	// pausingTargets simulates targets that pause briefly at different times, with
	// the figures of the users' first requirements: ten shards (54 in a second run),
	// answers after about 8 ms, and a second target 30 ms away.
	pausingTargets struct {
		random        *rand.Rand
		shards        int
		targetLatency time.Duration
	}

	// strategy decides from the arrival times of the parts when to answer and with
	// how many parts.
	strategy func(arrivals []time.Duration, minimumCoverage float64, targetLatency time.Duration) (parts int, at time.Duration)
)

// arrivals returns random arrival times of the parts of one query, in order. A hedge
// is sent after 20 ms.
func (pausingTargets *pausingTargets) arrivals() []time.Duration {
	arrivals := make([]time.Duration, pausingTargets.shards)
	for index := range arrivals {
		first := pausingTargets.answerTime(4 * time.Millisecond)
		second := 20*time.Millisecond + pausingTargets.answerTime(28*time.Millisecond)
		arrivals[index] = min(first, second)
	}
	slices.Sort(arrivals)
	return arrivals
}

// answerTime returns a random time to the answer of one target, which may be pausing.
func (pausingTargets *pausingTargets) answerTime(minimumTime time.Duration) time.Duration {
	elapsed := minimumTime + time.Duration(pausingTargets.random.Float64()*float64(8*time.Millisecond))
	if pauseLeft := pauseDuration - time.Duration(pausingTargets.random.Float64()*float64(pauseInterval)); pauseLeft > 0 {
		elapsed += pauseLeft
	}
	return elapsed
}

// decideByPolicy answers when QueryProgress.Decide says so.
func decideByPolicy(arrivals []time.Duration, minimumCoverage float64, targetLatency time.Duration) (int, time.Duration) {
	progress := policy.QueryProgress{Shards: len(arrivals), MinimumCoverage: minimumCoverage, TargetLatency: targetLatency, Limit: time.Second}
	for {
		progress.PartsReceived = 0
		for _, arrival := range arrivals {
			if arrival <= progress.Elapsed {
				progress.PartsReceived++
			}
		}
		decision, until := progress.Decide()
		if decision != policy.Wait {
			return progress.PartsReceived, progress.Elapsed
		}
		next := until
		for _, arrival := range arrivals {
			if arrival > progress.Elapsed {
				next = min(next, arrival)
			}
		}
		progress.Elapsed = next
	}
}

func waitForAll(arrivals []time.Duration, _ float64, _ time.Duration) (int, time.Duration) {
	return len(arrivals), arrivals[len(arrivals)-1]
}

func stopAtMinimum(arrivals []time.Duration, minimumCoverage float64, _ time.Duration) (int, time.Duration) {
	minimumParts := max(1, int(math.Ceil(minimumCoverage*float64(len(arrivals)))))
	return minimumParts, arrivals[minimumParts-1]
}

// meanValue returns the mean value of the answers of a strategy. The value of an
// answer is the square of its coverage, and a tenth of that after the target latency.
func (pausingTargets *pausingTargets) meanValue(strategy strategy) float64 {
	total := 0.0
	for range queryCount {
		parts, at := strategy(pausingTargets.arrivals(), 0.75, pausingTargets.targetLatency)
		share := float64(parts) / float64(pausingTargets.shards)
		value := share * share
		if at+transferTime > pausingTargets.targetLatency {
			value *= lateFactor
		}
		total += value
	}
	return total / float64(queryCount)
}

var _ = ginkgo.Describe("a query over shards", func() {
	ginkgo.DescribeTable("is decided by the parts that have arrived and the remaining time",
		func(progress policy.QueryProgress, expected policy.QueryDecision) {
			decision, _ := progress.Decide()
			gomega.Expect(decision).To(gomega.Equal(expected))
		},
		ginkgo.Entry("all parts arrived: answered at once", policy.QueryProgress{Shards: 10, PartsReceived: 10, MinimumCoverage: 0.9, TargetLatency: 100 * time.Millisecond, Limit: time.Second}, policy.Answer),
		ginkgo.Entry("enough parts, time left: waits for the rest", policy.QueryProgress{Shards: 10, PartsReceived: 9, MinimumCoverage: 0.9, TargetLatency: 100 * time.Millisecond, Limit: time.Second, Elapsed: 50 * time.Millisecond}, policy.Wait),
		ginkgo.Entry("enough parts, target latency close: partial answer", policy.QueryProgress{Shards: 10, PartsReceived: 9, MinimumCoverage: 0.9, TargetLatency: 100 * time.Millisecond, Limit: time.Second, Elapsed: 85 * time.Millisecond}, policy.Answer),
		ginkgo.Entry("too few parts, target latency passed: keeps waiting", policy.QueryProgress{Shards: 10, PartsReceived: 8, MinimumCoverage: 0.9, TargetLatency: 100 * time.Millisecond, Limit: time.Second, Elapsed: 200 * time.Millisecond}, policy.Wait),
		ginkgo.Entry("the other shards failed: answered at once", policy.QueryProgress{Shards: 10, PartsReceived: 9, Failed: 1, MinimumCoverage: 0.9, TargetLatency: 100 * time.Millisecond, Limit: time.Second}, policy.Answer),
		ginkgo.Entry("the minimum coverage can't be reached: given up at once", policy.QueryProgress{Shards: 10, PartsReceived: 5, Failed: 2, MinimumCoverage: 0.9, TargetLatency: 100 * time.Millisecond, Limit: time.Second}, policy.GiveUp),
		ginkgo.Entry("too few parts just before the limit: given up", policy.QueryProgress{Shards: 10, PartsReceived: 8, MinimumCoverage: 0.9, TargetLatency: 100 * time.Millisecond, Limit: time.Second, Elapsed: 976 * time.Millisecond}, policy.GiveUp),
	)

	ginkgo.It("rounds the minimum number of parts up", func() {
		gomega.Expect((&policy.QueryProgress{Shards: 10, MinimumCoverage: 0.89}).MinimumParts()).To(gomega.Equal(9))
		gomega.Expect((&policy.QueryProgress{Shards: 10, MinimumCoverage: 0.9}).MinimumParts()).To(gomega.Equal(9))
		gomega.Expect((&policy.QueryProgress{Shards: 54, MinimumCoverage: 0.95}).MinimumParts()).To(gomega.Equal(52))
		gomega.Expect((&policy.QueryProgress{Shards: 3}).MinimumParts()).To(gomega.Equal(1))
	})

	ginkgo.It("has a higher value than waiting for all parts or stopping at the minimum while targets pause", func() {
		for _, shards := range []int{10, 54} {
			newTargets := func() *pausingTargets {
				return &pausingTargets{random: rand.New(rand.NewPCG(1, 1)), shards: shards, targetLatency: 80 * time.Millisecond}
			}
			policyValue := newTargets().meanValue(decideByPolicy)
			ginkgo.GinkgoWriter.Printf("%d shards: policy %.3f, all parts %.3f, minimum %.3f\n", shards, policyValue, newTargets().meanValue(waitForAll), newTargets().meanValue(stopAtMinimum))
			gomega.Expect(policyValue).To(gomega.BeNumerically(">", newTargets().meanValue(waitForAll)))
			gomega.Expect(policyValue).To(gomega.BeNumerically(">", newTargets().meanValue(stopAtMinimum)))
		}
	})
})
