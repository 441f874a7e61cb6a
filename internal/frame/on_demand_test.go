package frame_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
)

const (
	// detectionLimit is the silence limit plus one heartbeat interval.
	detectionLimit = 2500 * time.Millisecond
)

// serveOnDemand is like serve, but the client sends heartbeats on demand and is connected. It also
// returns a counter of the messages sent on the network since the client connected.
func serveOnDemand(expect gomega.Gomega, network *standin.Network) (client *frame.Client, sent *atomic.Int64, stop func()) {
	plain, stopServer := serve(network)
	plain.Close()
	client, sent = frame.NewOnDemandClient("10.0.0.1:1", network.Dialer("10.0.0.2")), new(atomic.Int64)
	double(expect, client)
	network.Watch(func(standin.Traffic) { sent.Add(1) })
	return client, sent, func() {
		client.Close()
		stopServer()
	}
}

func double(expect gomega.Gomega, client *frame.Client) {
	_, err := frame.Call[number, number](context.Background(), client, "double", &number{})
	expect.Expect(err).NotTo(gomega.HaveOccurred())
}

// wait calls a method that doesn't return before the call is cancelled, and abandons the call after
// a span.
func wait(client *frame.Client, span time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	_, err := frame.Call[number, number](ctx, client, "wait", &number{})
	return err
}

var _ = ginkgo.Describe("a client with heartbeats on demand", func() {
	ginkgo.It("sends nothing while it awaits no reply, and reconnects for a call after a minute without one", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			client, sent, stop := serveOnDemand(expect, &standin.Network{})
			defer stop()
			time.Sleep(30 * time.Second)
			expect.Expect(sent.Load()).To(gomega.BeZero())
			double(expect, client)
			// The call and its reply, on the existing connection.
			expect.Expect(sent.Load()).To(gomega.Equal(int64(2)))
			time.Sleep(10 * time.Minute)
			expect.Expect(sent.Load()).To(gomega.Equal(int64(2)))
			expect.Expect(client.Reachable()).To(gomega.BeTrue())
			double(expect, client)
			// Opening a connection, a hello in each direction, the call and its reply.
			expect.Expect(sent.Load()).To(gomega.Equal(int64(2 + 5)))
		})
	})

	ginkgo.It("loses no call that begins just as the idle connection is retired", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			client, _, stop := serveOnDemand(expect, &standin.Network{})
			defer stop()
			for range 200 {
				time.Sleep(time.Minute)
				double(expect, client)
			}
		})
	})

	ginkgo.It("waits for a long call as long as the peer is alive", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			// The latency makes the peer's timeout reply arrive after the client's own timeout.
			network := &standin.Network{}
			network.SetLatency(func(_, _ string) time.Duration { return time.Millisecond })
			client, _, stop := serveOnDemand(expect, network)
			defer stop()
			time.Sleep(30 * time.Second)
			expect.Expect(wait(client, 5*time.Minute)).To(gomega.MatchError(context.DeadlineExceeded))
			double(expect, client)
		})
	})

	ginkgo.It("detects a peer that went silent while idle within the silence limit of the next call", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			network := &standin.Network{}
			client, _, stop := serveOnDemand(expect, network)
			defer stop()
			network.Silence("10.0.0.1")
			time.Sleep(30 * time.Second)
			start := time.Now()
			expect.Expect(wait(client, time.Minute)).To(gomega.MatchError(frame.ErrLost))
			expect.Expect(time.Since(start)).To(gomega.BeNumerically("<=", detectionLimit))
			double(expect, client)
		})
	})

	ginkgo.It("detects a silent peer also if each call is abandoned before the silence limit", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			network := &standin.Network{}
			client, _, stop := serveOnDemand(expect, network)
			defer stop()
			network.Silence("10.0.0.1")
			time.Sleep(30 * time.Second)
			start := time.Now()
			for wait(client, 100*time.Millisecond) != nil && time.Since(start) < detectionLimit {
				time.Sleep(300 * time.Millisecond)
			}
			double(expect, client)
		})
	})

	ginkgo.It("has its call cancelled at the peer when its own VM goes silent", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			network := &standin.Network{}
			server, ended := new(frame.Server), make(chan struct{})
			frame.Handle(server, "wait", func(ctx context.Context, _ *number) (*number, error) {
				<-ctx.Done()
				close(ended)
				return nil, ctx.Err()
			})
			listener, err := network.Listen("10.0.0.1:1")
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			go func() { _ = server.Serve(listener) }()
			defer server.Stop()
			client := frame.NewOnDemandClient("10.0.0.1:1", network.Dialer("10.0.0.2"))
			defer client.Close()
			go func() { _ = wait(client, time.Minute) }()
			time.Sleep(10 * time.Second)
			expect.Expect(ended).NotTo(gomega.BeClosed())
			network.Cut("10.0.0.2", "10.0.0.1")
			time.Sleep(detectionLimit)
			expect.Expect(ended).To(gomega.BeClosed())
		})
	})
})
