package httptarget

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
)

const (
	historyRegistries = 3
	historyTargets    = 2
	// callSpan is how long a target waits for the answer to a call before it calls the next registry.
	callSpan = time.Second
	// maximumPingDelay is how late an announcement may arrive.
	maximumPingDelay = 4 * time.Second
	// maximumCalmChanges is how many changes registries may publish in a minute in which targets only announce themselves.
	// Those of which announcements are late may become silent in between.
	maximumCalmChanges = 100
	// sampleInterval is the interval at which the entries are looked at.
	sampleInterval = 100 * time.Millisecond
)

type (
	// history is what targets and faults do in one generated run.
	history struct {
		seed   uint64
		boots  [historyTargets][]plannedBoot
		faults []plannedFault
		// entriesAt holds when further entries start.
		entriesAt []time.Duration
	}

	// plannedBoot is a start of a target, which announces itself for a while, ends and serves on.
	plannedBoot struct {
		pingsTo, endsAt int
		pingsFor, gap   time.Duration
		// latePings is the share of announcements, in percent, that are late.
		latePings int
	}

	// plannedFault is a time in which a registry is down, some time after the fault before.
	plannedFault struct {
		node           int
		after, downFor time.Duration
		losesDisk      bool
	}

	// historyRun runs a history on a cluster and checks it.
	historyRun struct {
		cluster *cluster

		lock   sync.Mutex
		random *rand.Rand
		// acknowledgedAt holds when the end of each start was acknowledged, and running the current start
		// of each target that hasn't ended.
		acknowledgedAt map[string]map[int64]time.Time
		running        map[string]int64
		// announced holds the newest announcement of each target that a registry has taken.
		announced map[string]takenAnnouncement
		failures  []string
	}

	takenAnnouncement struct {
		startedAt int64
		revision  uint64
		at        time.Time
	}
)

func init() {
	// Run the same cases every time, unless flags on the command line override them.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "25", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func drawHistory(t *rapid.T) *history {
	span := func(name string, from, to time.Duration) time.Duration {
		return time.Duration(rapid.Int64Range(int64(from/time.Millisecond), int64(to/time.Millisecond)).Draw(t, name)) * time.Millisecond
	}
	node := func(name string) int { return rapid.IntRange(0, historyRegistries-1).Draw(t, name) }
	drawn := &history{seed: rapid.Uint64().Draw(t, "seed")}
	for target := range drawn.boots {
		for range rapid.IntRange(1, 4).Draw(t, "boots") {
			drawn.boots[target] = append(drawn.boots[target], plannedBoot{
				pingsTo: node("pings to"), endsAt: node("ends at"), latePings: rapid.SampledFrom([]int{0, 20, 60}).Draw(t, "late"),
				pingsFor: span("pings for", 0, 9*time.Second), gap: span("gap", 200*time.Millisecond, 5*time.Second),
			})
		}
	}
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		drawn.faults = append(drawn.faults, plannedFault{
			node: node("node"), losesDisk: rapid.Bool().Draw(t, "loses disk"),
			after: span("after", time.Second, 12*time.Second), downFor: span("down", 200*time.Millisecond, 9*time.Second),
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "entries") {
		drawn.entriesAt = append(drawn.entriesAt, span("entry", 0, 20*time.Second))
	}
	slices.Sort(drawn.entriesAt)
	return drawn
}

// Guards against entries that disagree on which start of a target has ended, with any order and delay of announcements
// and ends, registries that restart with or without their disk, and entries that start at any moment.
func TestAllEntriesAgreeOnEndedStarts(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		drawn := drawHistory(rapidT)
		var failures []string
		bubble.Test(t, func(t *testing.T) { failures = runHistory(t, drawn) })
		if len(failures) > 0 {
			rapidT.Fatalf("%+v: %s", *drawn, strings.Join(failures, "\n"))
		}
	})
}

func runHistory(t *testing.T, drawn *history) []string {
	t.Helper()
	run := &historyRun{cluster: newCluster(t, historyRegistries), random: rand.New(rand.NewPCG(drawn.seed, 1)), acknowledgedAt: map[string]map[int64]time.Time{}, running: map[string]int64{}, announced: map[string]takenAnnouncement{}}
	defer run.cluster.close()
	ctx, cancel := context.WithCancel(context.Background())
	var targets, disturbances sync.WaitGroup
	for number, boots := range drawn.boots {
		targets.Go(func() { run.runTarget(ctx, fmt.Sprint("t", number), fmt.Sprintf("10.0.2.%d:80", number+1), boots) })
	}
	disturbances.Go(func() { run.runFaults(drawn.faults) })
	disturbances.Go(func() {
		startedAt := time.Now()
		for _, at := range drawn.entriesAt {
			time.Sleep(time.Until(startedAt.Add(at)))
			run.cluster.startEntry()
		}
	})
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		for ctx.Err() == nil {
			run.checkEnded()
			time.Sleep(sampleInterval)
		}
	}()
	disturbances.Wait()
	// Each target's last start begins within this span and goes on announcing itself.
	time.Sleep(4 * (9*time.Second + drainSpan + 5*time.Second + 12*callSpan))
	for range 2 {
		run.checkAgreement()
		revisions := run.cluster.revisions()
		// A minute later the ends are forgotten.
		time.Sleep(retentionSpan + maximumPingDelay + clusterSettleSpan)
		if published := run.cluster.revisions() - revisions; published > maximumCalmChanges {
			run.failures = append(run.failures, fmt.Sprintf("%d changes were published although nothing has changed", published))
		}
	}
	run.checkAgreement()
	cancel()
	targets.Wait()
	<-sampled
	time.Sleep(maximumPingDelay)
	return run.failures
}

