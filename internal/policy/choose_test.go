package policy_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

const (
	nearRoundTrip = time.Millisecond
	farRoundTrip  = 25 * time.Millisecond
)

// measured returns a connected, idle candidate with the given smoothed latency, and
// twice that as its usual latency.
func measured(roundTrip, latency time.Duration) policy.Candidate {
	return policy.Candidate{RoundTrip: roundTrip, Slots: 2, Measured: true, Latency: latency, UsualLatency: latency * 2, Connected: true}
}

// bestIndex returns the index of the candidate that Rank puts first without jitter.
func bestIndex(candidates ...policy.Candidate) int {
	random := make([]float64, len(candidates))
	for index := range random {
		random[index] = 0.5
	}
	return policy.Rank(candidates, random)[0]
}

var _ = ginkgo.Describe("target selection", func() {
	ginkgo.It("prefers the nearest healthy target", func() {
		gomega.Expect(bestIndex(measured(farRoundTrip, 33*time.Millisecond), measured(nearRoundTrip, 9*time.Millisecond))).To(gomega.Equal(1))
	})

	ginkgo.It("avoids a target whose oldest attempt is stalled", func() {
		paused := measured(nearRoundTrip, 9*time.Millisecond)
		paused.Running, paused.OldestAge = 1, 60*time.Millisecond
		gomega.Expect(bestIndex(paused, measured(farRoundTrip, 33*time.Millisecond))).To(gomega.Equal(1))
	})

	ginkgo.It("avoids a slow target until the measurement has decayed", func() {
		slow := measured(nearRoundTrip, 90*time.Millisecond)
		gomega.Expect(bestIndex(slow, measured(farRoundTrip, 33*time.Millisecond))).To(gomega.Equal(1))
		slow.StaleShare = 0.95
		gomega.Expect(bestIndex(slow, measured(farRoundTrip, 33*time.Millisecond))).To(gomega.Equal(0))
	})

	ginkgo.It("uses a target that has just failed only if no other is left", func() {
		suspect := measured(nearRoundTrip, 9*time.Millisecond)
		suspect.Suspect = true
		gomega.Expect(bestIndex(suspect, measured(farRoundTrip, 200*time.Millisecond))).To(gomega.Equal(1))
		gomega.Expect(bestIndex(suspect)).To(gomega.Equal(0))
	})

	ginkgo.It("avoids a target that loses a fifth of its answers, but not one that loses a hundredth", func() {
		lossy := measured(nearRoundTrip, 9*time.Millisecond)
		lossy.FailureShare = 0.2
		gomega.Expect(bestIndex(lossy, measured(farRoundTrip, 33*time.Millisecond))).To(gomega.Equal(1))
		lossy.FailureShare = 0.01
		gomega.Expect(bestIndex(lossy, measured(farRoundTrip, 33*time.Millisecond))).To(gomega.Equal(0))
	})

	ginkgo.It("avoids a cold target", func() {
		cold := measured(nearRoundTrip, 9*time.Millisecond)
		cold.Cold = true
		gomega.Expect(bestIndex(cold, measured(farRoundTrip, 33*time.Millisecond))).To(gomega.Equal(1))
	})

	ginkgo.It("avoids a target whose slots are all in use", func() {
		full := measured(nearRoundTrip, 9*time.Millisecond)
		full.Running, full.OldestAge = 8, 9*time.Millisecond
		gomega.Expect(bestIndex(full, measured(farRoundTrip, 33*time.Millisecond))).To(gomega.Equal(1))
	})

	ginkgo.It("includes the time to open a connection", func() {
		closed := measured(farRoundTrip, 33*time.Millisecond)
		closed.Connected = false
		gomega.Expect(bestIndex(closed, measured(farRoundTrip, 40*time.Millisecond))).To(gomega.Equal(1))
	})

	ginkgo.It("refuses a request that the best target can't answer in time", func() {
		crowded := measured(nearRoundTrip, 60*time.Millisecond)
		crowded.Running = 40
		gomega.Expect(policy.AdmitTarget(&crowded, 300*time.Millisecond)).To(gomega.BeFalse())
		gomega.Expect(policy.AdmitTarget(&crowded, 5*time.Second)).To(gomega.BeTrue())
	})
})

var _ = ginkgo.Describe("a hedge", func() {
	ginkgo.It("is sent once the answer is overdue", func() {
		first, second := measured(nearRoundTrip, 9*time.Millisecond), measured(farRoundTrip, 33*time.Millisecond)
		gomega.Expect(policy.HedgeDelay(&first, &second, time.Second)).To(gomega.Equal(18 * time.Millisecond))
	})

	ginkgo.It("is sent early enough for the second answer to arrive in time", func() {
		first, second := measured(nearRoundTrip, 50*time.Millisecond), measured(farRoundTrip, 33*time.Millisecond)
		gomega.Expect(policy.HedgeDelay(&first, &second, 90*time.Millisecond)).To(gomega.Equal(24 * time.Millisecond))
	})
})

var _ = ginkgo.Describe("admission", func() {
	ginkgo.It("reserves capacity for requests of higher priority", func() {
		gomega.Expect(policy.AdmitEntry(policy.MaximumInFlight*95/100, policy.Priority{Route: 0})).To(gomega.BeTrue())
		gomega.Expect(policy.AdmitEntry(policy.MaximumInFlight*95/100, policy.Priority{Route: 1})).To(gomega.BeFalse())
		gomega.Expect(policy.AdmitEntry(policy.MaximumInFlight, policy.Priority{Route: 0})).To(gomega.BeFalse())
	})

	ginkgo.It("adds jitter to the retry delay", func() {
		shortest, longest := policy.RetryAfter(policy.NoTarget, 0), policy.RetryAfter(policy.NoTarget, 0.999)
		gomega.Expect(shortest).To(gomega.BeNumerically(">", 0))
		gomega.Expect(longest).To(gomega.BeNumerically(">=", 2*shortest-time.Millisecond))
	})
})
