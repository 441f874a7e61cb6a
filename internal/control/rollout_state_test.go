package control

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	rolloutPool = "cards"
)

// rolloutTime is when the first rollout of a test starts.
var rolloutTime = time.Date(2026, 12, 4, 15, 0, 0, 0, time.UTC)

// stateWithPool returns a state whose tables have the pool of the tests.
func stateWithPool(t *testing.T) *State {
	state := &State{}
	state.Apply(0, encode(t, []command{declare(1, rolloutPool)}))
	return state
}

func orderOf(release string, span time.Duration) startRollout {
	return startRollout{Order: operator.RolloutOrder{Pool: rolloutPool, Release: release, Duration: duration.Of(span)}, Now: rolloutTime}
}

func advanceOf(startedAt time.Time, from, to operator.RolloutPhase) advanceRollout {
	return advanceRollout{Pool: rolloutPool, StartedAt: startedAt, From: from, To: to, Reason: "as tested"}
}

func applyOne(t *testing.T, state *State, only command) result {
	t.Helper()
	var results []result
	if err := msgpack.Unmarshal(state.Apply(0, encode(t, []command{only})), &results); err != nil || len(results) != 1 {
		t.Fatalf("results %+v, error %v, want one result", results, err)
	}
	return results[0]
}

// TestRolloutOrders sends orders one after the other. A resend must have no effect, and another order
// must wait for the end of the rollout in progress.
func TestRolloutOrders(t *testing.T) {
	state, span := stateWithPool(t), 12*time.Second
	unknown := orderOf("v2", span)
	unknown.Order.Pool = "unknown"
	again := orderOf("v2", span)
	again.Replaces = rolloutTime
	second := rolloutTime.Add(time.Nanosecond)
	afterCompletion := orderOf("v3", span)
	afterCompletion.Replaces = second.Add(time.Nanosecond)
	for _, step := range []struct {
		name     string
		command  command
		refused  fault.Kind
		versions uint64
		release  string
		phase    operator.RolloutPhase
	}{
		{"order of an unknown pool", unknown, fault.BadRequest, 0, "", ""},
		{"first order", orderOf("v2", span), "", 1, "v2", operator.PhaseTrial},
		{"resend in progress", orderOf("v2", span), "", 0, "v2", operator.PhaseTrial},
		{"resend in progress that takes the rollout to be over", again, "", 0, "v2", operator.PhaseTrial},
		{"another release in progress", orderOf("v3", span), fault.Conflict, 0, "v2", operator.PhaseTrial},
		{"another duration in progress", orderOf("v2", 2*span), fault.Conflict, 0, "v2", operator.PhaseTrial},
		{"advance from another phase", advanceOf(rolloutTime, operator.PhaseShift, operator.PhaseCompleted), "", 0, "v2", operator.PhaseTrial},
		{"advance of another rollout", advanceOf(second, operator.PhaseTrial, operator.PhaseShift), "", 0, "v2", operator.PhaseTrial},
		{"rollback", advanceOf(rolloutTime, operator.PhaseTrial, operator.PhaseRolledBack), "", 1, "v2", operator.PhaseRolledBack},
		{"late shift", advanceOf(rolloutTime, operator.PhaseTrial, operator.PhaseShift), "", 0, "v2", operator.PhaseRolledBack},
		{"shift of what is over", advanceOf(rolloutTime, operator.PhaseRolledBack, operator.PhaseShift), "", 0, "v2", operator.PhaseRolledBack},
		{"resend after the end", orderOf("v2", span), "", 0, "v2", operator.PhaseRolledBack},
		{"the same order anew", again, "", 1, "v2", operator.PhaseTrial},
		{"the same order anew, sent again", again, "", 0, "v2", operator.PhaseTrial},
		{"late rollback of the first rollout", advanceOf(rolloutTime, operator.PhaseTrial, operator.PhaseRolledBack), "", 0, "v2", operator.PhaseTrial},
		{"shift", advanceOf(second, operator.PhaseTrial, operator.PhaseShift), "", 1, "v2", operator.PhaseShift},
		{"completion", advanceOf(second, operator.PhaseShift, operator.PhaseCompleted), "", 1, "v2", operator.PhaseCompleted},
		{"the same order after completion", startRollout{Order: again.Order, Now: rolloutTime, Replaces: second}, "", 0, "v2", operator.PhaseCompleted},
		{"another release after completion", orderOf("v3", span), "", 1, "v3", operator.PhaseTrial},
	} {
		before := state.Newest().Version
		result := applyOne(t, state, step.command)
		if result.Fault == nil != (step.refused == "") || result.Fault != nil && result.Fault.Kind != step.refused {
			t.Errorf("%s: got fault %v, want kind %q", step.name, result.Fault, step.refused)
		}
		newest := state.Newest()
		if newest.Version-before != step.versions {
			t.Errorf("%s: made %d versions, want %d", step.name, newest.Version-before, step.versions)
		}
		rollout := newest.Tables.Rollout(rolloutPool)
		if rollout == nil && step.release != "" || rollout != nil && (rollout.Release != step.release || rollout.Phase != step.phase || len(newest.Tables.Rollouts) != 1) {
			t.Errorf("%s: the record is %+v, want release %q in phase %q", step.name, rollout, step.release, step.phase)
		}
	}
}

