package policy_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

const (
	// pausingEvery and pausingFor describe the pauses of a target.
	pausingEvery = 4500 * time.Millisecond
	pausingFor   = 300 * time.Millisecond
)

type (
	// entryLoad simulates an entry in front of targets with some slots each, and callers that retry as they are told.
	entryLoad struct {
		now, start  time.Time
		span        time.Duration
		random      *rand.Rand
		queue       *policy.WaitQueue
		concurrency *policy.Concurrency
		inProgress  int
		lowestLimit int
		waited      int
		// events are what happens at a time.
		events eventHeap
		// slots holds when each slot of the targets is free, and serviceTime how long a run takes that starts at a time.
		slots       []time.Time
		serviceTime func(sinceStart time.Duration) time.Duration
		pausing     bool
		waiting     map[*policy.WaitItem]*simulatedCaller
	}

	// simulatedKind is a kind of requests of one tenant, with its demand in requests a second, which is never above
	// highest.
	simulatedKind struct {
		item                policy.WaitItem
		highest             float64
		perSecond           func(sinceStart time.Duration) float64
		objective, deadline time.Duration
		// offered, served and inObjective count callers.
		offered, served, inObjective float64
	}

	simulatedCaller struct {
		kind      *simulatedKind
		startedAt time.Time
	}

	simulatedEvent struct {
		at time.Time
		do func()
	}

	eventHeap []simulatedEvent
)

func newEntryLoad(slots int, span time.Duration, serviceTime func(time.Duration) time.Duration) *entryLoad {
	start := time.Unix(1e9, 0)
	return &entryLoad{
		now: start, start: start, span: span, random: rand.New(rand.NewPCG(1, 2)), queue: policy.NewWaitQueue(policy.MaximumWaiting),
		concurrency: policy.NewConcurrency(policy.ConcurrencyBounds{Floor: max(policy.MinimumConcurrency, 2*slots), Ample: policy.AmpleConcurrency, Routes: 1}), lowestLimit: policy.MaximumInFlight,
		slots: make([]time.Time, slots), serviceTime: serviceTime, waiting: map[*policy.WaitItem]*simulatedCaller{},
	}
}

// run sends the requests of all kinds and returns once all have ended.
func (load *entryLoad) run(kinds ...*simulatedKind) {
	for _, kind := range kinds {
		var arrive func()
		arrive = func() {
			if rate := kind.perSecond(load.now.Sub(load.start)); load.random.Float64() < rate/kind.highest {
				kind.offered++
				load.offer(&simulatedCaller{kind: kind, startedAt: load.now})
			}
			load.at(load.now.Add(time.Duration(load.random.ExpFloat64()/kind.highest*float64(time.Second))), arrive)
		}
		load.at(load.now.Add(time.Duration(load.random.Float64()*float64(time.Second))), arrive)
	}
	for len(load.events) > 0 {
		event, _ := heap.Pop(&load.events).(simulatedEvent)
		if load.now = event.at; load.now.Sub(load.start) > load.span {
			return
		}
		event.do()
	}
}

func (load *entryLoad) at(when time.Time, do func()) {
	heap.Push(&load.events, simulatedEvent{at: when, do: do})
}

// offer admits, queues or refuses a request as an entry does.
func (load *entryLoad) offer(caller *simulatedCaller) {
	if load.inProgress < load.concurrency.Limit() {
		load.send(caller)
		return
	}
	load.waited++
	item, expected := caller.kind.item, load.concurrency.ExpectedLatency(caller.kind.item.Kind)
	item.ObjectiveUntil, item.ServeUntil = caller.startedAt.Add(caller.kind.objective-expected), caller.startedAt.Add(caller.kind.deadline-expected)
	offer := load.queue.Offer(&item, load.concurrency.Interval(), load.now)
	if offer.Displaced != nil {
		load.refuse(load.waiting[offer.Displaced], offer.Wait)
	}
	if offer.Result != policy.Queued {
		load.refuse(caller, offer.Wait)
		return
	}
	load.waiting[&item] = caller
	load.at(item.ServeUntil.Add(time.Nanosecond), load.serveWaiting)
}

