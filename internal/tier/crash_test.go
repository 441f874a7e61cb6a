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
	// quarantinePropagation is how long a quarantine takes at most to reach all entries.
	quarantinePropagation = time.Second
	// restartInterval is the interval between restarts of targets in a rolling
	// deployment.
	restartInterval = 50 * time.Millisecond
	// sendInterval is the interval between requests of sendAll; it keeps within the
	// limits of targets in cold start.
	sendInterval = 20 * time.Millisecond
)

// sendAll sends a search with each of the contents to each entry, at an interval
// of sendInterval, and waits for the results.
func (load *load) sendAll(contents []string) {
	for entry := range load.tier.Entries() {
		for _, content := range contents {
			load.send(entry, newSearch(content))
			time.Sleep(sendInterval)
		}
	}
	load.running.Wait()
}

// quarantineRefusals counts the refusals because of a quarantine.
func (load *load) quarantineRefusals() int {
	count := 0
	for _, refusal := range load.refusals {
		if refusal.Kind == caller.RefusedQuarantined {
			count++
		}
	}
	return count
}

// restartTarget restarts a target without notice: its connections break and it is
// in cold start.
func (load *load) restartTarget(index int) {
	restarted := load.tier.Targets()[index]
	load.network.Break(restarted.IP())
	restarted.TurnCold()
}

// slowTargets makes runs take so long that nearly every target has runs in
// progress when it restarts.
func (load *load) slowTargets() {
	for _, slowed := range load.tier.Targets() {
		slowed.Behave(func(behaviour *standin.Behaviour) {
			behaviour.RunDuration = func(*target.Run) time.Duration { return 10 * time.Millisecond }
		})
	}
}

// sendAlternating sends a search with each of the contents, alternately to one
// shard and to all shards.
func (load *load) sendAlternating(contents []string) {
	for number, content := range contents {
		request := newSearch(content)
		if number%2 == 0 {
			request.ShardKey = content
		}
		load.send(number, request)
		time.Sleep(2 * time.Millisecond)
	}
}

// numberedContents returns a number of distinct contents with a prefix.
func numberedContents(prefix string, count int) []string {
	var created []string
	for number := range count {
		created = append(created, fmt.Sprintf("%s %d", prefix, number))
	}
	return created
}

// quarantinesWithin returns how many quarantines of one content end within the
// limit if the content is sent again as soon as each ends.
func quarantinesWithin(limit time.Duration) int {
	count, span := 0, blackboard.FirstQuarantineSpan
	for ends := span; ends < limit; ends += span {
		count++
		span = min(4*span, blackboard.MaximumQuarantineSpan)
	}
	return count
}

