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
	// requestTimeout is above the users' bound on tail latency, so that the
	// bound is measured and not enforced.
	requestTimeout  = 400 * time.Millisecond
	overloadTimeout = 100 * time.Millisecond
	tailBound       = 52 * time.Millisecond
	warmUpSpan      = time.Second
	warmUpPerSecond = 200
	callerCount     = 12
	// contentCount is the number of distinct payloads. Few are popular: contentSkew is
	// the exponent of the Zipf distribution from which requests draw their payload.
	contentCount = 200
	contentSkew  = 1.2
)

type (
	// system is a variant of the coordinator to measure.
	system struct {
		name  string
		naive bool
		// runsPerShard is the number of runs that callers allow on each shard.
		runsPerShard int
		// disableHedges and disableRetries are the settings of each pool.
		disableHedges, disableRetries bool
	}

	// trial measures one system under one load.
	trial struct {
		system            system
		load              *load
		deployment        standin.Deployment
		network           *standin.Network
		tier              *tier.Tier
		journal           *standin.Journal
		naiveCoordinators []*naiveCoordinator
		clients           []*caller.EntryClient
		start             time.Time
		tablesVersion     uint64

		lock         sync.Mutex
		addressCache [callerCount]cachedAddresses
	}

	// cachedAddresses are the addresses of entries that a caller got last.
	cachedAddresses struct {
		entries   []string
		expiresAt time.Time
	}
)

// systems are the naive baseline and the product with one more feature in each variant. "homes"
// is the product without hedges and retries.
var systems = []system{
	{name: "naive", naive: true, runsPerShard: 1},
	{name: "homes", runsPerShard: 3, disableHedges: true, disableRetries: true},
	{name: "homes, retries", runsPerShard: 3, disableHedges: true},
	{name: "homes, retries, hedges", runsPerShard: 3},
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
	targetNumber := 0
	started, err := tier.Start(ctx, tier.Options{
		Deployment: trial.deployment, EntriesPerFailureDomain: 2, Network: trial.network, Tables: &tables, Logs: io.Discard,
		TargetBehaviour: func(announcement *target.Announcement) standin.Behaviour {
			targetNumber++
			return standin.Behaviour{RunDuration: runDurations(seed, targetNumber, announcement, trial.load.runDurationScale), ColdSlots: 1, ColdRunsPerSecond: 200, WarmAfterRuns: 20}
		},
	})
	if err != nil {
		return nil, err
	}
	trial.tier, trial.tablesVersion = started, started.TablesVersion()
	trial.network.SetConnectTime(started.ConnectTime)
	defer trial.network.BreakAll()
	defer func() { _ = started.Stop(ctx) }()
	trial.createClients()
	trial.offerLoad(ctx, warmUpSpan, trial.equalRates(warmUpPerSecond), &standin.Journal{})
	trial.start = time.Now()
	if trial.load.event != nil {
		go trial.load.event(ctx, trial)
	}
	trial.offerLoad(ctx, trial.load.span, trial.rates(), trial.journal)
	return trial.computeFigures(), nil
}

// createClients creates a client and a naive coordinator for each entry.
func (trial *trial) createClients() {
	var announcements []target.Announcement
	for _, target := range trial.tier.Targets() {
		announcements = append(announcements, target.Announcement())
	}
	for _, entry := range trial.tier.Entries() {
		trial.clients = append(trial.clients, trial.tier.Client(entry))
		trial.naiveCoordinators = append(trial.naiveCoordinators, newNaiveCoordinator(trial.deployment, announcements, trial.tier.Network(entry.Settings().HTTPAddress).Dial))
	}
}

// equalRates returns the same rate for each pool.
func (trial *trial) equalRates(perSecond float64) []float64 {
	rates := make([]float64, len(trial.deployment.Pools))
	for index := range rates {
		rates[index] = perSecond
	}
	return rates
}

// rates returns the requests a second for each pool.
func (trial *trial) rates() []float64 {
	if trial.load.capacityFactor == 0 {
		return trial.equalRates(requestsPerSecond)
	}
	rates := trial.equalRates(0)
	last := len(rates) - 1
	rates[last] = trial.load.capacityFactor * capacityOf(trial.deployment.Pools[last])
	return rates
}

