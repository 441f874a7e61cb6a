// The faults of a soak, selected by its seed. They overlap and follow one another.

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// maxFaultSpan bounds the random duration of a fault, such as a pause or a downtime.
	maxFaultSpan = 3 * time.Second
	// minLimit and maxLimit bound the limits that targets name, in requests a second.
	minLimit = 1.0
	maxLimit = 10.0
	// maxFaultInterval is the longest time between the starts of two faults.
	maxFaultInterval = 1500 * time.Millisecond
	// groupRecoverLimit bounds the wait for the control group to recover before
	// another disk is lost.
	groupRecoverLimit = 30 * time.Second
	// maxHarmfulRequests bounds the harmful requests of a soak, so that all are sent
	// within the first quarantine, which lasts a minute.
	maxHarmfulRequests = 12
	// propagationSpan is longer than entries need to inform each other of a crash
	// caused by the harmful request.
	propagationSpan = 1500 * time.Millisecond
)

var (
	faults = []fault{
		{"entry stopped", func(_ context.Context, soak *soak, random *rand.Rand) { soak.stopEntry(random.IntN(domainCount), 0) }},
		{"entry stopped and paused", func(_ context.Context, soak *soak, random *rand.Rand) {
			soak.stopEntry(random.IntN(domainCount), randomSpan(random, maxFaultSpan))
		}},
		{"entry killed", func(_ context.Context, soak *soak, random *rand.Rand) {
			soak.killEntry(random.IntN(domainCount), randomSpan(random, maxFaultSpan))
		}},
		{"entry paused", func(_ context.Context, soak *soak, random *rand.Rand) {
			entry, length := random.IntN(domainCount), randomSpan(random, maxFaultSpan)
			soak.record.recordOutage(entry, false, func() { soak.entries[entry].pause(length) })
		}},
		{"control paused", func(_ context.Context, soak *soak, random *rand.Rand) {
			soak.controls[random.IntN(domainCount)].pause(randomSpan(random, maxFaultSpan))
		}},
		{"control killed", func(_ context.Context, soak *soak, random *rand.Rand) {
			soak.killControl(random.IntN(domainCount), randomSpan(random, maxFaultSpan), func(*process) {})
		}},
		{"control stopped", func(_ context.Context, soak *soak, random *rand.Rand) { soak.stopControl(random.IntN(domainCount)) }},
		{"all control killed", func(_ context.Context, soak *soak, random *rand.Rand) {
			soak.killAllControl(randomSpan(random, time.Second))
		}},
		{"control disk lost", func(ctx context.Context, soak *soak, random *rand.Rand) { soak.loseDisk(ctx, random, wipe) }},
		{"control log damaged", func(ctx context.Context, soak *soak, random *rand.Rand) { soak.loseDisk(ctx, random, damage) }},
		{"connections to targets disturbed", func(ctx context.Context, soak *soak, random *rand.Rand) { soak.disturbConnections(ctx, random) }},
		{"target leaves", func(ctx context.Context, soak *soak, random *rand.Rand) { soak.restartTarget(ctx, random, true) }},
		{"target crashes", func(ctx context.Context, soak *soak, random *rand.Rand) { soak.restartTarget(ctx, random, false) }},
		{"harmful request", func(ctx context.Context, soak *soak, _ *rand.Rand) { soak.sendHarmfulRequests(ctx) }},
		{"target fails", func(ctx context.Context, soak *soak, random *rand.Rand) {
			standIn := soak.targets[random.IntN(len(soak.targets))]
			standIn.update(func() { standIn.failing = true })
			sleep(ctx, randomSpan(random, maxFaultSpan))
			standIn.update(func() { standIn.failing = false })
		}},
		{"tables change", func(ctx context.Context, soak *soak, random *rand.Rand) { soak.change(ctx, random) }},
		{"tables change twice", func(ctx context.Context, soak *soak, random *rand.Rand) {
			other := rand.New(rand.NewPCG(random.Uint64(), 0))
			soak.faultsRunning.Go(func() { soak.change(ctx, other) })
			soak.change(ctx, random)
		}},
		{"failure domain out and in", func(ctx context.Context, soak *soak, random *rand.Rand) { soak.takeDomainOut(ctx, random) }},
	}
)

type (
	// fault is one kind of fault. Its inject function returns once the fault is over.
	fault struct {
		name   string
		inject func(ctx context.Context, soak *soak, random *rand.Rand)
	}
)

func randomSpan(random *rand.Rand, longest time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(longest)))
}