var _ = ginkgo.Describe("a request that crashes targets", func() {
	ginkgo.It("crashes no more targets in an hour than the quarantines allow when it is sent every second", func() {
		setLongTTL := func(_ *standin.Network, announcement *target.Announcement) {
			announcement.TTL = duration.Of(target.MaximumTTL)
		}
		withOneEntry(setLongTTL, func(expect gomega.Gomega, load *load) {
			load.poison("hourly")
			for number := range int(time.Hour / time.Second) {
				load.send(number, newSearch("hourly"))
				if number%60 == 0 {
					load.send(number+1, newSearch(fmt.Sprintf("innocent %d", number)))
				}
				time.Sleep(time.Second)
			}
			load.running.Wait()
			expect.Expect(quarantinesWithin(time.Hour)).To(gomega.Equal(3))
			expect.Expect(load.totalCrashes()).To(gomega.BeNumerically("<=", small.Pools[0].Shards+3))
			// The first innocent request may fail because the targets it runs on crash.
			expect.Expect(load.completeAnswerCount()).To(gomega.BeNumerically(">=", 59))
		})
	})

	ginkgo.It("crashes no more targets per entry than the quarantines allow when it is sent to all entries concurrently", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.poison("poison")
			entries, span := len(load.tier.Entries()), 6*time.Minute
			for range int(span / time.Second) {
				for entry := range entries {
					load.send(entry, newSearch("poison"))
				}
				time.Sleep(time.Second)
			}
			load.running.Wait()
			expect.Expect(load.totalCrashes()).To(gomega.BeNumerically("<=", entries*(small.Pools[0].Shards+quarantinesWithin(span))))
		})
	})

	ginkgo.It("is refused at every entry within a second, as not run, until its quarantine ends", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.poison("poison")
			load.send(0, newSearch("poison"))
			time.Sleep(quarantinePropagation)
			load.running.Wait()
			load.reset()
			crashesBefore := load.totalCrashes()
			entries := len(load.tier.Entries())
			load.sendAll([]string{"poison"})
			expect.Expect(load.refusals).To(gomega.HaveLen(entries))
			for _, refusal := range load.refusals {
				expect.Expect(refusal.Kind).To(gomega.Equal(caller.RefusedQuarantined))
				expect.Expect(refusal.Run).To(gomega.Equal(caller.NotRun))
				expect.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">", 0))
				expect.Expect(load.tier.Runs(refusal.RequestID)).To(gomega.BeZero())
			}
			expect.Expect(load.totalCrashes()).To(gomega.Equal(crashesBefore))
			for _, fixed := range load.tier.Targets() {
				fixed.Behave(func(behaviour *standin.Behaviour) { behaviour.Crashes = nil })
			}
			load.reset()
			time.Sleep(blackboard.FirstQuarantineSpan)
			load.sendAll([]string{"poison"})
			expect.Expect(load.completeAnswerCount()).To(gomega.Equal(entries))
		})
	})

	ginkgo.It("is refused, after at most a second, at an entry that starts during the quarantine", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.poison("poison")
			load.send(0, newSearch("poison"))
			time.Sleep(quarantinePropagation)
			started := load.tier.Entries()[1]
			load.tier.Kill(started)
			time.Sleep(5 * time.Second)
			expect.Expect(load.tier.Restart(context.Background(), started)).To(gomega.Succeed())
			load.awaitServing(1)
			time.Sleep(quarantinePropagation)
			load.running.Wait()
			load.reset()
			crashesBefore := load.totalCrashes()
			load.send(1, newSearch("poison"))
			load.running.Wait()
			expect.Expect(load.quarantineRefusals()).To(gomega.Equal(1))
			expect.Expect(load.totalCrashes()).To(gomega.Equal(crashesBefore))
		})
	})

	ginkgo.It("causes no quarantine of the harmless requests that ran concurrently with ten such requests", func() {
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
			innocents := numberedContents("innocent", 3)
			for number, poison := range numberedContents("poison", 10) {
				// A target in cold start would run the poisoned request alone.
				load.sendSteadily(400, time.Second/2)
				for _, innocent := range innocents {
					load.send(number, newSearch(innocent))
				}
				time.Sleep(2 * time.Millisecond)
				load.send(number, newSearch(poison))
				load.running.Wait()
			}
			load.running.Wait()
			expect.Expect(load.totalCrashes()).To(gomega.BeNumerically(">", 10))
			load.reset()
			load.sendAll(innocents)
			expect.Expect(load.completeAnswerCount()).To(gomega.Equal(len(innocents) * len(load.tier.Entries())))
		})
	})
})

// awaitServing waits until an entry answers a search with complete coverage.
func (load *load) awaitServing(entry int) {
	for load.completeAnswerCount() == 0 {
		load.running.Wait()
		load.send(entry, newSearch("is it serving"))
		load.running.Wait()
		time.Sleep(sendInterval)
	}
}

var _ = ginkgo.Describe("a restart of all targets under load", func() {
	ginkgo.It("causes no quarantine if the targets restart one after another", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.slowTargets()
			restarted := make(chan struct{})
			go func() {
				defer close(restarted)
				for index := range load.tier.Targets() {
					load.restartTarget(index)
					time.Sleep(restartInterval)
				}
			}()
			sent := numberedContents("deployment", 4)
			for range 75 {
				load.sendAlternating(sent)
			}
			<-restarted
			load.running.Wait()
			expect.Expect(load.quarantineRefusals()).To(gomega.BeZero())
			load.reset()
			load.sendAll(sent)
			expect.Expect(load.quarantineRefusals()).To(gomega.BeZero())
		})
	})

	ginkgo.It("causes only quarantines of the first, shortest span if all targets restart at once repeatedly", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.sendSteadily(100, time.Second)
			load.reset()
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				for range 6 {
					for index := range load.tier.Targets() {
						load.restartTarget(index)
					}
					time.Sleep(restartInterval)
				}
			}()
			sent := numberedContents("wave", 150)
			load.sendAlternating(sent)
			<-stopped
			load.running.Wait()
			load.sendAll(sent)
			expect.Expect(load.quarantineRefusals()).To(gomega.BeNumerically(">", 0))
			time.Sleep(blackboard.FirstQuarantineSpan)
			load.reset()
			load.sendAll(sent)
			expect.Expect(load.completeAnswerCount()).To(gomega.Equal(len(sent) * len(load.tier.Entries())))
		})
	})
})
