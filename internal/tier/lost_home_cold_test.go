package tier_test

import (
	"context"
	"io"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

// lastingColdStart are the limits of a cold start that outlasts the spec.
var lastingColdStart = operator.Cold{Slots: 1, RunsPerSecond: 20, WarmAfterRuns: 10000}

// withColdTargets runs a spec on a tier of the deployment small whose targets stay in cold
// start.
func withColdTargets(body func(expect gomega.Gomega, load *load)) {
	bubble.Run(suite, func(expect gomega.Gomega) {
		network := &standin.Network{}
		network.SetLatency(func(_, _ string) time.Duration { return 500 * time.Microsecond })
		tables := small.Tables()
		tables.Pools[0].Cold = lastingColdStart
		started, err := tier.Start(context.Background(), tier.Options{
			Deployment: small, EntriesPerFailureDomain: 2, Network: network, Logs: io.Discard, Tables: &tables,
			TargetBehaviour: func(*target.Announcement) standin.Behaviour {
				return standin.Behaviour{
					RunDuration: func(*target.Run) time.Duration { return runDuration },
					ColdSlots:   lastingColdStart.Slots, ColdRunsPerSecond: lastingColdStart.RunsPerSecond, WarmAfterRuns: lastingColdStart.WarmAfterRuns,
				}
			},
		})
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = started.Stop(context.Background()) }()
		body(expect, &load{tier: started, network: network})
	})
}

var _ = ginkgo.Describe("a home that is lost", func() {
	ginkgo.DescribeTable("doesn't cause its targets in cold start to exceed their cold limits",
		func(delay time.Duration, lose func(load *load, lost *tier.Process)) {
			withColdTargets(func(expect gomega.Gomega, load *load) {
				for _, coldTarget := range load.tier.Targets() {
					load.network.Break(coldTarget.IP())
					coldTarget.TurnCold()
				}
				lost := load.tier.Entries()[0]
				load.running.Go(func() {
					for range 2 * int(recoverySpan/fillSpan) {
						load.sendBatches(load.tier.Entries(), `"short"`, lastingColdStart.RunsPerSecond, true)
						time.Sleep(fillSpan)
					}
				})
				time.Sleep(delay)
				lose(load, lost)
				time.Sleep(recoverySpan)
				before := load.totalRuns()
				time.Sleep(time.Second)
				expect.Expect(load.totalRuns()).To(gomega.BeNumerically(">", before))
				load.running.Wait()
				for _, coldTarget := range load.tier.Targets() {
					record := coldTarget.Record()
					expect.Expect(record.PeakCold).To(gomega.Equal(lastingColdStart.Slots), coldTarget.Announcement().ID)
					expect.Expect(record.PeakColdPerSecond).To(gomega.BeNumerically("<=", lastingColdStart.RunsPerSecond), coldTarget.Announcement().ID)
				}
			})
		},
		ginkgo.Entry("when its VM is lost", time.Second, func(load *load, lost *tier.Process) {
			load.running.Go(func() { load.tier.Kill(lost) })
		}),
		// The delays vary the point within a second of cold start at which the lease ends.
		ginkgo.Entry("when it is cut off from control alone and continues until its lease ends", time.Second, cutFromControl),
		ginkgo.Entry("when it is cut off from control alone a little later", 1300*time.Millisecond, cutFromControl),
		ginkgo.Entry("when it is cut off from control alone later still", 1600*time.Millisecond, cutFromControl),
	)
})

func cutFromControl(load *load, lost *tier.Process) {
	for _, replica := range load.tier.Replicas() {
		load.network.Cut(lost.IP(), replica.IP())
	}
}
