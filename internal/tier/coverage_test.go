package tier_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

type (
	// coverageCase is a state of the tier, a caller's request, and the expected
	// answer or refusal.
	coverageCase struct {
		// lostShards lists the shards whose replicas are all down, and lostFor says for how long.
		lostShards []int
		lostFor    time.Duration
		// minimumCoverage is the caller's minimum.
		minimumCoverage float64
		refusal         caller.RefusalKind
		// totalUnknown is true if the entries no longer know the number of shards.
		totalUnknown bool
	}
)

const (
	// beforeExpiry and afterExpiry are times after the loss of a target: before and
	// after its announcement expires.
	beforeExpiry = 100 * time.Millisecond
	afterExpiry  = 5 * time.Second
)

var _ = ginkgo.DescribeTable("coverage", func(testCase coverageCase) {
	withTier(func(expect gomega.Gomega, load *load) {
		load.sendSteadily(100, time.Second)
		load.reset()
		for _, shard := range testCase.lostShards {
			for _, lost := range load.targetsOfShard(shard) {
				load.network.Down(lost.IP())
			}
		}
		time.Sleep(testCase.lostFor)
		request := newSearch("coverage")
		request.MinimumCoverage = testCase.minimumCoverage
		load.send(0, request)
		load.running.Wait()
		testCase.check(expect, load)
	})
},
	ginkgo.Entry("is complete when no target is down", coverageCase{minimumCoverage: 1}),
	ginkgo.Entry("lists a shard as missing right after its loss", coverageCase{lostShards: []int{1}, lostFor: beforeExpiry}),
	ginkgo.Entry("includes a shard in the total after its targets have expired from the directory", coverageCase{lostShards: []int{1}, lostFor: afterExpiry}),
	ginkgo.Entry("lists two missing shards", coverageCase{lostShards: []int{0, 3}, lostFor: afterExpiry}),
	ginkgo.Entry("answers at the caller's minimum", coverageCase{lostShards: []int{1}, lostFor: afterExpiry, minimumCoverage: 0.75}),
	ginkgo.Entry("refuses below the caller's minimum", coverageCase{lostShards: []int{1, 2}, lostFor: afterExpiry, minimumCoverage: 0.75, refusal: caller.RefusedNoReplica}),
	ginkgo.Entry("refuses when complete coverage is required but impossible", coverageCase{lostShards: []int{1}, lostFor: beforeExpiry, minimumCoverage: 1, refusal: caller.RefusedCoverage}),
	ginkgo.Entry("refuses when all shards are lost", coverageCase{lostShards: []int{0, 1, 2, 3}, lostFor: beforeExpiry, refusal: caller.RefusedNoReplica}),
	ginkgo.Entry("doesn't guess the number of shards", coverageCase{lostShards: []int{0, 1, 2, 3}, lostFor: afterExpiry, refusal: caller.RefusedNoReplica, totalUnknown: true}),
)

func (coverageCase *coverageCase) check(expect gomega.Gomega, load *load) {
	if coverageCase.refusal == "" {
		expect.Expect(load.answers).To(gomega.HaveLen(1))
		coverage := &load.answers[0].Coverage
		coverageCase.checkCoverage(expect, coverage)
		expect.Expect(coverage.Answered).To(gomega.Equal(coverage.Total - len(coverageCase.lostShards)))
		return
	}
	expect.Expect(load.refusals).To(gomega.HaveLen(1))
	refusal := load.refusals[0]
	expect.Expect(refusal.Kind).To(gomega.Equal(coverageCase.refusal))
	expect.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">", 0))
	// Waiting can't improve the coverage, so the entry refuses at once.
	expect.Expect(load.latencies[0]).To(gomega.BeNumerically("<", newSearch("").Timeout.Std()/2))
	coverageCase.checkCoverage(expect, refusal.Coverage)
}

func (coverageCase *coverageCase) checkCoverage(expect gomega.Gomega, coverage *caller.Coverage) {
	expect.Expect(coverage.Known).To(gomega.Equal(!coverageCase.totalUnknown))
	if coverageCase.totalUnknown {
		return
	}
	expect.Expect(coverage.Total).To(gomega.Equal(small.Pools[0].Shards))
	expect.Expect(coverage.Complete).To(gomega.Equal(len(coverageCase.lostShards) == 0))
	expect.Expect(coverage.Answered + len(coverage.Missing)).To(gomega.Equal(coverage.Total))
	reasons := map[int]caller.MissingReason{}
	for _, missing := range coverage.Missing {
		reasons[missing.Shard] = missing.Reason
		expect.Expect(missing.Reason).NotTo(gomega.Equal(caller.MissingDeadline))
	}
	for _, shard := range coverageCase.lostShards {
		expect.Expect(reasons).To(gomega.HaveKeyWithValue(shard, caller.MissingNoReplica))
	}
}
