package rollout_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/rollout"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	poolName = "p"
	grantFor = time.Second
	// callSpan is the time of a report to control and of its reply.
	callSpan = 30 * time.Millisecond
	// sometime is longer than several reports take.
	sometime = 2 * time.Second
)

var errLost = errors.New("lost")

type (
	// leader is a control that grants up to a share of the requests and keeps count as control does:
	// sends reported, and grants of the latest report of each entry that have not expired.
	leader struct {
		share float64
		// silent makes all reports get lost, and loses each report and each reply with a probability.
		silent atomic.Bool
		// delay is added to the time of a reply.
		delay time.Duration
		loses float64

		lock    sync.Mutex
		phase   operator.RolloutPhase
		started time.Time
		reports map[string]control.PoolRolloutReport
		granted map[string]grant
		calls   int
		// fixed is the number of grants in each reply, if it is not zero.
		fixed int
	}

	grant struct {
		count int
		until time.Time
	}

	entry struct {
		board   blackboard.Board
		tracker *rollout.Tracker
		// stop ends the reports.
		stop func()
	}
)

func newLeader(share float64) *leader {
	return &leader{share: share, phase: operator.PhaseTrial, started: time.Now(), reports: map[string]control.PoolRolloutReport{}, granted: map[string]grant{}}
}

// ReportRollouts implements rollout.Reporter.
func (leader *leader) ReportRollouts(_ context.Context, report *control.RolloutReport) (*control.RolloutGrants, error) {
	time.Sleep(callSpan / 2)
	if leader.silent.Load() || rand.Float64() < leader.loses {
		return nil, errLost
	}
	reply := leader.reply(report)
	time.Sleep(callSpan/2 + leader.delay)
	if rand.Float64() < leader.loses {
		return nil, errLost
	}
	return reply, nil
}

func (leader *leader) reply(report *control.RolloutReport) *control.RolloutGrants {
	leader.lock.Lock()
	defer leader.lock.Unlock()
	leader.calls++
	leader.reports[report.Entry] = report.Pools[0]
	now := time.Now()
	delete(leader.granted, report.Entry)
	allowed := 0.0
	for _, latest := range leader.reports {
		allowed += leader.share*float64(latest.Requests) - float64(latest.Sent)
	}
	for _, outstanding := range leader.granted {
		if now.Before(outstanding.until) {
			allowed -= float64(outstanding.count)
		}
	}
	count := max(0, int(allowed))
	if leader.fixed > 0 {
		count = leader.fixed
	}
	leader.granted[report.Entry] = grant{count: count, until: now.Add(grantFor)}
	return &control.RolloutGrants{Pools: []control.PoolRolloutGrants{{Pool: poolName, StartedAt: leader.started, Phase: leader.phase, Grants: count, ValidFor: grantFor}}}
}

// latest returns the latest report of the entry e and the number of reports.
func (leader *leader) latest() (control.PoolRolloutReport, int) {
	leader.lock.Lock()
	defer leader.lock.Unlock()
	return leader.reports["e"], leader.calls
}

func (leader *leader) setPhase(phase operator.RolloutPhase) {
	leader.lock.Lock()
	defer leader.lock.Unlock()
	leader.phase = phase
}

// order returns tables with one rollout.
func order(release string, phase operator.RolloutPhase, started time.Time) *operator.Tables {
	return &operator.Tables{Rollouts: []operator.Rollout{{Pool: poolName, Release: release, Phase: phase, StartedAt: started}}}
}

// newEntry returns an entry with a lease and tables of version 1.
func newEntry(t *testing.T, name string, client rollout.Reporter, tables *operator.Tables) *entry {
	t.Helper()
	entry := new(entry)
	entry.board.InForce().Replace(1, tables)
	entry.board.InForce().Renew(time.Now().Add(time.Hour))
	entry.tracker = rollout.New(name, 1, &entry.board, client, zap.NewNop(), metrics.New())
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { entry.tracker.Run(ctx) })
	entry.stop = func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(entry.stop)
	return entry
}

