package bench_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	seed = 1
	// timeout is above the users' bound on the tail, so that the bound is
	// measured and not enforced.
	timeout         = 400 * time.Millisecond
	overloadTimeout = 100 * time.Millisecond
	tailBound       = 52 * time.Millisecond
	warmUp          = time.Second
	warmUpPerSecond = 200
	callers         = 12
	// Requests are drawn from this many contents, of which few are popular.
	contents    = 200
	contentSkew = 1.2
)

type (
	// system is what is measured.
	system struct {
		name  string
		naive bool
		// runs is the number of runs that callers allow on each shard.
		runs int
		// disableHedges and disableRetries are set in each pool.
		disableHedges, disableRetries bool
	}

	// trial is one system under one load.
	trial struct {
		system     system
		load       *load
		deployment standin.Deployment
		network    *standin.Network
		tier       *tier.Tier
		journal    *standin.Journal
		naives     []*naive
		clients    []*caller.EntryClient
		start      time.Time
		version    uint64

		lock  sync.Mutex
		cache [callers]addresses
	}

	// addresses is what a caller was told to use.
	addresses struct {
		entries []string
		until   time.Time
	}
)

var systems = []system{
	{name: "naive", naive: true, runs: 1},
	{name: "homes", runs: 3, disableHedges: true, disableRetries: true},
	{name: "homes, retries", runs: 3, disableHedges: true},
	{name: "homes, retries, hedges", runs: 3},
}

func (system *system) tables(deployment standin.Deployment) operator.Tables {
	tables := deployment.Tables()
	for index := range tables.Pools {
		tables.Pools[index].DisableHedges = system.disableHedges
		tables.Pools[index].DisableRetries = system.disableRetries
	}
	return tables
}

// run measures the system under the load.
func (trial *trial) run(ctx context.Context) (*figures, error) {
	trial.network = &standin.Network{}
	trial.network.SetLatency(tier.Latency(trial.deployment))
	trial.journal = new(standin.Journal)
	tables := trial.system.tables(trial.deployment)
	number := 0
	started, err := tier.Start(ctx, tier.Options{
		Deployment: trial.deployment, EntriesPerFailureDomain: 2, Memory: trial.network, Tables: &tables, Logs: io.Discard,
		Behave: func(announcement *target.Announcement) standin.Behaviour {
			number++
			return standin.Behaviour{Work: workOf(seed, number, announcement, trial.load.work), ColdSlots: 1, ColdRunsPerSecond: 200, WarmAfterRuns: 20}
		},
	})
	if err != nil {
		return nil, err
	}
	trial.tier, trial.version = started, started.Version()
	trial.network.SetConnect(started.Connect)
	defer trial.network.BreakAll()
	defer func() { _ = started.Stop(ctx) }()
	trial.open()
	trial.send(ctx, warmUp, trial.steadyRates(warmUpPerSecond), &standin.Journal{})
	trial.start = time.Now()
	if trial.load.act != nil {
		go trial.load.act(ctx, trial)
	}
	trial.send(ctx, trial.load.span, trial.rates(), trial.journal)
	return trial.measure(), nil
}

func (trial *trial) open() {
	var announcements []target.Announcement
	for _, target := range trial.tier.Targets() {
		announcements = append(announcements, target.Announcement())
	}
	for _, entry := range trial.tier.Entries() {
		trial.clients = append(trial.clients, trial.tier.Client(entry))
		trial.naives = append(trial.naives, newNaive(trial.deployment, announcements, trial.tier.Network(entry.Settings().HTTPAddress).Dial))
	}
}

func (trial *trial) steadyRates(perSecond float64) []float64 {
	rates := make([]float64, len(trial.deployment.Pools))
	for index := range rates {
		rates[index] = perSecond
	}
	return rates
}

