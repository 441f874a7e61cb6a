// The faults of a soak, drawn by its seed. They overlap and come in series.

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
	longestPause = 3 * time.Second
	// betweenFaults is the longest span between two faults.
	betweenFaults = 1500 * time.Millisecond
	// wholeLimit is how long the control group may take to be whole again before
	// another disk is lost.
	wholeLimit = 30 * time.Second
	// harmfulSendings bounds how often the harmful request comes, so that all come
	// within the minute for which it is kept from targets at first.
	harmfulSendings = 12
	// tellSpan is longer than entries need to tell each other of it.
	tellSpan = 1500 * time.Millisecond
)

var (
	faults = []fault{
		{"entry stopped", func(_ context.Context, soak *soak, random *rand.Rand) { soak.stopEntry(random.IntN(members), 0) }},
		{"entry stopped and paused", func(_ context.Context, soak *soak, random *rand.Rand) {
			soak.stopEntry(random.IntN(members), draw(random, longestPause))
		}},
		{"entry killed", func(_ context.Context, soak *soak, random *rand.Rand) {
			soak.killEntry(random.IntN(members), draw(random, longestPause))
		}},
		{"entry paused", func(_ context.Context, soak *soak, random *rand.Rand) {
			entry, length := random.IntN(members), draw(random, longestPause)
			soak.record.during(entry, false, func() { soak.entries[entry].pause(length) })
		}},
		{"control paused", func(_ context.Context, soak *soak, random *rand.Rand) {
			soak.controls[random.IntN(members)].pause(draw(random, longestPause))
		}},
		{"control killed", func(_ context.Context, soak *soak, random *rand.Rand) {
			soak.killControl(random.IntN(members), draw(random, longestPause), func(*process) {})
		}},
		{"control stopped", func(_ context.Context, soak *soak, random *rand.Rand) { soak.stopControl(random.IntN(members)) }},
		{"all control killed", func(_ context.Context, soak *soak, random *rand.Rand) { soak.killAllControl(draw(random, time.Second)) }},
		{"control disk lost", func(ctx context.Context, soak *soak, random *rand.Rand) { soak.loseDisk(ctx, random, wipe) }},
		{"control log damaged", func(ctx context.Context, soak *soak, random *rand.Rand) { soak.loseDisk(ctx, random, damage) }},
		{"way to targets disturbed", func(ctx context.Context, soak *soak, random *rand.Rand) { soak.disturb(ctx, random) }},
		{"target leaves", func(ctx context.Context, soak *soak, random *rand.Rand) { soak.replaceTarget(ctx, random, true) }},
		{"target crashes", func(ctx context.Context, soak *soak, random *rand.Rand) { soak.replaceTarget(ctx, random, false) }},
		{"harmful request", func(ctx context.Context, soak *soak, _ *rand.Rand) { soak.harm(ctx) }},
		{"target fails", func(ctx context.Context, soak *soak, random *rand.Rand) {
			standIn := soak.targets[random.IntN(len(soak.targets))]
			standIn.set(func() { standIn.failing = true })
			sleep(ctx, draw(random, longestPause))
			standIn.set(func() { standIn.failing = false })
		}},
		{"tables change", func(ctx context.Context, soak *soak, random *rand.Rand) { soak.change(ctx, random) }},
		{"tables change twice", func(ctx context.Context, soak *soak, random *rand.Rand) {
			other := rand.New(rand.NewPCG(random.Uint64(), 0))
			soak.running.Go(func() { soak.change(ctx, other) })
			soak.change(ctx, random)
		}},
		{"failure domain out and in", func(ctx context.Context, soak *soak, random *rand.Rand) { soak.takeOut(ctx, random) }},
	}
)

type (
	// fault is one kind of fault.
	fault struct {
		name string
		act  func(ctx context.Context, soak *soak, random *rand.Rand)
	}
)

func draw(random *rand.Rand, longest time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(longest)))
}

// trouble draws faults until ctx ends, and returns once the last one is over.
func (soak *soak) trouble(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		chosen := &faults[random.IntN(len(faults))]
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		soak.note("fault: %s", chosen.name)
		soak.running.Go(func() { chosen.act(ctx, soak, own) })
		sleep(ctx, draw(random, betweenFaults))
	}
	soak.running.Wait()
}

// stopEntry stops an entry as planned and starts it again. It is paused for a
// span meanwhile.
func (soak *soak) stopEntry(entry int, paused time.Duration) {
	soak.entryLocks[entry].Lock()
	defer soak.entryLocks[entry].Unlock()
	stopped := soak.entries[entry]
	soak.record.during(entry, true, func() {
		stopped.signal(syscall.SIGTERM)
		if paused > 0 {
			soak.record.during(entry, false, func() { stopped.pause(paused) })
		}
		if !stopped.await(stopLimit) {
			soak.record.fail(fmt.Sprintf("entry %d didn't stop within %s", entry, stopLimit))
			stopped.kill()
		}
	})
	soak.restart(stopped)
	soak.record.during(entry, false, func() { soak.awaitServing(entry) })
}

