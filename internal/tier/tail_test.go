package tier_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
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
