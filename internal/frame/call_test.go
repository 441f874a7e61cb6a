package frame_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

type (
	number struct {
		Value int `msgpack:"v"`
	}
)

// serve starts a server with the methods of these specs at 10.0.0.1:1, and returns a
// client at 10.0.0.2 and a function that stops both.
func serve(network *standin.Network) (*frame.Client, func()) {
	server := new(frame.Server)
	frame.Handle(server, "double", func(_ context.Context, in *number) (*number, error) {
		return &number{Value: 2 * in.Value}, nil
	})
	frame.Handle(server, "wait", func(ctx context.Context, _ *number) (*number, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	frame.HandleStream(server, "count", func(_ context.Context, in *number, send func(*number) error) error {
		for value := range in.Value {
			_ = send(&number{Value: value})
		}
		return nil
	})
	listener, _ := network.Listen("10.0.0.1:1")
	go func() { _ = server.Serve(listener) }()
	client := frame.NewClient("10.0.0.1:1", network.Dialer("10.0.0.2"))
	return client, func() {
		client.Close()
		server.Stop()
	}
}

var _ = ginkgo.Describe("a method that panics", func() {
	ginkgo.It("fails its call only", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			network, server := &standin.Network{}, new(frame.Server)
			var panicked []string
			server.OnPanic = func(method string, _ any, _ []byte) { panicked = append(panicked, method) }
			frame.Handle(server, "double", func(_ context.Context, in *number) (*number, error) {
				if in.Value < 0 {
					panic("negative")
				}
				return &number{Value: 2 * in.Value}, nil
			})
			listener, _ := network.Listen("10.0.0.1:1")
			go func() { _ = server.Serve(listener) }()
			client := frame.NewClient("10.0.0.1:1", network.Dialer("10.0.0.2"))
			defer func() {
				client.Close()
				server.Stop()
			}()
			_, err := frame.Call[number, number](context.Background(), client, "double", &number{Value: -1})
			var typed *fault.Error
			expect.Expect(errors.As(err, &typed)).To(gomega.BeTrue())
			expect.Expect(typed.Kind).To(gomega.Equal(fault.Internal))
			expect.Expect(panicked).To(gomega.Equal([]string{"double"}))
			reply, err := frame.Call[number, number](context.Background(), client, "double", &number{Value: 21})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(reply.Value).To(gomega.Equal(42))
		})
	})
})

var _ = ginkgo.Describe("a call", func() {
	ginkgo.It("returns the reply after one round trip", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			network := &standin.Network{}
			network.SetLatency(func(_, _ string) time.Duration { return 3 * time.Millisecond })
			client, stop := serve(network)
			defer stop()
			_, err := frame.Call[number, number](context.Background(), client, "double", &number{Value: 1})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			start := time.Now()
			reply, err := frame.Call[number, number](context.Background(), client, "double", &number{Value: 21})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(reply.Value).To(gomega.Equal(42))
			expect.Expect(time.Since(start)).To(gomega.Equal(6 * time.Millisecond))
		})
	})

	ginkgo.It("returns every part of a stream in order", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			client, stop := serve(&standin.Network{})
			defer stop()
			var values []int
			err := frame.Stream(context.Background(), client, "count", &number{Value: 5}, func(part *number) {
				values = append(values, part.Value)
			})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(values).To(gomega.Equal([]int{0, 1, 2, 3, 4}))
		})
	})

	ginkgo.It("returns a typed error if the method is unknown", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			client, stop := serve(&standin.Network{})
			defer stop()
			_, err := frame.Call[number, number](context.Background(), client, "halve", &number{})
			var typed *fault.Error
			expect.Expect(err).To(gomega.BeAssignableToTypeOf(typed))
		})
	})

	ginkgo.It("ends with ErrLost within the silence limit when the connection goes silent", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			network := &standin.Network{}
			client, stop := serve(network)
			defer stop()
			_, err := frame.Call[number, number](context.Background(), client, "double", &number{})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			start := time.Now()
			time.AfterFunc(time.Second, func() { network.Silence("10.0.0.1") })
			_, err = frame.Call[number, number](context.Background(), client, "wait", &number{})
			expect.Expect(err).To(gomega.MatchError(frame.ErrLost))
			expect.Expect(time.Since(start)).To(gomega.BeNumerically("<=", 3*time.Second))
			reply, err := frame.Call[number, number](context.Background(), client, "double", &number{Value: 4})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(reply.Value).To(gomega.Equal(8))
		})
	})

	ginkgo.It("needs no heartbeats while calls are frequent, and is kept connected by heartbeats otherwise", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			network := &standin.Network{}
			var messages atomic.Int64
			network.Watch(func(standin.Traffic) { messages.Add(1) })
			client, stop := serve(network)
			defer stop()
			for range 100 {
				_, err := frame.Call[number, number](context.Background(), client, "double", &number{})
				expect.Expect(err).NotTo(gomega.HaveOccurred())
				time.Sleep(100 * time.Millisecond)
			}
			// Opening the connection, then a hello and 100 messages in each direction.
			expect.Expect(messages.Load()).To(gomega.Equal(int64(203)))
			time.Sleep(10 * time.Second)
			// At least 19 heartbeats in each direction within the 10 s.
			expect.Expect(messages.Load()).To(gomega.BeNumerically(">=", 203+2*19))
		})
	})

	ginkgo.It("is not accepted by a server that was stopped before it began to serve", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			network := &standin.Network{}
			listener, err := network.Listen("10.0.0.1:1")
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			server := new(frame.Server)
			server.Stop()
			served := make(chan error, 1)
			go func() { served <- server.Serve(listener) }()
			time.Sleep(time.Second)
			expect.Expect(served).To(gomega.Receive(gomega.BeNil()))
			_, err = network.Listen("10.0.0.1:1")
			expect.Expect(err).NotTo(gomega.HaveOccurred())
		})
	})

	ginkgo.It("returns ErrNotSent if the peer can't be reached", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			client := frame.NewClient("10.0.0.9:1", (&standin.Network{}).Dialer("10.0.0.2"))
			_, err := frame.Call[number, number](context.Background(), client, "double", &number{})
			expect.Expect(err).To(gomega.MatchError(frame.ErrNotSent))
		})
	})
})
