package bench_test

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// medianRunDuration and runDurationSigma are the parameters of the log-normal
	// distribution of run durations.
	medianRunDuration = 4 * time.Millisecond
	runDurationSigma  = 0.4

	// stragglerFactor and slowFactor multiply the durations of slow runs.
	stragglerFactor = 20
	slowFactor      = 10
	// requestsPerSecond is the load on each pool, except under overload.
	requestsPerSecond = 80
	// eventDelay is the time from the start of the measurement to its event.
	eventDelay = time.Second
	// defaultSpan is the duration of the measurement under most loads.
	defaultSpan = 6 * time.Second

	// outAndBack is the name of the load whose timeline the report plots.
	outAndBack = "failure domain out and back"
)

type (
	// load is the traffic and the events that a system is measured under.
	load struct {
		name string
		// tail is true if a healthy replica of each shard is available in time
		// throughout, so that the users' bounds on tail latency and coverage apply.
		tail bool
		// steady is true if the users' bound on extra load in steady state applies.
		steady bool
		span   time.Duration
		// capacityFactor, unless zero, sends requests to the last pool only, at
		// this multiple of its capacity.
		capacityFactor float64
		// runDurationScale returns a factor for the duration of a run. If nil, the
		// factor is 1.
		runDurationScale func(random *rand.Rand, announcement *target.Announcement) float64
		// event causes the faults or changes during the measurement.
		event func(ctx context.Context, trial *trial)
	}
)

var loads = []load{
	{name: "steady", tail: true, steady: true, span: defaultSpan},
	{name: "1% of attempts 20x slow", tail: true, span: defaultSpan, runDurationScale: func(random *rand.Rand, _ *target.Announcement) float64 {
		if random.IntN(100) == 0 {
			return stragglerFactor
		}
		return 1
	}},
	{name: "one target 10x slow", tail: true, span: defaultSpan, runDurationScale: func(_ *rand.Rand, announcement *target.Announcement) float64 {
		if announcement.ID == "counter-app-0-0" || announcement.ID == "buyer-desk-0-0" {
			return slowFactor
		}
		return 1
	}},
	{name: "one replica of each shard lost", tail: true, span: defaultSpan, event: loseReplicas},
	{name: "rolling index change", tail: true, span: defaultSpan, event: rollIndexVersion},
	{name: outAndBack, tail: true, span: 12 * time.Second, event: failureDomainOutAndBack},
	{name: "restart wave into cold start", span: defaultSpan, event: restartWave},
	{name: "1x capacity", span: 2 * time.Second, capacityFactor: 1},
	{name: "2x capacity", span: 2 * time.Second, capacityFactor: 2},
	{name: "5x capacity", span: 2 * time.Second, capacityFactor: 5},
}

// runDurations returns a function that draws the durations of a target's runs
// from a random generator of its own.
func runDurations(seed uint64, targetNumber int, announcement *target.Announcement, scale func(*rand.Rand, *target.Announcement) float64) func(*target.Run) time.Duration {
	var lock sync.Mutex
	random := rand.New(rand.NewPCG(seed, uint64(targetNumber)))
	described := *announcement
	return func(*target.Run) time.Duration {
		lock.Lock()
		defer lock.Unlock()
		runDuration := float64(medianRunDuration) * math.Exp(runDurationSigma*random.NormFloat64())
		if scale != nil {
			runDuration *= scale(random, &described)
		}
		return time.Duration(runDuration)
	}
}

// capacityOf returns how many requests a second the slots of a pool can run.
func capacityOf(pool standin.PoolShape) float64 {
	mean := medianRunDuration.Seconds() * math.Exp(runDurationSigma*runDurationSigma/2)
	return float64(pool.Targets/pool.Shards*pool.Slots) / mean
}

// loseReplicas takes down the first replica of each shard. These replicas are
// spread over all failure domains, so every entry loses nearby ones.
func loseReplicas(_ context.Context, trial *trial) {
	sleepUntil(trial.start, eventDelay)
	lost := map[string]bool{}
	for _, target := range trial.tier.Targets() {
		announcement := target.Announcement()
		key := announcement.Pool + string(rune(announcement.Shard))
		if !lost[key] {
			lost[key] = true
			trial.network.Down(target.IP())
		}
	}
}

// rollIndexVersion rolls out a new index version, one target after the other.
// Two targets in three serve both versions for two seconds; the third changes at
// once.
func rollIndexVersion(ctx context.Context, trial *trial) {
	sleepUntil(trial.start, eventDelay)
	for number, rolled := range trial.tier.Targets() {
		versions := []uint64{1, 2}
		if number%3 == 0 {
			versions = []uint64{2}
		}
		rolled.Change(func(announcement *target.Announcement) { announcement.IndexVersions = versions })
		_ = rolled.Announce(ctx, trial.entryAddress(number))
		time.Sleep(20 * time.Millisecond)
	}
	for number, rolled := range trial.tier.Targets() {
		rolled.Change(func(announcement *target.Announcement) { announcement.IndexVersions = []uint64{2} })
		_ = rolled.Announce(ctx, trial.entryAddress(number))
		time.Sleep(20 * time.Millisecond)
	}
}

// failureDomainOutAndBack takes the first failure domain out of service, and
// puts it back 8 s after the start.
func failureDomainOutAndBack(ctx context.Context, trial *trial) {
	failureDomain := trial.deployment.FailureDomains[0]
	sleepUntil(trial.start, eventDelay)
	trial.changeTables(ctx, "out", func(tables *operator.Tables) { tables.FailureDomainsOut = []string{failureDomain} })
	outage := standin.DomainOutage{FailureDomain: failureDomain, From: time.Now()}
	trial.setDomainOut(failureDomain)
	sleepUntil(trial.start, 8*time.Second)
	outage.Until = time.Now()
	trial.journal.RecordDomainOutage(outage)
	trial.changeTables(ctx, "back", func(tables *operator.Tables) { tables.FailureDomainsOut = nil })
	trial.setDomainOut("")
}

// restartWave restarts one target after the other without warning.
func restartWave(_ context.Context, trial *trial) {
	sleepUntil(trial.start, eventDelay)
	for _, restarted := range trial.tier.Targets() {
		trial.network.Break(restarted.IP())
		restarted.TurnCold()
		time.Sleep(30 * time.Millisecond)
	}
}
