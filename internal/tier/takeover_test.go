package tier_test

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

const (
	// abandonAfter is the time after which callers abandon a search. Runs are then
	// still in progress, so the homes open more connections to cancel them.
	abandonAfter            = 4 * time.Millisecond
	abandonedSearchInterval = time.Millisecond
	// fillSpan is long enough for homes to open all the connections they are allowed.
	fillSpan = 300 * time.Millisecond
)

// sendAbandonedSearches sends searches whose callers disconnect while they run.
func (load *load) sendAbandonedSearches() {
	for number := range int(fillSpan / abandonedSearchInterval) {
		load.running.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), abandonAfter)
			defer cancel()
			client := load.tier.Client(load.tier.Entries()[number%len(load.tier.Entries())])
			defer client.Close()
			_, _ = client.Send(ctx, newSearch(fmt.Sprintf("impatient %d %d", number, time.Now().UnixNano())))
		})
		time.Sleep(abandonedSearchInterval)
	}
	load.running.Wait()
}

// isolate applies Cut or Heal to the links between an entry and all other addresses.
func (load *load) isolate(ip string, apply func(from, to string)) {
	others := []string{"10.0.0.1", "10.0.0.2"}
	for _, process := range append(load.tier.Replicas(), load.tier.Entries()...) {
		others = append(others, process.IP())
	}
	for _, target := range load.tier.Targets() {
		others = append(others, target.IP())
	}
	for _, other := range others {
		apply(ip, other)
		apply(other, ip)
	}
}

var _ = ginkgo.Describe("a takeover of targets by other homes", func() {
	ginkgo.It("keeps within the targets' connection limits when homes are cut off one after the other", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			lost := load.tier.Entries()[:2]
			load.sendAbandonedSearches()
			for _, entry := range lost {
				load.isolate(entry.IP(), load.network.Cut)
				time.Sleep(recoverySpan)
				load.sendAbandonedSearches()
			}
			load.expectWithinLimits(expect)
			for _, entry := range lost {
				load.isolate(entry.IP(), load.network.Heal)
			}
			time.Sleep(recoverySpan)
			load.sendAbandonedSearches()
			load.expectWithinLimits(expect)
			load.sendSteadily(100, time.Second)
			expect.Expect(load.completeAnswerCount()).To(gomega.Equal(100))
		})
	})

	ginkgo.It("counts the unresponsive connections of a stopped home towards the targets' connection limits", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.sendAbandonedSearches()
			for _, target := range load.tier.Targets() {
				load.network.Silence(target.IP())
			}
			for _, stopped := range load.tier.Entries()[:2] {
				load.running.Go(func() { _ = load.tier.StopProcess(context.Background(), stopped) })
			}
			time.Sleep(recoverySpan)
			load.sendAbandonedSearches()
			load.expectWithinLimits(expect)
		})
	})
})
