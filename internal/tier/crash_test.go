package tier_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// verdictSpan is the span within which a verdict is known at all entries.
	verdictSpan = time.Second
	// restartGap is the span between the restarts of two targets in a
	// deployment.
	restartGap = 50 * time.Millisecond
	// sendGap is the span between two requests of sendAll, so that targets in
	// cold start bear them.
	sendGap = 20 * time.Millisecond
)

// sendAll sends a request of each content at each entry, one after another,
// and waits for the end.
func (load *load) sendAll(contents []string) {
	for entry := range load.tier.Entries() {
		for _, content := range contents {
			load.send(entry, search(content))
			time.Sleep(sendGap)
		}
	}
	load.running.Wait()
}

// quarantined counts the refusals for a quarantine.
func (load *load) quarantined() int {
	count := 0
	for _, refusal := range load.refusals {
		if refusal.Kind == caller.RefusedQuarantined {
			count++
		}
	}
	return count
}

// restart restarts a target without warning: it is cold and its connections
// are broken.
func (load *load) restart(number int) {
	restarted := load.tier.Targets()[number]
	load.network.Break(restarted.IP())
	restarted.TurnCold()
}

// slow makes runs take so long that nearly each target that ends has some in
// progress.
func (load *load) slow() {
	for _, slowed := range load.tier.Targets() {
		slowed.Behave(func(behaviour *standin.Behaviour) {
			behaviour.Work = func(*target.Run) time.Duration { return 10 * time.Millisecond }
		})
	}
}

// sendThrough sends requests of one shard and of all in turn.
func (load *load) sendThrough(contents []string) {
	for number, content := range contents {
		request := search(content)
		if number%2 == 0 {
			request.ShardKey = content
		}
		load.send(number, request)
		time.Sleep(2 * time.Millisecond)
	}
}

// contents returns so many contents with a prefix.
func contents(prefix string, count int) []string {
	var made []string
	for number := range count {
		made = append(made, fmt.Sprintf("%s %d", prefix, number))
	}
	return made
}

// quarantinesWithin counts the quarantines of one content that end within a
// span, where the content is sent again as soon as it is allowed.
func quarantinesWithin(limit time.Duration) int {
	count, span := 0, blackboard.QuarantineSpan
	for ends := span; ends < limit; ends += span {
		count++
		span = min(4*span, blackboard.MaximumQuarantineSpan)
	}
	return count
}

