package httpcaller_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	oldRelease = "v1"
	newRelease = "v2"
	// learnSpan is longer than an entry takes to learn of new targets or of the end of old ones.
	learnSpan = 500 * time.Millisecond
)

// grantor is a control that grants a fixed number of sends in each reply.
type grantor struct {
	started time.Time
	grants  int

	lock    sync.Mutex
	latest  map[string]control.PoolRolloutReport
	granted int
}

func newGrantor(grants int) *grantor {
	return &grantor{started: time.Now(), grants: grants, latest: map[string]control.PoolRolloutReport{}}
}

// ReportRollouts implements rollout.Reporter.
func (grantor *grantor) ReportRollouts(_ context.Context, report *control.RolloutReport) (*control.RolloutGrants, error) {
	grantor.lock.Lock()
	defer grantor.lock.Unlock()
	grantor.latest[report.Entry] = report.Pools[0]
	grantor.granted += grantor.grants
	return &control.RolloutGrants{Pools: []control.PoolRolloutGrants{{
		Pool: "p", StartedAt: grantor.started, Phase: operator.PhaseTrial, Grants: grantor.grants, ValidFor: time.Second,
	}}}, nil
}

// totals returns the sums of the latest reports of all entries, and the number of grants.
func (grantor *grantor) totals() (total control.PoolRolloutReport, granted int) {
	grantor.lock.Lock()
	defer grantor.lock.Unlock()
	for _, report := range grantor.latest {
		total.Requests += report.Requests
		total.Sent += report.Sent
		total.Evidence.Cells = append(total.Evidence.Cells, report.Evidence.Cells...)
	}
	return total, grantor.granted
}

// setPhase puts tables with a rollout of the new release in force at all entries.
func (fleet *fleet) setPhase(phase operator.RolloutPhase) {
	tables := *fleet.tables
	tables.Rollouts = []operator.Rollout{{Pool: "p", Release: newRelease, Phase: phase, StartedAt: fleet.reporter.(*grantor).started, Duration: duration.Of(time.Minute)}}
	for _, entry := range fleet.entries {
		entry.board.InForce().Replace(2, &tables)
	}
}

// arrivals returns how many requests each target got from a time on.
func (fleet *fleet) arrivals(from time.Time) []int {
	var counts []int
	for _, target := range fleet.targets {
		counts = append(counts, target.arrivalsBetween(from, time.Now().Add(time.Second)))
	}
	return counts
}

func expectArrivals(t *testing.T, got []int, want func(got []int) bool, text string) {
	t.Helper()
	if !want(got) {
		t.Errorf("the targets got %v requests: %s", got, text)
	}
}

func countOf(cells []policy.RolloutCell, isNew bool) (answers, failures uint64) {
	for _, cell := range cells {
		if cell.New == isNew {
			answers, failures = answers+cell.Answers, failures+cell.Failures
		}
	}
	return answers, failures
}

// Guards against a bad release in trial that gets more than was granted, because its failures are
// retried or hedged there, and against callers that see its failures although the old one has room.
func TestTrialSpendsOneGrantForEachSend(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		control := newGrantor(2)
		fleet := newFleetOfReleases(t, 3, []string{oldRelease, oldRelease, newRelease, newRelease}, control)
		fleet.targets[2].setFault(standin.ReleaseFault{FailureShare: 1})
		fleet.targets[3].setFault(standin.ReleaseFault{SlowShare: 1, SlowFactor: 20})
		fleet.setPhase(operator.PhaseTrial)
		ordered := time.Now()
		statuses := fleet.loadAll(1, 10*time.Second, 80, 40, 4)
		time.Sleep(time.Second)
		arrivals := fleet.arrivals(ordered)
		total, granted := control.totals()
		sent := arrivals[2] + arrivals[3]
		if sent == 0 || sent > granted || uint64(sent) != total.Sent {
			t.Errorf("the new release got %d requests, %d were granted and %d reported", sent, granted, total.Sent)
		}
		if all := uint64(sent + arrivals[0] + arrivals[1]); all != total.Requests {
			t.Errorf("%d requests reached the pool, %d were reported", all, total.Requests)
		}
		if answers, failures := countOf(total.Evidence.Cells, true); failures != uint64(arrivals[2]) || answers <= failures {
			t.Errorf("the evidence of the new release has %d answers and %d failures; one target failed %d times, the other is slow", answers, failures, arrivals[2])
		}
		if _, failures := countOf(total.Evidence.Cells, false); failures > 0 {
			t.Errorf("%d failures count against the old release", failures)
		}
		if statuses[200] == 0 || len(statuses) > 1 {
			t.Errorf("callers got %v", statuses)
		}
	})
}