// refuse makes a caller retry while it has time.
func (load *entryLoad) refuse(caller *simulatedCaller, wait time.Duration) {
	remaining := caller.startedAt.Add(caller.kind.deadline).Sub(load.now)
	delay := load.queue.ReturnDelay(caller.kind.item.Resource, wait, load.concurrency.Interval(), remaining, load.random.Float64(), load.now)
	if remaining > 50*time.Millisecond {
		load.at(load.now.Add(max(delay, 10*time.Millisecond)), func() { load.offer(caller) })
	}
}

func (load *entryLoad) serveWaiting() {
	for _, item := range load.queue.Expire(load.now) {
		load.refuse(load.waiting[item], 0)
	}
	for load.inProgress < load.concurrency.Limit() {
		item := load.queue.Next(load.now, func(string) bool { return true })
		if item == nil {
			return
		}
		load.send(load.waiting[item])
	}
}

// send runs a request at the slot that is free first.
func (load *entryLoad) send(caller *simulatedCaller) {
	load.inProgress++
	load.concurrency.Begin(load.inProgress)
	slot := 0
	for index := range load.slots {
		if load.slots[index].Before(load.slots[slot]) {
			slot = index
		}
	}
	start, sentAt := load.now, load.now
	if load.slots[slot].After(start) {
		start = load.slots[slot]
	}
	service := time.Duration((0.5 + load.random.Float64()) * float64(load.serviceTime(load.now.Sub(load.start))))
	if sincePause := time.Duration(start.UnixNano()) % pausingEvery; load.pausing && slot < len(load.slots)/3 && sincePause < pausingFor {
		service += pausingFor - sincePause
	}
	load.slots[slot] = start.Add(service)
	load.at(load.slots[slot], func() {
		load.inProgress--
		if latency := load.now.Sub(caller.startedAt); latency <= caller.kind.deadline {
			caller.kind.served++
			if latency <= caller.kind.objective {
				caller.kind.inObjective++
			}
		}
		load.concurrency.Observe(caller.kind.item.Kind, load.now.Sub(sentAt), true, load.now)
		load.lowestLimit = min(load.lowestLimit, load.concurrency.Limit())
		load.serveWaiting()
	})
}

func (events eventHeap) Len() int                  { return len(events) }
func (events eventHeap) Less(left, right int) bool { return events[left].at.Before(events[right].at) }
func (events eventHeap) Swap(left, right int) {
	events[left], events[right] = events[right], events[left]
}

func (events *eventHeap) Push(event any) {
	added, _ := event.(simulatedEvent)
	*events = append(*events, added)
}

func (events *eventHeap) Pop() any {
	last := len(*events) - 1
	popped := (*events)[last]
	*events = (*events)[:last]
	return popped
}

// newKind returns a kind of requests of a tenant.
func newKind(tenant, kind string, priority policy.Priority, weight, perSecond float64, objective, deadline time.Duration) *simulatedKind {
	return &simulatedKind{
		item: policy.WaitItem{Resource: "p", Tenant: tenant, Kind: kind, Priority: priority, Weight: weight}, highest: perSecond,
		perSecond: func(time.Duration) float64 { return perSecond }, objective: objective, deadline: deadline,
	}
}

// shares returns the served share of all and the lowest of a kind.
func shares(kinds []*simulatedKind) (mean, lowest float64) {
	offered, served, lowest := 0.0, 0.0, 1.0
	for _, kind := range kinds {
		offered, served, lowest = offered+kind.offered, served+kind.served, min(lowest, kind.served/max(1, kind.offered))
	}
	return served / offered, lowest
}

// steady returns a service time that never changes.
func steady(service time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return service }
}

