package tier_test

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
)

const (
	// rejoinSpan is long enough for a restarted process to rejoin.
	rejoinSpan = 3 * time.Second
	// filingTimeout is shorter than an election without a leadership transfer.
	filingTimeout = 300 * time.Millisecond
)

// restartEach restarts the processes one after the other.
func restartEach(expect gomega.Gomega, started *tier.Tier, processes []*tier.Process) {
	for _, stopped := range processes {
		expect.Expect(started.StopProcess(context.Background(), stopped)).To(gomega.Succeed())
		time.Sleep(rejoinSpan)
		expect.Expect(started.StartProcess(context.Background(), stopped)).To(gomega.Succeed())
		time.Sleep(rejoinSpan)
	}
}

// sendFilingsSteadily sends requests that may not be repeated. For each, the entry
// must get a run right, control's permission to run it, within filingTimeout.
func (load *steadyLoad) sendFilingsSteadily() {
	for number := 0; ; number++ {
		select {
		case <-load.stopped:
			return
		case <-time.After(20 * time.Millisecond):
		}
		load.running.Go(func() {
			id := caller.NewRequestID(time.Now().Add(time.Minute))
			_, err := load.client.Send(context.Background(), &caller.Request{
				ID: id, Kind: "buyer-desk.file", Timeout: duration.Of(filingTimeout), ShardKey: string(id),
			})
			load.lock.Lock()
			defer load.lock.Unlock()
			if err != nil {
				load.failures = append(load.failures, fmt.Sprintf("filing %d at %s: %v", number, time.Now().Format(time.StampMilli), err))
			}
		})
	}
}

// ensureStopped stops the load unless it has been stopped, for specs that fail early.
func (load *steadyLoad) ensureStopped() {
	select {
	case <-load.stopped:
	default:
		load.stop()
	}
}

// expectNothingLost stops the load and checks that each request was answered completely and in
// time.
func expectNothingLost(expect gomega.Gomega, load *steadyLoad) {
	load.stop()
	ginkgo.GinkgoWriter.Println(load.summary())
	expect.Expect(load.failures).To(gomega.BeEmpty())
	expect.Expect(load.partialCount).To(gomega.BeZero())
	expect.Expect(load.percentile(99)).To(gomega.BeNumerically("<=", latencyBound), load.summary())
}

var _ = ginkgo.Describe("planned stops of processes with the control role under load", func() {
	ginkgo.It("neither interrupt nor refuse requests when each control replica, including the leader, stops", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			started, load := startUnderLoad(expect)
			defer func() { _ = started.Stop(context.Background()) }()
			defer load.ensureStopped()
			load.running.Go(load.sendFilingsSteadily)
			restartEach(expect, started, started.Replicas())
			expectNothingLost(expect, load)
		})
	})

	ginkgo.It("neither interrupt nor refuse requests when each process with both roles stops", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			started, load := startUnderLoad(expect)
			defer func() { _ = started.Stop(context.Background()) }()
			defer load.ensureStopped()
			// Restart the control replicas with the role of an entry too.
			for _, replica := range started.Replicas() {
				expect.Expect(started.StopProcess(context.Background(), replica)).To(gomega.Succeed())
				replica.Settings().Entry = true
				expect.Expect(started.StartProcess(context.Background(), replica)).To(gomega.Succeed())
				time.Sleep(rejoinSpan)
			}
			status, err := started.Control().Status(context.Background())
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(status.Entries).To(gomega.HaveLen(9))
			load.running.Go(load.sendFilingsSteadily)
			restartEach(expect, started, started.Replicas())
			expectNothingLost(expect, load)
		})
	})
})
