package policy_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

var _ = ginkgo.Describe("idle connections", func() {
	const connections, targets, entries = 70, 3, 76

	ginkgo.It("leave connections free for requests", func() {
		idle := policy.IdleConnections(connections, targets, entries, time.Minute)
		gomega.Expect(idle).To(gomega.Equal(2))
		gomega.Expect(idle * entries).To(gomega.BeNumerically("<", connections*targets))
		gomega.Expect(policy.IdleConnections(25, 3, 6, time.Minute)).To(gomega.Equal(3))
		gomega.Expect(policy.IdleConnections(2, 3, 600, time.Minute)).To(gomega.BeZero())
	})

	ginkgo.It("fit beside those of the previous processes when all entries restart at once", func() {
		previous := policy.IdleConnections(connections, targets, entries, time.Minute)
		restarted := policy.IdleConnections(connections, targets, entries, time.Second)
		gomega.Expect(restarted).To(gomega.BeNumerically(">", 0))
		gomega.Expect((previous+restarted)*entries-connections*targets).To(gomega.BeNumerically("<", entries/4), "fewer than a quarter of the entries may exceed the limit")
	})
})