// Guards against small tenants that are starved while others flood: three tenants send 20 times their rates in turn for
// 20 s each, beside 71 small ones, on targets that serve 48 requests a second and are 8 times slower than at first.
func TestSmallTenantsAreServedBesideFloods(t *testing.T) {
	load := newEntryLoad(24, 70*time.Second, func(since time.Duration) time.Duration {
		if since < 10*time.Second {
			return 62 * time.Millisecond
		}
		return 500 * time.Millisecond
	})
	var small, all []*simulatedKind
	for number := range 71 {
		small = append(small, newKind(fmt.Sprint("small-", number), "get", policy.Priority{}, 1, 0.4, time.Second, 6*time.Second))
	}
	all = append(all, small...)
	for number := range 3 {
		flood := newKind(fmt.Sprint("flood-", number), "get", policy.Priority{}, 10, 200, time.Second, 6*time.Second)
		flood.perSecond = func(since time.Duration) float64 {
			if from := time.Duration(10+20*number) * time.Second; since >= from && since < from+20*time.Second {
				return 200
			}
			return 5
		}
		all = append(all, flood)
	}
	load.run(all...)
	mean, _ := shares(all)
	smallMean, lowest := shares(small)
	t.Logf("served share %.3f of all, %.3f of small tenants, lowest %.3f, lowest limit %d", mean, smallMean, lowest, load.lowestLimit)
	if lowest < max(mean/4, 0.5) || smallMean < 0.85 {
		t.Errorf("a small tenant is served %.3f, all %.3f, small ones %.3f", lowest, mean, smallMean)
	}
}

// Guards against an urgent kind that loses its objective and a less urgent one that starves: a burst of 1.7 for 30 s while
// all targets are slower by 8 times, so that they serve a third of the demand.
func TestBurstOnSlowTargets(t *testing.T) {
	inBurst := func(since time.Duration) bool { return since > 30*time.Second && since < 60*time.Second }
	load := newEntryLoad(6, 90*time.Second, func(since time.Duration) time.Duration {
		if inBurst(since) {
			return 240 * time.Millisecond
		}
		return 30 * time.Millisecond
	})
	urgent, lessUrgent := newKind("", "urgent", policy.Priority{}, 1, 7*1.7, time.Second, 3*time.Second), newKind("", "less", policy.Priority{Route: 1}, 1, 33*1.7, time.Second, 3*time.Second)
	for _, kind := range []*simulatedKind{urgent, lessUrgent} {
		kind.perSecond = func(since time.Duration) float64 {
			if inBurst(since) {
				return kind.highest
			}
			return kind.highest / 1.7
		}
	}
	load.run(urgent, lessUrgent)
	mean, _ := shares([]*simulatedKind{urgent, lessUrgent})
	t.Logf("urgent %.3f in objective, less urgent %.3f served, all %.3f, lowest limit %d, limit at the end %d", urgent.inObjective/urgent.offered, lessUrgent.served/lessUrgent.offered, mean, load.lowestLimit, load.concurrency.Limit())
	if urgent.inObjective < 0.9*urgent.offered {
		t.Errorf("%.0f of %.0f urgent requests in their objective", urgent.inObjective, urgent.offered)
	}
	if lessUrgent.served/lessUrgent.offered < mean/4 {
		t.Errorf("%.0f of %.0f less urgent requests served, all %.3f", lessUrgent.served, lessUrgent.offered, mean)
	}
}

