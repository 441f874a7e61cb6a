package faults_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// crashPayload is the payload of requests that crash the targets that run them.
	crashPayload = `"crash"`
	cutDuration  = 5 * time.Second
	// outageDuration is longer than a lease.
	outageDuration = 8 * time.Second
)

type (
	// fault is a failure, or something that callers, targets or operators do,
	// while a step is in progress.
	fault struct {
		name   string
		inject func(cell *cell, traffic standin.Traffic)
	}
)

var faults = []fault{
	{"straggler", func(cell *cell, traffic standin.Traffic) {
		cell.affectedTarget(traffic).Behave(func(behaviour *standin.Behaviour) {
			behaviour.RunDuration = func(*target.Run) time.Duration { return 20 * runDuration }
		})
	}},
	{"replica lost", func(cell *cell, traffic standin.Traffic) { cell.network.Down(cell.affectedTarget(traffic).IP()) }},
	{"shard repartitioned", repartition},
	{"index version changing", changeIndex},
	{"silent cold start", func(cell *cell, traffic standin.Traffic) {
		affectedTarget := cell.affectedTarget(traffic)
		cell.network.Break(affectedTarget.IP())
		affectedTarget.TurnCold()
	}},
	{"cold start, announced warm", func(cell *cell, traffic standin.Traffic) {
		affectedTarget := cell.affectedTarget(traffic)
		cell.network.Break(affectedTarget.IP())
		affectedTarget.TurnCold()
		affectedTarget.Change(func(announcement *target.Announcement) {
			announcement.State, announcement.Incarnation, announcement.Revision = target.Warm, 1, 1
		})
	}},
	{"shed", func(cell *cell, traffic standin.Traffic) {
		cell.affectedTarget(traffic).Behave(func(behaviour *standin.Behaviour) { behaviour.ShedAbove = 1 })
	}},
	{"control VM cut off", func(cell *cell, _ standin.Traffic) { cell.isolate(cell.leader.IP(), outageDuration) }},
	{"one-way cut", oneWayCut},
	{"operators race", func(cell *cell, _ standin.Traffic) {
		for rival := range 2 {
			base, probeMoves, changed := cell.proposal(1 + rival)
			cell.running.Go(func() {
				client := cell.operator(rival)
				defer client.Close()
				cell.sendChange(client, fmt.Sprintf("rival-%d", rival), base, probeMoves, changed)
			})
		}
	}},
	{"change resent", func(cell *cell, _ standin.Traffic) {
		client := cell.operator(0)
		defer client.Close()
		base, probeMoves, changed := cell.proposal(1)
		ctx, cancel := context.WithTimeout(cell.ctx, 5*time.Millisecond)
		defer cancel()
		_, _ = client.Change(ctx, &operator.Change{ID: "resent", Base: base, Tables: changed})
		for range 3 {
			cell.sendChange(client, "resent", base, probeMoves, changed)
		}
	}},
	{"second VM lost after a repair", func(cell *cell, _ standin.Traffic) {
		cell.restart(cell.replica(1), time.Second)
		cell.restart(cell.replica(2), 5*time.Second)
	}},
	{"control replica change", injectReplicaChange},
	{"restart after hundreds of changes", func(cell *cell, _ standin.Traffic) {
		for changeNumber := range 200 {
			cell.changeQueueLimit(1000+changeNumber, 0)
		}
		for index := range cell.tier.Replicas() {
			cell.running.Go(func() { cell.restart(cell.replica(index), time.Second) })
		}
	}},
	{"crash-inducing request, resent", func(cell *cell, _ standin.Traffic) {
		for callerIndex := range 6 {
			cell.sendSearch(callerIndex, []byte(crashPayload))
		}
	}},
	{"silent connections", func(cell *cell, traffic standin.Traffic) {
		cell.network.Silence(cell.affectedTarget(traffic).IP())
		cell.network.Silence(cell.tier.Entries()[0].IP())
	}},
	{"answer late", func(cell *cell, traffic standin.Traffic) {
		var runs atomic.Int64
		cell.affectedTarget(traffic).Behave(func(behaviour *standin.Behaviour) {
			behaviour.RunDuration = func(*target.Run) time.Duration {
				return time.Duration(runs.Add(1)%3) * requestTimeout / 2
			}
		})
	}},
	{"answer crossed", corrupt(func(result *target.Result, previous target.Result) {
		*result = previous
	})},
	{"answer truncated", corrupt(func(result *target.Result, _ target.Result) {
		result.Payload = []byte(`{}`)
	})},
	{"answer from another version", corrupt(func(result *target.Result, _ target.Result) { result.IndexVersion += 5 })},
	{"process paused", func(cell *cell, _ standin.Traffic) { cell.isolate(cell.tier.Entries()[0].IP(), outageDuration) }},
	{"entry lost", func(cell *cell, _ standin.Traffic) { cell.restart(cell.tier.Entries()[0], 5*time.Second) }},
	{"disk failing", func(cell *cell, _ standin.Traffic) {
		cell.diskOf(cell.leader).FailSync()
	}},
	{"disk full", func(cell *cell, _ standin.Traffic) {
		disk := cell.diskOf(cell.leader)
		disk.Limit(disk.Size())
		time.Sleep(cutDuration)
		disk.Limit(0)
	}},
	{"disk torn", func(cell *cell, _ standin.Traffic) {
		cell.diskOf(cell.leader).CrashAt(1+cell.random.IntN(6), cell.seed)
		time.Sleep(time.Second)
		cell.restart(cell.leader, time.Second)
	}},
	{"failure domain out and back", func(cell *cell, _ standin.Traffic) {
		if !cell.setFailureDomainsOut([]string{"nord"}) {
			return
		}
		outage := standin.DomainOutage{FailureDomain: "nord", From: time.Now()}
		time.Sleep(outageDuration)
		outage.Until = time.Now()
		cell.journal.RecordDomainOutage(outage)
		cell.setFailureDomainsOut(nil)
	}},
	{"failure domain lost", func(cell *cell, _ standin.Traffic) {
		cell.running.Go(func() { cell.restart(cell.replica(1), outageDuration) })
		cell.running.Go(func() { cell.restart(cell.tier.Entries()[1], outageDuration) })
		for _, lost := range cell.tier.Targets() {
			if lost.Announcement().FailureDomain == "sud" {
				cell.network.Down(lost.IP())
			}
		}
	}},
	{"target leaves", func(cell *cell, _ standin.Traffic) { cell.announceLeaving() }},
	{"planned stop", func(cell *cell, _ standin.Traffic) { cell.stopAndRestart(1) }},
	{"caller gone", func(cell *cell, _ standin.Traffic) {
		for callerIndex := range 12 {
			cell.running.Go(func() {
				ctx, cancel := context.WithTimeout(cell.ctx, time.Duration(callerIndex)*2*time.Millisecond)
				defer cancel()
				cell.sendAndCancel(ctx, callerIndex)
			})
		}
	}},
}

