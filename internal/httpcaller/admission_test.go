package httpcaller

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/dialect"
	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

type (
	// fullServer is a server whose pool has as many requests in progress as it may.
	fullServer struct {
		*Server
		index *routeIndex
		// release gives back one of the places.
		release []func()
	}

	// admitted is what admit returned, and when.
	admitted struct {
		release    func()
		refusal    policy.Reason
		retryAfter time.Duration
		after      time.Duration
		wait       *wait
	}
)

// newFullServer returns a server whose limit has fallen to its least because latencies rose from 10 ms to 200 ms.
func newFullServer() *fullServer {
	tables := &operator.Tables{Routes: []operator.Route{
		{Kind: "get", Pool: "p", HTTP: &operator.HTTPRoute{Timeout: duration.Of(time.Second), Priority: 1}},
		{Kind: "urgent", Pool: "p", HTTP: &operator.HTTPRoute{Timeout: duration.Of(time.Second)}},
	}}
	server := NewServer(Options{Headers: dialect.Default()}, new(blackboard.Board), httptarget.NewDirectory(zap.NewNop()), httptarget.NewSender(dialect.Default(), nil), nil, zap.NewNop(), metrics.New())
	full := &fullServer{Server: server, index: &routeIndex{tables: tables, resources: resourcesOf(tables), weights: newTenantWeights(tables)}}
	server.admission.resources["p"] = server.newPlaces(&tables.Routes[0])
	concurrency := server.admission.resources["p"].concurrency
	for _, latency := range []time.Duration{10 * time.Millisecond, 200 * time.Millisecond} {
		for sample := range 30 {
			concurrency.Begin(2 * policy.MinimumConcurrency)
			concurrency.Observe("get", latency, true, time.Now().Add(time.Duration(sample)*100*time.Millisecond))
		}
		time.Sleep(4 * time.Second)
	}
	for range concurrency.Limit() {
		release, _, _ := server.admit(context.Background(), full.call(0))
		full.release = append(full.release, release)
	}
	return full
}

// waiting returns the number of requests that wait.
func (full *fullServer) waiting() int {
	full.admission.lock.Lock()
	defer full.admission.lock.Unlock()
	return full.admission.queue.Waiting()
}

// inProgress returns the number of requests in progress at the pool and at the entry.
func (full *fullServer) inProgress() (pool, entry int) {
	full.admission.lock.Lock()
	defer full.admission.lock.Unlock()
	return full.admission.resources["p"].inProgress, full.admission.entry.inProgress
}

// call returns a request of a route, by its index.
func (full *fullServer) call(route int) *call {
	return &call{server: full.Server, routeIndex: full.index, route: &full.index.tables.Routes[route], startedAt: time.Now(), timeout: time.Second}
}

// admitLater admits a request on a goroutine of its own, and returns a channel with the result once it waits or has ended.
func (full *fullServer) admitLater(ctx context.Context, route int) <-chan admitted {
	results := make(chan admitted, 1)
	go func() {
		call := full.call(route)
		release, refusal, retryAfter := full.admit(ctx, call)
		results <- admitted{release: release, refusal: refusal, retryAfter: retryAfter, after: time.Since(call.startedAt), wait: call.wait}
	}()
	synctest.Wait()
	return results
}

// Guards against requests that wait although a place is free, that keep a place after their callers have left, or that
// are refused later than their time.
func TestWaitingRequestsAreTakenUpOrRefused(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		full := newFullServer()
		defer full.Close()
		if len(full.release) != policy.MinimumConcurrency {
			t.Fatalf("limit %d, expected the least", len(full.release))
		}
		first, urgent := full.admitLater(context.Background(), 0), full.admitLater(context.Background(), 1)
		time.Sleep(100 * time.Millisecond)
		full.release[0]()
		if taken := <-urgent; taken.release == nil || taken.after != 100*time.Millisecond || taken.wait.position != 0 {
			t.Errorf("the urgent request: %+v, expected it to be taken up first and at once", taken)
		}
		refused := <-first
		if refused.refusal != policy.TooLate || refused.wait.result != waitExpired || refused.after > time.Second || refused.after < 500*time.Millisecond || refused.retryAfter > (time.Second-refused.after)/3 {
			t.Errorf("the other request: %+v, expected a refusal in time to retry", refused)
		}
		if pool, _ := full.inProgress(); pool != policy.MinimumConcurrency || full.waiting() != 0 {
			t.Errorf("%d in progress, %d waiting", pool, full.waiting())
		}
	})
}

