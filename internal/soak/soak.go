// The course of one soak: the start of the system, load under faults, and the recovery
// that must follow.

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// recoverLimit is the time in which the system must recover after the last
	// fault. It is generous because the machine may be busy.
	recoverLimit = 90 * time.Second
	// healthyLoadSpan is how long load continues after the system has recovered.
	healthyLoadSpan = 2 * time.Second
	pollInterval    = 100 * time.Millisecond
)

type (
	// soak is a system under load and faults.
	soak struct {
		seed          uint64
		addressPrefix string
		notes         io.Writer
		entries       []*process
		controls      []*process
		targets       []*standIn
		record        record
		// newestDeclared is the highest version of the tables that has been sent to control.
		newestDeclared atomic.Uint64
		faultsRunning  sync.WaitGroup
		started        time.Time
		// newBinary and oldBinary are the programs of the two builds that processes change between;
		// oldBinary is empty if there is one build only.
		newBinary, oldBinary string

		// Locks are acquired in this order, and those of an array by ascending index.
		diskLock     sync.Mutex
		domainLock   sync.Mutex
		entryLocks   [domainCount]sync.Mutex
		controlLocks [domainCount]sync.Mutex
		harmfulLock  sync.Mutex
		noteLock     sync.Mutex
		// lostReplica is the ID of the last replica whose disk was lost, guarded by diskLock.
		lostReplica string
		// harmfulSentCount is the number of harmful requests sent, guarded by harmfulLock.
		harmfulSentCount int
	}
)

// newSoak sets up a system without starting it. Its data is in the folder, and its loopback
// addresses depend on the process ID and the seed, so that concurrent soaks don't share them.
func newSoak(seed uint64, binary, folder string, notes io.Writer) *soak {
	number := os.Getpid()*16 + int(seed%16)
	soak := &soak{seed: seed, addressPrefix: fmt.Sprintf("127.%d.%d.", 1+number%250, number/250%250), notes: notes, started: time.Now(), newBinary: binary}
	ip := func(last int) string { return fmt.Sprint(soak.addressPrefix, last) }
	var peerAddresses, httpAddresses []string
	for number := range domainCount {
		peerAddresses = append(peerAddresses, fmt.Sprintf("%s:%d", ip(1+number), peerPort))
		httpAddresses = append(httpAddresses, fmt.Sprintf("%s:%d", ip(1+number), httpPort))
	}
	for number, domain := range domains {
		control := newProcess(binary, folder, ip(1+number), "control-"+domain, domain, peerAddresses)
		control.configureControl()
		soak.controls = append(soak.controls, control)
		entry := newProcess(binary, folder, ip(11+number), "entry-"+domain, domain, peerAddresses)
		entry.configureEntry(ip(11 + number))
		soak.entries = append(soak.entries, entry)
	}
	for _, pool := range tables(0).Pools {
		if pool.Name == releasePool {
			continue // its targets are started with each release
		}
		for _, domain := range domains {
			last := 21 + len(soak.targets)
			proxy := &proxy{address: fmt.Sprintf("%s:%d", ip(last), httpPort), upstreamAddress: fmt.Sprintf("%s:%d", ip(last), gatewayPort)}
			soak.targets = append(soak.targets, &standIn{id: pool.Name + "." + domain, pool: pool.Name, domain: domain, release: firstRelease, proxy: proxy, record: &soak.record, controlAddresses: httpAddresses})
		}
	}
	return soak
}

// run injects faults into the system for the given time and returns the violated promises.
func (soak *soak) run(ctx context.Context, length time.Duration) []string {
	defer soak.close()
	random := rand.New(rand.NewPCG(soak.seed, 0))
	if err := soak.start(); err != nil {
		return []string{"start: " + err.Error()}
	}
	announceContext, stopAnnouncing := context.WithCancel(ctx)
	defer stopAnnouncing()
	for _, standIn := range soak.targets {
		go standIn.announce(announceContext)
	}
	soak.change(ctx, random)
	if problem := soak.awaitHealthy(ctx); problem != "" {
		return []string{"at the start: " + problem}
	}
	var load sync.WaitGroup
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for entry := range soak.entries {
		for caller := range callersPerEntry {
			load.Go(func() { soak.runCaller(loadContext, entry, caller) })
		}
	}
	reads := rand.New(rand.NewPCG(soak.seed, 1))
	load.Go(func() { soak.readVersions(loadContext, reads) })
	faultContext, stopFaults := context.WithTimeout(ctx, length)
	limits := rand.New(rand.NewPCG(soak.seed, 3))
	load.Go(func() { soak.limitTargets(faultContext, limits) })
	releases := rand.New(rand.NewPCG(soak.seed, 4))
	load.Go(func() { soak.changeReleases(loadContext, faultContext, releases) })
	rolls := rand.New(rand.NewPCG(soak.seed, 5))
	load.Go(func() { soak.changeBuilds(faultContext, rolls) })
	soak.injectFaults(faultContext, random)
	stopFaults()
	soak.rollBuilds(ctx, rolls)
	soak.note("faults are over")
	soak.change(ctx, random)
	if problem := soak.awaitHealthy(ctx); problem != "" {
		soak.record.addFailure("after the faults: " + problem)
	}
	sleep(ctx, healthyLoadSpan)
	stopLoad()
	load.Wait()
	return soak.record.violations()
}

