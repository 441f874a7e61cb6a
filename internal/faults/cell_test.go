package faults_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	searchInterval = 60 * time.Millisecond
	fileInterval   = 150 * time.Millisecond
	probeInterval  = 250 * time.Millisecond
	requestTimeout = 400 * time.Millisecond
	work           = 4 * time.Millisecond
	// armAt is when a cell begins to wait for its step.
	armAt = 500 * time.Millisecond
	// afterFault is how long the load goes on after the fault. It is longer
	// than the bound on a change being in force.
	afterFault = 20 * time.Second
	// loadSpan is how long searches and filings go on; probes go on to the
	// end.
	loadSpan = 11 * time.Second
	// stepTimeout is how long a cell waits for its step.
	stepTimeout = 6 * time.Second
	changePools = 3
	callers     = 3
	manyRoutes  = 400
)

const (
	lookingUp activity = iota
	filing
	changing
	announcing
	stopping
)

var shape = standin.Deployment{
	Name: "matrix", FailureDomains: []string{"nord", "sud", "ouest"},
	Pools: []standin.PoolShape{
		{Name: "bench", Shards: 2, Targets: 6, Slots: 2, Connections: 6, Connect: time.Millisecond},
		{Name: "probe-0", Shards: 1, Targets: 3, Slots: 2, Connections: 6},
		{Name: "probe-1", Shards: 1, Targets: 3, Slots: 2, Connections: 6},
		{Name: "probe-2", Shards: 1, Targets: 3, Slots: 2, Connections: 6},
		{Name: "probe-3", Shards: 1, Targets: 3, Slots: 2, Connections: 6},
	},
	BetweenFailureDomains: 1500 * time.Microsecond, BetweenRegions: 12 * time.Millisecond, ToClients: 3 * time.Millisecond,
}

type (
	// cell is one run: one or two faults at a step.
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

		lock     sync.Mutex
		activity map[activity]int
		armed    bool
		fired    bool
		problem  string
		ended    chan struct{}
		version  uint64
		changes  int
		// out lists the failure domains that are out.
		out []string
		// entries and until are what each caller was last told to use.
		entries [callers][]string
		until   [callers]time.Time
	}

	// activity is what the harness itself has in progress.
	activity int

	// outcome is what a cell showed.
	outcome struct {
		violations []standin.Violation
		problem    string
		answered   int
		sent       int
	}
)

func (cell *cell) name() string {
	var names []string
	for _, fault := range cell.faults {
		names = append(names, fault.name)
	}
	return strings.Join(names, "+") + "/" + cell.step.name
}

// tables returns the tables of a number of changes. Each change moves the
// probes to the next pool.
func tables(changes int) operator.Tables {
	made := shape.Tables()
	made.Routes = append(made.Routes, operator.Route{Kind: standin.ProbeKind, Pool: fmt.Sprintf("probe-%d", min(changes, changePools))})
	return made
}

func (cell *cell) run(ctx context.Context) (*outcome, error) {
	cell.random = rand.New(rand.NewPCG(cell.seed, 0))
	cell.network, cell.journal = &standin.Network{}, new(standin.Journal)
	cell.disks = map[string]*standin.Disk{}
	cell.activity, cell.ended = map[activity]int{}, make(chan struct{})
	cell.network.SetLatency(tier.Latency(shape))
	first := tables(0)
	started, err := tier.Start(ctx, tier.Options{Deployment: shape, Memory: cell.network, Tables: &first, Files: cell.files, Logs: io.Discard, Behave: cell.behave})
	if err != nil {
		return nil, errors.Wrap(err, "start")
	}
	cell.tier, cell.version, cell.ctx = started, started.Version(), ctx
	cell.network.SetConnect(started.Connect)
	defer cell.network.BreakAll()
	defer func() { _ = started.Stop(ctx) }()
	cell.leader = cell.findLeader()
	for _, entry := range started.Entries() {
		cell.clients = append(cell.clients, started.Client(entry))
	}
	cell.journal.Change(standin.ChangeRecord{ID: "first", Version: cell.version, Accepted: time.Now(), Pool: "probe-0"})
	cell.network.Watch(cell.watch)
	cell.load()
	time.Sleep(armAt)
	cell.arm()
	time.Sleep(stepTimeout)
	if !cell.hasFired() {
		cell.note("the step was not reached")
	}
	time.Sleep(afterFault - stepTimeout)
	close(cell.ended)
	cell.running.Wait()
	return cell.conclude(), nil
}

func (cell *cell) conclude() *outcome {
	concluded := &outcome{problem: cell.problem, violations: cell.tier.Evidence(cell.journal).Violations()}
	for _, sending := range cell.journal.Sendings() {
		concluded.sent++
		if sending.Answer != nil {
			concluded.answered++
		}
	}
	if concluded.answered == 0 {
		concluded.problem = "no request was answered, so that nothing is shown"
	}
	return concluded
}

