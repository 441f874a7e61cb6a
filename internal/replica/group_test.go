package replica_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/replica"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
)

type (
	// listMachine keeps all commands, one per line.
	listMachine struct {
		lock  sync.Mutex
		lines []byte
	}

	// group is a set of replicas on an in-memory network.
	group struct {
		network  *standin.Network
		peers    []string
		replicas map[string]*running
		disks    map[string]*standin.Disk
		// batchedRequests, if not 0, bounds the requests that share one sync of the disk.
		batchedRequests int
		// selfManaged groups add and replace replicas without an operator, and joinOnly holds the
		// numbers of replicas that never bootstrap a group.
		selfManaged bool
		joinOnly    map[int]bool

		changesLock sync.Mutex
		// memberChanges are the kinds and reasons of the changes of members, in the order in which leaders reported them.
		memberChanges []string
	}

	// running is a replica that has been started, with its state machine and its server.
	running struct {
		*replica.Replica
		machine *listMachine
		server  *frame.Server
	}
)

var suite *testing.T

func TestReplica(t *testing.T) {
	suite = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "replica")
}

func (listMachine *listMachine) Apply(_ uint64, command []byte) []byte {
	listMachine.lock.Lock()
	defer listMachine.lock.Unlock()
	listMachine.lines = append(append(listMachine.lines, command...), '\n')
	return command
}

func (listMachine *listMachine) Snapshot() ([]byte, error) {
	listMachine.lock.Lock()
	defer listMachine.lock.Unlock()
	return bytes.Clone(listMachine.lines), nil
}

func (listMachine *listMachine) Restore(snapshot []byte) error {
	listMachine.lock.Lock()
	defer listMachine.lock.Unlock()
	listMachine.lines = bytes.Clone(snapshot)
	return nil
}

func (listMachine *listMachine) text() string {
	listMachine.lock.Lock()
	defer listMachine.lock.Unlock()
	return string(listMachine.lines)
}

func newGroup(latency time.Duration) *group { return newGroupOf(3, latency) }

func newGroupOf(size int, latency time.Duration) *group {
	group := &group{network: &standin.Network{}, replicas: map[string]*running{}, disks: map[string]*standin.Disk{}}
	group.network.SetLatency(func(_, _ string) time.Duration { return latency })
	for number := range size {
		group.peers = append(group.peers, ipOf(number)+":90")
		group.disks[group.peers[number]] = &standin.Disk{}
	}
	return group
}

// withGroup runs a spec on a group that has started.
func withGroup(size int, latency time.Duration, body func(expect gomega.Gomega, group *group)) {
	bubble.Run(suite, func(expect gomega.Gomega) {
		group := newGroupOf(size, latency)
		group.startAll()
		defer group.stopAll()
		body(expect, group)
	})
}

func ipOf(number int) string { return fmt.Sprintf("10.0.0.%d", number+1) }

func (group *group) start(number int) *running {
	address := ipOf(number) + ":90"
	if group.disks[address] == nil {
		group.disks[address] = &standin.Disk{}
	}
	machine := &listMachine{}
	started := &running{machine: machine, server: new(frame.Server), Replica: replica.New(replica.Options{
		Name: fmt.Sprintf("control-%d", number), Address: address, Peers: group.peers, Dial: group.network.Dialer(ipOf(number)),
		Folder: "data", FileSystem: group.disks[address], SelfManaged: group.selfManaged, JoinOnly: group.joinOnly[number],
		CountMemberChange: group.recordMemberChange,
	}, machine)}
	if group.batchedRequests > 0 {
		started.SetBatchedRequests(group.batchedRequests)
	}
	listener, err := group.network.Listen(address)
	if err != nil {
		panic(err)
	}
	started.Register(started.server)
	go func() { _ = started.server.Serve(listener) }()
	if err := started.Start(); err != nil {
		panic(err)
	}
	group.replicas[address] = started
	return started
}

func (group *group) recordMemberChange(kind, reason string) {
	group.changesLock.Lock()
	defer group.changesLock.Unlock()
	group.memberChanges = append(group.memberChanges, kind+" "+reason)
}

// takeMemberChanges returns the changes of members since the last call.
func (group *group) takeMemberChanges() []string {
	group.changesLock.Lock()
	defer group.changesLock.Unlock()
	taken := group.memberChanges
	group.memberChanges = nil
	return taken
}

func (group *group) startAll() {
	for number := range group.peers {
		group.start(number)
	}
}

func (group *group) stop(address string) {
	stopped := group.replicas[address]
	_ = stopped.Stop(context.Background())
	stopped.server.Stop()
	delete(group.replicas, address)
}

// crash stops a replica between two operations of its disk.
func (group *group) crash(address string) {
	group.disks[address].Crash()
	group.network.Break(ipFromAddress(address))
	group.stop(address)
	group.disks[address].Restart(1)
}

// losePower stops a replica between two operations of its disk. Its peers are told nothing: what they send on their connections
// to it is lost.
func (group *group) losePower(address string) {
	group.disks[address].Crash()
	group.network.Silence(ipFromAddress(address))
	group.stop(address)
	group.disks[address].Restart(1)
}

func (group *group) stopAll() {
	for address := range group.replicas {
		group.stop(address)
	}
}

