package control_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// declareRolloutPool makes a declared version of the tables with the pool of the specs.
func declareRolloutPool(client *control.Client, version uint64) error {
	_, err := client.Change(context.Background(), &operator.Change{ID: fmt.Sprint(version), Declared: version, Tables: operator.Tables{
		Pools: []operator.Pool{{Name: "cards", Connections: 5, HTTP: &operator.HTTPPool{}}},
	}})
	return err
}

func rolloutOrder(release string) *operator.RolloutOrder {
	return &operator.RolloutOrder{Pool: "cards", Release: release, Duration: duration.Of(time.Minute)}
}

func kindOf(err error) fault.Kind {
	var typed *fault.Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return ""
}

// leader returns the number of the replica that leads.
func (group *controlGroup) leader() int {
	for number, process := range group.running {
		if process != nil {
			if _, leading := process.replica.Term(); leading {
				return number
			}
		}
	}
	return -1
}

var _ = ginkgo.Describe("a rollout at a group of control processes", func() {
	ginkgo.It("survives the loss of the leader and of all processes, and its order sent again has no effect", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			group := startControlGroup(3)
			defer group.stop()
			client := control.NewClient(group.addresses, group.network.Dialer("10.9.0.1"))
			defer client.Close()
			ctx := context.Background()
			_, err := client.Rollout(ctx, "cards")
			expect.Expect(kindOf(err)).To(gomega.Equal(fault.NotFound))
			_, err = client.StartRollout(ctx, rolloutOrder("v2"))
			expect.Expect(kindOf(err)).To(gomega.Equal(fault.BadRequest))
			expect.Expect(declareRolloutPool(client, 1)).To(gomega.Succeed())
			first, err := client.StartRollout(ctx, rolloutOrder("v2"))
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expectFirst := func(rollout *operator.Rollout, err error) {
				expect.Expect(err).NotTo(gomega.HaveOccurred())
				expect.Expect(rollout.StartedAt).To(gomega.BeTemporally("==", first.StartedAt))
			}
			killed := group.leader()
			group.kill(killed)
			expectFirst(client.StartRollout(ctx, rolloutOrder("v2")))
			expectFirst(client.Rollout(ctx, "cards"))
			group.start(killed)
			time.Sleep(time.Second)
			for number := range 3 {
				group.kill(number)
			}
			for number := range 3 {
				group.start(number)
			}
			expectFirst(client.StartRollout(ctx, rolloutOrder("v2")))
			_, err = client.StartRollout(ctx, rolloutOrder("v3"))
			expect.Expect(kindOf(err)).To(gomega.Equal(fault.Conflict))
			// Without a quorum the state isn't known.
			group.kill(0)
			group.kill(1)
			_, err = client.Rollout(ctx, "cards")
			expect.Expect(kindOf(err)).To(gomega.Equal(fault.Unavailable))
			group.start(0)
			group.start(1)
			// The rollout has no evidence, so it is rolled back at its end, once.
			time.Sleep(time.Minute)
			last, err := client.Rollout(ctx, "cards")
			expectFirst(last, err)
			expect.Expect(last.Phase).To(gomega.Equal(operator.PhaseRolledBack))
			expect.Expect(last.Reason).To(gomega.HavePrefix("time ran out: too few answers"))
		})
	})

	ginkgo.It("is the only one of orders that race with each other and with changes of the tables", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			group := startControlGroup(3)
			defer group.stop()
			client := control.NewClient(group.addresses, group.network.Dialer("10.9.0.1"))
			defer client.Close()
			expect.Expect(declareRolloutPool(client, 1)).To(gomega.Succeed())
			const orders = 8
			errs, rollouts := make([]error, orders), make([]*operator.Rollout, orders)
			var calls sync.WaitGroup
			for number := range orders {
				calls.Go(func() {
					racing := control.NewClient(group.addresses, group.network.Dialer(fmt.Sprintf("10.9.1.%d", number)))
					defer racing.Close()
					rollouts[number], errs[number] = racing.StartRollout(context.Background(), rolloutOrder(fmt.Sprint("v", number%4)))
				})
				calls.Go(func() { _ = declareRolloutPool(client, uint64(2+number)) })
			}
			calls.Wait()
			won, err := client.Rollout(context.Background(), "cards")
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			for number := range orders {
				if fmt.Sprint("v", number%4) == won.Release {
					expect.Expect(errs[number]).NotTo(gomega.HaveOccurred())
					expect.Expect(rollouts[number].StartedAt).To(gomega.BeTemporally("==", won.StartedAt))
				} else {
					expect.Expect(kindOf(errs[number])).To(gomega.Equal(fault.Conflict))
				}
			}
			tables, err := client.Tables(context.Background(), 0)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(tables.Tables.Rollouts).To(gomega.HaveLen(1))
			expect.Expect(tables.Declared).To(gomega.Equal(uint64(1 + orders)))
		})
	})
})
