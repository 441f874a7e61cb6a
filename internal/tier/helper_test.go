// Helpers that start the tiers of the specs.

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

// startTier starts a tier on an in-memory network. The tier must be stopped.
func startTier(expect gomega.Gomega, latency func(from, to string) time.Duration, options tier.Options) (*tier.Tier, *standin.Network) {
	if options.Network == nil {
		options.Network = &standin.Network{}
	}
	options.Network.SetLatency(latency)
	options.Logs = io.Discard
	started, err := tier.Start(context.Background(), options)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	return started, options.Network
}

// startAtelier starts the deployment standin.Atelier with six entries.
func startAtelier(expect gomega.Gomega, behave func(*target.Announcement) standin.Behaviour) (*tier.Tier, *standin.Network) {
	return startTier(expect, atelierLatency, tier.Options{Deployment: standin.Atelier, EntriesPerFailureDomain: 2, TargetBehaviour: behave})
}

// smallBehaviour is the behaviour of targets whose runs take runDuration and whose cold
// limits are low.
func smallBehaviour(*target.Announcement) standin.Behaviour {
	return standin.Behaviour{RunDuration: func(*target.Run) time.Duration { return runDuration }, ColdSlots: 1, ColdRunsPerSecond: 200, WarmAfterRuns: 20}
}

func smallLatency(_, _ string) time.Duration { return 500 * time.Microsecond }

// withTier runs a spec on a tier of the deployment small with two entries per failure domain.
func withTier(body func(expect gomega.Gomega, load *load)) {
	withDeployment(small, smallLatency, body)
}

func withDeployment(deployment standin.Deployment, latency func(from, to string) time.Duration, body func(expect gomega.Gomega, load *load)) {
	withOptions(latency, tier.Options{Deployment: deployment, EntriesPerFailureDomain: 2, TargetBehaviour: smallBehaviour}, body)
}

// withOneEntry runs a spec on a tier of the deployment small with one entry per
// failure domain. If change isn't nil, it is applied to each announcement before
// the target starts.
func withOneEntry(change func(network *standin.Network, announcement *target.Announcement), body func(expect gomega.Gomega, load *load)) {
	network := &standin.Network{}
	withOptions(smallLatency, tier.Options{Deployment: small, Network: network, TargetBehaviour: func(announcement *target.Announcement) standin.Behaviour {
		if change != nil {
			change(network, announcement)
		}
		return smallBehaviour(announcement)
	}}, body)
}

func withOptions(latency func(from, to string) time.Duration, options tier.Options, body func(expect gomega.Gomega, load *load)) {
	bubble.Run(suite, func(expect gomega.Gomega) {
		started, network := startTier(expect, latency, options)
		defer func() { _ = started.Stop(context.Background()) }()
		body(expect, &load{tier: started, network: network})
	})
}