// propose retries until a replica accepts the command, and returns that replica's address.
func (group *group) propose(command string) string {
	for begin := time.Now(); ; {
		if time.Since(begin) > time.Minute {
			panic("no replica accepts " + command)
		}
		for address, candidate := range group.replicas {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := candidate.Propose(ctx, []byte(command))
			cancel()
			if err == nil {
				return address
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func ipFromAddress(address string) string { return address[:len(address)-len(":90")] }

var _ = ginkgo.Describe("a group of replicas", func() {
	// An order of a rollout would otherwise be refused for as long as the VM of a killed leader is down.
	ginkgo.It("knows its feature level under a new leader while the old one is down", func() {
		withGroup(3, 12*time.Millisecond, func(expect gomega.Gomega, group *group) {
			first := group.propose("one")
			time.Sleep(time.Second)
			for address, replica := range group.replicas {
				expect.Expect(replica.FeatureLevel() > 0).To(gomega.Equal(address == first), address)
			}
			// Within this time each replica registers its level with a new generation of its disk.
			time.Sleep(10 * time.Second)
			group.crash(first)
			second := group.propose("two")
			time.Sleep(time.Second)
			expect.Expect(group.replicas[second].FeatureLevel()).To(gomega.Equal(replica.BuildLevel))
		})
	})

	ginkgo.It("replicates commands, follows a new leader after a planned stop, and reports the leader", func() {
		withGroup(3, 12*time.Millisecond, func(expect gomega.Gomega, group *group) {
			first := group.propose("one")
			time.Sleep(time.Second)
			for address, replica := range group.replicas {
				expect.Expect(replica.machine.text()).To(gomega.Equal("one\n"))
				expect.Expect(replica.Status().LeaderAddress).To(gomega.Equal(first))
				expect.Expect(replica.Status().Replicas).To(gomega.HaveLen(3))
				if address != first {
					var typed interface{ LeaderAddress() string }
					_, err := replica.Propose(context.Background(), []byte("refused"))
					expect.Expect(errors.As(err, &typed)).To(gomega.BeTrue())
					expect.Expect(typed.LeaderAddress()).To(gomega.Equal(first))
				}
			}
			stopping := time.Now()
			group.stop(first)
			group.propose("two")
			// A planned stop doesn't wait for an election timeout.
			expect.Expect(time.Since(stopping)).To(gomega.BeNumerically("<", 300*time.Millisecond))
			time.Sleep(time.Second)
			for _, replica := range group.replicas {
				expect.Expect(replica.machine.text()).To(gomega.Equal("one\ntwo\n"))
			}
		})
	})

	ginkgo.It("confirms no read at a leader that receives no messages, and lets it rejoin", func() {
		withGroup(3, time.Millisecond, func(expect gomega.Gomega, group *group) {
			first := group.propose("one")
			old := group.replicas[first]
			for _, peer := range group.peers {
				group.network.Cut(ipFromAddress(peer), ipFromAddress(first))
			}
			shortCtx, cancelShort := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancelShort()
			expect.Expect(old.Confirm(shortCtx)).NotTo(gomega.Succeed())
			time.Sleep(400 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			expect.Expect(old.Confirm(ctx)).NotTo(gomega.Succeed())
			_, err := old.Propose(ctx, []byte("lost"))
			expect.Expect(err).To(gomega.HaveOccurred())
			second := group.propose("two")
			expect.Expect(second).NotTo(gomega.Equal(first))
			term, _ := group.replicas[second].Term()
			time.Sleep(time.Minute)
			for _, peer := range group.peers {
				group.network.Heal(ipFromAddress(peer), ipFromAddress(first))
			}
			time.Sleep(10 * time.Second)
			expect.Expect(old.machine.text()).To(gomega.Equal("one\ntwo\n"))
			// The returning replica doesn't depose the leader.
			termAfter, leading := group.replicas[second].Term()
			expect.Expect(termAfter).To(gomega.Equal(term))
			expect.Expect(leading).To(gomega.BeTrue())
		})
	})

	ginkgo.It("replaces a replica whose disk is lost, without its vote, and then tolerates the failure of a second", func() {
		withGroup(3, time.Millisecond, func(expect gomega.Gomega, group *group) {
			leader := group.propose("one")
			lost := (indexOf(group.peers, leader) + 1) % 3
			group.stop(group.peers[lost])
			group.disks[group.peers[lost]] = &standin.Disk{}
			time.Sleep(2 * time.Second)
			returned := group.start(lost)
			time.Sleep(5 * time.Second)
			expect.Expect(returned.machine.text()).To(gomega.Equal("one\n"))
			status := group.replicas[leader].Status()
			expect.Expect(status.Replicas).To(gomega.HaveLen(3))
			for _, member := range status.Replicas {
				expect.Expect(member.Voter).To(gomega.BeTrue())
			}
			group.stop(group.peers[(lost+1)%3])
			group.propose("two")
			time.Sleep(time.Second)
			expect.Expect(returned.machine.text()).To(gomega.Equal("one\ntwo\n"))
		})
	})

	ginkgo.It("adds and removes replicas one at a time at an operator's request", func() {
		withGroup(3, time.Millisecond, func(expect gomega.Gomega, group *group) {
			leader := group.replicas[group.propose("one")]
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			expect.Expect(leader.AddReplica(ctx, "control-3", ipOf(3)+":90")).NotTo(gomega.Succeed())
			added := group.start(3)
			time.Sleep(time.Second)
			expect.Expect(leader.AddReplica(ctx, "control-3", ipOf(3)+":90")).To(gomega.Succeed())
			expect.Expect(added.machine.text()).To(gomega.Equal("one\n"))
			other := group.peers[(indexOf(group.peers, leader.Status().LeaderAddress)+1)%3]
			expect.Expect(leader.RemoveReplica(ctx, fmt.Sprintf("control-%d", indexOf(group.peers, other)))).To(gomega.Succeed())
			expect.Expect(leader.Status().Replicas).To(gomega.HaveLen(3))
			expect.Expect(group.takeMemberChanges()).To(gomega.Equal([]string{"add operator", "promote caught_up", "remove operator"}))
		})
	})
})

func indexOf(peers []string, address string) int {
	for index, peer := range peers {
		if peer == address {
			return index
		}
	}
	return -1
}
