package tier_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	runDuration = 3 * time.Millisecond
)

type (
	// load sends a spec's requests and collects the results.
	load struct {
		tier    *tier.Tier
		network *standin.Network
		// minimumCoverage is the minimum coverage of the searches of sendSteadily.
		minimumCoverage float64
		// timeout replaces the timeout of the searches of sendSteadily unless it is zero.
		timeout time.Duration

		lock      sync.Mutex
		running   sync.WaitGroup
		answers   []*caller.Answer
		refusals  []*caller.Refusal
		latencies []time.Duration
		failures  []error
	}
)

// small is a deployment of one pool with four shards and three replicas of each.
var small = standin.Deployment{
	Name: "small", FailureDomains: []string{"nord", "sud", "ouest"},
	Pools: []standin.PoolShape{{Name: "desk", Shards: 4, Targets: 12, Slots: 2, Connections: 6}},
}

// newSearch returns an idempotent request to all shards.
func newSearch(text string) *caller.Request {
	payload, _ := json.Marshal(text)
	return &caller.Request{
		ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: "desk.search", Payload: payload,
		Timeout: duration.Of(300 * time.Millisecond), Idempotent: true, RunsPerShard: 3,
	}
}

// newFiling returns a request of the kind desk.file, which may not be repeated, to
// one shard.
func newFiling(text string) *caller.Request {
	request := newSearch(text)
	request.Kind, request.Idempotent, request.RunsPerShard, request.ShardKey = "desk.file", false, 0, text
	return request
}

// send sends a request to one of the entries in the background and collects its result.
func (load *load) send(entry int, request *caller.Request) {
	load.running.Go(func() {
		entries := load.tier.Entries()
		client := load.tier.Client(entries[entry%len(entries)])
		defer client.Close()
		start := time.Now()
		answer, err := client.Send(context.Background(), request)
		load.lock.Lock()
		defer load.lock.Unlock()
		load.latencies = append(load.latencies, time.Since(start))
		var refusal *caller.Refusal
		switch {
		case err == nil:
			load.answers = append(load.answers, answer)
		case errors.As(err, &refusal):
			load.refusals = append(load.refusals, refusal)
		default:
			load.failures = append(load.failures, err)
		}
	})
}

