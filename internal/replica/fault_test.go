package replica_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/replica"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

type (
	// operation is one read or write of a register, whose value is the last command. Operations
	// overlap unless one ended before the other began.
	operation struct {
		write      bool
		value      string
		begin, end int64
	}

	history struct {
		lock       sync.Mutex
		operations []operation
		clock      atomic.Int64
	}
)

// never is the end of a write with an unknown outcome.
const never = int64(1) << 62

// add records an operation. A write with an unknown outcome never ends: it may take effect at any
// later time or not at all.
func (history *history) add(added operation) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.operations = append(history.operations, added)
}

// linearizable reports whether the reads are explained by some order of the operations that keeps
// each operation after those that ended before it began.
func linearizable(operations []operation) bool {
	type state struct {
		done  string
		value string
	}
	seen := map[state]bool{}
	done := make([]byte, len(operations))
	var search func(value string) bool
	search = func(value string) bool {
		if seen[state{string(done), value}] {
			return false
		}
		seen[state{string(done), value}] = true
		firstEnd, unfinished := never, false
		for index, operation := range operations {
			if done[index] == 0 {
				firstEnd = min(firstEnd, operation.end)
				unfinished = unfinished || operation.end < never
			}
		}
		if !unfinished {
			return true
		}
		for index, operation := range operations {
			if done[index] == 1 || operation.begin > firstEnd || !operation.write && operation.value != value {
				continue
			}
			after := value
			if operation.write {
				after = operation.value
			}
			done[index] = 1
			if search(after) {
				return true
			}
			done[index] = 0
		}
		return false
	}
	return search("")
}

// runClient reads and writes at random replicas for a fixed number of attempts.
func (history *history) runClient(targets *clientTargets, random *rand.Rand, name string) {
	for number := range 14 {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		chosen := targets.any(random)
		if chosen == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		begin := history.clock.Add(1)
		if random.IntN(2) == 0 {
			value := fmt.Sprintf("%s-%d", name, number)
			_, err := chosen.Propose(ctx, []byte(value))
			var refusal *replica.NotLeadingError
			refused := errors.As(err, &refusal)
			switch {
			case err == nil:
				history.add(operation{write: true, value: value, begin: begin, end: history.clock.Add(1)})
			case !refused:
				history.add(operation{write: true, value: value, begin: begin, end: never})
			}
		} else if chosen.Confirm(ctx) == nil {
			lines := strings.Split(strings.TrimSuffix(chosen.machine.text(), "\n"), "\n")
			history.add(operation{value: lines[len(lines)-1], begin: begin, end: history.clock.Add(1)})
		}
		cancel()
	}
}

// clientTargets are the running replicas, to which clients send their requests.
type clientTargets struct {
	lock    sync.Mutex
	running []*running
}

func (clientTargets *clientTargets) set(group *group) {
	clientTargets.lock.Lock()
	defer clientTargets.lock.Unlock()
	clientTargets.running = nil
	for _, address := range group.peers {
		if group.replicas[address] != nil {
			clientTargets.running = append(clientTargets.running, group.replicas[address])
		}
	}
}

func (clientTargets *clientTargets) any(random *rand.Rand) *running {
	clientTargets.lock.Lock()
	defer clientTargets.lock.Unlock()
	if len(clientTargets.running) == 0 {
		return nil
	}
	return clientTargets.running[random.IntN(len(clientTargets.running))]
}

