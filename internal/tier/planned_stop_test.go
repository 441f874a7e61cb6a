package tier_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// latencyBound is the required 99th percentile of the latency.
	latencyBound       = 52 * time.Millisecond
	atelierRunDuration = 3 * time.Millisecond
)

type (
	// steadyLoad sends requests at a fixed rate until it is stopped.
	steadyLoad struct {
		client  *caller.Client
		stopped chan struct{}
		running sync.WaitGroup

		lock      sync.Mutex
		latencies []time.Duration
		failures  []string
		// partialCount counts the answers with incomplete coverage.
		partialCount int
	}
)

var _ = ginkgo.Describe("planned stops under load", func() {
	ginkgo.It("neither interrupt nor refuse requests in a rolling restart of all entries", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			started, load := startUnderLoad(expect)
			defer func() { _ = started.Stop(context.Background()) }()
			for _, entry := range started.Entries() {
				expect.Expect(started.StopProcess(context.Background(), entry)).To(gomega.Succeed())
				expect.Expect(started.StartProcess(context.Background(), entry)).To(gomega.Succeed())
				time.Sleep(2 * time.Second)
			}
			load.stop()
			ginkgo.GinkgoWriter.Println(load.summary())
			expect.Expect(load.failures).To(gomega.BeEmpty())
			expect.Expect(load.partialCount).To(gomega.BeZero())
			expect.Expect(load.percentile(99)).To(gomega.BeNumerically("<=", latencyBound), load.summary())
		})
	})
})

// startUnderLoad starts the deployment standin.Atelier with six entries, and a
// steady load that uses the Go client.
func startUnderLoad(expect gomega.Gomega) (*tier.Tier, *steadyLoad) {
	started, network := startAtelier(expect, func(*target.Announcement) standin.Behaviour {
		return standin.Behaviour{RunDuration: func(*target.Run) time.Duration { return atelierRunDuration }}
	})
	seeds := []string{}
	for _, entry := range started.Entries() {
		seeds = append(seeds, entry.Settings().HTTPAddress)
	}
	load := &steadyLoad{client: caller.NewClient(seeds, caller.Dialer(network.Dialer("10.0.0.2"))), stopped: make(chan struct{})}
	load.running.Go(func() { load.run(20 * time.Millisecond) })
	return started, load
}

// atelierLatency returns the latency between two IP addresses of startAtelier.
// The second octet of an address is its failure domain, and 0 for clients.
func atelierLatency(from, to string) time.Duration {
	var here, there int
	_, _ = fmt.Sscanf(from, "10.%d.", &here)
	_, _ = fmt.Sscanf(to, "10.%d.", &there)
	switch {
	case here == 0 || there == 0:
		return standin.Atelier.ToClients
	case here != there:
		return standin.Atelier.BetweenRegions
	}
	return 250 * time.Microsecond
}

func (load *steadyLoad) run(interval time.Duration) {
	pools := standin.Atelier.Pools
	for number := 0; ; number++ {
		select {
		case <-load.stopped:
			return
		case <-time.After(interval):
		}
		pool := pools[number%len(pools)]
		load.running.Go(func() { load.send(pool.Name, number%20 == 0) })
	}
}

// send sends a search or, if once is set, a request that runs at most once, on one shard.
func (load *steadyLoad) send(pool string, once bool) {
	request := &caller.Request{
		ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: pool + ".search",
		Idempotent: true, RunsPerShard: 3, Timeout: duration.Of(time.Second),
	}
	if once {
		request.Kind, request.Idempotent, request.RunsPerShard, request.ShardKey = pool+".file", false, 0, string(request.ID)
	}
	sent := time.Now()
	answer, err := load.client.Send(context.Background(), request)
	load.lock.Lock()
	defer load.lock.Unlock()
	if err != nil {
		load.failures = append(load.failures, fmt.Sprintf("%s at %s: %v", request.Kind, time.Now().Format(time.StampMilli), err))
		return
	}
	if !answer.Coverage.Complete {
		load.partialCount++
	}
	if !once {
		load.latencies = append(load.latencies, time.Since(sent))
	}
}

func (load *steadyLoad) stop() {
	close(load.stopped)
	load.running.Wait()
	load.client.Close()
}

// percentile returns a percentile of the latencies. It sorts them in place.
func (load *steadyLoad) percentile(percent int) time.Duration {
	slices.Sort(load.latencies)
	return load.latencies[(len(load.latencies)-1)*percent/100]
}

func (load *steadyLoad) summary() string {
	return fmt.Sprintf("requests %d, failures %d, partial %d, p50 %s, p99 %s, longest %s",
		len(load.latencies), len(load.failures), load.partialCount, load.percentile(50), load.percentile(99), load.percentile(100))
}