// Guards against a lower priority that starves: for 60 s urgent requests alone are twice what targets can serve, beside a
// kind of a lower route priority or ten tenants of a lower tenant priority.
func TestLowerPrioritiesGetTheirShare(t *testing.T) {
	for name, lower := range map[string][]*simulatedKind{
		"route": {newKind("", "less", policy.Priority{Route: 3}, 1, 30, time.Second, 3*time.Second)},
		"tenants": func() (kinds []*simulatedKind) {
			for number := range 10 {
				kinds = append(kinds, newKind(fmt.Sprint("low-", number), "get", policy.Priority{Tenant: 2}, 1, 2, time.Second, 3*time.Second))
			}
			return kinds
		}(),
	} {
		load := newEntryLoad(6, 60*time.Second, func(since time.Duration) time.Duration {
			if since < 10*time.Second {
				return 30 * time.Millisecond
			}
			return 240 * time.Millisecond
		})
		urgent := newKind("high", "get", policy.Priority{}, 10, 50, time.Second, 3*time.Second)
		if name == "route" {
			urgent = newKind("", "urgent", policy.Priority{}, 1, 50, time.Second, 3*time.Second)
		}
		for _, kind := range append(lower, urgent) {
			perSecond := kind.highest
			kind.perSecond = func(since time.Duration) float64 {
				if since < 10*time.Second {
					return 0.2 * perSecond
				}
				return perSecond
			}
		}
		load.run(append(lower, urgent)...)
		mean, _ := shares(append(lower, urgent))
		lowerMean, lowest := shares(lower)
		t.Logf("%s: served share %.3f of all, %.3f of urgent ones, %.3f of lower ones, lowest %.3f", name, mean, urgent.served/urgent.offered, lowerMean, lowest)
		if lowest < mean/4 || urgent.served/urgent.offered < lowerMean {
			t.Errorf("%s: lowest share %.3f, all %.3f, urgent ones %.3f", name, lowest, mean, urgent.served/urgent.offered)
		}
	}
}

// Guards against requests that wait although nothing is overloaded: 0.3 to 40 requests a second for ten minutes on targets
// one of which pauses for 300 ms each 4.5 s.
func TestNothingWaitsOnQuietDay(t *testing.T) {
	for _, perSecond := range []float64{0.3, 1, 3, 40} {
		load := newEntryLoad(9, 10*time.Minute, steady(40*time.Millisecond))
		load.pausing = true
		kind := newKind("", "get", policy.Priority{}, 1, perSecond, 300*time.Millisecond, 3*time.Second)
		load.run(kind)
		if load.waited > 0 || load.lowestLimit < policy.MinimumConcurrency {
			t.Errorf("%v a second: %d of %.0f requests waited, lowest limit %d", perSecond, load.waited, kind.offered, load.lowestLimit)
		}
	}
}

// Guards against a pool's limit that falls because of one slow route, and an entry's because of one slow pool.
func TestLimitFallsOnlyIfRoutesRiseTogether(t *testing.T) {
	const fast, slow = 20 * time.Millisecond, 300 * time.Millisecond
	for _, row := range []struct {
		leastRoutes int
		latencies   map[string]time.Duration
		falls       bool
	}{
		{1, map[string]time.Duration{"a": slow, "b": fast}, false}, {1, map[string]time.Duration{"a": slow, "b": slow}, true},
		{2, map[string]time.Duration{"a": slow}, false}, {2, map[string]time.Duration{"a": slow, "b": slow}, true}, {2, map[string]time.Duration{"a": slow, "b": fast}, false},
	} {
		concurrency := policy.NewConcurrency(policy.ConcurrencyBounds{Floor: policy.MinimumConcurrency, Ample: policy.AmpleConcurrency, Routes: row.leastRoutes})
		now, lowest := time.Unix(1e9, 0), policy.MaximumInFlight
		for _, isSlow := range []bool{false, true} {
			for range 100 {
				now = now.Add(50 * time.Millisecond)
				concurrency.Begin(30)
				for route, latency := range row.latencies {
					if !isSlow {
						latency = fast
					}
					concurrency.Observe(route, latency, true, now)
				}
				lowest = min(lowest, concurrency.Limit())
			}
		}
		if falls := lowest < policy.AmpleConcurrency; falls != row.falls {
			t.Errorf("%+v: lowest limit %d", row, lowest)
		}
	}
}

