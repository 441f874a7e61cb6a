package faults_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	runDuration = 4 * time.Millisecond
	// armDelay is how long the load runs before a cell is armed, that is, starts to
	// wait for its step.
	armDelay = 500 * time.Millisecond
	// observationSpan is how long a cell runs after it is armed, the wait for
	// its step included. It is longer than the bound within which a change
	// takes effect.
	observationSpan = 20 * time.Second
	// stepTimeout is how long a cell waits for its step to be reached.
	stepTimeout = 6 * time.Second
	// lastProbePool is the number of the last pool for probes; further moves leave
	// them there.
	lastProbePool = 3
	callerCount   = 3
	// extraRoutes is how many unused routes a change has to make the log grow.
	extraRoutes = 400
)

const (
	lookingUp activity = iota
	// filing is the sending of a filing, which is a request that isn't idempotent.
	filing
	changing
	announcing
	stopping
	replacing
)

var deployment = standin.Deployment{
	Name: "matrix", FailureDomains: []string{"nord", "sud", "ouest"},
	Pools: []standin.PoolShape{
		{Name: "bench", Shards: 2, Targets: 6, Slots: 2, Connections: 6, ConnectTime: time.Millisecond},
		{Name: "probe-0", Shards: 1, Targets: 3, Slots: 2, Connections: 6},
		{Name: "probe-1", Shards: 1, Targets: 3, Slots: 2, Connections: 6},
		{Name: "probe-2", Shards: 1, Targets: 3, Slots: 2, Connections: 6},
		{Name: "probe-3", Shards: 1, Targets: 3, Slots: 2, Connections: 6},
	},
	BetweenFailureDomains: 1500 * time.Microsecond, BetweenRegions: 12 * time.Millisecond, ToClients: 3 * time.Millisecond,
}

type (
	// cell is a cell of the matrix: the injection of one or two faults at a step.
	cell struct {
		faults []*fault
		step   *step
		seed   uint64

		random  *rand.Rand
		network *standin.Network
		tier    *tier.Tier
		journal *standin.Journal
		clients []*caller.EntryClient
		ctx     context.Context
		// leader is the control process that leads at the start.
		leader  *tier.Process
		disks   map[string]*standin.Disk
		running sync.WaitGroup
		// addedReplicas counts the control replicas started after the initial ones.
		addedReplicas atomic.Int64

		lock sync.Mutex
		// inProgress counts how often each activity is in progress.
		inProgress map[activity]int
		armed      bool
		// fired is true once the faults have been injected.
		fired bool
		// problem is why the cell itself failed or checked nothing.
		problem string
		// done is closed when the load must end.
		done chan struct{}
		// version is the newest version of the tables that control accepted.
		version uint64
		// acceptedMoveCount is how often accepted changes have moved the probes to the next
		// pool.
		acceptedMoveCount int
		// domainsOut lists the failure domains that the newest tables take out.
		domainsOut []string
		// entryAddresses are the addresses of entries that each caller got last,
		// and addressesExpireAt is when they expire.
		entryAddresses    [callerCount][]string
		addressesExpireAt [callerCount]time.Time
	}

	// activity is an operation that the harness itself has in progress.
	activity int

	// outcome is the result of a cell.
	outcome struct {
		violations    []standin.Violation
		problem       string
		answeredCount int
		sentCount     int
	}
)

func (cell *cell) name() string {
	var names []string
	for _, fault := range cell.faults {
		names = append(names, fault.name)
	}
	return strings.Join(names, "+") + "/" + cell.step.name
}

// tables returns the deployment's tables after the given number of moves of the
// probes. Probes are requests of standin.ProbeKind: each move routes that kind to
// the next pool, so the answers show which tables an entry acts on.
func tables(probeMoves int) operator.Tables {
	result := deployment.Tables()
	result.Routes = append(result.Routes, operator.Route{Kind: standin.ProbeKind, Pool: fmt.Sprintf("probe-%d", min(probeMoves, lastProbePool))})
	return result
}

func (cell *cell) run(ctx context.Context) (*outcome, error) {
	cell.random = rand.New(rand.NewPCG(cell.seed, 0))
	cell.network, cell.journal = &standin.Network{}, new(standin.Journal)
	cell.disks = map[string]*standin.Disk{}
	cell.inProgress, cell.done = map[activity]int{}, make(chan struct{})
	cell.network.SetLatency(tier.Latency(deployment))
	first := tables(0)
	started, err := tier.Start(ctx, tier.Options{Deployment: deployment, Network: cell.network, Tables: &first, Files: cell.fileSystem, Logs: io.Discard, TargetBehaviour: cell.targetBehaviour})
	if err != nil {
		return nil, errors.Wrap(err, "start")
	}
	cell.tier, cell.version, cell.ctx = started, started.TablesVersion(), ctx
	cell.network.SetConnectTime(started.ConnectTime)
	defer cell.network.BreakAll()
	defer func() { _ = started.Stop(ctx) }()
	cell.leader = cell.findLeader()
	for _, entry := range started.Entries() {
		cell.clients = append(cell.clients, started.Client(entry))
	}
	cell.journal.RecordChange(standin.ChangeRecord{ID: "first", Version: cell.version, Accepted: time.Now(), Pool: "probe-0"})
	cell.network.Watch(cell.observeTraffic)
	cell.startLoad()
	time.Sleep(armDelay)
	cell.arm()
	time.Sleep(stepTimeout)
	if !cell.hasFired() {
		cell.setProblem("the step was not reached")
	}
	time.Sleep(observationSpan - stepTimeout)
	close(cell.done)
	cell.running.Wait()
	return cell.evaluate(), nil
}

