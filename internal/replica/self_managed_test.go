package replica_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
)

const (
	// replacementTimeout is the time within which a replacement must become a voter: the shortest
	// that the platform sets, 4 s.
	replacementTimeout = 4 * time.Second
	// slowSync is the time of a sync that keeps a replica from answering a leader under load before the leader takes it for
	// unreachable.
	slowSync               = minimumElectionTimeout + 200*time.Millisecond
	minimumElectionTimeout = 600 * time.Millisecond
)

// withSelfManagedGroup runs a spec on five replicas whose peer lists hold the addresses of the first
// three.
func withSelfManagedGroup(body func(expect gomega.Gomega, group *group)) {
	withGroup(3, 12*time.Millisecond, func(expect gomega.Gomega, initial *group) {
		initial.stopAll()
		group := newGroupOf(3, 12*time.Millisecond)
		group.selfManaged, group.joinOnly = true, map[int]bool{}
		for number := range 5 {
			group.start(number)
		}
		defer group.stopAll()
		group.propose("one")
		time.Sleep(3 * time.Second)
		body(expect, group)
	})
}

// voters returns the addresses of the voters according to the leader.
func (group *group) voters() []string {
	var voters []string
	for _, member := range group.replicas[group.propose("look")].Status().Replicas {
		if member.Voter {
			voters = append(voters, member.Address)
		}
	}
	return voters
}

func addresses(numbers ...int) []string {
	var addresses []string
	for _, number := range numbers {
		addresses = append(addresses, ipOf(number)+":90")
	}
	return addresses
}