// send sends a request as the dispatcher does, and returns the release that it went to.
func (entry *entry) send() string {
	admission := entry.tracker.Begin(poolName, "r")
	release := "v1"
	if class := admission.Class("v2", true); class == rollout.Preferred && admission.Spend("v2", class) {
		release = "v2"
	} else if !admission.Spend("v1", rollout.Usual) {
		return ""
	}
	admission.Sent(release)
	admission.Observe("t-"+release, release, "domain", false, 5*time.Millisecond, false)
	return release
}

func (entry *entry) expectClass(t *testing.T, release string, first bool, want rollout.Class) {
	t.Helper()
	if got := entry.tracker.Begin(poolName, "r").Class(release, first); got != want {
		t.Errorf("the class of %s is %d, not %d", release, got, want)
	}
}

// Guards against a new release that gets more than control granted, summed over entries, because of
// lost reports, lost replies, or grants that are counted on both sides.
func TestEntriesTogetherStayWithinTheirGrants(t *testing.T) {
	for _, lost := range []float64{0, 0.3} {
		bubble.Test(t, func(t *testing.T) {
			const share = 0.1
			leader := newLeader(share)
			random := rand.New(rand.NewPCG(1, 2))
			leader.loses = lost
			var entries []*entry
			for number := range 5 {
				entries = append(entries, newEntry(t, fmt.Sprint(number), leader, order("v2", operator.PhaseTrial, leader.started)))
			}
			sent, all := 0, 0
			for range 20000 {
				time.Sleep(time.Millisecond)
				// Half of the requests arrive at one entry.
				if entries[random.IntN(len(entries))*random.IntN(2)].send() == "v2" {
					sent++
				}
				if all++; float64(sent) > share*float64(all) {
					t.Fatalf("%d of %d requests went to the new release", sent, all)
				}
			}
			if want := int(share * float64(all) / 4); lost == 0 && sent < want {
				t.Errorf("%d of %d requests went to the new release, at least %d were expected", sent, all, want)
			}
		})
	}
}

// awaitGrant sends a request, so that the entry reports, and waits for a grant.
func (entry *entry) awaitGrant(t *testing.T) {
	t.Helper()
	entry.send()
	for end := time.Now().Add(sometime); entry.tracker.Begin(poolName, "r").Class("v2", true) != rollout.Preferred; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the entry got no grant")
		}
	}
}

// Guards against a grant that is spent after control has counted it as expired, by an entry that was
// frozen or whose reply was on its way for long.
func TestGrantExpires(t *testing.T) {
	for _, delay := range []time.Duration{0, 900 * time.Millisecond} {
		bubble.Test(t, func(t *testing.T) {
			leader := newLeader(0)
			leader.fixed, leader.delay = 5, delay
			entry := newEntry(t, "e", leader, order("v2", operator.PhaseTrial, leader.started))
			entry.awaitGrant(t)
			entry.stop()
			if release := entry.send(); release != "v2" {
				t.Errorf("a request with a grant went to %s", release)
			}
			time.Sleep(grantFor - delay)
			entry.expectClass(t, "v2", true, rollout.Excluded)
			if entry.tracker.Begin(poolName, "r").Spend("v2", rollout.Preferred) {
				t.Error("a grant that had expired was spent")
			}
		})
	}
}

// Guards against grants that an entry still spends after a report whose reply was lost: control counts
// those of that reply alone, and a new leader none.
func TestReportReturnsTheGrants(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		leader := newLeader(0)
		leader.fixed = 5
		entry := newEntry(t, "e", leader, order("v2", operator.PhaseTrial, leader.started))
		entry.awaitGrant(t)
		leader.silent.Store(true)
		time.Sleep(grantFor / 2)
		entry.expectClass(t, "v2", true, rollout.Excluded)
	})
}

// Guards against hedges and retries that go to the new release in a trial.
func TestOnlyTheFirstAttemptGoesToTheNewRelease(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		leader := newLeader(0)
		leader.fixed = 5
		entry := newEntry(t, "e", leader, order("v2", operator.PhaseTrial, leader.started))
		entry.awaitGrant(t)
		entry.expectClass(t, "v2", false, rollout.Excluded)
		entry.expectClass(t, "v1", false, rollout.Usual)
	})
}

