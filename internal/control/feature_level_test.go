package control

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/replica"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

func tenantChange() *operator.Change {
	digest := "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
	return &operator.Change{ID: "a", Tables: operator.Tables{Tenants: []operator.Tenant{{Name: "t", KeyDigests: []string{digest}}}}}
}

// TestTenantsNeedTheLevel checks that tables with tenants are refused with a retryable error while a
// replica may be of an older build, which would drop the tenants and then serve without keys.
func TestTenantsNeedTheLevel(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		group := newGroup(1)
		group.faultsEnded, group.featureLevel = true, 0
		group.elect(0)
		leader, follower := group.replicas[0].service, group.replicas[1].service
		var refusal *fault.Error
		_, err := leader.change(t.Context(), tenantChange())
		expect.Expect(errors.As(err, &refusal)).To(gomega.BeTrue(), "%v", err)
		expect.Expect(refusal.Kind).To(gomega.Equal(fault.Unavailable))
		expect.Expect(leader.state.Newest().Version).To(gomega.BeZero())
		var notLeading *replica.NotLeadingError
		_, err = follower.change(t.Context(), tenantChange())
		expect.Expect(errors.As(err, &notLeading)).To(gomega.BeTrue(), "%v", err)
		_, err = leader.change(t.Context(), &operator.Change{ID: "b"})
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		group.featureLevel = replica.LevelRollouts
		accepted := tenantChange()
		accepted.Base = 1
		_, err = leader.change(t.Context(), accepted)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(leader.state.Newest().Tables.Tenants).To(gomega.HaveLen(1))
	})
}

// TestTenantsNeedTheLevelOfEntries checks that tables with tenants are refused while an entry of an older
// build holds a lease, and that such an entry gets no lease under them. It would serve without keys.
func TestTenantsNeedTheLevelOfEntries(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		group := newGroup(1)
		group.faultsEnded = true
		group.elect(0)
		leader := group.replicas[0].service
		renewal := Renewal{Member: membership.Member{ID: "entry", Incarnation: 1}}
		_, err := leader.renew(t.Context(), &renewal)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		var refusal *fault.Error
		for _, dryRun := range []bool{true, false} {
			change := tenantChange()
			change.DryRun = dryRun
			_, err = leader.change(t.Context(), change)
			expect.Expect(errors.As(err, &refusal)).To(gomega.BeTrue(), "%v", err)
			expect.Expect(refusal.Kind).To(gomega.Equal(fault.Unavailable))
		}
		time.Sleep(2 * LeaseDuration)
		_, err = leader.change(t.Context(), tenantChange())
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = leader.renew(t.Context(), &renewal)
		expect.Expect(errors.As(err, &refusal)).To(gomega.BeTrue(), "%v", err)
		expect.Expect(refusal.Kind).To(gomega.Equal(fault.Unavailable))
		renewal.Level = replica.LevelRollouts
		_, err = leader.renew(t.Context(), &renewal)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
	})
}

// Guards against an update, a stored command or a snapshot that loses the need for keys, and against builds of the level of rollouts, which
// would drop it and let every caller in.
func TestRequiredKeysAreKept(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		group := newGroup(1)
		group.faultsEnded, group.featureLevel = true, replica.LevelRollouts
		group.elect(0)
		leader := group.replicas[0].service
		change := &operator.Change{ID: "a", Tables: operator.Tables{RequireKeys: true}}
		var refusal *fault.Error
		_, err := leader.change(t.Context(), change)
		expect.Expect(errors.As(err, &refusal)).To(gomega.BeTrue(), "%v", err)
		expect.Expect(refusal.Kind).To(gomega.Equal(fault.Unavailable))
		group.featureLevel = replica.LevelRequireKeys
		renewal := Renewal{Member: membership.Member{ID: "entry", Incarnation: 1}, Level: replica.LevelRollouts}
		_, err = leader.renew(t.Context(), &renewal)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = leader.change(t.Context(), change)
		expect.Expect(errors.As(err, &refusal)).To(gomega.BeTrue(), "%v", err)
		time.Sleep(2 * LeaseDuration)
		_, err = leader.change(t.Context(), change)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = leader.renew(t.Context(), &renewal)
		expect.Expect(errors.As(err, &refusal)).To(gomega.BeTrue(), "an entry that doesn't know the field got a lease: %v", err)

		snapshot, err := leader.state.Snapshot()
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		restored := &State{}
		expect.Expect(restored.Restore(snapshot)).To(gomega.Succeed())
		newest := restored.Newest()
		expect.Expect(newest.Tables.NeedKeys()).To(gomega.BeTrue())
	})
}

// Guards against a change that an older leader acknowledges without the part of it that its build doesn't know.
func TestRequiredKeysNeverReachOlderLeaders(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		network, server, changes := &standin.Network{}, &frame.Server{}, 0
		for _, method := range []string{MethodChange, MethodLeveledChange} {
			frame.Handle(server, method, func(context.Context, *operator.Change) (*reply[operator.ChangeReply], error) {
				changes++
				return &reply[operator.ChangeReply]{Body: &operator.ChangeReply{}}, nil
			})
		}
		listener, err := network.Listen("10.0.0.1:90")
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		go func() { _ = server.Serve(listener) }()
		defer server.Stop()
		client := NewClient([]string{"10.0.0.1:90"}, network.Dialer("10.1.0.1"))
		defer client.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = client.Change(ctx, &operator.Change{ID: "a", Tables: operator.Tables{RequireKeys: true}})
		expect.Expect(err).To(gomega.HaveOccurred())
		expect.Expect(changes).To(gomega.BeZero())
	})
}

// TestOlderReplicasDontEndACall checks that a call of a method that older builds lack reaches a newer
// leader past an older replica, fails with a retryable error if an older replica leads, and that
// tables with tenants never reach an older replica, which would drop the tenants.
func TestOlderReplicasDontEndACall(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		network := &standin.Network{}
		addresses := []string{"10.0.0.1:90", "10.0.0.2:90"}
		servers := []*frame.Server{{}, {}}
		changes := 0
		frame.Handle(servers[0], MethodChange, func(context.Context, *operator.Change) (*reply[operator.ChangeReply], error) {
			changes++
			return &reply[operator.ChangeReply]{Body: &operator.ChangeReply{}}, nil
		})
		for index, server := range servers {
			listener, err := network.Listen(addresses[index])
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			go func() { _ = server.Serve(listener) }()
			defer server.Stop()
		}
		client := NewClient(addresses, network.Dialer("10.1.0.1"))
		defer client.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var refusal *fault.Error
		_, err := client.Change(ctx, tenantChange())
		expect.Expect(errors.As(err, &refusal)).To(gomega.BeTrue(), "%v", err)
		expect.Expect(refusal.Kind).To(gomega.Equal(fault.Unavailable))
		frame.Handle(servers[1], MethodLeveledChange, func(context.Context, *operator.Change) (*reply[operator.ChangeReply], error) {
			return &reply[operator.ChangeReply]{Body: &operator.ChangeReply{Version: 7}}, nil
		})
		accepted, err := client.Change(t.Context(), tenantChange())
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(accepted.Version).To(gomega.Equal(uint64(7)))
		expect.Expect(changes).To(gomega.BeZero())
	})
}