// Guards against requests to the new release that have no grant, where no old target is left.
func TestTrialRefusesWhatHasNoGrant(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleetOfReleases(t, 1, []string{newRelease}, newGrantor(0))
		fleet.setPhase(operator.PhaseTrial)
		ordered := time.Now()
		if statuses := fleet.loadAll(1, time.Second, 40); statuses[503] == 0 || len(statuses) > 1 {
			t.Errorf("callers got %v", statuses)
		}
		expectArrivals(t, fleet.arrivals(ordered), func(got []int) bool { return got[0] == 0 }, "none was granted")
	})
}

// Guards against old targets that are still used in a shift, which may stop at any time after it, and
// against callers that are refused although only the new targets are gone.
func TestShiftUsesOldTargetsOnlyWithoutNewOnes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleetOfReleases(t, 2, []string{oldRelease, oldRelease, newRelease}, newGrantor(0))
		fleet.setPhase(operator.PhaseShift)
		shifted := time.Now()
		fleet.loadAll(1, 3*time.Second, 40, 10)
		expectArrivals(t, fleet.arrivals(shifted), func(got []int) bool { return got[0]+got[1] == 0 && got[2] > 100 }, "all belong to the third")
		fleet.network.Down(fleet.targets[2].ip)
		if err := fleet.endTarget("target-3"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(learnSpan)
		if statuses := fleet.loadAll(2, time.Second, 40); statuses[200] == 0 || len(statuses) > 1 {
			t.Errorf("without new targets callers got %v", statuses)
		}
	})
}

// Guards against requests to old targets after a rollout was completed, when these are stopped, also
// while the new ones pause.
func TestCompletedUsesNoOldTarget(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleetOfReleases(t, 2, []string{oldRelease, newRelease}, newGrantor(0))
		fleet.setPhase(operator.PhaseCompleted)
		completed := time.Now()
		fleet.loadAll(1, time.Second, 40, 10)
		fleet.targets[1].setPause("2")
		fleet.loadAll(2, time.Second, 40, 10)
		expectArrivals(t, fleet.arrivals(completed), func(got []int) bool { return got[0] == 0 && got[1] > 20 }, "all belong to the second")
		if err := fleet.endTarget("target-2"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(learnSpan)
		if statuses := fleet.loadAll(3, time.Second, 40); statuses[200] == 0 || len(statuses) > 1 {
			t.Errorf("without new targets callers got %v", statuses)
		}
	})
}

// Guards against a rolled-back release that is used once more, be it as the last one, for a request that
// waits for its hedge, or for a part of a gathered query.
func TestRolledBackGetsNothing(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleetOfReleases(t, 2, []string{oldRelease, newRelease}, newGrantor(0))
		search := ordersRoute()
		search.Kind, search.Pool, search.HTTP.PathPrefix = "search", "", "/search/"
		search.HTTP.Gather = &operator.Gather{Pools: []string{"p"}, Top: 1, MinimumCoverage: 0.1}
		search.HTTP.Timeout, search.HTTP.TargetLatency = duration.Of(fleetDeadline), duration.Of(fleetDeadline/4)
		fleet.tables.Routes = append(fleet.tables.Routes, search)
		fleet.setPhase(operator.PhaseRolledBack)
		rolledBack := time.Now()
		fleet.loadPath(1, time.Second, "/search/1", 40, 10)
		fleet.targets[0].setFault(standin.ReleaseFault{FailureShare: 0.5})
		fleet.loadAll(1, time.Second, 40, 10)
		fleet.network.Down(fleet.targets[0].ip)
		if statuses := fleet.loadAll(2, time.Second, 40, 10); statuses[200] > 0 {
			t.Errorf("callers got %v", statuses)
		}
		expectArrivals(t, fleet.arrivals(rolledBack), func(got []int) bool { return got[0] > 60 && got[1] == 0 }, "all belong to the first")
	})
}

// Guards against a release that gets requests between the start of its targets and the order for it,
// and against callers that are refused because only it is left.
func TestReleaseWithoutAnOrderWaits(t *testing.T) {
	const held = 3 * time.Second
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleetOfReleases(t, 2, []string{oldRelease}, newGrantor(0))
		// The old target is so slow that the new one is preferred as soon as it may be used.
		fleet.targets[0].setFault(standin.ReleaseFault{SlowShare: 1, SlowFactor: 10})
		time.Sleep(2 * held)
		appeared := time.Now()
		fleet.addTarget(t, 1, newRelease)
		fleet.loadAll(1, held, 60, 20)
		if early := fleet.targets[1].arrivalsBetween(appeared, appeared.Add(held)); early > 0 {
			t.Errorf("the new release got %d requests in the first %s", early, held)
		}
		fleet.loadAll(2, time.Second, 60, 20)
		expectArrivals(t, fleet.arrivals(appeared), func(got []int) bool { return got[1] > 10 }, "the second is used after it was held")
		fleet.addTarget(t, 2, "v3")
		for number, release := range []string{oldRelease, newRelease} {
			if err := fleet.registry.Announce(httptarget.Record{
				ID: fmt.Sprint("target-", number+1), Pool: "p", Address: fleet.targets[number].ip + ":80", FailureDomain: "nord-a", Release: release,
				Slots: 4, State: httptarget.StateLeaving, StartedAt: 1, Revision: 2,
			}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(learnSpan)
		if statuses := fleet.loadAll(3, time.Second, 60, 20); statuses[200] == 0 || len(statuses) > 1 {
			t.Errorf("callers got %v although a target is left", statuses)
		}
	})
}