func (cell *cell) behave(*target.Announcement) standin.Behaviour {
	return standin.Behaviour{
		ColdSlots: 1, ColdRunsPerSecond: 200, WarmAfterRuns: 20,
		Work: func(run *target.Run) time.Duration {
			cell.reach(func(step *step) bool { return step.running != nil && step.running(run) }, standin.Traffic{})
			return work
		},
		Crashes: func(run *target.Run) bool { return string(run.Payload) == crashPayload },
	}
}

func (cell *cell) arm() {
	cell.lock.Lock()
	cell.armed = true
	cell.lock.Unlock()
	if cell.step.prepare != nil {
		cell.running.Go(func() { cell.step.prepare(cell) })
	}
}

// reach brings about the faults the first time that the step is in progress.
func (cell *cell) reach(reached func(step *step) bool, traffic standin.Traffic) {
	cell.lock.Lock()
	defer cell.lock.Unlock()
	if !cell.armed || cell.fired || !reached(cell.step) {
		return
	}
	cell.fired = true
	for _, fault := range cell.faults {
		cell.running.Go(func() { fault.act(cell, traffic) })
	}
}

// now reaches a step that the harness itself has in progress.
func (cell *cell) now(name string) {
	cell.reach(func(step *step) bool { return step.name == name }, standin.Traffic{})
}

func (cell *cell) watch(traffic standin.Traffic) {
	cell.reach(func(step *step) bool { return step.traffic != nil && step.traffic(cell, traffic) }, traffic)
}

func (cell *cell) hasFired() bool {
	cell.lock.Lock()
	defer cell.lock.Unlock()
	return cell.fired
}

// during marks an activity as in progress.
func (cell *cell) during(activity activity, do func()) {
	cell.lock.Lock()
	cell.activity[activity]++
	cell.lock.Unlock()
	do()
	cell.lock.Lock()
	cell.activity[activity]--
	cell.lock.Unlock()
}

// every does something at an interval for a span.
func (cell *cell) every(interval, span time.Duration, do func()) {
	cell.running.Go(func() {
		for end := time.Now().Add(span); time.Now().Before(end); {
			select {
			case <-cell.ended:
				return
			case <-time.After(interval):
				cell.running.Go(do)
			}
		}
	})
}

// load offers searches, filings and probes at every entry, and changes the
// tables and a target's state now and then.
func (cell *cell) load() {
	for number := range cell.clients {
		cell.every(searchInterval+time.Duration(number)*time.Millisecond, loadSpan, func() { cell.search(number, nil) })
		cell.every(fileInterval+time.Duration(number)*time.Millisecond, loadSpan, func() { cell.file(number) })
		cell.every(probeInterval+time.Duration(number)*time.Millisecond, afterFault, func() {
			cell.send(cell.ctx, number, &caller.Request{Kind: standin.ProbeKind, Idempotent: true, RunsPerShard: 2})
		})
	}
	cell.running.Go(func() {
		time.Sleep(armAt + 200*time.Millisecond)
		cell.change(cell.tier.Control(), "probe-1")
	})
}

func (cell *cell) search(number int, payload []byte) {
	cell.send(cell.ctx, number, &caller.Request{Kind: "bench.search", Payload: payload, Idempotent: true, RunsPerShard: 3})
}

// file sends a request that may not be repeated, and sends it again under the
// same ID at the next entry where it got no answer.
func (cell *cell) file(number int) {
	request := &caller.Request{Kind: "bench.file"}
	cell.during(filing, func() {
		for try := range 2 {
			if cell.send(cell.ctx, number+try, request).Answer != nil {
				return
			}
		}
	})
}

func (cell *cell) send(ctx context.Context, number int, request *caller.Request) *standin.Sending {
	if request.ID == "" {
		request.ID = caller.NewRequestID(time.Now().Add(time.Hour))
	}
	request.Timeout = duration.Of(requestTimeout)
	entry := cell.entry(number % callers)
	ctx, cancel := context.WithTimeout(ctx, 2*requestTimeout)
	defer cancel()
	return cell.journal.Send(ctx, cell.clientOf(entry), entry, request)
}

// entry returns an address that the caller may use. It asks for addresses
// anew once they are too old, and goes on with the old ones where nobody
// answers.
func (cell *cell) entry(number int) string {
	cell.lock.Lock()
	entries, fresh := cell.entries[number], time.Now().Before(cell.until[number])
	cell.lock.Unlock()
	if !fresh {
		entries = cell.lookUp(number, entries)
	}
	return entries[number%len(entries)]
}

