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

// paired is one pool of two shards with two replicas each, so that an entry
// may have no replica near it.
var paired = standin.Deployment{
	Name: "paired", FailureDomains: standin.Banaag.FailureDomains,
	Pools:          []standin.PoolShape{{Name: "desk", Shards: 2, Targets: 4, Slots: 3, Connections: 40}},
	BetweenRegions: standin.Banaag.BetweenRegions,
	ToClients:      standin.Banaag.ToClients,
}

var _ = ginkgo.Describe("the tail", func() {
	ginkgo.It("stays within its bound when one replica of each shard is lost and the others are in other regions", func() {
		withDeployment(paired, tier.Latency(paired), func(expect gomega.Gomega, load *load) {
			load.steady(200, 2*time.Second)
			load.reset()
			for shard := range paired.Pools[0].Shards {
				load.network.Down(load.byShard(shard)[0].IP())
			}
			load.steady(200, 3*time.Second)
			expect.Expect(load.complete()).To(gomega.Equal(600))
			expect.Expect(load.quantile(0.99)).To(gomega.BeNumerically("<=", latencyBound))
		})
	})
})

var _ = ginkgo.Describe("overload by callers that accept any coverage", func() {
	ginkgo.It("leaves the whole answers at nine in ten of their peak, and refuses at once and truly", func() {
		withDeployment(paired, tier.Latency(paired), func(expect gomega.Gomega, load *load) {
			// Twelve slots, runs of 12 ms and two shards: 500 requests a second.
			const capacity = 500
			for _, slowed := range load.tier.Targets() {
				slowed.Behave(func(behaviour *standin.Behaviour) {
					behaviour.Work = func(*target.Run) time.Duration { return 12 * time.Millisecond }
				})
			}
			load.timeout = 200 * time.Millisecond
			load.steady(capacity/10, 2*time.Second)
			var whole []int
			for _, multiple := range []int{1, 2, 5} {
				load.reset()
				before := load.runs()
				load.steady(multiple*capacity, time.Second)
				whole = append(whole, load.complete())
				// Two shards each, and the extra load of the budgets.
				expect.Expect(load.runs() - before).To(gomega.BeNumerically("<=", multiple*capacity*2*115/100))
				for _, refusal := range load.refusals {
					expect.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">", 0))
					if refusal.Run == caller.NotRun {
						expect.Expect(load.tier.Runs(refusal.RequestID)).To(gomega.BeZero(), string(refusal.Kind))
					}
				}
			}
			for _, count := range whole {
				expect.Expect(count).To(gomega.BeNumerically(">=", slices.Max(whole)*9/10), fmt.Sprint(whole))
			}
			for _, loaded := range load.tier.Targets() {
				expect.Expect(loaded.Record().Peak).To(gomega.BeNumerically("<=", paired.Pools[0].Slots))
			}
		})
	})
})