// Guards against a release that waits although rollouts are turned off.
func TestReleaseDoesNotWaitWithoutRollouts(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleetOfReleases(t, 2, []string{oldRelease}, nil)
		fleet.targets[0].setFault(standin.ReleaseFault{SlowShare: 1, SlowFactor: 10})
		appeared := time.Now()
		fleet.addTarget(t, 1, newRelease)
		fleet.loadAll(1, 2*time.Second, 60, 20)
		expectArrivals(t, fleet.arrivals(appeared), func(got []int) bool { return got[1] > 10 }, "the second should be used at once")
	})
}

// Guards against sends through another entry that don't count.
func TestRelayedSendsCount(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		control := newGrantor(2)
		fleet := newFleetOfReleases(t, 2, []string{oldRelease, newRelease}, control)
		fleet.setPhase(operator.PhaseTrial)
		ordered := time.Now()
		fleet.entries[0].refused.Store(true)
		fleet.loadAll(1, 5*time.Second, 40, 0)
		time.Sleep(time.Second)
		arrivals := fleet.arrivals(ordered)
		total, _ := control.totals()
		// An attempt that is cancelled on its way to the other entry counts as sent, because nobody knows
		// whether it was; that happens while the first connections are opened.
		const cancelled = 2
		all := uint64(arrivals[0] + arrivals[1])
		if arrivals[1] == 0 || uint64(arrivals[1]) != total.Sent || total.Requests < all || total.Requests > all+cancelled {
			t.Errorf("the targets got %v requests through the other entry, %d were reported and %d of them to the new release", arrivals, total.Requests, total.Sent)
		}
	})
}

// Guards against cold or shedding targets that are taken for a fault of the release.
func TestShedRequestIsNoEvidence(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		control := newGrantor(5)
		fleet := newFleetOfReleases(t, 1, []string{oldRelease, newRelease}, control)
		fleet.setPhase(operator.PhaseTrial)
		if err := fleet.registry.Announce(httptarget.Record{
			ID: "target-2", Pool: "p", Address: fleet.targets[1].ip + ":80", FailureDomain: "nord-a", Release: newRelease,
			Slots: 4, State: httptarget.StateReady, StartedAt: 1, Revision: 2, ColdFor: time.Minute,
		}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(learnSpan)
		fleet.loadAll(1, 2*time.Second, 40)
		fleet.targets[1].setPause("0.1")
		fleet.loadAll(2, 2*time.Second, 40)
		time.Sleep(time.Second)
		total, _ := control.totals()
		answers, failures := countOf(total.Evidence.Cells, true)
		index := slices.IndexFunc(total.Evidence.Cells, func(cell policy.RolloutCell) bool { return cell.New })
		if answers == 0 || answers >= total.Sent || failures > 0 || total.Evidence.Cells[index].Latencies != [policy.RolloutLatencyBuckets]uint32{} {
			t.Errorf("of %d sends %d have an outcome, %d failed, and the cold target has latencies: %v", total.Sent, answers, failures, total.Evidence.Cells[index].Latencies)
		}
	})
}

// Guards against a release that breaks off or never answers and yet looks like a good one, because such
// attempts leave no evidence.
func TestAttemptWithoutAnswerIsEvidence(t *testing.T) {
	cases := map[string]struct {
		handler  http.HandlerFunc
		failures bool
	}{
		"broken off": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true},
		"hung":       {func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }, false},
	}
	for name, expected := range cases {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				control := newGrantor(1)
				fleet := newFleetOfReleases(t, 1, []string{oldRelease, newRelease}, control)
				fleet.tables.Routes[0].NeverRepeat = true
				bad := http.Handler(expected.handler)
				fleet.targets[1].bad.Store(&bad)
				fleet.setPhase(operator.PhaseTrial)
				fleet.loadAll(1, 5*time.Second, 40)
				time.Sleep(2 * fleetDeadline)
				total, _ := control.totals()
				answers, failures := countOf(total.Evidence.Cells, true)
				if answers == 0 || answers+1 < total.Sent || (failures == answers) != expected.failures {
					t.Errorf("of %d sends %d have an outcome, and %d failed", total.Sent, answers, failures)
				}
			})
		})
	}
}
