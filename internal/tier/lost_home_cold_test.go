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

// coldest are limits of a cold start that lasts for a whole spec.
var coldest = operator.Cold{Slots: 1, RunsPerSecond: 20, WarmAfterRuns: 10000}

// withCold runs a spec on a small tier whose targets stay in cold start.
func withCold(body func(expect gomega.Gomega, load *load)) {
	bubble.Run(suite, func(expect gomega.Gomega) {
		network := &standin.Network{}
		network.SetLatency(func(_, _ string) time.Duration { return 500 * time.Microsecond })
		tables := small.Tables()
		tables.Pools[0].Cold = coldest
		started, err := tier.Start(context.Background(), tier.Options{
			Deployment: small, EntriesPerFailureDomain: 2, Memory: network, Logs: io.Discard, Tables: &tables,
			Behave: func(*target.Announcement) standin.Behaviour {
				return standin.Behaviour{
					Work:      func(*target.Run) time.Duration { return work },
					ColdSlots: coldest.Slots, ColdRunsPerSecond: coldest.RunsPerSecond, WarmAfterRuns: coldest.WarmAfterRuns,
				}
			},
		})
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = started.Stop(context.Background()) }()
		body(expect, &load{tier: started, network: network})
	})
}

var _ = ginkgo.Describe("a home that is lost", func() {
	ginkgo.DescribeTable("leaves its targets in cold start within their cold limits",
		func(after time.Duration, lose func(load *load, lost *tier.Process)) {
			withCold(func(expect gomega.Gomega, load *load) {
				for _, cooled := range load.tier.Targets() {
					load.network.Break(cooled.IP())
					cooled.TurnCold()
				}
				lost := load.tier.Entries()[0]
				load.running.Go(func() {
					for range 2 * int(recovery/fillSpan) {
						load.press(load.tier.Entries(), `"short"`, coldest.RunsPerSecond, true)
						time.Sleep(fillSpan)
					}
				})
				time.Sleep(after)
				lose(load, lost)
				time.Sleep(recovery)
				before := load.runs()
				time.Sleep(time.Second)
				expect.Expect(load.runs()).To(gomega.BeNumerically(">", before))
				load.running.Wait()
				for _, cooled := range load.tier.Targets() {
					record := cooled.Record()
					expect.Expect(record.PeakCold).To(gomega.Equal(coldest.Slots), cooled.Announcement().ID)
					expect.Expect(record.PeakColdPerSecond).To(gomega.BeNumerically("<=", coldest.RunsPerSecond), cooled.Announcement().ID)
				}
			})
		},
		ginkgo.Entry("with its VM", time.Second, func(load *load, lost *tier.Process) {
			load.running.Go(func() { load.tier.Kill(lost) })
		}),
		// The end of the lease falls on different parts of the cold second.
		ginkgo.Entry("cut off from control alone, so that it goes on until its lease ends", time.Second, loseControlAt),
		ginkgo.Entry("cut off from control alone, a little later", 1300*time.Millisecond, loseControlAt),
		ginkgo.Entry("cut off from control alone, later still", 1600*time.Millisecond, loseControlAt),
	)
})

func loseControlAt(load *load, lost *tier.Process) {
	for _, replica := range load.tier.Replicas() {
		load.network.Cut(lost.IP(), replica.IP())
	}
}