func (soak *soak) start() error {
	for _, process := range soak.processes() {
		if err := process.start(); err != nil {
			return err
		}
	}
	for _, standIn := range soak.targets {
		if err := standIn.start(); err != nil {
			return err
		}
	}
	return nil
}

func (soak *soak) close() {
	for _, process := range soak.processes() {
		if process.command != nil {
			process.kill()
		}
	}
	for _, standIn := range soak.targets {
		if standIn.server != nil {
			standIn.crash()
		}
	}
}

func (soak *soak) processes() []*process {
	return append(append([]*process{}, soak.controls...), soak.entries...)
}

// eventually polls the condition until it holds, and reports whether it did within the limit.
func eventually(ctx context.Context, limit time.Duration, condition func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until) && ctx.Err() == nil; sleep(ctx, pollInterval) {
		if condition() {
			return true
		}
	}
	return false
}

// awaitHealthy waits until every entry serves the newest tables and complete answers. It returns
// the remaining problem if recoverLimit passes first.
func (soak *soak) awaitHealthy(ctx context.Context) string {
	problem := "not checked"
	eventually(ctx, recoverLimit, func() bool {
		problem = soak.healthProblem()
		return problem == ""
	})
	return problem
}

// healthProblem describes the first entry and route without a complete answer, or returns an empty
// text if there is none.
func (soak *soak) healthProblem() string {
	newestVersion := versionRoute(soak.record.newestVersion())
	for entry := range soak.entries {
		for _, route := range []string{newestVersion, routeSearch, routeRead} {
			sent := soak.probe(entry, route)
			if sent.status != statusOK || sent.missingPartCount > 0 {
				return fmt.Sprintf("entry %d answers route %s with status %d and %d missing parts %s", entry, route, sent.status, sent.missingPartCount, sent.failure)
			}
		}
	}
	return ""
}

// probe sends a request over a new connection to check an entry's health.
func (soak *soak) probe(entry int, route string) sentRequest {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return soak.sendRequest(client, entry, route, fmt.Sprintf("look-%s-%d-%d", route, entry, time.Now().UnixNano()))
}

// awaitAnswer waits until a restarted entry answers requests, with any status.
func (soak *soak) awaitAnswer(entry int) {
	if !eventually(context.Background(), recoverLimit, func() bool { return soak.probe(entry, routeRead).failure == "" }) {
		soak.record.addFailure(fmt.Sprintf("entry %d didn't answer after its start", entry))
	}
}

// awaitFullGroup waits until all replicas are voters without lag and the one that lost its disk
// isn't a member. It returns the replicas' IDs, or nil if the limit passes first.
func (soak *soak) awaitFullGroup(ctx context.Context, limit time.Duration, lostReplica string) map[string]bool {
	random := rand.New(rand.NewPCG(soak.seed, 2))
	var caughtUp map[string]bool
	if !eventually(ctx, limit, func() bool {
		limited, cancel := context.WithTimeout(ctx, operatorTimeout)
		defer cancel()
		status, err := soak.operator(random).Status(limited)
		if err != nil {
			return false
		}
		caughtUp = map[string]bool{}
		for _, replica := range status.Replicas {
			if replica.Voter && replica.Lag == 0 && replica.ID != lostReplica {
				caughtUp[replica.ID] = true
			}
		}
		return len(caughtUp) == domainCount && len(status.Replicas) == domainCount
	}) {
		return nil
	}
	return caughtUp
}

func (soak *soak) note(format string, values ...any) {
	soak.noteLock.Lock()
	defer soak.noteLock.Unlock()
	_, _ = fmt.Fprintf(soak.notes, "%s seed %d: %s\n", time.Now().Format("15:04:05.000"), soak.seed, fmt.Sprintf(format, values...))
}

// summary describes how much the soak checked.
func (soak *soak) summary() string {
	soak.record.lock.Lock()
	defer soak.record.lock.Unlock()
	answered, refused := 0, 0
	for index := range soak.record.requests {
		switch sent := &soak.record.requests[index]; {
		case sent.status == statusOK:
			answered++
		case sent.notRun:
			refused++
		}
	}
	completed, bad := 0, 0
	for _, ended := range soak.record.rollouts {
		if ended.phase == operator.PhaseCompleted {
			completed++
		}
		if ended.fault.isBad() {
			bad++
		}
	}
	return fmt.Sprintf("%d requests: %d answered, %d refused as not run; %d runs, %d versions acknowledged, %d read, %d rollouts, %d completed, %d of bad releases", len(soak.record.requests), answered, refused,
		len(soak.record.runs), len(soak.record.acknowledgments), len(soak.record.versionReads), len(soak.record.rollouts), completed, bad)
}
