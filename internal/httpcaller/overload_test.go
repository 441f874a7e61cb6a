package httpcaller_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// admissions returns how many requests waited, by what ended it, and how many were refused by the limit.
func (entry *fleetEntry) admissions(t *testing.T) (waits map[string]uint64, refusals float64, waiting float64) {
	t.Helper()
	families, err := entry.metrics.Registry().Gather()
	if err != nil {
		t.Fatal(err)
	}
	waits = map[string]uint64{}
	each := func(name string, visit func(*dto.Metric)) {
		for _, family := range families {
			if family.GetName() == name {
				for _, metric := range family.GetMetric() {
					visit(metric)
				}
			}
		}
	}
	each("comfreythread_admission_wait_seconds", func(metric *dto.Metric) {
		waits[metric.GetLabel()[0].GetValue()] = metric.GetHistogram().GetSampleCount()
	})
	each("comfreythread_admission_refusals_total", func(metric *dto.Metric) { refusals += metric.GetCounter().GetValue() })
	each("comfreythread_admission_waiting", func(metric *dto.Metric) { waiting = metric.GetGauge().GetValue() })
	return waits, refusals, waiting
}

// Guards against an overload in which nothing waits in order and requests are refused late or without the time to
// return, and against a limit that still binds 5 s after it: for 20 s the only target takes 200 ms instead of 5 ms for
// each of 60 requests or queries a second.
func TestOverloadIsQueuedAndEnds(t *testing.T) {
	for _, path := range []string{"/orders/7", "/all/7"} {
		t.Run(path, func(t *testing.T) { bubble.Test(t, func(t *testing.T) { checkOverload(t, path) }) })
	}
}

func checkOverload(t *testing.T, path string) {
	t.Helper()
	fleet := newFleet(t, 1, 1)
	fleet.addTenant()
	fleet.addQuery()
	entry, random := fleet.entries[0], rand.New(rand.NewPCG(1, 2))
	entry.load(random, 30, 5*time.Second, path)
	fleet.targets[0].slowness.Store(int64(195 * time.Millisecond))
	var lock sync.Mutex
	var running sync.WaitGroup
	statuses := map[int]int{}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / 60 * float64(time.Second)))
		running.Go(func() {
			startedAt := time.Now()
			response := entry.send(path)
			lock.Lock()
			defer lock.Unlock()
			statuses[response.Code]++
			if response.Code != http.StatusServiceUnavailable {
				return
			}
			seconds, err := strconv.ParseFloat(response.Header().Get("Retry-After"), 64)
			if left := fleetDeadline - time.Since(startedAt); err != nil || seconds > left.Seconds()/3+0.001 || !strings.Contains(response.Body.String(), `"not_run":true`) {
				t.Errorf("refused with Retry-After %q, %v before the deadline: %s", response.Header().Get("Retry-After"), left, response.Body)
			}
		})
	}
	running.Wait()
	waits, refusals, waiting := entry.admissions(t)
	t.Logf("statuses %v, waits %v, refusals %v", statuses, waits, refusals)
	if waits["admitted"] == 0 || refusals == 0 || waiting != 0 || statuses[http.StatusOK] < 300 {
		t.Errorf("statuses %v, waits %v, %v refused, %v waiting", statuses, waits, refusals, waiting)
	}
	if ran, answered := len(fleet.targets[0].arrivals), statuses[http.StatusOK]; ran > answered+250 {
		t.Errorf("%d requests reached the target for %d answers in the overload", ran, answered)
	}
	fleet.targets[0].slowness.Store(0)
	entry.load(random, 60, 5*time.Second, path)
	_, before, _ := entry.admissions(t)
	if after := entry.load(random, 60, 5*time.Second, path); len(after) != 1 || after[http.StatusOK] == 0 {
		t.Errorf("statuses after the overload: %v", after)
	}
	if _, refusals, _ := entry.admissions(t); refusals != before {
		t.Errorf("%v refused after the overload", refusals-before)
	}
}

// Guards against work for callers that have gone: requests that wait are withdrawn when their callers leave, and never
// reach the target.
func TestCallersThatLeaveTheQueue(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 1, 1)
		fleet.addTenant()
		entry, random := fleet.entries[0], rand.New(rand.NewPCG(1, 2))
		entry.load(random, 30, 5*time.Second, "/orders/7")
		fleet.targets[0].slowness.Store(int64(195 * time.Millisecond))
		ctx, leave := context.WithCancel(context.Background())
		var running sync.WaitGroup
		entry.load(random, 60, 5*time.Second, "/orders/7")
		for range policy.MinimumConcurrency {
			running.Go(func() { entry.send("/orders/7") })
		}
		time.Sleep(10 * time.Millisecond)
		arrivals := func() (count int) {
			fleet.targets[0].lock.Lock()
			defer fleet.targets[0].lock.Unlock()
			for _, arrival := range fleet.targets[0].arrivals {
				if arrival.header.Get("X-Leaving") != "" {
					count++
				}
			}
			return count
		}
		for range 5 {
			running.Go(func() {
				defer func() { _ = recover() }()
				request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/orders/8", nil)
				request.Host = "a.example"
				request.Header.Set("X-Leaving", "1")
				entry.server.ServeHTTP(httptest.NewRecorder(), request)
			})
		}
		time.Sleep(10 * time.Millisecond)
		reached := arrivals()
		leave()
		running.Wait()
		time.Sleep(2 * time.Second)
		if waits, _, _ := entry.admissions(t); waits["left"] != 5 || arrivals() != reached {
			t.Errorf("waits %v, %d of the callers' requests reached the target before they left, %d at the end", waits, reached, arrivals())
		}
	})
}

// Guards against requests that wait on a quiet day: 3 requests a second for two minutes, while the target pauses for 300 ms
// each 4.5 s.
func TestNothingWaitsAtPauses(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 1, 2)
		fleet.addTenant()
		entry := fleet.entries[0]
		end := time.Now().Add(2 * time.Minute)
		go func() {
			for time.Now().Before(end) {
				time.Sleep(4200 * time.Millisecond)
				fleet.targets[0].slowness.Store(int64(295 * time.Millisecond))
				time.Sleep(300 * time.Millisecond)
				fleet.targets[0].slowness.Store(0)
			}
		}()
		statuses := entry.load(rand.New(rand.NewPCG(1, 2)), 3, 2*time.Minute, "/orders/7")
		waits, refusals, _ := entry.admissions(t)
		if len(statuses) != 1 || statuses[http.StatusOK] == 0 || len(waits) != 0 || refusals != 0 {
			t.Errorf("statuses %v, waits %v, %v refused", statuses, waits, refusals)
		}
		time.Sleep(5 * time.Second)
	})
}

// addTenant adds a tenant to the tables, without which nothing is queued. Its routes are public.
func (fleet *fleet) addTenant() {
	fleet.tables.Tenants = []operator.Tenant{{Name: "dunlin", KeyDigests: []string{operator.KeyDigest("key")}}}
	for index := range fleet.tables.Routes {
		fleet.tables.Routes[index].HTTP.Public = true
	}
}