// runTarget runs the starts of a target one after the other, and the last one until ctx ends.
func (run *historyRun) runTarget(ctx context.Context, id, address string, boots []plannedBoot) {
	for number, boot := range boots {
		startedAt := int64(1000 * (number + 1))
		record := announcedRecord(id, address, startedAt, 0, StateReady)
		run.setRunning(id, startedAt)
		node := boot.pingsTo
		isLast := number == len(boots)-1
		for until := time.Now().Add(boot.pingsFor); isLast && ctx.Err() == nil || time.Now().Before(until); {
			record.Revision++
			node = run.ping(record, node, boot.latePings)
			time.Sleep(pingInterval)
		}
		if isLast {
			return
		}
		run.setRunning(id, 0)
		run.end(id, startedAt, boot.endsAt)
		time.Sleep(drainSpan + boot.gap)
	}
}

// ping announces a target at a registry, and at the next ones if it fails there. Some announcements are delayed. It returns
// the registry to begin with at the next time.
func (run *historyRun) ping(record Record, node, latePercent int) int {
	run.lock.Lock()
	isLate, delay := run.random.IntN(100) < latePercent, time.Duration(run.random.Int64N(int64(maximumPingDelay)))
	run.lock.Unlock()
	announce := func(ctx context.Context, api *AnnouncementAPI) error {
		err := api.Announce(ctx, &record)
		if err == nil {
			run.setAnnounced(&record)
		}
		return err
	}
	if isLate {
		go func() {
			time.Sleep(delay)
			_ = run.call(node, announce)
		}()
		return node
	}
	for range historyRegistries {
		if run.call(node, announce) == nil {
			return node
		}
		node = (node + 1) % historyRegistries
	}
	return node
}

// end sends the end of a start to the registries in turn until one acknowledges it. Some starts leave without.
func (run *historyRun) end(id string, startedAt int64, node int) {
	for range 12 {
		if run.call(node, func(ctx context.Context, api *AnnouncementAPI) error { return api.Remove(ctx, id) }) == nil {
			run.lock.Lock()
			defer run.lock.Unlock()
			if run.acknowledgedAt[id] == nil {
				run.acknowledgedAt[id] = map[int64]time.Time{}
			}
			run.acknowledgedAt[id][startedAt] = time.Now()
			return
		}
		node = (node + 1) % historyRegistries
		time.Sleep(200 * time.Millisecond)
	}
}

// call calls the process of a registry, and fails if it is down.
func (run *historyRun) call(node int, request func(ctx context.Context, api *AnnouncementAPI) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), callSpan)
	defer cancel()
	api := run.cluster.nodes[node].runningAPI()
	if api == nil {
		return context.Canceled
	}
	return request(ctx, api)
}

func (run *historyRun) setRunning(id string, startedAt int64) {
	run.lock.Lock()
	defer run.lock.Unlock()
	run.running[id] = startedAt
}

// setAnnounced stores an announcement that a registry has taken, unless a newer one is stored.
func (run *historyRun) setAnnounced(record *Record) {
	run.lock.Lock()
	defer run.lock.Unlock()
	newest := run.announced[record.ID]
	if record.StartedAt > newest.startedAt || record.StartedAt == newest.startedAt && record.Revision > newest.revision {
		run.announced[record.ID] = takenAnnouncement{startedAt: record.StartedAt, revision: record.Revision, at: time.Now()}
	}
}

// awaitAnnouncements waits until no running start is silent because all its announcements of some seconds are late, and entries
// have learned that.
func (run *historyRun) awaitAnnouncements() {
	for !run.allAnnounced() {
		time.Sleep(sampleInterval)
	}
}

func (run *historyRun) allAnnounced() bool {
	run.lock.Lock()
	defer run.lock.Unlock()
	for id, startedAt := range run.running {
		newest := run.announced[id]
		if age := time.Since(newest.at); newest.startedAt == startedAt && (age < learnSpan || age >= SilenceSpan) {
			return false
		}
	}
	return true
}

func (run *historyRun) runFaults(faults []plannedFault) {
	for _, fault := range faults {
		time.Sleep(fault.after)
		node := run.cluster.nodes[fault.node]
		node.kill()
		if fault.losesDisk {
			node.wipe()
		}
		time.Sleep(fault.downFor)
		node.start()
		time.Sleep(clusterSettleSpan)
	}
}

// checkEnded checks that no entry uses a start later than the drain span after its end was acknowledged.
func (run *historyRun) checkEnded() {
	run.lock.Lock()
	defer run.lock.Unlock()
	for id, starts := range run.acknowledgedAt {
		for startedAt, acknowledgedAt := range starts {
			if time.Since(acknowledgedAt) <= drainSpan {
				continue
			}
			for number, entry := range run.cluster.runningEntries() {
				if entry.uses(id, startedAt) {
					run.failures = append(run.failures, fmt.Sprintf("entry %d uses start %d of %s %s after its end", number, startedAt, id, time.Since(acknowledgedAt)))
					delete(starts, startedAt)
				}
			}
		}
	}
}

// checkAgreement checks that each entry uses the running starts and nothing else.
func (run *historyRun) checkAgreement() {
	run.awaitAnnouncements()
	run.lock.Lock()
	defer run.lock.Unlock()
	for number, entry := range run.cluster.runningEntries() {
		for id, startedAt := range run.running {
			if !entry.uses(id, startedAt) {
				run.failures = append(run.failures, fmt.Sprintf("entry %d doesn't use start %d of %s, which runs", number, startedAt, id))
			}
		}
		if used := usableIDs(entry.directory); len(used) > len(run.running) {
			run.failures = append(run.failures, fmt.Sprintf("entry %d uses %v", number, used))
		}
	}
}
