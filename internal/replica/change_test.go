package replica_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/replica"
)

// groupSize tolerates two failures.
const groupSize = 5

type (
	// memberChange asks one replica for a change of members.
	memberChange func(ctx context.Context, target *replica.Replica) error

	// faultInjection causes a fault and returns a function that ends it.
	faultInjection func(group *group, leader int) (end func())
)

func addSixth(ctx context.Context, target *replica.Replica) error {
	return target.AddReplica(ctx, "control-5", ipOf(groupSize)+":90")
}

func removeFifth(ctx context.Context, target *replica.Replica) error {
	return target.RemoveReplica(ctx, "control-4")
}

// retryUntilMade asks the replicas for a change until one has made it.
func (change memberChange) retryUntilMade(group *group) {
	for begin := time.Now(); time.Since(begin) < time.Minute; {
		for _, address := range group.peers {
			target := group.replicas[address]
			if target == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			err := change(ctx, target.Replica)
			cancel()
			if err == nil {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	panic("no replica makes the change of members")
}

// crashAll crashes the replicas with the numbers that the function returns for a leader.
func crashAll(numbers func(leader int) []int) faultInjection {
	return func(group *group, leader int) func() {
		for _, number := range numbers(leader) {
			group.crash(ipOf(number) + ":90")
		}
		return func() {
			for _, number := range numbers(leader) {
				group.start(number)
			}
		}
	}
}

// cutLeader cuts off the messages to the leader, and if bothWays is set also those from it.
func cutLeader(bothWays bool) faultInjection {
	return func(group *group, leader int) func() {
		for number := range groupSize + 1 {
			if number == leader {
				continue
			}
			group.network.Cut(ipOf(number), ipOf(leader))
			if bothWays {
				group.network.Cut(ipOf(leader), ipOf(number))
			}
		}
		return func() {
			for number := range groupSize + 1 {
				if number != leader {
					group.network.Heal(ipOf(number), ipOf(leader))
					group.network.Heal(ipOf(leader), ipOf(number))
				}
			}
		}
	}
}

// fillLeader leaves space for only 10 more bytes on the leader's disk.
func fillLeader(group *group, leader int) func() {
	disk := group.disks[ipOf(leader)+":90"]
	disk.Limit(disk.Size() + 10)
	return func() { disk.Limit(0) }
}

var _ = ginkgo.Describe("a group of five", func() {
	ginkgo.It("accepts commands without two replicas, none without three, and again once one returns", func() {
		withGroup(groupSize, 5*time.Millisecond, func(expect gomega.Gomega, group *group) {
			leader := indexOf(group.peers, group.propose("one"))
			next := (leader + 1) % groupSize
			group.crash(group.peers[leader])
			group.crash(group.peers[next])
			group.propose("two")
			third := (leader + 2) % groupSize
			group.crash(group.peers[third])
			time.Sleep(2 * time.Second)
			for _, remaining := range group.replicas {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				expect.Expect(remaining.Confirm(ctx)).NotTo(gomega.Succeed())
				cancel()
			}
			group.start(leader)
			group.propose("three")
			time.Sleep(time.Second)
			for _, running := range group.replicas {
				expect.Expect(running.machine.text()).To(gomega.Equal("one\ntwo\nthree\n"))
			}
		})
	})

	ginkgo.DescribeTable("completes a change of members under a fault, loses nothing and tolerates further failures", func(change memberChange, size int, inject faultInjection) {
		for moment := range 6 {
			withGroup(groupSize, 5*time.Millisecond, func(expect gomega.Gomega, group *group) {
				leader := indexOf(group.peers, group.propose("one"))
				group.start(groupSize)
				time.Sleep(time.Second)
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				target := group.replicas[group.peers[leader]].Replica
				go func() { _ = change(ctx, target) }()
				time.Sleep(time.Duration(moment) * 5 * time.Millisecond)
				end := inject(group, leader)
				group.propose("two")
				time.Sleep(2 * time.Second)
				end()
				change.retryUntilMade(group)
				time.Sleep(5 * time.Second)
				lastLeader := indexOf(append(group.peers, ipOf(groupSize)+":90"), group.propose("three"))
				time.Sleep(time.Second)
				status := group.replicas[ipOf(lastLeader)+":90"].Status()
				expect.Expect(status.Replicas).To(gomega.HaveLen(size))
				for _, member := range status.Replicas {
					expect.Expect(member.Voter).To(gomega.BeTrue())
					expect.Expect(group.replicas[member.Address].machine.text()).To(gomega.MatchRegexp("^one\n(two\n)+three\n$"))
				}
				for _, member := range status.Replicas[:(size-1)/2] {
					group.crash(member.Address)
				}
				group.propose("four")
			})
		}
	},
		ginkgo.Entry("add: the leader crashes", memberChange(addSixth), 6, crashAll(func(leader int) []int { return []int{leader} })),
		ginkgo.Entry("add: two others crash", memberChange(addSixth), 6, crashAll(func(leader int) []int { return []int{(leader + 1) % groupSize, (leader + 2) % groupSize} })),
		ginkgo.Entry("add: the new replica crashes", memberChange(addSixth), 6, crashAll(func(int) []int { return []int{groupSize} })),
		ginkgo.Entry("add: the leader is cut off", memberChange(addSixth), 6, cutLeader(true)),
		ginkgo.Entry("add: the leader receives no messages", memberChange(addSixth), 6, cutLeader(false)),
		ginkgo.Entry("add: the leader's disk is full", memberChange(addSixth), 6, faultInjection(fillLeader)),
		ginkgo.Entry("remove: the leader crashes", memberChange(removeFifth), 4, crashAll(func(leader int) []int { return []int{leader} })),
		ginkgo.Entry("remove: the removed replica crashes", memberChange(removeFifth), 4, crashAll(func(int) []int { return []int{groupSize - 1} })),
		ginkgo.Entry("remove: the leader is cut off", memberChange(removeFifth), 4, cutLeader(true)),
		ginkgo.Entry("remove: the leader's disk is full", memberChange(removeFifth), 4, faultInjection(fillLeader)),
	)
})