// TestChangesKeepRollouts guards against changes of the tables that undo a rollout, and against resends
// that are taken for other changes because a rollout has started in between.
func TestChangesKeepRollouts(t *testing.T) {
	state := stateWithPool(t)
	newest := state.Newest()
	change := changeTables{Change: operator.Change{ID: "change", Base: newest.Version, Tables: newest.Tables}}
	first := applyOne(t, state, change)
	applyOne(t, state, orderOf("v2", time.Minute))
	expectPhase := func(name string, phase operator.RolloutPhase) {
		t.Helper()
		newest := state.Newest()
		if rollout := newest.Tables.Rollout(rolloutPool); rollout == nil || rollout.Phase != phase || rollout.Release != "v2" {
			t.Errorf("%s: the record is %+v, want release v2 in phase %s", name, rollout, phase)
		}
	}
	resend := change
	resend.Change.Tables.Rollouts = []operator.Rollout{{Pool: rolloutPool, Phase: operator.PhaseCompleted}}
	if result := applyOne(t, state, resend); result.Fault != nil || result.Version != first.Version {
		t.Errorf("a resend with rollouts: got version %d and fault %v, want version %d", result.Version, result.Fault, first.Version)
	}
	based := resend
	based.Change.ID, based.Change.Base = "based", state.Newest().Version
	if result := applyOne(t, state, based); result.Fault != nil {
		t.Errorf("a change with a base is refused: %v", result.Fault)
	}
	expectPhase("a change with a base", operator.PhaseTrial)
	declared := declare(2, rolloutPool)
	declared.Change.Tables.Rollouts = resend.Change.Tables.Rollouts
	applyOne(t, state, declared)
	expectPhase("a declared change", operator.PhaseTrial)
	applyOne(t, state, changeDomain{Change: operator.DomainChange{FailureDomain: "nord", Out: true}})
	expectPhase("a change of a failure domain", operator.PhaseTrial)
	applyOne(t, state, advanceOf(rolloutTime, operator.PhaseTrial, operator.PhaseShift))
	shifted := state.Newest().Version
	applyOne(t, state, declare(3, rolloutPool))
	expectPhase("a change during the shift", operator.PhaseShift)
	newest = state.Newest()
	if version := state.phaseVersion(newest.Tables.Rollout(rolloutPool)); version != shifted {
		t.Errorf("the shift is in version %d, want %d", version, shifted)
	}
	old, err := state.Version(first.Version + 1)
	if err != nil || old.Tables.Rollouts[0].Phase != operator.PhaseTrial {
		t.Errorf("the version of the order holds %+v, error %v, want the trial", old.Tables.Rollouts, err)
	}
	snapshot, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	state = &State{}
	if err := state.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	expectPhase("a restored state", operator.PhaseShift)
	applyOne(t, state, declare(4, "another-pool"))
	if rollouts := state.Newest().Tables.Rollouts; len(rollouts) != 0 {
		t.Errorf("without the pool the records are %+v, want none", rollouts)
	}
}

// TestTablesWithoutRolloutsKeepTheirEncoding guards against a change that is taken for another one when
// it is sent again after an update, because the encoding under its digest has new fields.
func TestTablesWithoutRolloutsKeepTheirEncoding(t *testing.T) {
	encoded, err := msgpack.Marshal(&operator.Tables{Routes: []operator.Route{{HTTP: &operator.HTTPRoute{}}}})
	if err != nil {
		t.Fatal(err)
	}
	var decoded map[string]any
	if err := msgpack.Unmarshal(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	if len(decoded) != 4 {
		t.Errorf("the tables are encoded as %v, want only FailureDomainsOut, Routes, Pools and HTTPLimits", decoded)
	}
}
