package tier_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

type (
	// coverageCase is a state of the tier, what a caller asks for, and what
	// it is told.
	coverageCase struct {
		// lost lists the shards whose replicas are all lost, for as long.
		lost []int
		span time.Duration
		// minimum is the coverage that the caller asks for.
		minimum float64
		refusal caller.RefusalKind
		// unknown states that the number of shards isn't known any more.
		unknown bool
	}
)

const (
	// beforeExpiry and afterExpiry lie on either side of the end of a lost
	// target's announcement.
	beforeExpiry = 100 * time.Millisecond
	afterExpiry  = 5 * time.Second
)

var _ = ginkgo.DescribeTable("coverage", func(row coverageCase) {
	withTier(func(expect gomega.Gomega, load *load) {
		load.steady(100, time.Second)
		load.reset()
		for _, shard := range row.lost {
			for _, lost := range load.byShard(shard) {
				load.network.Down(lost.IP())
			}
		}
		time.Sleep(row.span)
		request := search("coverage")
		request.MinimumCoverage = row.minimum
		load.send(0, request)
		load.running.Wait()
		row.check(expect, load)
	})
},
	ginkgo.Entry("is whole when nothing is lost", coverageCase{minimum: 1}),
	ginkgo.Entry("names a shard that is just lost", coverageCase{lost: []int{1}, span: beforeExpiry}),
	ginkgo.Entry("counts a shard in whose targets are no longer known", coverageCase{lost: []int{1}, span: afterExpiry}),
	ginkgo.Entry("names two shards", coverageCase{lost: []int{0, 3}, span: afterExpiry}),
	ginkgo.Entry("answers at the caller's minimum", coverageCase{lost: []int{1}, span: afterExpiry, minimum: 0.75}),
	ginkgo.Entry("refuses below the caller's minimum", coverageCase{lost: []int{1, 2}, span: afterExpiry, minimum: 0.75, refusal: caller.RefusedNoReplica}),
	ginkgo.Entry("refuses what can't be whole", coverageCase{lost: []int{1}, span: beforeExpiry, minimum: 1, refusal: caller.RefusedCoverage}),
	ginkgo.Entry("refuses when all is lost", coverageCase{lost: []int{0, 1, 2, 3}, span: beforeExpiry, refusal: caller.RefusedNoReplica}),
	ginkgo.Entry("doesn't guess the number of shards", coverageCase{lost: []int{0, 1, 2, 3}, span: afterExpiry, refusal: caller.RefusedNoReplica, unknown: true}),
)

func (coverageCase *coverageCase) check(expect gomega.Gomega, load *load) {
	if coverageCase.refusal == "" {
		expect.Expect(load.answers).To(gomega.HaveLen(1))
		coverage := &load.answers[0].Coverage
		coverageCase.checkCoverage(expect, coverage)
		expect.Expect(coverage.Answered).To(gomega.Equal(coverage.Total - len(coverageCase.lost)))
		return
	}
	expect.Expect(load.refusals).To(gomega.HaveLen(1))
	refusal := load.refusals[0]
	expect.Expect(refusal.Kind).To(gomega.Equal(coverageCase.refusal))
	expect.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">", 0))
	// It can't get better by waiting, and is told at once.
	expect.Expect(load.latencies[0]).To(gomega.BeNumerically("<", search("").Timeout.Std()/2))
	coverageCase.checkCoverage(expect, refusal.Coverage)
}

func (coverageCase *coverageCase) checkCoverage(expect gomega.Gomega, coverage *caller.Coverage) {
	expect.Expect(coverage.Known).To(gomega.Equal(!coverageCase.unknown))
	if coverageCase.unknown {
		return
	}
	expect.Expect(coverage.Total).To(gomega.Equal(small.Pools[0].Shards))
	expect.Expect(coverage.Complete).To(gomega.Equal(len(coverageCase.lost) == 0))
	expect.Expect(coverage.Answered + len(coverage.Missing)).To(gomega.Equal(coverage.Total))
	reasons := map[int]caller.MissingReason{}
	for _, missing := range coverage.Missing {
		reasons[missing.Shard] = missing.Reason
		expect.Expect(missing.Reason).NotTo(gomega.Equal(caller.MissingDeadline))
	}
	for _, shard := range coverageCase.lost {
		expect.Expect(reasons).To(gomega.HaveKeyWithValue(shard, caller.MissingNoReplica))
	}
}
