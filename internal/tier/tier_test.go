package tier_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
)

var suite *testing.T

func TestTier(t *testing.T) {
	suite = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "tier")
}

var _ = ginkgo.Describe("a tier on a network in memory", func() {
	ginkgo.It("starts, serves and stops in the runtime's paused clock", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			network := &standin.Network{}
			network.SetLatency(func(_, _ string) time.Duration { return time.Millisecond })
			started, err := tier.Start(context.Background(), tier.Options{
				Deployment: standin.Atelier, EntriesPerFailureDomain: 2, Memory: network, Logs: io.Discard,
			})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(started.Entries()).To(gomega.HaveLen(6))
			expect.Expect(started.Stop(context.Background())).To(gomega.Succeed())
		})
	})
})