func (cell *cell) lookUp(number int, known []string) []string {
	if len(known) == 0 {
		for _, entry := range cell.tier.Entries() {
			known = append(known, entry.Settings().HTTPAddress)
		}
	}
	cell.during(lookingUp, func() {
		for _, address := range known {
			cell.now("address lookup")
			asked := time.Now()
			ctx, cancel := context.WithTimeout(cell.ctx, time.Second)
			told, err := cell.clientOf(address).Addresses(ctx)
			cancel()
			if err == nil && len(told.Entries) > 0 {
				cell.lock.Lock()
				cell.entries[number], cell.until[number] = told.Entries, asked.Add(told.MaxAge.Std())
				cell.lock.Unlock()
				known = told.Entries
				return
			}
		}
	})
	return known
}

func (cell *cell) clientOf(address string) *caller.EntryClient {
	for number, entry := range cell.tier.Entries() {
		if entry.Settings().HTTPAddress == address {
			return cell.clients[number]
		}
	}
	return cell.clients[0]
}

// stop stops an entry as planned, and starts it again.
func (cell *cell) stop(number int) {
	stopped := cell.tier.Entries()[number]
	stop := standin.Stop{Entry: stopped.Settings().HTTPAddress, From: time.Now()}
	cell.during(stopping, func() { _ = cell.tier.StopProcess(cell.ctx, stopped) })
	stop.Until = time.Now()
	cell.journal.Stop(stop)
	time.Sleep(time.Second)
	_ = cell.tier.StartProcess(cell.ctx, stopped)
}

// leave lets a target announce that it takes no new work.
func (cell *cell) leave() {
	leaving := cell.tier.Targets()[4]
	leaving.Change(func(announcement *target.Announcement) { announcement.State = target.Leaving })
	cell.during(announcing, func() {
		_ = leaving.Announce(cell.ctx, cell.tier.Entries()[1].Settings().HTTPAddress)
		time.Sleep(50 * time.Millisecond)
	})
}

// repeatChange changes the tables and leaves the probes where they are.
func (cell *cell) repeatChange(number, routes int) {
	base, changes, changed := cell.proposal(0)
	changed.Pools[0].QueueLimit = 32 + number%2
	// Many routes make the log grow, so that it is compacted.
	for kind := range routes {
		changed.Routes = append([]operator.Route{{Kind: fmt.Sprintf("unused-%d", kind), Pool: "bench"}}, changed.Routes...)
	}
	cell.changeTo(cell.tier.Control(), fmt.Sprintf("repeat-%d", number), base, changes, changed)
}

// change moves the probes to the next pool.
func (cell *cell) change(client *control.Client, id string) {
	base, number, changed := cell.proposal(1)
	cell.changeTo(client, id, base, number, changed)
}

// proposal returns the newest version, and tables that move the probes by a
// number of pools and leave all else as it is.
func (cell *cell) proposal(moves int) (uint64, int, operator.Tables) {
	cell.lock.Lock()
	defer cell.lock.Unlock()
	number := cell.changes + moves
	changed := tables(number)
	changed.FailureDomainsOut = cell.out
	return cell.version, number, changed
}

func (cell *cell) changeTo(client *control.Client, id string, base uint64, number int, changed operator.Tables) bool {
	accepted := false
	cell.during(changing, func() {
		ctx, cancel := context.WithTimeout(cell.ctx, 8*time.Second)
		defer cancel()
		record := standin.ChangeRecord{ID: id, Base: base, Sent: time.Now(), Pool: changed.Routes[len(changed.Routes)-1].Pool}
		reply, err := client.Change(ctx, &operator.Change{ID: id, Base: base, Tables: changed})
		if err != nil {
			return
		}
		accepted = true
		record.Version, record.Accepted = reply.Version, time.Now()
		cell.journal.Change(record)
		cell.lock.Lock()
		defer cell.lock.Unlock()
		if reply.Version > cell.version {
			cell.version, cell.out = reply.Version, changed.FailureDomainsOut
		}
		cell.changes = max(cell.changes, number)
	})
	return accepted
}

// note records what went wrong with the cell itself.
func (cell *cell) note(problem string) {
	cell.lock.Lock()
	defer cell.lock.Unlock()
	cell.problem = problem
}

// victim returns the target that the traffic concerns, or the first one.
func (cell *cell) victim(traffic standin.Traffic) *tier.Target {
	for _, target := range cell.tier.Targets() {
		if target.IP() == traffic.From || strings.HasPrefix(traffic.To, target.IP()+":") {
			return target
		}
	}
	return cell.tier.Targets()[0]
}

func (cell *cell) findLeader() *tier.Process {
	status, err := cell.tier.Control().Status(cell.ctx)
	for _, replica := range cell.tier.Replicas() {
		if err == nil && replica.Settings().Name == status.Leader {
			return replica
		}
	}
	return cell.replica(0)
}

func (cell *cell) replica(number int) *tier.Process {
	return cell.tier.Replicas()[number]
}

// ips returns the addresses of all processes and targets.
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

// isolate cuts an address off from all others for a while.
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