var _ = ginkgo.Describe("a group under faults", func() {
	ginkgo.It("is linearizable while replicas are cut off, crash and return", func() {
		reads, writes := 0, 0
		for seed := range uint64(6) {
			history := &history{}
			bubble.Run(suite, func(gomega.Gomega) {
				random := rand.New(rand.NewPCG(seed, 7))
				group := newGroup(5 * time.Millisecond)
				group.startAll()
				defer group.stopAll()
				group.propose("")
				clientTargets := &clientTargets{}
				clientTargets.set(group)
				var clients sync.WaitGroup
				for number := range 4 {
					clients.Go(func() {
						history.runClient(clientTargets, rand.New(rand.NewPCG(seed, uint64(number))), fmt.Sprint(number))
					})
				}
				for range 5 {
					victim := random.IntN(3)
					other := (victim + 1 + random.IntN(2)) % 3
					if random.IntN(2) == 0 {
						group.network.Cut(ipOf(victim), ipOf(other))
						time.Sleep(1500 * time.Millisecond)
						group.network.Heal(ipOf(victim), ipOf(other))
						continue
					}
					group.crash(group.peers[victim])
					clientTargets.set(group)
					time.Sleep(time.Second)
					group.start(victim)
					clientTargets.set(group)
				}
				clients.Wait()
			})
			gomega.Expect(linearizable(history.operations)).To(gomega.BeTrue(), "seed %d: %+v", seed, history.operations)
			for _, operation := range history.operations {
				if operation.write {
					writes++
				} else {
					reads++
				}
			}
		}
		gomega.Expect(min(reads, writes)).To(gomega.BeNumerically(">", 30))
	})

	ginkgo.It("is checked by a checker that detects a stale read and a lost write", func() {
		stale := []operation{{write: true, value: "a", begin: 1, end: 2}, {write: true, value: "b", begin: 3, end: 4}, {value: "a", begin: 5, end: 6}}
		gomega.Expect(linearizable(stale)).To(gomega.BeFalse())
		stale[1].end = never
		gomega.Expect(linearizable(stale)).To(gomega.BeTrue())
		gomega.Expect(linearizable(append(stale, operation{value: "b", begin: 7, end: 8}, operation{value: "a", begin: 9, end: 10}))).To(gomega.BeFalse())
	})

	ginkgo.It("loses nothing when all replicas crash at once, and repairs a replica with a flipped bit", func() {
		withGroup(3, time.Millisecond, func(expect gomega.Gomega, group *group) {
			for number := range 20 {
				group.propose(fmt.Sprint(number))
			}
			for _, address := range group.peers {
				group.crash(address)
			}
			damaged := group.peers[1]
			group.disks[damaged].Flip("log-", -40)
			group.startAll()
			group.propose("after")
			time.Sleep(10 * time.Second)
			for _, replica := range group.replicas {
				expect.Expect(strings.Split(replica.machine.text(), "\n")).To(gomega.HaveLen(22))
				expect.Expect(replica.machine.text()).To(gomega.HaveSuffix("19\nafter\n"))
				expect.Expect(replica.Status().Replicas).To(gomega.HaveLen(3))
				for _, member := range replica.Status().Replicas {
					expect.Expect(member.Voter).To(gomega.BeTrue())
				}
			}
		})
	})

	ginkgo.DescribeTable("continues without a leader whose disk fails, and the leader reports the reason", func(fail func(group *group, address string)) {
		withGroup(3, time.Millisecond, func(expect gomega.Gomega, group *group) {
			first := group.propose("one")
			fail(group, first)
			second := group.propose("two")
			expect.Expect(second).NotTo(gomega.Equal(first))
			_, err := group.replicas[first].Propose(context.Background(), []byte("refused"))
			expect.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("disk")))
			// Clients try another replica only on this kind.
			var refusal *fault.Error
			expect.Expect(errors.As(err, &refusal)).To(gomega.BeTrue())
			expect.Expect(refusal.Kind).To(gomega.Equal(fault.Unavailable))
			expect.Expect(group.replicas[first].Confirm(context.Background())).NotTo(gomega.Succeed())
			time.Sleep(time.Second)
			expect.Expect(group.replicas[second].machine.text()).To(gomega.HaveSuffix("two\n"))
		})
	},
		ginkgo.Entry("a failed sync", func(group *group, address string) { group.disks[address].FailSync() }),
		ginkgo.Entry("no space", func(group *group, address string) { group.disks[address].Limit(group.disks[address].Size() + 10) }),
	)

	ginkgo.It("keeps entries that it acknowledged after a restart that followed a failed sync", func() {
		withGroup(3, time.Millisecond, func(expect gomega.Gomega, group *group) {
			leader := group.propose("one")
			failing := group.peers[(indexOf(group.peers, leader)+1)%3]
			away := group.peers[(indexOf(group.peers, leader)+2)%3]
			group.disks[failing].FailSync()
			group.propose("two")
			time.Sleep(time.Minute)
			_, err := group.replicas[failing].Propose(context.Background(), []byte("refused"))
			expect.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("the disk failed")))
			// Only the process restarts; the operating system still shows the file as it was
			// written.
			group.stop(failing)
			group.start(indexOf(group.peers, failing))
			time.Sleep(2 * time.Second)
			group.stop(away)
			group.propose("three")
			group.crash(failing)
			group.crash(leader)
			group.start(indexOf(group.peers, failing))
			group.start(indexOf(group.peers, away))
			group.propose("four")
			time.Sleep(time.Second)
			expect.Expect(group.replicas[away].machine.text()).To(gomega.Equal("one\ntwo\nthree\nfour\n"))
		})
	})

	ginkgo.It("serves again without a restart once a full disk has space", func() {
		withGroup(3, time.Millisecond, func(expect gomega.Gomega, group *group) {
			full := group.propose("one")
			group.disks[full].Limit(group.disks[full].Size() + 10)
			second := group.propose("two")
			expect.Expect(second).NotTo(gomega.Equal(full))
			time.Sleep(time.Minute)
			_, err := group.replicas[full].Propose(context.Background(), []byte("refused"))
			expect.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("space")))
			group.disks[full].Limit(0)
			time.Sleep(5 * time.Second)
			// A command sent before the disk was full may have been applied a second time.
			held := group.replicas[second].machine.text()
			expect.Expect(held).To(gomega.HaveSuffix("two\n"))
			expect.Expect(group.replicas[full].machine.text()).To(gomega.Equal(held))
			// The replica counts: without it there is no quorum.
			group.stop(group.peers[3-indexOf(group.peers, full)-indexOf(group.peers, second)])
			group.propose("three")
			time.Sleep(time.Second)
			expect.Expect(group.replicas[full].machine.text()).To(gomega.Equal(held + "three\n"))
			// This also holds after a crash.
			group.crash(full)
			group.start(indexOf(group.peers, full))
			group.propose("four")
		})
	})

	ginkgo.It("starts on a full disk and serves once it has space", func() {
		withGroup(3, time.Millisecond, func(expect gomega.Gomega, group *group) {
			full := group.propose("one")
			group.stop(full)
			group.disks[full].Limit(group.disks[full].Size())
			group.start(indexOf(group.peers, full))
			group.propose("two")
			time.Sleep(10 * time.Second)
			_, err := group.replicas[full].Propose(context.Background(), []byte("refused"))
			expect.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("space")))
			group.disks[full].Limit(0)
			time.Sleep(5 * time.Second)
			expect.Expect(group.replicas[full].machine.text()).To(gomega.Equal("one\ntwo\n"))
		})
	})

	ginkgo.It("restores a replica by a snapshot in parts after the log was compacted", func() {
		withGroup(3, time.Millisecond, func(expect gomega.Gomega, group *group) {
			leader := group.propose("one")
			away := (indexOf(group.peers, leader) + 1) % 3
			group.stop(group.peers[away])
			large := strings.Repeat("x", 1000)
			target := group.replicas[leader]
			var clients sync.WaitGroup
			for client := range 10 {
				clients.Go(func() {
					for number := client; number < 3000; number += 10 {
						_, err := target.Propose(context.Background(), fmt.Append(nil, large, number))
						mustSucceed(err)
					}
				})
			}
			clients.Wait()
			returned := group.start(away)
			time.Sleep(10 * time.Second)
			expect.Expect(returned.machine.text()).To(gomega.Equal(group.replicas[leader].machine.text()))
		})
	})
})
