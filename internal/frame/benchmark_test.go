package frame_test

import (
	"context"
	"sync"
	"testing"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
)

const (
	// partsPerStream is the fan-out of a query at the planned size of the system.
	partsPerStream = 550
)

// BenchmarkStream measures one call whose parts are sent by concurrent goroutines, one
// part for each leaf of a query, over a loopback socket.
func BenchmarkStream(b *testing.B) {
	server := new(frame.Server)
	frame.HandleStream(server, "count", func(_ context.Context, in *number, send func(*number) error) error {
		var running sync.WaitGroup
		for value := range in.Value {
			running.Go(func() { _ = send(&number{Value: value}) })
		}
		running.Wait()
		return nil
	})
	listener, err := tcp.Listen(b.Context(), "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	client := frame.NewClient(listener.Addr().String(), nil)
	defer client.Close()
	b.ReportAllocs()
	for b.Loop() {
		received := 0
		err := frame.Stream(b.Context(), client, "count", &number{Value: partsPerStream}, func(*number) { received++ })
		if err != nil || received != partsPerStream {
			b.Fatal(received, err)
		}
	}
}