// sendSteadily sends distinct searches at a fixed rate for a span and waits for the results.
func (load *load) sendSteadily(perSecond int, span time.Duration) {
	for number := range int(span.Seconds() * float64(perSecond)) {
		request := newSearch(fmt.Sprintf("steady %d %d", number, time.Now().UnixNano()))
		request.MinimumCoverage = load.minimumCoverage
		if load.timeout > 0 {
			request.Timeout = duration.Of(load.timeout)
		}
		load.send(number, request)
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	load.running.Wait()
}

// reset discards the collected results.
func (load *load) reset() {
	load.answers, load.refusals, load.latencies, load.failures = nil, nil, nil, nil
}

// completeAnswerCount returns the number of answers with complete coverage.
func (load *load) completeAnswerCount() int {
	count := 0
	for _, answer := range load.answers {
		if answer.Coverage.Complete {
			count++
		}
	}
	return count
}

// latencyQuantile returns the latency at the given fraction of the sorted latencies.
func (load *load) latencyQuantile(fraction float64) time.Duration {
	sorted := slices.Sorted(slices.Values(load.latencies))
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}

// expectWithinLimits checks that no target exceeded its limits.
func (load *load) expectWithinLimits(expect gomega.Gomega) {
	pool := small.Pools[0]
	for _, target := range load.tier.Targets() {
		record := target.Record()
		id := target.Announcement().ID
		expect.Expect(record.Peak).To(gomega.BeNumerically("<=", pool.Slots), id)
		expect.Expect(record.PeakConnections).To(gomega.BeNumerically("<=", pool.Connections), id)
		expect.Expect(record.PeakCold).To(gomega.BeNumerically("<=", pool.Slots), id)
		expect.Expect(record.PeakColdPerSecond).To(gomega.BeNumerically("<=", 200), id)
	}
}

// targetsOfShard returns the targets of a shard.
func (load *load) targetsOfShard(shard int) []*tier.Target {
	var found []*tier.Target
	for _, target := range load.tier.Targets() {
		if target.Announcement().Shard == shard {
			found = append(found, target)
		}
	}
	return found
}

// totalRuns counts the runs at all targets.
func (load *load) totalRuns() int {
	totalRuns := 0
	for _, target := range load.tier.Targets() {
		for _, count := range target.Record().Runs {
			totalRuns += count
		}
	}
	return totalRuns
}

func (load *load) totalCrashes() int {
	totalCrashes := 0
	for _, target := range load.tier.Targets() {
		totalCrashes += target.Record().Crashes
	}
	return totalCrashes
}

// poison makes each target crash on runs with a given text; a crash breaks all of
// the target's connections.
func (load *load) poison(text string) {
	payload, _ := json.Marshal(text)
	for _, target := range load.tier.Targets() {
		target.Behave(func(behaviour *standin.Behaviour) {
			behaviour.Crashes = crashOnPayload(string(payload), func() { load.network.Break(target.IP()) })
		})
	}
}

// crashOnPayload returns a predicate of the runs on which a target crashes. It calls onCrash
// before each crash.
func crashOnPayload(payload string, onCrash func()) func(run *target.Run) bool {
	return func(run *target.Run) bool {
		if string(run.Payload) != payload {
			return false
		}
		onCrash()
		return true
	}
}

var _ = ginkgo.Describe("the request path", func() {
	ginkgo.It("respects slots, connections and cold limits when targets restart without notice under load", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.sendSteadily(400, time.Second)
			for _, target := range load.targetsOfShard(1) {
				load.network.Break(target.IP())
				target.TurnCold()
			}
			load.sendSteadily(400, 2*time.Second)
			load.expectWithinLimits(expect)
			for _, target := range load.tier.Targets() {
				expect.Expect(target.Record().PeakCold).To(gomega.BeNumerically("<=", 1))
			}
		})
	})

	ginkgo.It("detects a restart without notice from the runs that it breaks if no connection is idle", func() {
		withOneEntry(nil, func(expect gomega.Gomega, load *load) {
			load.sendSteadily(100, time.Second)
			load.setRunDuration(100 * time.Millisecond)
			go load.sendSteadily(100, 100*time.Millisecond)
			time.Sleep(60 * time.Millisecond)
			for _, target := range load.tier.Targets() {
				load.network.Break(target.IP())
				target.TurnCold()
			}
			load.setRunDuration(runDuration)
			load.sendSteadily(1000, 100*time.Millisecond)
			for _, target := range load.tier.Targets() {
				expect.Expect(target.Record().PeakCold).To(gomega.BeNumerically("<=", 1))
			}
		})
	})

	ginkgo.It("answers in time when one replica of a shard is permanently slow", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.sendSteadily(100, 2*time.Second)
			load.reset()
			load.targetsOfShard(2)[0].Behave(func(behaviour *standin.Behaviour) {
				behaviour.RunDuration = func(*target.Run) time.Duration { return 100 * time.Millisecond }
			})
			load.sendSteadily(100, 4*time.Second)
			expect.Expect(load.completeAnswerCount()).To(gomega.Equal(400))
			expect.Expect(load.latencyQuantile(0.99)).To(gomega.BeNumerically("<=", 52*time.Millisecond))
			load.expectWithinLimits(expect)
		})
	})

	ginkgo.It("meets deadlines when all open connections to targets go silent at once", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.sendSteadily(100, 2*time.Second)
			load.reset()
			for _, target := range load.tier.Targets() {
				load.network.Silence(target.IP())
			}
			load.sendSteadily(100, time.Second)
			expect.Expect(load.completeAnswerCount()).To(gomega.Equal(100))
			load.expectWithinLimits(expect)
		})
	})

	ginkgo.It("limits the crashes by a request that crashes targets and is sent repeatedly to every entry", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.poison("poison")
			for number := range 60 {
				load.send(number, newSearch("poison"))
				load.send(number, newSearch(fmt.Sprintf("innocent %d", number%3)))
				time.Sleep(100 * time.Millisecond)
			}
			load.running.Wait()
			expect.Expect(load.totalCrashes()).To(gomega.BeNumerically("<=", 4))
			for number := range 3 {
				load.reset()
				load.send(number, newSearch(fmt.Sprintf("innocent %d", number)))
				load.running.Wait()
				expect.Expect(load.completeAnswerCount()).To(gomega.Equal(1))
			}
		})
	})

	ginkgo.It("answers from one snapshot while a new version is rolled out target by target", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			rolled := make(chan struct{})
			go func() {
				defer close(rolled)
				for version := uint64(2); version < 5; version++ {
					for _, changed := range load.tier.Targets() {
						changed.Change(func(announcement *target.Announcement) { announcement.IndexVersions = []uint64{version} })
						time.Sleep(20 * time.Millisecond)
					}
				}
			}()
			load.sendSteadily(200, 2*time.Second)
			<-rolled
			expect.Expect(load.answers).NotTo(gomega.BeEmpty())
			for _, answer := range load.answers {
				for _, part := range answer.Parts {
					expect.Expect(string(part.Payload)).To(gomega.ContainSubstring(fmt.Sprintf(`"index_version":%d,`, answer.Snapshot.IndexVersion)))
				}
			}
		})
	})

	ginkgo.It("sustains its goodput at two and five times the capacity, and refuses with the correct run outcome", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			for _, slowed := range load.tier.Targets() {
				slowed.Behave(func(behaviour *standin.Behaviour) {
					behaviour.RunDuration = func(*target.Run) time.Duration { return 20 * time.Millisecond }
				})
			}
			load.sendSteadily(100, 2*time.Second)
			load.minimumCoverage = 1
			var goodputs []int
			rates := []int{300, 600, 1500}
			for _, perSecond := range rates {
				load.reset()
				before := load.totalRuns()
				load.sendSteadily(perSecond, time.Second/2)
				goodputs = append(goodputs, load.completeAnswerCount())
				// Four runs per request, plus the 15 % that the budgets of hedges and retries allow.
				expect.Expect(load.totalRuns() - before).To(gomega.BeNumerically("<=", perSecond/2*4*115/100))
				for _, refusal := range load.refusals {
					expect.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">", 0))
					expect.Expect(refusal.Kind).To(gomega.BeElementOf(caller.RefusedOverloaded, caller.RefusedCoverage, caller.RefusedDeadline))
					if refusal.Run == caller.NotRun {
						expect.Expect(load.tier.Runs(refusal.RequestID)).To(gomega.BeZero(), string(refusal.Kind))
					}
				}
			}
			for index, goodput := range goodputs {
				// The goodput can't exceed the number of requests sent.
				expect.Expect(goodput).To(gomega.BeNumerically(">=", min(rates[index]/2, slices.Max(goodputs)*9/10)))
			}
			load.expectWithinLimits(expect)
		})
	})

	ginkgo.It("runs a request that may not be repeated at most once when connections fail, and reports the outcome correctly", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			requests := map[caller.RequestID]bool{}
			for number := range 200 {
				request := newFiling(fmt.Sprintf("card %d", number))
				requests[request.ID] = true
				load.send(number, request)
				load.send(number+1, request)
				if number%20 == 10 {
					load.network.Break(load.tier.Targets()[number%12].IP())
				}
				if number%20 == 15 {
					load.network.Silence(load.tier.Targets()[number%12].IP())
				}
				time.Sleep(5 * time.Millisecond)
			}
			load.running.Wait()
			for id := range requests {
				expect.Expect(load.tier.Runs(id)).To(gomega.BeNumerically("<=", 1))
			}
			for _, refusal := range load.refusals {
				if refusal.Run == caller.NotRun && refusal.Kind != caller.RefusedAlreadySent {
					expect.Expect(load.tier.Runs(refusal.RequestID)).To(gomega.BeZero(), refusal.Error())
				}
			}
			load.expectWithinLimits(expect)
		})
	})

	ginkgo.It("answers a request that may not be repeated in time when control is lost while it runs", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			for _, slowed := range load.tier.Targets() {
				slowed.Behave(func(behaviour *standin.Behaviour) {
					behaviour.RunDuration = func(*target.Run) time.Duration { return 50 * time.Millisecond }
				})
			}
			request := newFiling("card")
			load.send(0, request)
			time.Sleep(30 * time.Millisecond)
			for _, replica := range load.tier.Replicas() {
				ip, _, _ := net.SplitHostPort(replica.Settings().PeerAddress)
				load.network.Down(ip)
			}
			load.running.Wait()
			expect.Expect(load.answers).To(gomega.HaveLen(1))
			expect.Expect(load.latencyQuantile(1)).To(gomega.BeNumerically("<=", request.Timeout.Std()))
		})
	})

	ginkgo.It("drops mismatched or damaged answers and uses other replicas instead", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			corruptions := []func(*target.Result){
				func(result *target.Result) { result.AttemptID = "another" },
				func(result *target.Result) { result.Checksum++ },
				func(result *target.Result) { result.IndexVersion = 9 },
				func(result *target.Result) { result.RequestID = "another" },
			}
			for shard, corrupt := range corruptions {
				load.targetsOfShard(shard)[0].Behave(func(behaviour *standin.Behaviour) { behaviour.Corrupt = corrupt })
			}
			load.sendSteadily(50, time.Second)
			expect.Expect(load.completeAnswerCount()).To(gomega.Equal(50))
			for _, answer := range load.answers {
				for _, part := range answer.Parts {
					expect.Expect(part.Target).NotTo(gomega.Equal(load.targetsOfShard(part.Shard)[0].Announcement().ID))
				}
			}
			load.expectWithinLimits(expect)
		})
	})
})