// Guards against an entry that spends grants while it doesn't follow control, and against one that
// refuses all requests after a rollout was completed without it.
func TestEntryWithoutLeaseSpendsNoGrant(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		leader := newLeader(0)
		leader.fixed = 5
		entry := newEntry(t, "e", leader, order("v2", operator.PhaseTrial, leader.started))
		entry.board.InForce().Renew(time.Now().Add(time.Hour + time.Second/2))
		time.Sleep(time.Hour)
		entry.awaitGrant(t)
		admission := entry.tracker.Begin(poolName, "r")
		for !entry.board.InForce().Fenced() {
			time.Sleep(time.Millisecond)
		}
		if admission.Spend("v2", rollout.Preferred) {
			t.Error("a grant was spent without a lease")
		}
		entry.expectClass(t, "v2", true, rollout.LastResort)
		if !admission.Spend("v2", rollout.LastResort) {
			t.Error("the new release may not be used although no other is left")
		}
	})
}

// Guards against requests to targets that are stopped after a rollout was completed, for as long as
// their records last.
func TestCompletedLeavesOutOtherReleases(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		start := time.Now()
		entry := newEntry(t, "e", newLeader(0), order("v2", operator.PhaseShift, start))
		entry.expectClass(t, "v2", true, rollout.Preferred)
		entry.expectClass(t, "v1", true, rollout.Usual)
		chosen := entry.tracker.Begin(poolName, "r")
		entry.board.InForce().Replace(2, order("v2", operator.PhaseCompleted, start))
		// Control's report loop learns of it, not only the next request.
		time.Sleep(sometime)
		if chosen.Spend("v1", rollout.Usual) {
			t.Error("a request that was to go to the old release before was sent there")
		}
		entry.expectClass(t, "v1", true, rollout.LastResort)
		entry.expectClass(t, "v2", true, rollout.Usual)
		// The next order doesn't bring the stopped targets back.
		entry.board.InForce().Replace(3, order("v3", operator.PhaseTrial, start.Add(time.Second)))
		entry.expectClass(t, "v1", true, rollout.LastResort)
		entry.expectClass(t, "v2", true, rollout.Usual)
		entry.expectClass(t, "v3", true, rollout.Excluded)
		time.Sleep(31 * time.Second)
		entry.expectClass(t, "v1", true, rollout.Usual)
	})
}

// Guards against a rolled-back release that gets requests later, also while another is in trial, and
// against one that stays left out although it is ordered again.
func TestRolledBackStaysOutUntilOrdered(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		start := time.Now()
		entry := newEntry(t, "e", newLeader(0), order("v2", operator.PhaseRolledBack, start))
		entry.expectClass(t, "v2", true, rollout.Excluded)
		time.Sleep(time.Hour)
		entry.expectClass(t, "v2", true, rollout.Excluded)
		// The clock of the leader that accepted this order is behind.
		entry.board.InForce().Replace(2, order("v3", operator.PhaseTrial, start.Add(-time.Second)))
		entry.expectClass(t, "v2", true, rollout.Excluded)
		if entry.tracker.Begin(poolName, "r").Spend("v2", rollout.Usual) {
			t.Error("the rolled-back release was used")
		}
		entry.board.InForce().Replace(3, order("v2", operator.PhaseShift, start.Add(time.Second)))
		entry.expectClass(t, "v2", true, rollout.Preferred)
	})
}

// Guards against evidence and counts that are gone with a lost report.
func TestLostReportLosesNothing(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		leader := newLeader(0)
		leader.silent.Store(true)
		entry := newEntry(t, "e", leader, order("v2", operator.PhaseTrial, leader.started))
		for range 10 {
			entry.send()
			time.Sleep(100 * time.Millisecond)
		}
		leader.silent.Store(false)
		time.Sleep(sometime)
		report, _ := leader.latest()
		if report.Requests != 10 || len(report.Evidence.Cells) != 1 || report.Evidence.Cells[0].Answers != 10 || report.Evidence.Cells[0].New {
			t.Errorf("10 requests were sent, but the report is %+v", report)
		}
	})
}