// injectFaults starts random faults until ctx ends, and returns once all of them are over.
func (soak *soak) injectFaults(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		chosen := &faults[random.IntN(len(faults))]
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		soak.note("fault: %s", chosen.name)
		soak.faultsRunning.Go(func() { chosen.inject(ctx, soak, faultRandom) })
		sleep(ctx, randomSpan(random, maxFaultInterval))
	}
	soak.faultsRunning.Wait()
}

// limitTargets makes one target after the other name a limit until ctx ends. It has random numbers of its
// own, so that the faults of a seed stay as they are.
func (soak *soak) limitTargets(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		standIn := soak.targets[random.IntN(len(soak.targets))]
		limit := targetLimit{target: standIn.id, perSecond: minLimit + random.Float64()*(maxLimit-minLimit), from: time.Now()}
		soak.note("target %s names a limit of %.1f a second", limit.target, limit.perSecond)
		standIn.update(func() { standIn.limit = limit.perSecond })
		sleep(ctx, limitContact+limitSpan+randomSpan(random, maxFaultSpan))
		limit.until = time.Now()
		standIn.update(func() { standIn.limit = 0 })
		soak.record.addLimit(limit)
	}
}

// stopEntry stops an entry gracefully, pausing it for the given time while it stops, and
// starts it again.
func (soak *soak) stopEntry(entry int, paused time.Duration) {
	soak.entryLocks[entry].Lock()
	defer soak.entryLocks[entry].Unlock()
	soak.stopAndStartEntry(entry, paused)
}

// stopAndStartEntry does the work of stopEntry while the entry's lock is held.
func (soak *soak) stopAndStartEntry(entry int, paused time.Duration) {
	stopped := soak.entries[entry]
	soak.record.recordOutage(entry, true, func() {
		stopped.signal(syscall.SIGTERM)
		if paused > 0 {
			soak.record.recordOutage(entry, false, func() { stopped.pause(paused) })
		}
		if !stopped.awaitExit(stopLimit) {
			soak.record.addFailure(fmt.Sprintf("entry %d didn't stop within %s", entry, stopLimit))
			stopped.kill()
		}
	})
	soak.restart(stopped)
	soak.record.recordOutage(entry, false, func() { soak.awaitAnswer(entry) })
}

func (soak *soak) killEntry(entry int, down time.Duration) {
	soak.entryLocks[entry].Lock()
	defer soak.entryLocks[entry].Unlock()
	soak.record.recordOutage(entry, false, func() {
		soak.entries[entry].kill()
		time.Sleep(down)
		soak.restart(soak.entries[entry])
		soak.awaitAnswer(entry)
	})
}

// pause suspends the process for the given time.
func (process *process) pause(length time.Duration) {
	process.signal(syscall.SIGSTOP)
	time.Sleep(length)
	process.signal(syscall.SIGCONT)
}

// restart starts a process that has ended, and records a failure if that fails.
func (soak *soak) restart(ended *process) {
	if err := ended.start(); err != nil {
		soak.record.addFailure("start " + ended.settings.Name + ": " + err.Error())
	}
}

// killControl kills a control replica, calls whileDown, and starts the replica again after the
// given downtime.
func (soak *soak) killControl(number int, down time.Duration, whileDown func(*process)) {
	soak.controlLocks[number].Lock()
	defer soak.controlLocks[number].Unlock()
	soak.controls[number].kill()
	whileDown(soak.controls[number])
	time.Sleep(down)
	soak.restart(soak.controls[number])
}

func (soak *soak) stopControl(number int) {
	soak.controlLocks[number].Lock()
	defer soak.controlLocks[number].Unlock()
	soak.stopAndStartControl(number)
}

// stopAndStartControl does the work of stopControl while the replica's lock is held.
func (soak *soak) stopAndStartControl(number int) {
	soak.controls[number].signal(syscall.SIGTERM)
	if !soak.controls[number].awaitExit(stopLimit) {
		soak.record.addFailure(fmt.Sprintf("control %d didn't stop within %s", number, stopLimit))
		soak.controls[number].kill()
	}
	soak.restart(soak.controls[number])
}

// killAllControl kills all control replicas and starts them again. It takes their locks in the
// order of their numbers to avoid a deadlock.
func (soak *soak) killAllControl(down time.Duration) {
	for number := range soak.controls {
		soak.controlLocks[number].Lock()
		defer soak.controlLocks[number].Unlock()
	}
	for _, control := range soak.controls {
		control.kill()
	}
	time.Sleep(down)
	for _, control := range soak.controls {
		soak.restart(control)
	}
}

