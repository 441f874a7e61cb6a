package tier_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	leaving = "nord"
	// inForceBound is the users' bound for a change to be acted on everywhere.
	inForceBound = 5 * time.Second
	outSpan      = 15 * time.Second
	longWork     = 8 * time.Second
	// longRuns has keys of different shards, so that each shard keeps slots for
	// other requests, also in cold start.
	longRuns = 7
	// longRounds bounds how often they are sent until one runs where it should:
	// an entry that has lately measured other replicas as faster sends all seven
	// there, as in 5 of 140 runs.
	longRounds = 5
	coldSlots  = 1
	burstSize  = 6
	burstGap   = 300 * time.Millisecond
	coldRate   = 200
)

// startDomains starts Atelier's system, whose targets bear little in cold
// start and run what has the payload "long" for longWork.
func startDomains(expect gomega.Gomega) (*tier.Tier, *standin.Network, *steadyLoad) {
	long, _ := json.Marshal("long")
	started, network := startAtelier(expect, func(*target.Announcement) standin.Behaviour {
		return standin.Behaviour{ColdSlots: coldSlots, ColdRunsPerSecond: coldRate, WarmAfterRuns: 20, Work: func(run *target.Run) time.Duration {
			if string(run.Payload) == string(long) {
				return longWork
			}
			return workTime
		}}
	})
	load := &steadyLoad{client: caller.NewClient([]string{"10.1.1.1:80", "10.2.1.1:80"}, caller.Dialer(network.Dialer("10.0.0.2"))), stopped: make(chan struct{})}
	load.running.Go(func() { load.run(20 * time.Millisecond) })
	return started, network, load
}

// sendLong sends, to an entry that will be out, requests that may not be
// repeated and run for longer than the change takes to be in force.
func (load *steadyLoad) sendLong(client *caller.EntryClient, round int) {
	long, _ := json.Marshal("long")
	for number := round * longRuns; number < (round+1)*longRuns; number++ {
		load.running.Go(func() {
			_, err := client.Send(context.Background(), &caller.Request{
				ID: longID(number), Kind: "coord-board.file", Payload: long,
				Timeout: duration.Of(2 * longWork), ShardKey: fmt.Sprintf("card %d", number),
			})
			load.lock.Lock()
			defer load.lock.Unlock()
			if err != nil {
				load.failures = append(load.failures, fmt.Sprintf("long run %d: %v", number, err))
			}
		})
	}
}

func longID(number int) caller.RequestID {
	return caller.RequestID(fmt.Sprintf("long-%d.%d", number, time.Now().Add(time.Minute).Unix()))
}

// longRunsAt counts the long runs that targets took.
func longRunsAt(targets []*tier.Target) int {
	count := 0
	for _, counted := range targets {
		for _, arrival := range counted.Record().Arrivals {
			if strings.HasPrefix(arrival.RequestID, "long-") && !arrival.Shed {
				count++
			}
		}
	}
	return count
}

func targetsOf(started *tier.Tier, failureDomain string) []*tier.Target {
	var found []*tier.Target
	for _, candidate := range started.Targets() {
		if candidate.Announcement().FailureDomain == failureDomain {
			found = append(found, candidate)
		}
	}
	return found
}

// arrivals counts what came to targets within a span.
func arrivals(targets []*tier.Target, from, to time.Time) int {
	count := 0
	for _, counted := range targets {
		for _, arrival := range counted.Record().Arrivals {
			if arrival.At.After(from) && arrival.At.Before(to) {
				count++
			}
		}
	}
	return count
}

// burst sends more at once than the targets bear in cold start. What becomes
// of it isn't judged.
func burst(client *caller.EntryClient) {
	for range burstSize {
		go func() {
			_, _ = client.Send(context.Background(), &caller.Request{
				ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: "coord-board.search", Idempotent: true, Timeout: duration.Of(time.Second),
			})
		}()
	}
}

var _ = ginkgo.Describe("a failure domain taken out and back at short notice under load", func() {
	ginkgo.It("gets no new work within seconds, finishes what runs, and comes back cold, while service goes on", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			started, network, load := startDomains(expect)
			defer func() { _ = started.Stop(context.Background()) }()
			defer load.ensureStopped()
			targets := targetsOf(started, leaving)
			time.Sleep(3 * time.Second)
			client := started.Client(started.Entries()[0])
			defer client.Close()
			for round := 0; longRunsAt(targets) == 0 && round < longRounds; round++ {
				load.sendLong(client, round)
				time.Sleep(100 * time.Millisecond)
			}
			expect.Expect(longRunsAt(targets)).To(gomega.BeNumerically(">", 0))

			change(expect, started, "out", func(tables *operator.Tables) { tables.FailureDomainsOut = []string{leaving} })
			accepted := time.Now()
			time.Sleep(outSpan)
			expect.Expect(arrivals(targets, accepted.Add(inForceBound), time.Now())).To(gomega.BeZero())
			// They restart while they are out.
			for _, restarted := range targets {
				network.Break(restarted.IP())
				restarted.TurnCold()
			}
			time.Sleep(outSpan)
			expect.Expect(arrivals(targets, accepted.Add(inForceBound), time.Now())).To(gomega.BeZero())

			change(expect, started, "back", func(tables *operator.Tables) { tables.FailureDomainsOut = nil })
			back := time.Now()
			for time.Since(back) < inForceBound {
				time.Sleep(burstGap)
				burst(client)
			}
			time.Sleep(outSpan)
			expect.Expect(load.client.Addresses(context.Background())).To(gomega.ContainElement(gomega.HavePrefix("10.1.")))
			load.stop()
			ginkgo.GinkgoWriter.Println(load.summary())
			expect.Expect(load.failures).To(gomega.BeEmpty())
			expect.Expect(load.partial).To(gomega.BeZero())
			expect.Expect(load.percentile(99)).To(gomega.BeNumerically("<=", latencyBound), load.summary())
			expect.Expect(arrivals(targets, back, back.Add(inForceBound))).To(gomega.BeNumerically(">", 0))
			for _, returned := range targets {
				record := returned.Record()
				expect.Expect(record.PeakCold).To(gomega.BeNumerically("<=", coldSlots), returned.Announcement().ID)
				expect.Expect(record.PeakColdPerSecond).To(gomega.BeNumerically("<=", coldRate), returned.Announcement().ID)
			}
		})
	})
})