// Guards against an entry that follows a phase only with its next lease, or goes back to an earlier
// phase that older tables or a late reply name.
func TestReplyBringsThePhaseForward(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		leader := newLeader(0)
		entry := newEntry(t, "e", leader, order("v2", operator.PhaseTrial, leader.started))
		entry.send()
		time.Sleep(sometime)
		leader.setPhase(operator.PhaseRolledBack)
		time.Sleep(sometime)
		entry.expectClass(t, "v2", true, rollout.Excluded)
		if entry.tracker.Begin(poolName, "r").Spend("v2", rollout.Preferred) {
			t.Error("the new release was used after it was rolled back")
		}
		leader.setPhase(operator.PhaseShift)
		entry.board.InForce().Replace(2, order("v2", operator.PhaseShift, leader.started))
		time.Sleep(sometime)
		entry.expectClass(t, "v2", true, rollout.Excluded)
	})
}

// Guards against a reply that is about an earlier rollout of the pool.
func TestReplyOfAnotherRolloutIsIgnored(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		leader := newLeader(0)
		leader.fixed = 5
		entry := newEntry(t, "e", leader, order("v2", operator.PhaseTrial, leader.started.Add(time.Second)))
		entry.send()
		leader.setPhase(operator.PhaseCompleted)
		time.Sleep(sometime)
		entry.expectClass(t, "v2", true, rollout.Excluded)
		entry.expectClass(t, "v1", true, rollout.Usual)
	})
}

// Guards against reports of entries that have sent nothing, of rollouts that are over, and of pools
// that have none.
func TestReportsOnlyWhatIsInProgress(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		leader := newLeader(0)
		entry := newEntry(t, "e", leader, &operator.Tables{})
		if entry.tracker.Begin(poolName, "r") != nil {
			t.Error("a pool without a rollout has one")
		}
		expectNoReport := func() {
			t.Helper()
			_, before := leader.latest()
			time.Sleep(sometime)
			if _, after := leader.latest(); after != before {
				t.Errorf("%d reports", after-before)
			}
		}
		expectNoReport()
		entry.board.InForce().Replace(2, order("v2", operator.PhaseTrial, leader.started))
		expectNoReport()
		entry.send()
		time.Sleep(sometime)
		if _, calls := leader.latest(); calls < 6 || calls > 10 {
			t.Errorf("%d reports in %s", calls, sometime)
		}
		entry.board.InForce().Replace(3, order("v2", operator.PhaseCompleted, leader.started))
		time.Sleep(callSpan)
		expectNoReport()
	})
}

// Guards against a slow release whose answers are never seen because callers give up before them, and
// against one that is blamed for callers who leave early.
func TestLongUnansweredAttemptIsALatency(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		leader := newLeader(0)
		entry := newEntry(t, "e", leader, order("v2", operator.PhaseTrial, leader.started))
		entry.send()
		admission := entry.tracker.Begin(poolName, "r")
		admission.Unanswered("t-v2", "v2", "domain", false, 14*time.Millisecond)
		admission.Unanswered("t-v2", "v2", "domain", false, 16*time.Millisecond)
		admission.Unanswered("t-v2", "v2", "far", false, time.Second)
		admission.Observe("t-v2", "v2", "domain", true, time.Second, false)
		admission.Observe("t-v2", "v2", "domain", false, time.Second, true)
		time.Sleep(sometime)
		report, _ := leader.latest()
		if len(report.Evidence.Cells) != 2 {
			t.Fatalf("the evidence is %+v", report.Evidence)
		}
		cell := report.Evidence.Cells[1]
		// 16 ms is the upper bound of bucket 8: 1 ms times the square root of two to the eighth power.
		if !cell.New || cell.Answers != 3 || cell.Failures != 1 || cell.Latencies[8] != 1 {
			t.Errorf("the evidence of the new release is %+v", cell)
		}
		total := uint32(0)
		for _, count := range cell.Latencies {
			total += count
		}
		if total != 1 {
			t.Errorf("%d latencies were counted, one was expected: a cold target and a failure have none", total)
		}
	})
}

// Guards against a process without the setting that runs any of this.
func TestNilTrackerKnowsNoRollout(t *testing.T) {
	var tracker *rollout.Tracker
	admission := tracker.Begin(poolName, "r")
	if admission != nil || admission.Class("v2", true) != rollout.Usual || !admission.Spend("v2", rollout.Usual) || admission.Names("v2") {
		t.Error("a rollout is known without a tracker")
	}
}
