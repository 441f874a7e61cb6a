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
	senderCount       = 24
	waitingQueryCount = 60
	runDuration       = 20 * time.Millisecond
)

// sendFileRequests sends non-idempotent requests until ctx ends, each to the
// entries in turn until one answers. It returns the IDs of the requests.
func sendFileRequests(ctx context.Context, entries []string) []caller.RequestID {
	var sentIDs []caller.RequestID
	for ctx.Err() == nil {
		request := &caller.Request{ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: "bay-log.file", Timeout: duration.Of(time.Second)}
		sentIDs = append(sentIDs, request.ID)
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
	return sentIDs
}

// sendSearch sends one query with a long timeout, and adds the connection that
// it opens to connectionCount.
func sendSearch(ctx context.Context, address string, connectionCount *atomic.Int64) {
	client := caller.NewEntryClient(address, func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := tcp.Dial(ctx, network, address)
		connectionCount.Add(1)
		return connection, err
	})
	defer client.Close()
	_, _ = client.Send(ctx, &caller.Request{
		ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: "bay-log.search", Idempotent: true, RunsPerShard: 3,
		Timeout: duration.Of(eventuallyTimeout / 2),
	})
}

// memberAddresses returns the addresses of the entries that control lists as
// members, as reported by the process at the address.
func memberAddresses(address string) []string {
	_, output := runVerb("status", "--address", address, "--output", "json")
	var status operator.Status
	_ = json.Unmarshal([]byte(output), &status)
	var addresses []string
	for _, entry := range status.Entries {
		addresses = append(addresses, entry.Address)
	}
	return addresses
}

// expectLimitsAndSingleRuns checks that no target exceeded its limits of slots
// and connections, and that none of the sent requests ran twice on a shard.
func expectLimitsAndSingleRuns(targets []*standin.Target, pool standin.PoolShape, sentIDs map[caller.RequestID]bool) {
	type shardRun struct {
		requestID string
		shard     int
	}
	runs := map[shardRun]int{}
	for _, target := range targets {
		record := target.Record()
		gomega.Expect(record.Peak).To(gomega.BeNumerically("<=", pool.Slots))
		gomega.Expect(record.PeakConnections).To(gomega.BeNumerically("<=", pool.Connections))
		for _, arrival := range record.Arrivals {
			if !arrival.Shed && sentIDs[caller.RequestID(arrival.RequestID)] {
				runs[shardRun{arrival.RequestID, arrival.Shard}]++
			}
		}
	}
	gomega.Expect(len(runs)).To(gomega.BeNumerically(">", senderCount))
	for run, count := range runs {
		gomega.Expect(count).To(gomega.Equal(1), run.requestID)
	}
}

// An entry that is paused until its lease has expired loses its targets to other
// entries. If it went on using them when it resumes, targets would exceed their
// limits and non-idempotent requests would run twice.
var _ = ginkgo.Describe("an entry process that is paused beyond its lease", func() {
	ginkgo.It("causes no second run and exceeds no limit of a target when it resumes", func(ctx context.Context) {
		deployment := standin.Banaag
		deployment.Pools = deployment.Pools[2:3]
		system := startProcessTier(deployment, 3)
		system.startTargets(deployment.Announcements(deployment.Pools[0]), standin.Behaviour{
			RunDuration: func(*target.Run) time.Duration { return runDuration },
		})
		gomega.Eventually(system.answersCompletely).WithTimeout(eventuallyTimeout).Should(gomega.BeTrue())
		var addresses []string
		for _, entry := range system.entries {
			addresses = append(addresses, entry.HTTPAddress)
		}
		sendContext, stopSending := context.WithCancel(ctx)
		defer stopSending()
		var senders sync.WaitGroup
		idsBySender := make([][]caller.RequestID, senderCount)
		for sender := range senderCount {
			senders.Go(func() { idsBySender[sender] = sendFileRequests(sendContext, addresses) })
		}
		observerAddress := system.entries[1].HTTPAddress
		// The first three commands are the replicas, so this is the process of entries[0].
		pausedProcess := system.commands[3].Process
		pausedAddress := system.entries[0].HTTPAddress
		gomega.Expect(pausedProcess.Signal(syscall.SIGSTOP)).To(gomega.Succeed())
		gomega.Eventually(memberAddresses).WithArguments(observerAddress).WithTimeout(eventuallyTimeout).ShouldNot(gomega.ContainElement(pausedAddress))
		gomega.Eventually(system.answersCompletely).WithTimeout(eventuallyTimeout).Should(gomega.BeTrue())
		// These queries wait at the paused process, so that it has work to do when it
		// resumes.
		var connectionCount atomic.Int64
		for range waitingQueryCount {
			senders.Go(func() { sendSearch(sendContext, pausedAddress, &connectionCount) })
		}
		gomega.Eventually(connectionCount.Load).WithTimeout(eventuallyTimeout).Should(gomega.BeNumerically(">=", waitingQueryCount))
		gomega.Expect(pausedProcess.Signal(syscall.SIGCONT)).To(gomega.Succeed())
		gomega.Eventually(memberAddresses).WithArguments(observerAddress).WithTimeout(eventuallyTimeout).Should(gomega.ContainElement(pausedAddress))
		gomega.Eventually(system.answersCompletely).WithTimeout(eventuallyTimeout).Should(gomega.BeTrue())
		stopSending()
		senders.Wait()
		sentIDs := map[caller.RequestID]bool{}
		for _, ids := range idsBySender {
			for _, id := range ids {
				sentIDs[id] = true
			}
		}
		expectLimitsAndSingleRuns(system.targets, deployment.Pools[0], sentIDs)
	})
})
