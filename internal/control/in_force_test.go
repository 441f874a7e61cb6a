package control_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// maximumInForceDelay is the documented limit for a change to be in force everywhere.
	maximumInForceDelay = 5 * time.Second
)

var suite *testing.T

func TestControl(t *testing.T) {
	suite = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "control")
}

// leaderOf returns the process of the replica that leads.
func leaderOf(expect gomega.Gomega, system *tier.Tier) *tier.Process {
	status, err := system.Control().Status(context.Background())
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	for _, replica := range status.Replicas {
		for _, process := range system.Replicas() {
			if replica.ID == status.Leader && replica.Address == process.Settings().PeerAddress {
				return process
			}
		}
	}
	// No replica has this ID, so this fails and prints the leader's ID.
	expect.Expect(status.Leader).To(gomega.Equal("one of the replicas"))
	return nil
}

var _ = ginkgo.DescribeTable("a change is in force everywhere within 5 s, and an entry without it accepts no new requests",
	func(injectFault func(expect gomega.Gomega, system *tier.Tier, network *standin.Network, isolated *tier.Process)) {
		bubble.Run(suite, func(expect gomega.Gomega) {
			deployment := standin.Banaag
			deployment.Pools = deployment.Pools[3:]
			network := &standin.Network{}
			network.SetLatency(tier.Latency(deployment))
			system, err := tier.Start(context.Background(), tier.Options{Deployment: deployment, Network: network, Logs: io.Discard})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = system.Stop(context.Background()) }()
			isolated := system.Entries()[0]
			// All queries go to this entry. Only its connection to control is cut.
			client := system.Client(isolated)
			injectFault(expect, system, network, isolated)
			start := time.Now()
			tables := deployment.Tables()
			tables.Routes = nil
			accepted, err := system.Control().Change(context.Background(), &operator.Change{ID: "second", Base: system.TablesVersion(), Tables: tables})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			for {
				status, err := system.Control().Status(context.Background())
				if err == nil && status.InForceVersion >= accepted.Version {
					break
				}
				expect.Expect(time.Since(start)).To(gomega.BeNumerically("<", maximumInForceDelay))
				time.Sleep(10 * time.Millisecond)
			}
			_, err = client.Send(context.Background(), &caller.Request{
				ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: "warranty-desk.search", Idempotent: true, Timeout: duration.Of(time.Second),
			})
			var refusal *caller.Refusal
			expect.Expect(errors.As(err, &refusal)).To(gomega.BeTrue(), "the entry still answers by the old tables")
			expect.Expect(refusal.Run).To(gomega.Equal(caller.NotRun))
		})
	},
	ginkgo.Entry("with nothing wrong", func(gomega.Gomega, *tier.Tier, *standin.Network, *tier.Process) {}),
	ginkgo.Entry("with an entry cut off from control", func(_ gomega.Gomega, system *tier.Tier, network *standin.Network, isolated *tier.Process) {
		for _, replica := range system.Replicas() {
			network.Cut(isolated.IP(), replica.IP())
			network.Cut(replica.IP(), isolated.IP())
		}
	}),
	ginkgo.Entry("with an entry that doesn't receive control's replies", func(_ gomega.Gomega, system *tier.Tier, network *standin.Network, isolated *tier.Process) {
		for _, replica := range system.Replicas() {
			network.Cut(replica.IP(), isolated.IP())
		}
	}),
	ginkgo.Entry("with the leader killed just before", func(expect gomega.Gomega, system *tier.Tier, _ *standin.Network, _ *tier.Process) {
		system.Kill(leaderOf(expect, system))
	}),
	ginkgo.Entry("with the leader killed and an entry cut off", func(expect gomega.Gomega, system *tier.Tier, network *standin.Network, isolated *tier.Process) {
		leader := leaderOf(expect, system)
		for _, replica := range system.Replicas() {
			network.Cut(isolated.IP(), replica.IP())
			network.Cut(replica.IP(), isolated.IP())
		}
		system.Kill(leader)
	}),
)

var _ = ginkgo.Describe("a client of control", func() {
	ginkgo.It("returns a typed error within its time limit if no replica leads", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			network, server := &standin.Network{}, &frame.Server{}
			listener, err := network.Listen("10.0.0.1:90")
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			frame.Handle(server, control.MethodStatus, func(context.Context, *control.StatusRequest) (*struct {
				NotLeading bool   `msgpack:"n"`
				Leader     string `msgpack:"l"`
			}, error) {
				// This replica names a leader that doesn't exist, and no other replica names
				// this one.
				return &struct {
					NotLeading bool   `msgpack:"n"`
					Leader     string `msgpack:"l"`
				}{true, "10.0.0.2:90"}, nil
			})
			go func() { _ = server.Serve(listener) }()
			defer server.Stop()
			client := control.NewClient([]string{"10.0.0.1:90"}, network.Dialer("10.1.0.1"))
			defer client.Close()
			start := time.Now()
			_, err = client.Status(context.Background())
			var typed *fault.Error
			expect.Expect(errors.As(err, &typed)).To(gomega.BeTrue())
			expect.Expect(typed.Kind).To(gomega.Equal(fault.Unavailable))
			expect.Expect(typed.Remedy).To(gomega.ContainSubstring("quorum"))
			expect.Expect(time.Since(start)).To(gomega.BeNumerically("<=", 10*time.Second))
		})
	})
})
