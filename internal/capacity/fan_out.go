package main

import (
	"context"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// fanOutAttempts is the number of attempts measured at each size, one for each
	// leaf of each request.
	fanOutAttempts = 60000
	fanOutCallers  = 4
	fanOutKind     = "leafs.search"
	fanOutPool     = "leafs"
)

var (
	fanOutSizes = []int{10, 100, 250, 550}
)

// measureFanOut measures the processor time of a request by its fan-out, on
// real sockets. A leaf is one shard's target. The slope of the fitted line is the
// cost of one attempt at a leaf, and its intercept the fixed cost of a request. The
// time is that of the whole process: entries (coordinators and homes), callers and
// stand-in targets.
func measureFanOut(ctx context.Context) ([]*series, error) {
	measured := &series{name: "processor time of a request, stand-in targets included", sizeName: "leaf", costUnit: "µs"}
	for _, size := range fanOutSizes {
		cost, err := fanOutCost(ctx, size)
		if err != nil {
			return nil, err
		}
		measured.add(float64(size), cost)
	}
	return []*series{measured}, nil
}

// fanOutCost returns the processor time of a request in microseconds.
func fanOutCost(ctx context.Context, leafs int) (float64, error) {
	pool := standin.PoolShape{Name: fanOutPool, Shards: leafs, Targets: leafs, Slots: 8, Connections: 16}
	started, err := tier.Start(ctx, tier.Options{
		Deployment: standin.Deployment{FailureDomains: []string{"one", "two"}, Pools: []standin.PoolShape{pool}},
		Tables: &operator.Tables{
			Pools: []operator.Pool{{
				Name: fanOutPool, Slots: pool.Slots, Connections: pool.Connections, QueueLimit: 1000,
				Cold: operator.Cold{Slots: pool.Slots, RunsPerSecond: 1000, WarmAfterRuns: 1},
			}},
			Routes: []operator.Route{{Kind: fanOutKind, Pool: fanOutPool}},
		},
		Logs: io.Discard,
	})
	if err != nil {
		return 0, errors.Wrap(err, "start tier")
	}
	defer func() { _ = started.Stop(context.WithoutCancel(ctx)) }()
	requests := max(fanOutCallers, fanOutAttempts/leafs)
	before := processorTime()
	if err := sendAll(ctx, started, requests); err != nil {
		return 0, err
	}
	spent := processorTime() - before
	return float64(spent.Microseconds()) / float64(requests), nil
}

// sendAll sends the requests, divided among fanOutCallers concurrent callers. It returns
// the first failure.
func sendAll(ctx context.Context, started *tier.Tier, requests int) error {
	var running sync.WaitGroup
	failures := make(chan error, fanOutCallers)
	for number := range fanOutCallers {
		client := started.Client(started.Entries()[number%len(started.Entries())])
		running.Go(func() {
			defer client.Close()
			for range requests / fanOutCallers {
				answer, err := client.Send(ctx, &caller.Request{
					ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: fanOutKind, Idempotent: true,
					RunsPerShard: 2, Timeout: duration.Of(10 * time.Second),
				})
				if err == nil && !answer.Coverage.Complete {
					err = errors.New("an answer is incomplete: the machine is too busy to measure")
				}
				if err != nil {
					failures <- err
					return
				}
			}
		})
	}
	running.Wait()
	close(failures)
	return <-failures
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