// evaluate checks the records of the cell for violations.
func (cell *cell) evaluate() *outcome {
	result := &outcome{problem: cell.problem, violations: cell.tier.Evidence(cell.journal).Violations()}
	for _, sent := range cell.journal.SentRequests() {
		result.sentCount++
		if sent.Answer != nil {
			result.answeredCount++
		}
	}
	if result.answeredCount == 0 {
		result.problem = "no request was answered, so the cell checks nothing"
	}
	return result
}

// targetBehaviour returns the behaviour of a target. Its runs can reach the cell's
// step, and a run with crashPayload crashes it.
func (cell *cell) targetBehaviour(*target.Announcement) standin.Behaviour {
	return standin.Behaviour{
		ColdSlots: 1, ColdRunsPerSecond: 200, WarmAfterRuns: 20,
		RunDuration: func(run *target.Run) time.Duration {
			cell.triggerIf(func(step *step) bool { return step.matchesRun != nil && step.matchesRun(run) }, standin.Traffic{})
			return runDuration
		},
		Crashes: func(run *target.Run) bool { return string(run.Payload) == crashPayload },
	}
}

// arm makes the cell wait for its step from now on, and starts the step's preparation if it has
// one.
func (cell *cell) arm() {
	cell.lock.Lock()
	cell.armed = true
	cell.lock.Unlock()
	if cell.step.prepare != nil {
		cell.running.Go(func() { cell.step.prepare(cell) })
	}
}

// triggerIf injects the faults if the cell is armed, has injected none yet, and
// matches reports true for its step. The faults get the traffic that reached the step.
func (cell *cell) triggerIf(matches func(step *step) bool, traffic standin.Traffic) {
	cell.lock.Lock()
	defer cell.lock.Unlock()
	if !cell.armed || cell.fired || !matches(cell.step) {
		return
	}
	cell.fired = true
	for _, fault := range cell.faults {
		cell.running.Go(func() { fault.inject(cell, traffic) })
	}
}

// stepReached injects the faults if the cell waits for the step with the name. The
// harness calls it for the steps that it brings about itself.
func (cell *cell) stepReached(name string) {
	cell.triggerIf(func(step *step) bool { return step.name == name }, standin.Traffic{})
}

func (cell *cell) observeTraffic(traffic standin.Traffic) {
	cell.triggerIf(func(step *step) bool { return step.matchesTraffic != nil && step.matchesTraffic(cell, traffic) }, traffic)
}

func (cell *cell) hasFired() bool {
	cell.lock.Lock()
	defer cell.lock.Unlock()
	return cell.fired
}

// track runs the action and counts the activity as in progress meanwhile.
func (cell *cell) track(activity activity, action func()) {
	cell.lock.Lock()
	cell.inProgress[activity]++
	cell.lock.Unlock()
	action()
	cell.lock.Lock()
	cell.inProgress[activity]--
	cell.lock.Unlock()
}

// setProblem records why the cell itself failed or checked nothing.
func (cell *cell) setProblem(problem string) {
	cell.lock.Lock()
	defer cell.lock.Unlock()
	cell.problem = problem
}

// affectedTarget returns the target that sends or receives the traffic, or the
// first target if there is none.
func (cell *cell) affectedTarget(traffic standin.Traffic) *tier.Target {
	for _, target := range cell.tier.Targets() {
		if target.IP() == traffic.From || strings.HasPrefix(traffic.To, target.IP()+":") {
			return target
		}
	}
	return cell.tier.Targets()[0]
}

// findLeader returns the control replica that leads, or the first if no leader is known.
func (cell *cell) findLeader() *tier.Process {
	status, err := cell.tier.Control().Status(cell.ctx)
	for _, replica := range cell.tier.Replicas() {
		if err == nil && replica.Settings().Name == status.Leader {
			return replica
		}
	}
	return cell.replica(0)
}

func (cell *cell) replica(index int) *tier.Process {
	return cell.tier.Replicas()[index]
}

// ips returns the IP addresses of all processes and targets, of the control client
// and of callers.
func (cell *cell) ips() []string {
	var ips []string
	for _, process := range append(cell.tier.Replicas(), cell.tier.Entries()...) {
		ips = append(ips, process.IP())
	}
	for _, target := range cell.tier.Targets() {
		ips = append(ips, target.IP())
	}
	return append(ips, "10.0.0.1", "10.0.0.2")
}

// isolate cuts an IP address off from all others for a span, and returns after it.
func (cell *cell) isolate(ip string, span time.Duration) {
	for _, other := range cell.ips() {
		cell.network.Cut(ip, other)
		cell.network.Cut(other, ip)
	}
	time.Sleep(span)
	for _, other := range cell.ips() {
		cell.network.Heal(ip, other)
		cell.network.Heal(other, ip)
	}
}
