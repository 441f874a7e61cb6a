package tier_test

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

const (
	// impatience ends while targets are at work, so that their homes open
	// further connections to cancel the runs.
	impatience        = 4 * time.Millisecond
	impatientInterval = time.Millisecond
	// fillSpan is long enough for homes to open all that they may.
	fillSpan = 300 * time.Millisecond
)

// impatient sends searches whose callers go away while they run.
func (load *load) impatient() {
	for number := range int(fillSpan / impatientInterval) {
		load.running.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), impatience)
			defer cancel()
			client := load.tier.Client(load.tier.Entries()[number%len(load.tier.Entries())])
			defer client.Close()
			_, _ = client.Send(ctx, search(fmt.Sprintf("impatient %d %d", number, time.Now().UnixNano())))
		})
		time.Sleep(impatientInterval)
	}
	load.running.Wait()
}

// isolate cuts an entry off from all others, or ends that.
func (load *load) isolate(ip string, do func(from, to string)) {
	others := []string{"10.0.0.1", "10.0.0.2"}
	for _, process := range append(load.tier.Replicas(), load.tier.Entries()...) {
		others = append(others, process.IP())
	}
	for _, target := range load.tier.Targets() {
		others = append(others, target.IP())
	}
	for _, other := range others {
		do(ip, other)
		do(other, ip)
	}
}

var _ = ginkgo.Describe("a takeover", func() {
	ginkgo.It("keeps a target's connections when homes are cut off one after the other", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			lost := load.tier.Entries()[:2]
			load.impatient()
			for _, entry := range lost {
				load.isolate(entry.IP(), load.network.Cut)
				time.Sleep(recovery)
				load.impatient()
			}
			load.bears(expect)
			for _, entry := range lost {
				load.isolate(entry.IP(), load.network.Heal)
			}
			time.Sleep(recovery)
			load.impatient()
			load.bears(expect)
			load.steady(100, time.Second)
			expect.Expect(load.complete()).To(gomega.Equal(100))
		})
	})

	ginkgo.It("counts the silent connections of a home that stopped", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.impatient()
			for _, target := range load.tier.Targets() {
				load.network.Silence(target.IP())
			}
			for _, stopped := range load.tier.Entries()[:2] {
				load.running.Go(func() { _ = load.tier.StopProcess(context.Background(), stopped) })
			}
			time.Sleep(recovery)
			load.impatient()
			load.bears(expect)
		})
	})
})
