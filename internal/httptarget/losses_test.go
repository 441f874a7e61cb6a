package httptarget

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

const (
	shardCount    = 30
	queryInterval = 660 * time.Millisecond
	simulatedSpan = 20 * time.Second
	lossRate      = 0.4
	answerTime    = 9 * time.Millisecond
)

// simulateLosses simulates the queries of one entry among many, over shards of three
// targets each, and returns the number of lost answers. Every second target loses
// answers. The function reportedLoss maps a target's loss share to the one that the
// ranking uses.
func simulateLosses(reportedLoss func(lossShare float64) float64) int {
	random := rand.New(rand.NewPCG(1, 1))
	var shards [shardCount][3]*Target
	for shard := range shards {
		for replica := range shards[shard] {
			shards[shard][replica] = newTarget(&Record{ID: fmt.Sprint(shard, replica), Slots: 4})
		}
	}
	lost := 0
	for end := time.Now().Add(simulatedSpan); time.Now().Before(end); time.Sleep(queryInterval) {
		for shard := range shards {
			now := time.Now()
			candidates := make([]policy.Candidate, len(shards[shard]))
			for replica, target := range shards[shard] {
				condition := target.Condition(now)
				candidates[replica] = policy.Candidate{
					RoundTrip: []time.Duration{time.Millisecond, 3 * time.Millisecond, 25 * time.Millisecond}[replica], Slots: 4, Connected: true,
					Suspect: condition.Suspect, FailureShare: reportedLoss(condition.FailureShare), Measured: condition.Measured, Latency: condition.Latency, UsualLatency: condition.UsualLatency,
				}
			}
			replica := policy.Rank(candidates, []float64{0.5, 0.5, 0.5})[0]
			target := shards[shard][replica]
			target.beginAttempt(now)
			if (shard+replica)%2 == 0 && random.Float64() < lossRate {
				target.recordFailure(now, now)
				lost++
			} else {
				target.recordAnswer(now, now.Add(answerTime))
			}
		}
	}
	return lost
}

var _ = ginkgo.Describe("a target that loses answers", func() {
	ginkgo.It("is avoided by an entry that seldom sends it requests", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			lostWithoutReport := simulateLosses(func(float64) float64 { return 0 })
			lostWithReport := simulateLosses(func(lossShare float64) float64 { return lossShare })
			expect.Expect(lostWithReport).To(gomega.BeNumerically("<", lostWithoutReport/2), "the ranking must at least halve the %d answers lost when it ignores losses", lostWithoutReport)
			ginkgo.GinkgoWriter.Printf("lost %d of %d, %d when the ranking ignores losses\n", lostWithReport, shardCount*int(simulatedSpan/queryInterval), lostWithoutReport)
		})
	})
})