// sendAndCancel sends a search that is cancelled when ctx ends, and then a filing
// that is cancelled after 2 ms times callerIndex.
func (cell *cell) sendAndCancel(ctx context.Context, callerIndex int) {
	gone, cancel := context.WithCancel(cell.ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	cell.send(gone, callerIndex, &caller.Request{Kind: "bench.search", Idempotent: true, RunsPerShard: 3})
	gone, cancelFiling := context.WithCancel(cell.ctx)
	defer cancelFiling()
	timer := time.AfterFunc(time.Duration(callerIndex)*2*time.Millisecond, cancelFiling)
	defer timer.Stop()
	cell.send(gone, callerIndex, &caller.Request{Kind: "bench.file"})
}

// operator returns a control client with an IP address of its own, as each operator
// has.
func (cell *cell) operator(index int) *control.Client {
	var addresses []string
	for _, replica := range cell.tier.Replicas() {
		addresses = append(addresses, replica.Settings().PeerAddress)
	}
	return control.NewClient(addresses, cell.tier.Network(fmt.Sprintf("10.0.0.%d:0", 3+index)).Dial)
}

// restart crashes a process and its disk, and starts both again after the downtime.
func (cell *cell) restart(process *tier.Process, downtime time.Duration) {
	disk := cell.diskOf(process)
	disk.Crash()
	cell.tier.Kill(process)
	time.Sleep(downtime)
	disk.Restart(cell.seed)
	ctx, cancel := context.WithTimeout(cell.ctx, 10*time.Second)
	defer cancel()
	if err := cell.tier.Restart(ctx, process); err != nil {
		cell.setProblem("restart: " + err.Error())
	}
}

// injectReplicaChange is the fault that replaces the leader.
func injectReplicaChange(cell *cell, _ standin.Traffic) {
	err := cell.replaceLeader()
	// Control may rightly refuse during another fault or change of replicas.
	if err != nil && len(cell.faults) == 1 && cell.step.name != replicaChangeStep {
		cell.setProblem("change the replicas: " + err.Error())
	}
}

// replaceLeader adds a new control replica and then removes the leader.
func (cell *cell) replaceLeader() error {
	number := cell.addedReplicas.Add(1)
	replacement, err := cell.tier.StartReplica(cell.ctx, fmt.Sprintf("control-new-%d", number), "nord", fmt.Sprintf("10.1.0.%d", 1+number))
	if err != nil {
		return err
	}
	cell.running.Go(func() {
		<-cell.done
		_ = cell.tier.StopProcess(cell.ctx, replacement)
	})
	client := cell.operator(0)
	defer client.Close()
	added := &operator.Replica{Name: replacement.Settings().Name, Address: replacement.Settings().PeerAddress}
	var addErr, removeErr error
	cell.track(replacing, func() {
		_, addErr = client.AddReplica(cell.ctx, added)
		_, removeErr = client.RemoveReplica(cell.ctx, cell.leader.Settings().Name)
	})
	return errors.Join(addErr, removeErr)
}

// setFailureDomainsOut changes the tables so that exactly the given failure
// domains are out. It reports whether control accepted the change.
func (cell *cell) setFailureDomainsOut(failureDomains []string) bool {
	for range 3 {
		base, probeMoves, changed := cell.proposal(0)
		changed.FailureDomainsOut = failureDomains
		if cell.sendChange(cell.tier.Control(), fmt.Sprintf("out-%d-%d", len(failureDomains), base), base, probeMoves, changed) {
			return true
		}
	}
	return false
}

// repartition changes the first pool to a layout of three shards, one target
// after the other.
func repartition(cell *cell, _ standin.Traffic) {
	for index, repartitioned := range cell.tier.Targets()[:6] {
		repartitioned.Change(func(announcement *target.Announcement) {
			announcement.Layout, announcement.Shards, announcement.Shard = "layout-2", 3, index%3
		})
		_ = repartitioned.Announce(cell.ctx, cell.tier.Entries()[index%3].Settings().HTTPAddress)
		time.Sleep(100 * time.Millisecond)
	}
}

// changeIndex rolls out a new index version, one target after the other. One
// target in three drops the old version at once; the others serve both first.
func changeIndex(cell *cell, _ standin.Traffic) {
	for _, rolloutVersions := range [][]uint64{{1, 2}, {2}} {
		for index, changed := range cell.tier.Targets()[:6] {
			versions := rolloutVersions
			if index%3 == 0 {
				versions = []uint64{2}
			}
			changed.Change(func(announcement *target.Announcement) { announcement.IndexVersions = versions })
			_ = changed.Announce(cell.ctx, cell.tier.Entries()[index%3].Settings().HTTPAddress)
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// oneWayCut holds back everything sent in the direction of the traffic for cutDuration. A cut
// between a caller and an entry tests nothing of the system, so the direction
// from an entry to control is cut instead.
func oneWayCut(cell *cell, traffic standin.Traffic) {
	to, _, err := net.SplitHostPort(traffic.To)
	from := traffic.From
	if err != nil || endpointOf(from, "90") == clientEndpoint || endpointOf(to, "90") == clientEndpoint {
		from, to = cell.tier.Entries()[0].IP(), cell.leader.IP()
	}
	cell.network.Cut(from, to)
	time.Sleep(cutDuration)
	cell.network.Heal(from, to)
}

// corrupt returns a fault that applies change to every second answer of a target.
// The change also gets the previous answer, unchanged.
func corrupt(change func(result *target.Result, previous target.Result)) func(cell *cell, traffic standin.Traffic) {
	return func(cell *cell, traffic standin.Traffic) {
		results, previous := 0, target.Result{}
		cell.affectedTarget(traffic).Behave(func(behaviour *standin.Behaviour) {
			behaviour.Corrupt = func(result *target.Result) {
				cell.lock.Lock()
				defer cell.lock.Unlock()
				results++
				original := *result
				if results%2 == 0 {
					change(result, previous)
				}
				previous = original
			}
		})
	}
}