var _ = ginkgo.Describe("a self-managed group", func() {
	ginkgo.It("is bootstrapped by the listed replicas and adds the others", func() {
		withSelfManagedGroup(func(expect gomega.Gomega, group *group) {
			expect.Expect(group.voters()).To(gomega.ConsistOf(addresses(0, 1, 2, 3, 4)))
		})
	})

	ginkgo.It("replaces a replica that failed permanently by one at another address, in time to tolerate two more failures", func() {
		withSelfManagedGroup(func(expect gomega.Gomega, group *group) {
			group.crash(ipOf(4) + ":90")
			time.Sleep(time.Second)
			group.joinOnly[5] = true
			group.start(5)
			time.Sleep(replacementTimeout)
			expect.Expect(group.voters()).To(gomega.ConsistOf(addresses(0, 1, 2, 3, 5)))
			group.crash(ipOf(0) + ":90")
			group.crash(ipOf(1) + ":90")
			group.propose("two")
		})
	})

	// Guards against a group that judges a new member by the time before it was added: it then removes the member 100 ms after each
	// addition, and one lost append keeps it out for good. The leader's connection to a machine that lost power loses what
	// is sent on it until its failure is noticed, after 2 s.
	ginkgo.DescribeTable("makes a replica that lost its power and its disk a voter again in time, whatever is lost on the connections to the process before", func(dark time.Duration) {
		withSelfManagedGroup(func(expect gomega.Gomega, group *group) {
			group.losePower(ipOf(4) + ":90")
			time.Sleep(dark)
			group.disks[ipOf(4)+":90"] = &standin.Disk{}
			group.joinOnly[4] = true
			group.start(4)
			group.takeMemberChanges()
			time.Sleep(replacementTimeout)
			expect.Expect(group.takeMemberChanges()).To(gomega.Equal([]string{"add same_address", "remove replaced", "promote caught_up"}))
			expect.Expect(group.voters()).To(gomega.ConsistOf(addresses(0, 1, 2, 3, 4)))
		})
	},
		ginkgo.Entry("dark for 0.6 s", 600*time.Millisecond),
		ginkgo.Entry("dark for 0.8 s", 800*time.Millisecond),
		ginkgo.Entry("dark for 1 s", time.Second),
		ginkgo.Entry("dark for 1.2 s", 1200*time.Millisecond),
		ginkgo.Entry("dark for 1.6 s", 1600*time.Millisecond),
		ginkgo.Entry("dark for 2.4 s", 2400*time.Millisecond),
	)

	// Guards against a newcomer that never catches up, here by a slow disk, and keeps out all that come after it.
	ginkgo.It("takes in a newcomer beside another one that can't catch up", func() {
		withSelfManagedGroup(func(expect gomega.Gomega, group *group) {
			slow, sound := ipOf(5)+":90", ipOf(6)+":90"
			group.disks[slow] = &standin.Disk{}
			group.disks[slow].SetSyncTime(slowSync)
			group.joinOnly[5], group.joinOnly[6] = true, true
			group.takeMemberChanges()
			group.start(5)
			group.start(6)
			leader := group.replicas[group.propose("two")]
			for startedAt := time.Now(); time.Since(startedAt) < replacementTimeout; time.Sleep(20 * time.Millisecond) {
				_, err := leader.Propose(context.Background(), []byte("load"))
				expect.Expect(err).NotTo(gomega.HaveOccurred())
			}
			voters := group.voters()
			expect.Expect(voters).To(gomega.ContainElement(sound))
			expect.Expect(voters).NotTo(gomega.ContainElement(slow))
			expect.Expect(group.takeMemberChanges()).To(gomega.ConsistOf("add new_address", "add new_address", "promote caught_up"))
		})
	})

	ginkgo.It("adds a newcomer that knows only replicas that don't lead", func() {
		withSelfManagedGroup(func(expect gomega.Gomega, group *group) {
			for _, address := range group.peers {
				if group.replicas[address] != nil {
					group.stop(address)
					time.Sleep(time.Second)
					group.start(indexOf(group.peers, address))
					time.Sleep(time.Second)
				}
			}
			group.joinOnly[5] = true
			group.start(5)
			time.Sleep(replacementTimeout)
			expect.Expect(group.voters()).To(gomega.ContainElement(ipOf(5) + ":90"))
		})
	})

	ginkgo.It("keeps replicas that are only partitioned, which catch up when they return", func() {
		withSelfManagedGroup(func(expect gomega.Gomega, group *group) {
			for _, other := range []int{0, 1, 2} {
				for _, cut := range []int{3, 4} {
					group.network.Cut(ipOf(other), ipOf(cut))
					group.network.Cut(ipOf(cut), ipOf(other))
				}
			}
			group.propose("two")
			time.Sleep(8 * time.Second)
			expect.Expect(group.voters()).To(gomega.ConsistOf(addresses(0, 1, 2, 3, 4)))
			for _, other := range []int{0, 1, 2} {
				for _, cut := range []int{3, 4} {
					group.network.Heal(ipOf(other), ipOf(cut))
					group.network.Heal(ipOf(cut), ipOf(other))
				}
			}
			time.Sleep(5 * time.Second)
			expect.Expect(group.replicas[ipOf(4)+":90"].machine.text()).To(gomega.ContainSubstring("two"))
		})
	})

	ginkgo.It("lets a replica that was replaced while it was partitioned join again", func() {
		withSelfManagedGroup(func(expect gomega.Gomega, group *group) {
			for _, other := range []int{0, 1, 2, 3, 5} {
				group.network.Cut(ipOf(other), ipOf(4))
				group.network.Cut(ipOf(4), ipOf(other))
			}
			group.joinOnly[5] = true
			group.start(5)
			time.Sleep(6 * time.Second)
			expect.Expect(group.voters()).To(gomega.ConsistOf(addresses(0, 1, 2, 3, 5)))
			for _, other := range []int{0, 1, 2, 3, 5} {
				group.network.Heal(ipOf(other), ipOf(4))
				group.network.Heal(ipOf(4), ipOf(other))
			}
			time.Sleep(10 * time.Second)
			expect.Expect(group.voters()).To(gomega.ContainElement(ipOf(4) + ":90"))
		})
	})

	ginkgo.It("isn't bootstrapped a second time by replicas with empty disks", func() {
		withSelfManagedGroup(func(expect gomega.Gomega, group *group) {
			for number := range 3 {
				group.crash(ipOf(number) + ":90")
				group.disks[ipOf(number)+":90"] = &standin.Disk{}
				group.joinOnly[number] = true
			}
			for number := range 3 {
				group.start(number)
			}
			time.Sleep(20 * time.Second)
			for number := range 3 {
				expect.Expect(group.replicas[ipOf(number)+":90"].Status().Replicas).To(gomega.BeEmpty())
			}
		})
	})

	ginkgo.It("accepts commands within a second after all replicas were killed and one lost its disk", func() {
		withSelfManagedGroup(func(expect gomega.Gomega, group *group) {
			for number := range 5 {
				group.crash(ipOf(number) + ":90")
			}
			group.disks[ipOf(2)+":90"] = &standin.Disk{}
			group.joinOnly[2] = true
			time.Sleep(time.Second)
			startedAt := time.Now()
			for number := range 5 {
				group.start(number)
			}
			address := group.propose("two")
			expect.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", time.Second))
			expect.Expect(group.replicas[address].machine.text()).To(gomega.HavePrefix("one\n"))
		})
	})
})