// rates returns the requests a second for each pool.
func (trial *trial) rates() []float64 {
	if trial.load.capacity == 0 {
		return trial.steadyRates(requestsPerSecond)
	}
	rates := trial.steadyRates(0)
	last := len(rates) - 1
	rates[last] = trial.load.capacity * capacityOf(trial.deployment.Pools[last])
	return rates
}

// send offers requests at random times with the given mean rates.
func (trial *trial) send(ctx context.Context, span time.Duration, rates []float64, journal *standin.Journal) {
	var running sync.WaitGroup
	for index, rate := range rates {
		pool := trial.deployment.Pools[index]
		random := rand.New(rand.NewPCG(seed, uint64(index)+1000))
		popular := rand.NewZipf(random, contentSkew, 1, contents-1)
		running.Go(func() {
			end := time.Now().Add(span)
			for rate > 0 {
				time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
				if time.Now().After(end) {
					return
				}
				from, choice := random.IntN(callers), random.IntN(1<<16)
				payload := fmt.Appendf(nil, `{"search":%d}`, popular.Uint64())
				running.Go(func() { trial.request(ctx, pool, payload, from, choice, journal) })
			}
		})
	}
	running.Wait()
}

// request sends one request as a caller does: to one of the addresses that it
// was told, and to another one only where the first certainly didn't run it.
func (trial *trial) request(ctx context.Context, pool standin.PoolShape, payload []byte, from, choice int, journal *standin.Journal) {
	limit := timeout
	if trial.load.capacity > 0 {
		limit = overloadTimeout
	}
	request := &caller.Request{
		ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: pool.Name + ".search", Payload: payload,
		Idempotent: true, RunsPerShard: trial.system.runs, Timeout: duration.Of(limit),
	}
	if trial.system.naive {
		sending := standin.Sending{Request: *request, Sent: time.Now()}
		time.Sleep(trial.deployment.ToClients)
		sending.Answer = trial.naives[choice%len(trial.naives)].send(ctx, pool, request)
		time.Sleep(trial.deployment.ToClients)
		sending.Received = time.Now()
		journal.Record(sending)
		return
	}
	entries := trial.addresses(ctx, from)
	if len(entries) == 0 {
		return
	}
	entry := entries[choice%len(entries)]
	journal.Send(ctx, trial.clientOf(entry), entry, request)
}

// addresses returns a caller's addresses, asked for anew when they are too
// old.
func (trial *trial) addresses(ctx context.Context, from int) []string {
	trial.lock.Lock()
	cached := trial.cache[from]
	trial.lock.Unlock()
	if time.Now().Before(cached.until) {
		return cached.entries
	}
	for number := range trial.clients {
		asked := time.Now()
		told, err := trial.clients[(from+number)%len(trial.clients)].Addresses(ctx)
		if err == nil && len(told.Entries) > 0 {
			cached = addresses{entries: told.Entries, until: asked.Add(told.MaxAge.Std())}
			break
		}
	}
	trial.lock.Lock()
	defer trial.lock.Unlock()
	trial.cache[from] = cached
	return cached.entries
}

func (trial *trial) clientOf(address string) *caller.EntryClient {
	index := slices.IndexFunc(trial.tier.Entries(), func(entry *tier.Process) bool { return entry.Settings().HTTPAddress == address })
	return trial.clients[max(0, index)]
}

// entry returns the address that a target announces itself to.
func (trial *trial) entry(number int) string {
	entries := trial.tier.Entries()
	return entries[number%len(entries)].Settings().HTTPAddress
}

// change changes the tables as an operator does.
func (trial *trial) change(ctx context.Context, id string, change func(tables *operator.Tables)) {
	tables := trial.system.tables(trial.deployment)
	change(&tables)
	accepted, err := trial.tier.Control().Change(ctx, &operator.Change{ID: id, Base: trial.version, Tables: tables})
	if err == nil {
		trial.version = accepted.Version
	}
}

func (trial *trial) takeOut(failureDomain string) {
	for _, naive := range trial.naives {
		naive.takeOut(failureDomain)
	}
}