var _ = ginkgo.Describe("a request that crashes targets", func() {
	ginkgo.It("loses in an hour no more targets than the quarantines allow, sent again every second", func() {
		seldom := func(_ *standin.Network, announcement *target.Announcement) {
			announcement.TTL = duration.Of(target.MaximumTTL)
		}
		withOneEntry(seldom, func(expect gomega.Gomega, load *load) {
			load.poison("hourly")
			for sending := range int(time.Hour / time.Second) {
				load.send(sending, search("hourly"))
				if sending%60 == 0 {
					load.send(sending+1, search(fmt.Sprintf("innocent %d", sending)))
				}
				time.Sleep(time.Second)
			}
			load.running.Wait()
			expect.Expect(quarantinesWithin(time.Hour)).To(gomega.Equal(3))
			expect.Expect(load.crashes()).To(gomega.BeNumerically("<=", small.Pools[0].Shards+3))
			// The innocent one of the first minute may be lost with its targets.
			expect.Expect(load.complete()).To(gomega.BeNumerically(">=", 59))
		})
	})

	ginkgo.It("loses at most as many targets for each entry, sent at all entries at the same time", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.poison("poison")
			entries, span := len(load.tier.Entries()), 6*time.Minute
			for range int(span / time.Second) {
				for entry := range entries {
					load.send(entry, search("poison"))
				}
				time.Sleep(time.Second)
			}
			load.running.Wait()
			expect.Expect(load.crashes()).To(gomega.BeNumerically("<=", entries*(small.Pools[0].Shards+quarantinesWithin(span))))
		})
	})

	ginkgo.It("is refused at every entry within a second, as not run, until its quarantine ends", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.poison("poison")
			load.send(0, search("poison"))
			time.Sleep(verdictSpan)
			load.running.Wait()
			load.reset()
			lost := load.crashes()
			entries := len(load.tier.Entries())
			load.sendAll([]string{"poison"})
			expect.Expect(load.refusals).To(gomega.HaveLen(entries))
			for _, refusal := range load.refusals {
				expect.Expect(refusal.Kind).To(gomega.Equal(caller.RefusedQuarantined))
				expect.Expect(refusal.Run).To(gomega.Equal(caller.NotRun))
				expect.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">", 0))
				expect.Expect(load.tier.Runs(refusal.RequestID)).To(gomega.BeZero())
			}
			expect.Expect(load.crashes()).To(gomega.Equal(lost))
			for _, mended := range load.tier.Targets() {
				mended.Behave(func(behaviour *standin.Behaviour) { behaviour.Crashes = nil })
			}
			load.reset()
			time.Sleep(blackboard.QuarantineSpan)
			load.sendAll([]string{"poison"})
			expect.Expect(load.complete()).To(gomega.Equal(entries))
		})
	})

	ginkgo.It("is refused within a second at an entry that starts during its quarantine", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.poison("poison")
			load.send(0, search("poison"))
			time.Sleep(verdictSpan)
			started := load.tier.Entries()[1]
			load.tier.Kill(started)
			time.Sleep(5 * time.Second)
			expect.Expect(load.tier.Restart(context.Background(), started)).To(gomega.Succeed())
			load.awaitServing(1)
			time.Sleep(verdictSpan)
			load.running.Wait()
			load.reset()
			lost := load.crashes()
			load.send(1, search("poison"))
			load.running.Wait()
			expect.Expect(load.quarantined()).To(gomega.Equal(1))
			expect.Expect(load.crashes()).To(gomega.Equal(lost))
		})
	})

	ginkgo.It("leaves no quarantine on the requests that ran beside ten of its kind", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			for _, crashing := range load.tier.Targets() {
				crashing.Behave(func(behaviour *standin.Behaviour) {
					behaviour.Crashes = func(run *target.Run) bool {
						poisoned := strings.HasPrefix(string(run.Payload), `"poison`)
						if poisoned {
							load.network.Break(crashing.IP())
						}
						return poisoned
					}
				})
			}
			innocents := contents("innocent", 3)
			for number, poison := range contents("poison", 10) {
				// A target in cold start runs nothing beside the request.
				load.steady(400, time.Second/2)
				for _, innocent := range innocents {
					load.send(number, search(innocent))
				}
				time.Sleep(2 * time.Millisecond)
				load.send(number, search(poison))
				load.running.Wait()
			}
			load.running.Wait()
			expect.Expect(load.crashes()).To(gomega.BeNumerically(">", 10))
			load.reset()
			load.sendAll(innocents)
			expect.Expect(load.complete()).To(gomega.Equal(len(innocents) * len(load.tier.Entries())))
		})
	})
})

// awaitServing waits until an entry answers a search whole.
func (load *load) awaitServing(entry int) {
	for load.complete() == 0 {
		load.running.Wait()
		load.send(entry, search("is it serving"))
		load.running.Wait()
		time.Sleep(sendGap)
	}
}

var _ = ginkgo.Describe("a restart of all targets under load", func() {
	ginkgo.It("brings no quarantine where the targets restart one after another", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.slow()
			restarted := make(chan struct{})
			go func() {
				defer close(restarted)
				for number := range load.tier.Targets() {
					load.restart(number)
					time.Sleep(restartGap)
				}
			}()
			sent := contents("deployment", 4)
			for range 75 {
				load.sendThrough(sent)
			}
			<-restarted
			load.running.Wait()
			expect.Expect(load.quarantined()).To(gomega.BeZero())
			load.reset()
			load.sendAll(sent)
			expect.Expect(load.quarantined()).To(gomega.BeZero())
		})
	})

	ginkgo.It("brings quarantines that end within the first span where all targets restart at once, again and again", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.steady(100, time.Second)
			load.reset()
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				for range 6 {
					for number := range load.tier.Targets() {
						load.restart(number)
					}
					time.Sleep(restartGap)
				}
			}()
			sent := contents("wave", 150)
			load.sendThrough(sent)
			<-stopped
			load.running.Wait()
			load.sendAll(sent)
			expect.Expect(load.quarantined()).To(gomega.BeNumerically(">", 0))
			time.Sleep(blackboard.QuarantineSpan)
			load.reset()
			load.sendAll(sent)
			expect.Expect(load.complete()).To(gomega.Equal(len(sent) * len(load.tier.Entries())))
		})
	})
})