// Guards against requests for one pool that wait behind those for another, whose places are all taken.
func TestPoolsDontWaitForEachOther(t *testing.T) {
	now, queue := time.Unix(1e9, 0), policy.NewWaitQueue(policy.MaximumWaiting)
	items := map[string]*policy.WaitItem{}
	for _, resource := range []string{"p", "q"} {
		items[resource] = &policy.WaitItem{Resource: resource, Kind: resource, Weight: 1, ObjectiveUntil: now.Add(time.Second), ServeUntil: now.Add(time.Second)}
		if offer := queue.Offer(items[resource], time.Millisecond, now); offer.Position != 0 {
			t.Errorf("position %d at %s", offer.Position, resource)
		}
	}
	hasPlace := func(resource string) bool { return resource == "q" }
	if next := queue.Next(now, hasPlace); next != items["q"] {
		t.Errorf("next %+v", next)
	}
	if next := queue.Next(now, hasPlace); next != nil {
		t.Errorf("next %+v without a place", next)
	}
}

// Guards against a limit that stays low after an overload: all targets are slower by 8 times for 20 s.
func TestLimitGrowsBackAfterOverload(t *testing.T) {
	for _, after := range []time.Duration{2 * time.Second, 5 * time.Second} {
		load := newEntryLoad(9, 40*time.Second+after, func(since time.Duration) time.Duration {
			if since > 20*time.Second && since < 40*time.Second {
				return 400 * time.Millisecond
			}
			return 50 * time.Millisecond
		})
		load.run(newKind("", "get", policy.Priority{}, 1, 60, 300*time.Millisecond, 3*time.Second))
		t.Logf("%v after: limit %d, lowest %d, waiting %d", after, load.concurrency.Limit(), load.lowestLimit, load.queue.Waiting())
		if load.lowestLimit > 20 {
			t.Errorf("the limit was never below %d, in an overload", load.lowestLimit)
		}
		if after >= 5*time.Second && (load.queue.Waiting() > 0 || load.concurrency.Limit() < 2*policy.MinimumConcurrency) {
			t.Errorf("%v after: limit %d, %d waiting", after, load.concurrency.Limit(), load.queue.Waiting())
		}
	}
}

// Guards against a limit that grows only while it is reached, so that it binds at the next burst: after an overload of 20 s
// there are 20 requests a second for 10 s.
func TestLimitGrowsBackUnused(t *testing.T) {
	load := newEntryLoad(9, 50*time.Second, func(since time.Duration) time.Duration {
		if since > 20*time.Second && since < 40*time.Second {
			return 400 * time.Millisecond
		}
		return 50 * time.Millisecond
	})
	kind := newKind("", "get", policy.Priority{}, 1, 60, 300*time.Millisecond, 3*time.Second)
	kind.perSecond = func(since time.Duration) float64 {
		if since > 40*time.Second {
			return 20
		}
		return 60
	}
	load.run(kind)
	if load.lowestLimit > 20 || load.concurrency.Limit() < policy.AmpleConcurrency/2 {
		t.Errorf("limit %d after the overload, %d in it", load.concurrency.Limit(), load.lowestLimit)
	}
}

