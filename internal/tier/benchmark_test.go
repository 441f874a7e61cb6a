package tier_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

type (
	// usage is the CPU time and memory allocations of this process up to a moment.
	usage struct {
		cpu     time.Duration
		objects uint64
		bytes   uint64
	}
)

func currentUsage() usage {
	var rusage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &rusage)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return usage{cpu: time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano()), objects: memory.Mallocs, bytes: memory.TotalAlloc}
}

// report reports the resources used since the usage was taken, per run and per
// request; each request has the given number of runs.
func (usage usage) report(b *testing.B, runs int) {
	now := currentUsage()
	totalRuns := float64(runs * b.N)
	b.ReportMetric(float64(now.cpu-usage.cpu)/totalRuns/float64(time.Microsecond), "cpu-µs/run")
	b.ReportMetric(float64(now.objects-usage.objects)/totalRuns, "allocs/run")
	b.ReportMetric(float64(now.bytes-usage.bytes)/totalRuns, "B/run")
	b.ReportMetric(float64(now.cpu-usage.cpu)/float64(b.N)/float64(time.Microsecond), "cpu-µs/request")
	b.ReportMetric(float64(now.objects-usage.objects)/float64(b.N), "allocs/request")
}

// BenchmarkFanOut measures sequential requests on loopback sockets. The figures
// include the caller, the coordinator, the homes and the stand-in targets.
func BenchmarkFanOut(b *testing.B) {
	for _, targets := range []int{10, 100, 550} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) { benchmarkFanOut(b, targets, 2) })
	}
}

// BenchmarkSingleRun measures requests that allow a single run on each shard.
func BenchmarkSingleRun(b *testing.B) {
	benchmarkFanOut(b, 10, 1)
}

func benchmarkFanOut(b *testing.B, targets, runsPerShard int) {
	pool := standin.PoolShape{Name: "leafs", Shards: targets, Targets: targets, Slots: 8, Connections: 16}
	started, err := tier.Start(context.Background(), tier.Options{
		Deployment: standin.Deployment{FailureDomains: []string{"one", "two"}, Pools: []standin.PoolShape{pool}},
		Tables: &operator.Tables{
			Pools:  []operator.Pool{{Name: pool.Name, Slots: pool.Slots, Connections: pool.Connections, Cold: operator.Cold{Slots: pool.Slots, RunsPerSecond: 1000, WarmAfterRuns: 1}}},
			Routes: []operator.Route{{Kind: "leafs.search", Pool: pool.Name}},
		},
		Logs: io.Discard,
	})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = started.Stop(context.Background()) }()
	client := started.Client(started.Entries()[0])
	defer client.Close()
	send := func() {
		answer, err := client.Send(context.Background(), &caller.Request{
			ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: "leafs.search", Payload: json.RawMessage(`{"search":"bearing"}`),
			Idempotent: true, RunsPerShard: runsPerShard, Timeout: duration.Of(10 * time.Second),
		})
		if err != nil || !answer.Coverage.Complete {
			b.Fatal("the answer is incomplete, so the figures would be meaningless", err)
		}
	}
	for range 20 {
		send()
	}
	b.ResetTimer()
	before := currentUsage()
	for range b.N {
		send()
	}
	before.report(b, targets)
}

// BenchmarkStandin measures the cost of a run in the stand-in target alone, so
// that it can be subtracted from the other benchmarks' figures.
func BenchmarkStandin(b *testing.B) {
	listener, err := tcp.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	announcement := small.Announcements(small.Pools[0])[0]
	standinTarget := standin.NewTarget(announcement, standin.Behaviour{}, tcp.Dial)
	go func() { _ = standinTarget.Serve(listener) }()
	defer standinTarget.Stop()
	connection, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	body, _ := json.Marshal(&target.Run{
		RequestID: "order-17.1893456000", AttemptID: "9f0c-0-1", Kind: "leafs.search", Payload: json.RawMessage(`{"search":"bearing"}`),
		Deadline: time.Now().Add(time.Hour), IndexVersion: 1, Layout: announcement.Layout, Shard: announcement.Shard,
	})
	request, _ := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+target.RunPath, bytes.NewReader(body))
	var message bytes.Buffer
	_ = request.Write(&message)
	reader := bufio.NewReader(connection)
	before := currentUsage()
	for range b.N {
		if _, err := connection.Write(message.Bytes()); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(reader, request)
		if err != nil || response.StatusCode != http.StatusOK {
			b.Fatal("the stand-in target didn't answer the run", err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	before.report(b, 1)
}
