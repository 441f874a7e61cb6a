package tier_test

import (
	"context"
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

var _ = ginkgo.Describe("a tier on an in-memory network", func() {
	ginkgo.It("starts, serves and stops under the runtime's fake clock", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			started, _ := startTier(expect, func(_, _ string) time.Duration { return time.Millisecond }, tier.Options{Deployment: standin.Atelier, EntriesPerFailureDomain: 2})
			expect.Expect(started.Entries()).To(gomega.HaveLen(6))
			expect.Expect(started.Stop(context.Background())).To(gomega.Succeed())
		})
	})
})
