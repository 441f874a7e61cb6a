package replica_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/replica"
)

const (
	// cells is the number of cells in the state of a cellMachine, and cellBytes is the size of one.
	cells     = 100
	cellBytes = 1000
)

type (
	// cellMachine is a state machine whose state has a fixed size: each command overwrites one of
	// its cells.
	cellMachine struct {
		lock  sync.Mutex
		state [cells * cellBytes]byte
	}
)

func (cellMachine *cellMachine) Apply(index uint64, command []byte) []byte {
	cellMachine.lock.Lock()
	defer cellMachine.lock.Unlock()
	copy(cellMachine.state[index%cells*cellBytes:][:cellBytes], command)
	return nil
}

func (cellMachine *cellMachine) Snapshot() ([]byte, error) {
	cellMachine.lock.Lock()
	defer cellMachine.lock.Unlock()
	return bytes.Clone(cellMachine.state[:]), nil
}

func (cellMachine *cellMachine) Restore(snapshot []byte) error {
	cellMachine.lock.Lock()
	defer cellMachine.lock.Unlock()
	copy(cellMachine.state[:], snapshot)
	return nil
}

func mustSucceed(err error) {
	if err != nil {
		panic(err)
	}
}

// measureRecovery makes changes at a replica on a real disk, and returns the size of its folder and
// the time that the next start takes.
func measureRecovery(changes int) (size int64, recovery time.Duration) {
	folder, err := os.MkdirTemp("", "comfreythread-replica-")
	mustSucceed(err)
	defer func() { _ = os.RemoveAll(folder) }()
	options := replica.Options{Name: "control", Address: "10.0.0.1:90", Folder: folder}
	first := replica.New(options, &cellMachine{})
	mustSucceed(first.Start())
	for first.Confirm(context.Background()) != nil {
		time.Sleep(10 * time.Millisecond)
	}
	var clients sync.WaitGroup
	for client := range 10 {
		clients.Go(func() {
			command := make([]byte, cellBytes)
			for number := client; number < changes; number += 10 {
				binary.LittleEndian.PutUint64(command, uint64(number))
				_, err := first.Propose(context.Background(), bytes.Clone(command))
				mustSucceed(err)
			}
		})
	}
	clients.Wait()
	mustSucceed(first.Stop(context.Background()))
	names, err := filepath.Glob(filepath.Join(folder, "*"))
	mustSucceed(err)
	for _, name := range names {
		info, err := os.Stat(name)
		mustSucceed(err)
		size += info.Size()
	}
	second := replica.New(options, &cellMachine{})
	begin := time.Now()
	mustSucceed(second.Start())
	recovery = time.Since(begin)
	mustSucceed(second.Stop(context.Background()))
	return size, recovery
}

func BenchmarkRecovery(b *testing.B) {
	for _, changes := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprint(changes), func(b *testing.B) {
			for range b.N {
				size, recovery := measureRecovery(changes)
				b.ReportMetric(float64(size), "bytes")
				b.ReportMetric(float64(recovery.Microseconds()), "µs/recovery")
			}
		})
	}
}

// latencies makes 20 changes at each of some concurrent clients. It returns the sorted latencies of
// the changes and the total time.
func latencies(networkLatency, syncTime time.Duration, batchedRequests, clients int) (each []time.Duration, total time.Duration) {
	bubble.Run(suite, func(gomega.Gomega) {
		group := newGroup(networkLatency)
		group.batchedRequests = batchedRequests
		for _, disk := range group.disks {
			disk.SetSyncTime(syncTime)
		}
		for number := range group.peers {
			group.start(number)
		}
		defer group.stopAll()
		leader := group.replicas[group.propose("first")]
		time.Sleep(time.Second)
		var lock sync.Mutex
		var working sync.WaitGroup
		begin := time.Now()
		for range clients {
			working.Go(func() {
				for range 20 {
					sentAt := time.Now()
					_, err := leader.Propose(context.Background(), []byte("change"))
					mustSucceed(err)
					lock.Lock()
					each = append(each, time.Since(sentAt))
					lock.Unlock()
				}
			})
		}
		working.Wait()
		total = time.Since(begin)
	})
	slices.Sort(each)
	return each, total
}

var _ = ginkgo.Describe("the cost of a change", func() {
	ginkgo.It("on the disk is bounded by the size of the state, not by the number of changes", func() {
		size, _ := measureRecovery(5000)
		// The state, the records appended before the next snapshot, and one batch.
		gomega.Expect(size).To(gomega.BeNumerically("<", cells*cellBytes+1<<20+200*cellBytes))
	})

	ginkgo.It("is reduced by group commit", func() {
		for _, networkLatency := range []time.Duration{500 * time.Microsecond, 12 * time.Millisecond} {
			for _, clients := range []int{1, 64} {
				alone, aloneWhole := latencies(networkLatency, time.Millisecond, 1, clients)
				shared, sharedWhole := latencies(networkLatency, time.Millisecond, 512, clients)
				ginkgo.AddReportEntry(fmt.Sprintf("link %v, %d clients", networkLatency, clients), fmt.Sprintf(
					"one write a request: p50 %v p99 %v, %.0f/s; group commit: p50 %v p99 %v, %.0f/s",
					alone[len(alone)/2], alone[len(alone)*99/100], float64(len(alone))/aloneWhole.Seconds(),
					shared[len(shared)/2], shared[len(shared)*99/100], float64(len(shared))/sharedWhole.Seconds(),
				))
				if clients > 1 {
					gomega.Expect(sharedWhole).To(gomega.BeNumerically("<", aloneWhole))
				}
			}
		}
	})
})