func (soak *soak) killEntry(entry int, down time.Duration) {
	soak.entryLocks[entry].Lock()
	defer soak.entryLocks[entry].Unlock()
	soak.record.during(entry, false, func() {
		soak.entries[entry].kill()
		time.Sleep(down)
		soak.restart(soak.entries[entry])
		soak.awaitServing(entry)
	})
}

func (process *process) pause(length time.Duration) {
	process.signal(syscall.SIGSTOP)
	time.Sleep(length)
	process.signal(syscall.SIGCONT)
}

func (soak *soak) restart(ended *process) {
	if err := ended.start(); err != nil {
		soak.record.fail("start " + ended.settings.Name + ": " + err.Error())
	}
}

func (soak *soak) killControl(number int, down time.Duration, meanwhile func(*process)) {
	soak.controlLocks[number].Lock()
	defer soak.controlLocks[number].Unlock()
	soak.controls[number].kill()
	meanwhile(soak.controls[number])
	time.Sleep(down)
	soak.restart(soak.controls[number])
}

func (soak *soak) stopControl(number int) {
	soak.controlLocks[number].Lock()
	defer soak.controlLocks[number].Unlock()
	soak.controls[number].signal(syscall.SIGTERM)
	if !soak.controls[number].await(stopLimit) {
		soak.record.fail(fmt.Sprintf("control %d didn't stop within %s", number, stopLimit))
		soak.controls[number].kill()
	}
	soak.restart(soak.controls[number])
}

// killAllControl holds each replica's lock, in the order of their numbers.
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

// loseDisk takes one replica's disk away. The group bears one at a time, so that
// the next is lost only once the group is whole and no longer counts the replica
// that was lost.
func (soak *soak) loseDisk(ctx context.Context, random *rand.Rand, lose func(*process) error) {
	soak.diskLock.Lock()
	defer soak.diskLock.Unlock()
	number := random.IntN(members)
	former := soak.awaitWhole(ctx, wholeLimit, soak.lost)
	if former == nil {
		soak.note("no disk lost: the group isn't whole")
		return
	}
	soak.killControl(number, draw(random, time.Second), func(killed *process) {
		if err := lose(killed); err != nil {
			soak.note("disk not lost: %v", err)
			return
		}
		for id := range former {
			if name, _, _ := strings.Cut(id, "#"); name == killed.settings.Name {
				soak.lost = id
			}
		}
	})
}

// wipe empties a replica's folder. It joins the group anew.
func wipe(killed *process) error {
	killed.settings.Control.JoinOnly = true
	return os.RemoveAll(killed.settings.Control.DataFolder)
}

// damage changes a byte in the middle of a replica's log.
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

// disturb brings one fault about on the way to some targets.
func (soak *soak) disturb(ctx context.Context, random *rand.Rand) {
	fault := pass + 1 + wayFault(random.IntN(int(wayFaults-1)))
	var disturbed []*proxy
	for range 1 + random.IntN(3) {
		disturbed = append(disturbed, soak.targets[random.IntN(len(soak.targets))].proxy)
	}
	for _, proxy := range disturbed {
		proxy.set(fault)
	}
	sleep(ctx, draw(random, longestPause))
	for _, proxy := range disturbed {
		proxy.set(pass)
	}
}

// replaceTarget ends a target and starts it again. One that leaves says so first.
func (soak *soak) replaceTarget(ctx context.Context, random *rand.Rand, leaves bool) {
	standIn := soak.targets[random.IntN(len(soak.targets))]
	if leaves {
		standIn.set(func() { standIn.state = target.HTTPLeaving })
		sleep(ctx, longestPause)
	}
	standIn.replace(draw(random, longestPause))
}

// harm sends a request that crashes each target that runs it to one entry after
// the other, later than entries need to tell each other.
func (soak *soak) harm(ctx context.Context) {
	soak.harmLock.Lock()
	defer soak.harmLock.Unlock()
	for range 2 * members {
		if soak.harms == harmfulSendings || ctx.Err() != nil {
			return
		}
		soak.harms++
		client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		soak.record.send(soak.send(client, soak.harms%members, routeHarmful, fmt.Sprintf("%s-%d", routeHarmful, soak.harms)))
		sleep(ctx, tellSpan)
	}
}

func (soak *soak) takeOut(ctx context.Context, random *rand.Rand) {
	soak.outLock.Lock()
	defer soak.outLock.Unlock()
	domain := domains[random.IntN(len(domains))]
	for _, out := range []bool{true, false} {
		// It is taken in again also at the end, where ctx is over.
		order := &operator.DomainOrder{FailureDomain: domain, Out: out}
		if !soak.persist(context.WithoutCancel(ctx), func(ctx context.Context) error {
			_, err := soak.operator(random).OrderDomain(ctx, order)
			return err
		}) {
			soak.record.fail(fmt.Sprintf("no process took the order %+v within %s", *order, recoverLimit))
		}
		sleep(ctx, draw(random, longestPause))
	}
}
