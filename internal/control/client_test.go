package control

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
)

// TestNamedLeaderIsCalledWithoutPause covers a change of leader while a call tries the replicas
// in turn. Only the last replica names the new leader, which must be called before the pause at
// the end of the round.
func TestNamedLeaderIsCalledWithoutPause(t *testing.T) {
	const latency = 12 * time.Millisecond
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		network := &standin.Network{}
		network.SetLatency(func(_, _ string) time.Duration { return latency })
		addresses := []string{"10.0.0.1:90", "10.0.0.2:90", "10.0.0.3:90"}
		calls := 0
		answers := []*reply[Grant]{{NotLeading: true}, {NotLeading: true}, {NotLeading: true, Leader: addresses[1]}, {Body: &Grant{}}}
		for _, address := range addresses {
			server := new(frame.Server)
			frame.Handle(server, MethodGrant, func(context.Context, *GrantRequest) (*reply[Grant], error) {
				calls++
				return answers[min(calls, len(answers))-1], nil
			})
			listener, err := network.Listen(address)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			go func() { _ = server.Serve(listener) }()
			defer server.Stop()
		}
		client := NewClient(addresses, network.Dialer("10.1.0.1"))
		defer client.Close()
		for _, peer := range client.peers {
			// Open the connections beforehand, because those of a running entry are open.
			_, _ = frame.Call[GrantRequest, reply[Grant]](context.Background(), peer, "unknown", &GrantRequest{})
		}
		begin := time.Now()
		_, err := client.Grant(context.Background(), &GrantRequest{})
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(time.Since(begin)).To(gomega.Equal(4 * 2 * latency))
	})
}

// TestGroupIsKnownBeforeTheFirstLease guards against an entry that learns of the replicas which its settings don't list, and
// of the targets that these have heard, only with its first lease, after an election.
func TestGroupIsKnownBeforeTheFirstLease(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		network := &standin.Network{}
		server := new(frame.Server)
		answers := []*reply[Grant]{{NotLeading: true, Replicas: []string{"10.0.0.1:90", "10.0.0.2:90"}}, {Body: &Grant{}}}
		frame.Handle(server, MethodGrant, func(context.Context, *GrantRequest) (*reply[Grant], error) {
			answer := answers[0]
			answers = answers[1:]
			return answer, nil
		})
		listener, err := network.Listen("10.0.0.1:90")
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		go func() { _ = server.Serve(listener) }()
		defer server.Stop()
		client := NewClient([]string{"10.0.0.1:90", "10.0.0.9:90"}, network.Dialer("10.1.0.1"))
		defer client.Close()
		expect.Expect(client.Contact()).To(gomega.Equal(policy.ControlSilent))
		_, err = client.Grant(context.Background(), &GrantRequest{})
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(client.Contact()).To(gomega.Equal(policy.ControlLed))
		expect.Expect(client.Replicas()).To(gomega.Equal([]string{"10.0.0.1:90", "10.0.0.2:90", "10.0.0.9:90"}))
		expect.Expect(client.completeLease(&Renewal{}, &Lease{GroupHash: 1, Replicas: []string{"10.0.0.2:90"}})).To(gomega.Succeed())
		expect.Expect(client.Replicas()).To(gomega.Equal([]string{"10.0.0.2:90"}), "a lease lists the whole group")
	})
}

// TestLateReplyIsUsed guards against a client that never gets a reply because each comes after its attempt: at a busy replica,
// or in a busy process, all of them take longer than one attempt.
func TestLateReplyIsUsed(t *testing.T) {
	const replyTime = attemptTimeout * 3 / 2
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		network := &standin.Network{}
		server := new(frame.Server)
		var calls atomic.Int64
		frame.Handle(server, MethodGrant, func(context.Context, *GrantRequest) (*reply[Grant], error) {
			calls.Add(1)
			time.Sleep(replyTime)
			return &reply[Grant]{Body: &Grant{Granted: true}}, nil
		})
		listener, err := network.Listen("10.0.0.1:90")
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		go func() { _ = server.Serve(listener) }()
		defer server.Stop()
		client := NewClient([]string{"10.0.0.1:90"}, network.Dialer("10.1.0.1"))
		defer client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), LeaseDuration)
		defer cancel()
		begin := time.Now()
		grant, err := client.Grant(ctx, &GrantRequest{})
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(grant.Granted).To(gomega.BeTrue())
		expect.Expect(time.Since(begin)).To(gomega.Equal(replyTime))
		expect.Expect(calls.Load()).To(gomega.BeEquivalentTo(2))
	})
}