// loseDisk destroys the disk of a random replica. The group tolerates the loss of one disk at a
// time, so loseDisk first waits until the group has recovered and the replica that lost its disk
// before is no longer a member. If that takes longer than groupRecoverLimit, it destroys nothing.
func (soak *soak) loseDisk(ctx context.Context, random *rand.Rand, destroy func(*process) error) {
	soak.diskLock.Lock()
	defer soak.diskLock.Unlock()
	number := random.IntN(domainCount)
	replicas := soak.awaitFullGroup(ctx, groupRecoverLimit, soak.lostReplica)
	if replicas == nil {
		soak.note("no disk destroyed: the control group has not recovered")
		return
	}
	soak.killControl(number, randomSpan(random, time.Second), func(killed *process) {
		if err := destroy(killed); err != nil {
			soak.note("destroying the disk failed: %v", err)
			return
		}
		for id := range replicas {
			if name, _, _ := strings.Cut(id, "#"); name == killed.settings.Name {
				soak.lostReplica = id
			}
		}
	})
}

// wipe deletes a replica's data folder and makes the replica join the group as a new member.
func wipe(killed *process) error {
	killed.settings.Control.JoinOnly = true
	return os.RemoveAll(killed.settings.Control.DataFolder)
}

// damage corrupts a byte in the middle of a replica's newest log file.
func damage(killed *process) error {
	logs, err := filepath.Glob(filepath.Join(killed.settings.Control.DataFolder, "log-*"))
	if err != nil || len(logs) == 0 {
		return err
	}
	data, err := os.ReadFile(logs[len(logs)-1])
	if err != nil || len(data) == 0 {
		return err
	}
	data[len(data)/2] ^= 0x55
	return os.WriteFile(logs[len(logs)-1], data, 0o600)
}

// disturbConnections applies one link fault to the proxies of up to three targets.
func (soak *soak) disturbConnections(ctx context.Context, random *rand.Rand) {
	fault := forward + 1 + linkFault(random.IntN(int(linkFaultCount-1)))
	var disturbed []*proxy
	for range 1 + random.IntN(3) {
		disturbed = append(disturbed, soak.targets[random.IntN(len(soak.targets))].proxy)
	}
	for _, proxy := range disturbed {
		proxy.setFault(fault)
	}
	sleep(ctx, randomSpan(random, maxFaultSpan))
	for _, proxy := range disturbed {
		proxy.setFault(forward)
	}
}

// restartTarget crashes a target and starts it again. With leaves set, the target first
// announces that it is leaving.
func (soak *soak) restartTarget(ctx context.Context, random *rand.Rand, leaves bool) {
	standIn := soak.targets[random.IntN(len(soak.targets))]
	if leaves {
		standIn.update(func() { standIn.state = target.HTTPLeaving })
		sleep(ctx, maxFaultSpan)
	}
	standIn.restart(randomSpan(random, maxFaultSpan))
}

// sendHarmfulRequests sends harmful requests to one entry after another. It waits in between
// until entries have informed each other of the crashes.
func (soak *soak) sendHarmfulRequests(ctx context.Context) {
	soak.harmfulLock.Lock()
	defer soak.harmfulLock.Unlock()
	for range 2 * domainCount {
		if soak.harmfulSentCount == maxHarmfulRequests || ctx.Err() != nil {
			return
		}
		soak.harmfulSentCount++
		client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		soak.record.addRequest(soak.sendRequest(client, soak.harmfulSentCount%domainCount, routeHarmful, fmt.Sprintf("%s-%d", routeHarmful, soak.harmfulSentCount)))
		sleep(ctx, propagationSpan)
	}
}

// takeDomainOut takes a random failure domain out, and puts it back in later.
func (soak *soak) takeDomainOut(ctx context.Context, random *rand.Rand) {
	soak.domainLock.Lock()
	defer soak.domainLock.Unlock()
	domain := domains[random.IntN(len(domains))]
	for _, out := range []bool{true, false} {
		// Put the domain back in even after ctx has ended.
		change := &operator.DomainChange{FailureDomain: domain, Out: out}
		if !soak.retry(context.WithoutCancel(ctx), func(ctx context.Context) error {
			_, err := soak.operator(random).SetDomainOut(ctx, change)
			return err
		}) {
			soak.record.addFailure(fmt.Sprintf("no process accepted the change %+v within %s", *change, recoverLimit))
		}
		sleep(ctx, randomSpan(random, maxFaultSpan))
	}
}
