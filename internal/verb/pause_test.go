package verb_test

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	filers    = 24
	waiting   = 60
	pauseWork = 20 * time.Millisecond
)

// file sends requests that may not be repeated, each one to all entries in
// turn until one answers, until ctx ends. It returns their IDs.
func file(ctx context.Context, entries []string) []caller.RequestID {
	var sent []caller.RequestID
	for ctx.Err() == nil {
		request := &caller.Request{ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: "bay-log.file", Timeout: duration.Of(time.Second)}
		sent = append(sent, request.ID)
		for _, address := range entries {
			client := caller.NewEntryClient(address, tcp.Dial)
			attempt, cancel := context.WithTimeout(ctx, time.Second)
			_, err := client.Send(attempt, request)
			cancel()
			client.Close()
			if err == nil {
				break
			}
		}
	}
	return sent
}

// search sends one query that waits long for its answer, and counts its
// connection.
func search(ctx context.Context, address string, connected *atomic.Int64) {
	client := caller.NewEntryClient(address, func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := tcp.Dial(ctx, network, address)
		connected.Add(1)
		return connection, err
	})
	defer client.Close()
	_, _ = client.Send(ctx, &caller.Request{
		ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: "bay-log.search", Idempotent: true, RunsPerShard: 3,
		Timeout: duration.Of(patience / 2),
	})
}

// inView returns the addresses of the entries that control counts as members.
func inView(address string) []string {
	_, output := run("status", "--address", address, "--output", "json")
	var status operator.Status
	_ = json.Unmarshal([]byte(output), &status)
	var addresses []string
	for _, entry := range status.Entries {
		addresses = append(addresses, entry.Address)
	}
	return addresses
}

// expectOnce expects that no target bore more than its limits, and that no
// filed request ran twice on a shard.
func expectOnce(targets []*standin.Target, shape standin.PoolShape, filed map[caller.RequestID]bool) {
	type shardRun struct {
		requestID string
		shard     int
	}
	runs := map[shardRun]int{}
	for _, target := range targets {
		record := target.Record()
		gomega.Expect(record.Peak).To(gomega.BeNumerically("<=", shape.Slots))
		gomega.Expect(record.PeakConnections).To(gomega.BeNumerically("<=", shape.Connections))
		for _, arrival := range record.Arrivals {
			if !arrival.Shed && filed[caller.RequestID(arrival.RequestID)] {
				runs[shardRun{arrival.RequestID, arrival.Shard}]++
			}
		}
	}
	gomega.Expect(len(runs)).To(gomega.BeNumerically(">", filers))
	for run, count := range runs {
		gomega.Expect(count).To(gomega.Equal(1), run.requestID)
	}
}

var _ = ginkgo.Describe("an entry's process that is stopped beyond its lease", func() {
	ginkgo.It("does nothing with its old right when it goes on", func(ctx context.Context) {
		deployment := standin.Banaag
		deployment.Pools = deployment.Pools[2:3]
		started := startProcesses(deployment, 3)
		started.startTargets(deployment.Announcements(deployment.Pools[0]), standin.Behaviour{
			Work: func(*target.Run) time.Duration { return pauseWork },
		})
		gomega.Eventually(started.isWhole).WithTimeout(patience).Should(gomega.BeTrue())
		var addresses []string
		for _, entry := range started.entries {
			addresses = append(addresses, entry.HTTPAddress)
		}
		filing, stopFiling := context.WithCancel(ctx)
		defer stopFiling()
		var group sync.WaitGroup
		sent := make([][]caller.RequestID, filers)
		for filer := range filers {
			group.Go(func() { sent[filer] = file(filing, addresses) })
		}
		watched := started.entries[1].HTTPAddress
		paused := started.commands[3].Process
		address := started.entries[0].HTTPAddress
		gomega.Expect(paused.Signal(syscall.SIGSTOP)).To(gomega.Succeed())
		gomega.Eventually(inView).WithArguments(watched).WithTimeout(patience).ShouldNot(gomega.ContainElement(address))
		gomega.Eventually(started.isWhole).WithTimeout(patience).Should(gomega.BeTrue())
		// These wait for the process, so that it has work when it goes on.
		var connected atomic.Int64
		for range waiting {
			group.Go(func() { search(filing, address, &connected) })
		}
		gomega.Eventually(connected.Load).WithTimeout(patience).Should(gomega.BeNumerically(">=", waiting))
		gomega.Expect(paused.Signal(syscall.SIGCONT)).To(gomega.Succeed())
		gomega.Eventually(inView).WithArguments(watched).WithTimeout(patience).Should(gomega.ContainElement(address))
		gomega.Eventually(started.isWhole).WithTimeout(patience).Should(gomega.BeTrue())
		stopFiling()
		group.Wait()
		filed := map[caller.RequestID]bool{}
		for _, ids := range sent {
			for _, id := range ids {
				filed[id] = true
			}
		}
		expectOnce(started.targets, deployment.Pools[0], filed)
	})
})