// Guards against a place in the queue, or a place taken up meanwhile, that stays with a caller that left.
func TestCallersThatLeaveFreeTheirPlaces(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		full := newFullServer()
		defer full.Close()
		for _, takenUp := range []bool{false, true} {
			ctx, leave := context.WithCancel(context.Background())
			leaving := full.admitLater(ctx, 0)
			leave()
			if takenUp {
				full.release[0]()
			}
			if left := <-leaving; left.release != nil || left.refusal != 0 || left.wait.result != waitLeft || full.waiting() != 0 {
				t.Errorf("%+v, %d waiting", left, full.waiting())
			}
		}
		if pool, entry := full.inProgress(); pool != policy.MinimumConcurrency-1 || entry != pool {
			t.Errorf("%d in progress, %d at the entry", pool, entry)
		}
	})
}

// Guards against an entry that makes callers wait while it stops, or that drops those that wait already.
func TestNothingNewWaitsWhileStopping(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		full := newFullServer()
		defer full.Close()
		waiting := full.admitLater(context.Background(), 0)
		full.Stop(time.Now().Add(time.Hour))
		if refused := <-full.admitLater(context.Background(), 1); refused.refusal != policy.NoRoom || refused.after != 0 || refused.retryAfter > time.Second/3 {
			t.Errorf("a new request: %+v, expected a refusal at once", refused)
		}
		full.release[0]()
		if taken := <-waiting; taken.release == nil {
			t.Errorf("the waiting request: %+v, expected it to be taken up", taken)
		}
	})
}

// Guards against more requests that wait than the bound, and against callers that are refused together and return
// together.
func TestRefusedCallersReturnBehindTheQueue(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		full := newFullServer()
		defer full.Close()
		delays := map[time.Duration]bool{}
		for range 3 * policy.MaximumWaiting {
			select {
			case result := <-full.admitLater(context.Background(), 0):
				if result.refusal == 0 || result.after != 0 || result.retryAfter > time.Second/3 {
					t.Fatalf("%+v, expected a refusal at once", result)
				}
				delays[result.retryAfter.Round(10*time.Millisecond)] = true
			default:
			}
		}
		if waiting := full.waiting(); waiting == 0 || waiting > policy.MaximumWaiting {
			t.Errorf("%d waiting", waiting)
		}
		if len(delays) < 10 {
			t.Errorf("the callers return at %d different times", len(delays))
		}
		time.Sleep(time.Second)
		if waiting := full.waiting(); waiting != 0 {
			t.Errorf("%d wait beyond their time", waiting)
		}
	})
}

// Guards against routes that compete for the same pools without sharing a limit, and against weights of 0.
func TestResourcesAndWeightsOfTables(t *testing.T) {
	tables := &operator.Tables{
		Routes: []operator.Route{
			{Kind: "a", Pool: "p", HTTP: &operator.HTTPRoute{}}, {Kind: "b", HTTP: &operator.HTTPRoute{Gather: &operator.Gather{Pools: []string{"q", "p"}}}},
			{Kind: "c", HTTP: &operator.HTTPRoute{Split: []operator.WeightedPool{{Pool: "p"}, {Pool: "q"}}}}, {Kind: "d", Pool: "p"},
		},
		Tenants: []operator.Tenant{{RatePerSecond: 30}, {RatePerSecond: 10}, {}},
	}
	var names []string
	resources, weights := resourcesOf(tables), newTenantWeights(tables)
	for index := range tables.Routes {
		names = append(names, resources[&tables.Routes[index]])
	}
	got := fmt.Sprint(names, weights.of(&tables.Tenants[1]), weights.of(&tables.Tenants[2]), weights.of(nil), newTenantWeights(&operator.Tables{}))
	if expected := "[p p q p q ] 10 30 20 {1 1}"; got != expected {
		t.Errorf("%s, expected %s", got, expected)
	}
}

// BenchmarkAdmit measures the admission of a request with free capacity, on several goroutines.
func BenchmarkAdmit(b *testing.B) {
	tables := &operator.Tables{Routes: []operator.Route{{Kind: "get", Pool: "p", HTTP: &operator.HTTPRoute{Timeout: duration.Of(time.Second)}}}}
	server := NewServer(Options{Headers: dialect.Default()}, new(blackboard.Board), httptarget.NewDirectory(zap.NewNop()), httptarget.NewSender(dialect.Default(), nil), nil, zap.NewNop(), metrics.New())
	index := &routeIndex{tables: tables, resources: resourcesOf(tables)}
	b.ReportAllocs()
	b.RunParallel(func(parallel *testing.PB) {
		for parallel.Next() {
			call := &call{server: server, routeIndex: index, route: &tables.Routes[0], startedAt: time.Now(), timeout: time.Second, outcome: outcomeAnswered, status: http.StatusOK}
			call.attempts.Store(1)
			release, _, _ := server.admit(context.Background(), call)
			release()
		}
	})
}
