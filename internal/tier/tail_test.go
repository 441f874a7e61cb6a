package tier_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

// paired is a deployment of one pool with two shards and two replicas of each, so
// that some entries have no replica in their own region.
var paired = standin.Deployment{
	Name: "paired", FailureDomains: standin.Banaag.FailureDomains,
	Pools:          []standin.PoolShape{{Name: "desk", Shards: 2, Targets: 4, Slots: 3, Connections: 40}},
	BetweenRegions: standin.Banaag.BetweenRegions,
	ToClients:      standin.Banaag.ToClients,
}

var _ = ginkgo.Describe("the tail latency", func() {
	ginkgo.It("stays within its bound when one replica of each shard is lost and the others are in other regions", func() {
		withDeployment(paired, tier.Latency(paired), func(expect gomega.Gomega, load *load) {
			load.sendSteadily(200, 2*time.Second)
			load.reset()
			for shard := range paired.Pools[0].Shards {
				load.network.Down(load.targetsOfShard(shard)[0].IP())
			}
			load.sendSteadily(200, 3*time.Second)
			expect.Expect(load.completeAnswerCount()).To(gomega.Equal(600))
			expect.Expect(load.latencyQuantile(0.99)).To(gomega.BeNumerically("<=", latencyBound))
		})
	})
})

var _ = ginkgo.Describe("overload by callers that accept any coverage", func() {
	ginkgo.It("keeps the complete answers at 90 % of their peak or more, and refuses with the correct run outcome", func() {
		withDeployment(paired, tier.Latency(paired), func(expect gomega.Gomega, load *load) {
			// 12 slots, 12 ms a run and two runs a request give 500 requests per second.
			const capacity = 500
			for _, slowed := range load.tier.Targets() {
				slowed.Behave(func(behaviour *standin.Behaviour) {
					behaviour.RunDuration = func(*target.Run) time.Duration { return 12 * time.Millisecond }
				})
			}
			load.timeout = 200 * time.Millisecond
			load.sendSteadily(capacity/10, 2*time.Second)
			var completeCounts []int
			for _, multiple := range []int{1, 2, 5} {
				load.reset()
				before := load.totalRuns()
				load.sendSteadily(multiple*capacity, time.Second)
				completeCounts = append(completeCounts, load.completeAnswerCount())
				// Two runs per request, plus the 15 % that the budgets of hedges and retries allow.
				expect.Expect(load.totalRuns() - before).To(gomega.BeNumerically("<=", multiple*capacity*2*115/100))
				for _, refusal := range load.refusals {
					expect.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">", 0))
					if refusal.Run == caller.NotRun {
						expect.Expect(load.tier.Runs(refusal.RequestID)).To(gomega.BeZero(), string(refusal.Kind))
					}
				}
			}
			for _, count := range completeCounts {
				expect.Expect(count).To(gomega.BeNumerically(">=", slices.Max(completeCounts)*9/10), fmt.Sprint(completeCounts))
			}
			for _, loaded := range load.tier.Targets() {
				expect.Expect(loaded.Record().Peak).To(gomega.BeNumerically("<=", paired.Pools[0].Slots))
			}
		})
	})
})
