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
	pauseEvery = 3600 * time.Millisecond
	pauseSpan  = 150 * time.Millisecond
	wayBack    = 15 * time.Millisecond
	lateWorth  = 0.1
	queries    = 4000
)

type (
	// pausing replays targets that pause for a moment, each at its own time, at
	// the sizes of the users' first sheet: ten shards, one answer of 8 ms each,
	// a second target 30 ms away.
	pausing struct {
		random *rand.Rand
		shards int
		target time.Duration
	}

	// strategy says when to answer, given when each part comes in.
	strategy func(arrivals []time.Duration, minimum float64, target time.Duration) (parts int, at time.Duration)
)

// arrivals draws when the parts of one query come in. A part is hedged after
// 20 ms.
func (pausing *pausing) arrivals() []time.Duration {
	arrivals := make([]time.Duration, pausing.shards)
	for index := range arrivals {
		first := pausing.answer(4 * time.Millisecond)
		second := 20*time.Millisecond + pausing.answer(28*time.Millisecond)
		arrivals[index] = min(first, second)
	}
	slices.Sort(arrivals)
	return arrivals
}

func (pausing *pausing) answer(least time.Duration) time.Duration {
	took := least + time.Duration(pausing.random.Float64()*float64(8*time.Millisecond))
	if left := pauseSpan - time.Duration(pausing.random.Float64()*float64(pauseEvery)); left > 0 {
		took += left
	}
	return took
}

func chosen(arrivals []time.Duration, minimum float64, target time.Duration) (int, time.Duration) {
	state := policy.Gathering{Shards: len(arrivals), MinimumCoverage: minimum, TargetLatency: target, Limit: time.Second}
	for {
		state.In = 0
		for _, arrival := range arrivals {
			if arrival <= state.Elapsed {
				state.In++
			}
		}
		verdict, until := state.Decide()
		if verdict != policy.Wait {
			return state.In, state.Elapsed
		}
		next := until
		for _, arrival := range arrivals {
			if arrival > state.Elapsed {
				next = min(next, arrival)
			}
		}
		state.Elapsed = next
	}
}

func allIn(arrivals []time.Duration, _ float64, _ time.Duration) (int, time.Duration) {
	return len(arrivals), arrivals[len(arrivals)-1]
}

func firstAllowed(arrivals []time.Duration, minimum float64, _ time.Duration) (int, time.Duration) {
	least := max(1, int(math.Ceil(minimum*float64(len(arrivals)))))
	return least, arrivals[least-1]
}

// worth is the square of the coverage, and a tenth of it after the target.
func (pausing *pausing) worth(strategy strategy) float64 {
	total := 0.0
	for range queries {
		parts, at := strategy(pausing.arrivals(), 0.75, pausing.target)
		share := float64(parts) / float64(pausing.shards)
		value := share * share
		if at+wayBack > pausing.target {
			value *= lateWorth
		}
		total += value
	}
	return total / float64(queries)
}

var _ = ginkgo.Describe("a query over shards", func() {
	ginkgo.DescribeTable("is decided by what is in and what time is left",
		func(state policy.Gathering, expected policy.GatherVerdict) {
			verdict, _ := state.Decide()
			gomega.Expect(verdict).To(gomega.Equal(expected))
		},
		ginkgo.Entry("all in: answered at once", policy.Gathering{Shards: 10, In: 10, MinimumCoverage: 0.9, TargetLatency: 100 * time.Millisecond, Limit: time.Second}, policy.Answer),
		ginkgo.Entry("enough in, time left: waits for the rest", policy.Gathering{Shards: 10, In: 9, MinimumCoverage: 0.9, TargetLatency: 100 * time.Millisecond, Limit: time.Second, Elapsed: 50 * time.Millisecond}, policy.Wait),
		ginkgo.Entry("enough in, target latency near: answered in part", policy.Gathering{Shards: 10, In: 9, MinimumCoverage: 0.9, TargetLatency: 100 * time.Millisecond, Limit: time.Second, Elapsed: 85 * time.Millisecond}, policy.Answer),
		ginkgo.Entry("too little in, target latency past: waits on", policy.Gathering{Shards: 10, In: 8, MinimumCoverage: 0.9, TargetLatency: 100 * time.Millisecond, Limit: time.Second, Elapsed: 200 * time.Millisecond}, policy.Wait),
		ginkgo.Entry("the rest can't come: answered at once", policy.Gathering{Shards: 10, In: 9, Failed: 1, MinimumCoverage: 0.9, TargetLatency: 100 * time.Millisecond, Limit: time.Second}, policy.Answer),
		ginkgo.Entry("the minimum can't be reached: given up at once", policy.Gathering{Shards: 10, In: 5, Failed: 2, MinimumCoverage: 0.9, TargetLatency: 100 * time.Millisecond, Limit: time.Second}, policy.GiveUp),
		ginkgo.Entry("too little in at the end: given up in time", policy.Gathering{Shards: 10, In: 8, MinimumCoverage: 0.9, TargetLatency: 100 * time.Millisecond, Limit: time.Second, Elapsed: 976 * time.Millisecond}, policy.GiveUp),
	)

	ginkgo.It("needs a whole number of parts", func() {
		gomega.Expect((&policy.Gathering{Shards: 10, MinimumCoverage: 0.89}).Least()).To(gomega.Equal(9))
		gomega.Expect((&policy.Gathering{Shards: 10, MinimumCoverage: 0.9}).Least()).To(gomega.Equal(9))
		gomega.Expect((&policy.Gathering{Shards: 54, MinimumCoverage: 0.95}).Least()).To(gomega.Equal(52))
		gomega.Expect((&policy.Gathering{Shards: 3}).Least()).To(gomega.Equal(1))
	})

	ginkgo.It("is worth more than one answered when all is in, or at the first allowed moment, while targets pause", func() {
		for _, shards := range []int{10, 54} {
			load := func() *pausing {
				return &pausing{random: rand.New(rand.NewPCG(1, 1)), shards: shards, target: 80 * time.Millisecond}
			}
			decided := load().worth(chosen)
			ginkgo.GinkgoWriter.Printf("%d shards: decided %.3f, all in %.3f, first allowed %.3f\n", shards, decided, load().worth(allIn), load().worth(firstAllowed))
			gomega.Expect(decided).To(gomega.BeNumerically(">", load().worth(allIn)))
			gomega.Expect(decided).To(gomega.BeNumerically(">", load().worth(firstAllowed)))
		}
	})
})