// Guards against expired requests that are served, and against an urgent request that is refused for less urgent ones.
func TestExpiredAndDisplacedRequests(t *testing.T) {
	now := time.Unix(1e9, 0)
	queue := policy.NewWaitQueue(2)
	item := func(route int, left time.Duration) *policy.WaitItem {
		return &policy.WaitItem{Resource: "p", Kind: fmt.Sprint("kind-", route), Priority: policy.Priority{Route: route}, Weight: 1, ObjectiveUntil: now.Add(left), ServeUntil: now.Add(left)}
	}
	expiring, late, urgent := item(1, time.Second), item(1, 10*time.Second), item(0, 10*time.Second)
	for _, row := range []struct {
		item      *policy.WaitItem
		result    policy.OfferResult
		displaced *policy.WaitItem
	}{
		{item(1, time.Millisecond), policy.RefusedLate, nil}, {expiring, policy.Queued, nil}, {late, policy.Queued, nil},
		{item(1, 10*time.Second), policy.RefusedFull, nil}, {item(2, 10*time.Second), policy.RefusedFull, nil}, {urgent, policy.Queued, late},
	} {
		if offer := queue.Offer(row.item, 10*time.Millisecond, now); offer.Result != row.result || offer.Displaced != row.displaced {
			t.Errorf("%+v: %+v, expected %v and %p displaced", row.item, offer, row.result, row.displaced)
		}
	}
	if queue.Remove(late) {
		t.Error("a displaced request still waits")
	}
	if expired := queue.Expire(now.Add(2 * time.Second)); !slices.Equal(expired, []*policy.WaitItem{expiring}) {
		t.Errorf("expired %v", expired)
	}
	if next := queue.Next(now, func(string) bool { return true }); next != urgent || queue.Waiting() != 0 {
		t.Errorf("next %v, %d waiting", next, queue.Waiting())
	}
}

// Guards against an order that serves only requests that are too late: the oldest goes first until it has missed its
// objective, then the newest.
func TestNewestGoesFirstOnceOldestIsLate(t *testing.T) {
	now := time.Unix(1e9, 0)
	for elapsed, expected := range map[time.Duration]int{100 * time.Millisecond: 0, 400 * time.Millisecond: 2} {
		queue := policy.NewWaitQueue(policy.MaximumWaiting)
		var items []*policy.WaitItem
		for age := range 3 {
			at := now.Add(time.Duration(age) * 50 * time.Millisecond)
			items = append(items, &policy.WaitItem{Resource: "p", Kind: "get", Weight: 1, ObjectiveUntil: at.Add(300 * time.Millisecond), ServeUntil: at.Add(3 * time.Second)})
			queue.Offer(items[age], time.Millisecond, at)
		}
		if next := queue.Next(now.Add(elapsed), func(string) bool { return true }); next != items[expected] {
			t.Errorf("after %v: %d goes first, expected %d", elapsed, slices.Index(items, next), expected)
		}
	}
}

// Guards against a wave of retries: of 400 callers that are refused together while a queue of 100 needs 2 s, those with
// time return one after the other behind it, and the others spread over the last half of a third of their time.
func TestRefusedCrowdReturnsInOrder(t *testing.T) {
	now := time.Unix(1e9, 0)
	const interval = 20 * time.Millisecond
	queue, random := policy.NewWaitQueue(policy.MaximumWaiting), rand.New(rand.NewPCG(1, 2))
	var delays []time.Duration
	for range 150 {
		delays = append(delays, queue.ReturnDelay("p", 100*interval, interval, 20*time.Second, random.Float64(), now))
	}
	inWindow := func(delays []time.Duration, span time.Duration) int {
		sorted, most := slices.SortedFunc(slices.Values(delays), cmp.Compare), 0
		for first := range sorted {
			count := 0
			for _, delay := range sorted[first:] {
				if delay < sorted[first]+span {
					count++
				}
			}
			most = max(most, count)
		}
		return most
	}
	if lowest, highest := slices.Min(delays), slices.Max(delays); lowest < 1600*time.Millisecond || highest < 4*time.Second || highest > 20*time.Second/3 {
		t.Errorf("delays from %v to %v", lowest, highest)
	}
	// 50 places become free in a second.
	if most := inWindow(delays, time.Second); most > 75 {
		t.Errorf("%d callers return within a second, expected about 50", most)
	}
	var capped []time.Duration
	for range 250 {
		capped = append(capped, queue.ReturnDelay("p", 100*interval, interval, 3*time.Second, random.Float64(), now))
	}
	if lowest, highest := slices.Min(capped), slices.Max(capped); lowest < 500*time.Millisecond || highest > time.Second || inWindow(capped, 100*time.Millisecond) > 90 {
		t.Errorf("capped delays from %v to %v", lowest, highest)
	}
}
