// One soak: the system's processes, their load, their faults, and the end, at
// which all must be well again.

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
)

const (
	// recoverLimit is how long the system may take until all is well after the
	// last fault; roomy, for machines that are busy.
	recoverLimit = 90 * time.Second
	// quietSpan is how long load goes on after all is well.
	quietSpan = 2 * time.Second
	lookPause = 100 * time.Millisecond
)

type (
	// soak is a system under load and faults.
	soak struct {
		seed     uint64
		network  string
		notes    io.Writer
		entries  []*process
		controls []*process
		targets  []*standIn
		record   record
		declared atomic.Uint64
		running  sync.WaitGroup
		begun    time.Time

		// Locks are taken in this order, those of one kind by number.
		diskLock     sync.Mutex
		outLock      sync.Mutex
		entryLocks   [members]sync.Mutex
		controlLocks [members]sync.Mutex
		harmLock     sync.Mutex
		noteLock     sync.Mutex
		// lost is the ID of the replica whose disk was lost last; under diskLock.
		lost string
		// harms counts the sendings of the harmful request; under harmLock.
		harms int
	}
)

// newSoak describes a system in a folder, at loopback addresses that no other
// soak of this machine uses.
func newSoak(seed uint64, binary, folder string, notes io.Writer) *soak {
	number := os.Getpid()*16 + int(seed%16)
	soak := &soak{seed: seed, network: fmt.Sprintf("127.%d.%d.", 1+number%250, number/250%250), notes: notes, begun: time.Now()}
	ip := func(last int) string { return fmt.Sprint(soak.network, last) }
	var peers, https []string
	for number := range members {
		peers = append(peers, fmt.Sprintf("%s:%d", ip(1+number), peerPort))
		https = append(https, fmt.Sprintf("%s:%d", ip(1+number), httpPort))
	}
	for number, domain := range domains {
		control := newProcess(binary, folder, ip(1+number), "control-"+domain, domain, peers)
		control.beControl()
		soak.controls = append(soak.controls, control)
		entry := newProcess(binary, folder, ip(11+number), "entry-"+domain, domain, peers)
		entry.beEntry(ip(11 + number))
		soak.entries = append(soak.entries, entry)
	}
	for _, pool := range tables(0).Pools {
		for _, domain := range domains {
			last := 21 + len(soak.targets)
			proxy := &proxy{address: fmt.Sprintf("%s:%d", ip(last), httpPort), to: fmt.Sprintf("%s:%d", ip(last), gatewayPort)}
			soak.targets = append(soak.targets, &standIn{id: pool.Name + "." + domain, pool: pool.Name, domain: domain, proxy: proxy, record: &soak.record, controls: https})
		}
	}
	return soak
}

// run soaks the system for a span and returns the promises that were broken.
func (soak *soak) run(ctx context.Context, length time.Duration) []string {
	defer soak.close()
	random := rand.New(rand.NewPCG(soak.seed, 0))
	if err := soak.start(); err != nil {
		return []string{"start: " + err.Error()}
	}
	announcing, stopAnnouncing := context.WithCancel(ctx)
	defer stopAnnouncing()
	for _, standIn := range soak.targets {
		go standIn.announce(announcing)
	}
	soak.change(ctx, random)
	if problem := soak.awaitWell(ctx); problem != "" {
		return []string{"at the start: " + problem}
	}
	var load sync.WaitGroup
	loading, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for entry := range soak.entries {
		for caller := range callersOfOne {
			load.Go(func() { soak.call(loading, entry, caller) })
		}
	}
	reads := rand.New(rand.NewPCG(soak.seed, 1))
	load.Go(func() { soak.readVersions(loading, reads) })
	troubled, endTrouble := context.WithTimeout(ctx, length)
	soak.trouble(troubled, random)
	endTrouble()
	soak.note("faults are over")
	soak.change(ctx, random)
	if problem := soak.awaitWell(ctx); problem != "" {
		soak.record.fail("after the faults: " + problem)
	}
	sleep(ctx, quietSpan)
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

// eventually looks until it finds what it looks for, and reports whether it did in
// time.
func eventually(ctx context.Context, limit time.Duration, look func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until) && ctx.Err() == nil; sleep(ctx, lookPause) {
		if look() {
			return true
		}
	}
	return false
}

// awaitWell waits until every entry serves the newest tables and whole answers,
// and returns what is wrong where that takes too long.
func (soak *soak) awaitWell(ctx context.Context) string {
	problem := "never looked"
	eventually(ctx, recoverLimit, func() bool {
		problem = soak.wrong()
		return problem == ""
	})
	return problem
}

func (soak *soak) wrong() string {
	newest := versionRoute(soak.record.newest())
	for entry := range soak.entries {
		for _, route := range []string{newest, routeSearch, routeRead} {
			sent := soak.look(entry, route)
			if sent.status != statusOK || sent.missing > 0 {
				return fmt.Sprintf("entry %d answers route %s with %d, %d parts missing %s", entry, route, sent.status, sent.missing, sent.failed)
			}
		}
	}
	return ""
}

func (soak *soak) look(entry int, route string) sending {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return soak.send(client, entry, route, fmt.Sprintf("look-%s-%d-%d", route, entry, time.Now().UnixNano()))
}

// awaitServing waits until an entry that was started answers at all.
func (soak *soak) awaitServing(entry int) {
	if !eventually(context.Background(), recoverLimit, func() bool { return soak.look(entry, routeRead).failed == "" }) {
		soak.record.fail(fmt.Sprintf("entry %d didn't answer after its start", entry))
	}
}

// awaitWhole waits until all replicas count, lack nothing, and the one that was
// lost isn't among them, and returns their IDs, or nil where that takes too long.
func (soak *soak) awaitWhole(ctx context.Context, limit time.Duration, lost string) map[string]bool {
	random := rand.New(rand.NewPCG(soak.seed, 2))
	var whole map[string]bool
	if !eventually(ctx, limit, func() bool {
		limited, cancel := context.WithTimeout(ctx, operatorLimit)
		defer cancel()
		status, err := soak.operator(random).Status(limited)
		if err != nil {
			return false
		}
		whole = map[string]bool{}
		for _, replica := range status.Replicas {
			if replica.Voter && replica.Lag == 0 && replica.ID != lost {
				whole[replica.ID] = true
			}
		}
		return len(whole) == members && len(status.Replicas) == members
	}) {
		return nil
	}
	return whole
}

func (soak *soak) note(format string, values ...any) {
	soak.noteLock.Lock()
	defer soak.noteLock.Unlock()
	_, _ = fmt.Fprintf(soak.notes, "%s seed %d: %s\n", time.Now().Format("15:04:05.000"), soak.seed, fmt.Sprintf(format, values...))
}

// summary tells how much was checked.
func (soak *soak) summary() string {
	soak.record.lock.Lock()
	defer soak.record.lock.Unlock()
	answered, refused := 0, 0
	for index := range soak.record.sendings {
		switch sent := &soak.record.sendings[index]; {
		case sent.status == statusOK:
			answered++
		case sent.notRun:
			refused++
		}
	}
	return fmt.Sprintf("%d requests: %d answered, %d refused as not run; %d runs, %d versions acknowledged, %d read", len(soak.record.sendings), answered, refused,
		len(soak.record.runs), len(soak.record.acks), len(soak.record.readings))
}