// offerLoad sends requests to each pool at random times with the given mean rate.
func (trial *trial) offerLoad(ctx context.Context, span time.Duration, rates []float64, journal *standin.Journal) {
	var running sync.WaitGroup
	for index, rate := range rates {
		pool := trial.deployment.Pools[index]
		random := rand.New(rand.NewPCG(seed, uint64(index)+1000))
		popular := rand.NewZipf(random, contentSkew, 1, contentCount-1)
		running.Go(func() {
			end := time.Now().Add(span)
			for rate > 0 {
				time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
				if time.Now().After(end) {
					return
				}
				callerIndex, entryChoice := random.IntN(callerCount), random.IntN(1<<16)
				payload := fmt.Appendf(nil, `{"search":%d}`, popular.Uint64())
				running.Go(func() { trial.sendRequest(ctx, pool, payload, callerIndex, entryChoice, journal) })
			}
		})
	}
	running.Wait()
}

// sendRequest sends one request as a caller does, to one of the entries whose
// addresses the caller got, or to the naive coordinator of an entry. entryChoice is a
// random number that selects the entry. If the caller got no address, nothing is sent.
func (trial *trial) sendRequest(ctx context.Context, pool standin.PoolShape, payload []byte, callerIndex, entryChoice int, journal *standin.Journal) {
	timeout := requestTimeout
	if trial.load.capacityFactor > 0 {
		timeout = overloadTimeout
	}
	request := &caller.Request{
		ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: pool.Name + ".search", Payload: payload,
		Idempotent: true, RunsPerShard: trial.system.runsPerShard, Timeout: duration.Of(timeout),
	}
	if trial.system.naive {
		sent := standin.SentRequest{Request: *request, Sent: time.Now()}
		time.Sleep(trial.deployment.ToClients)
		sent.Answer = trial.naiveCoordinators[entryChoice%len(trial.naiveCoordinators)].send(ctx, pool, request)
		time.Sleep(trial.deployment.ToClients)
		sent.Received = time.Now()
		journal.Record(sent)
		return
	}
	entries := trial.callerAddresses(ctx, callerIndex)
	if len(entries) == 0 {
		return
	}
	entry := entries[entryChoice%len(entries)]
	journal.Send(ctx, trial.clientOf(entry), entry, request)
}

// callerAddresses returns a caller's addresses of entries. It looks them up
// again once they have expired.
func (trial *trial) callerAddresses(ctx context.Context, callerIndex int) []string {
	trial.lock.Lock()
	cached := trial.addressCache[callerIndex]
	trial.lock.Unlock()
	if time.Now().Before(cached.expiresAt) {
		return cached.entries
	}
	for number := range trial.clients {
		requestedAt := time.Now()
		reply, err := trial.clients[(callerIndex+number)%len(trial.clients)].Addresses(ctx)
		if err == nil && len(reply.Entries) > 0 {
			cached = cachedAddresses{entries: reply.Entries, expiresAt: requestedAt.Add(reply.MaxAge.Std())}
			break
		}
	}
	trial.lock.Lock()
	defer trial.lock.Unlock()
	trial.addressCache[callerIndex] = cached
	return cached.entries
}

func (trial *trial) clientOf(address string) *caller.EntryClient {
	index := slices.IndexFunc(trial.tier.Entries(), func(entry *tier.Process) bool { return entry.Settings().HTTPAddress == address })
	return trial.clients[max(0, index)]
}

// entryAddress returns the address of the entry to which the target with the index
// announces itself.
func (trial *trial) entryAddress(targetIndex int) string {
	entries := trial.tier.Entries()
	return entries[targetIndex%len(entries)].Settings().HTTPAddress
}

// changeTables changes the tables as an operator does.
func (trial *trial) changeTables(ctx context.Context, id string, changeTables func(tables *operator.Tables)) {
	tables := trial.system.tables(trial.deployment)
	changeTables(&tables)
	accepted, err := trial.tier.Control().Change(ctx, &operator.Change{ID: id, Base: trial.tablesVersion, Tables: tables})
	if err == nil {
		trial.tablesVersion = accepted.Version
	}
}

func (trial *trial) setDomainOut(failureDomain string) {
	for _, coordinator := range trial.naiveCoordinators {
		coordinator.setDomainOut(failureDomain)
	}
}
