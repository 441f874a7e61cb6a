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
	shardsAsked  = 30
	queryEvery   = 660 * time.Millisecond
	lossySpan    = 20 * time.Second
	lossyShare   = 0.4
	answerWithin = 9 * time.Millisecond
)

// losses replays queries of one entry of many over shards of three targets each,
// of which every second one loses answers, and counts the lost ones. Heed says
// what the choice knows of losses.
func losses(heed func(lost float64) float64) int {
	random := rand.New(rand.NewPCG(1, 1))
	var shards [shardsAsked][3]*Target
	for shard := range shards {
		for number := range shards[shard] {
			shards[shard][number] = newTarget(&Record{ID: fmt.Sprint(shard, number), Slots: 4})
		}
	}
	lost := 0
	for end := time.Now().Add(lossySpan); time.Now().Before(end); time.Sleep(queryEvery) {
		for shard := range shards {
			now := time.Now()
			candidates := make([]policy.Candidate, len(shards[shard]))
			for number, target := range shards[shard] {
				condition := target.Condition(now)
				candidates[number] = policy.Candidate{
					RoundTrip: []time.Duration{time.Millisecond, 3 * time.Millisecond, 25 * time.Millisecond}[number], Slots: 4, Connected: true,
					Suspect: condition.Suspect, Lost: heed(condition.Lost), Measured: condition.Known, Latency: condition.Latency, Usual: condition.Usual,
				}
			}
			number := policy.Rank(candidates, []float64{0.5, 0.5, 0.5})[0]
			target := shards[shard][number]
			target.begin(now)
			if (shard+number)%2 == 0 && random.Float64() < lossyShare {
				target.failed(now, now)
				lost++
			} else {
				target.answered(now, now.Add(answerWithin))
			}
		}
	}
	return lost
}

var _ = ginkgo.Describe("a target that loses answers", func() {
	ginkgo.It("is left by an entry that asks it seldom", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			unheeded := losses(func(float64) float64 { return 0 })
			heeded := losses(func(lost float64) float64 { return lost })
			expect.Expect(heeded).To(gomega.BeNumerically("<", unheeded/2), "%d lost without heed", unheeded)
			ginkgo.GinkgoWriter.Printf("lost %d of %d, %d without heed\n", heeded, shardsAsked*int(lossySpan/queryEvery), unheeded)
		})
	})
})
