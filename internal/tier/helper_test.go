// This file exists so that specs start a tier whose targets they change
// beforehand.

package tier_test

import (
	"context"
	"io"
	"time"

	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

// withOneEntry runs a spec on a small tier of one entry in each failure domain.
// The change, where there is one, is made to each announcement before its
// target starts.
func withOneEntry(change func(network *standin.Network, announcement *target.Announcement), body func(expect gomega.Gomega, load *load)) {
	bubble.Run(suite, func(expect gomega.Gomega) {
		network := &standin.Network{}
		network.SetLatency(func(_, _ string) time.Duration { return 500 * time.Microsecond })
		started, err := tier.Start(context.Background(), tier.Options{
			Deployment: small, Memory: network, Logs: io.Discard,
			Behave: func(announcement *target.Announcement) standin.Behaviour {
				if change != nil {
					change(network, announcement)
				}
				return standin.Behaviour{Work: func(*target.Run) time.Duration { return work }, ColdSlots: 1, ColdRunsPerSecond: 200, WarmAfterRuns: 20}
			},
		})
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = started.Stop(context.Background()) }()
		body(expect, &load{tier: started, network: network})
	})
}
