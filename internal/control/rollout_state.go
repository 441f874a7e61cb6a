// The replicated state of rollouts: a record for each pool in the tables, which only the commands
// here change.

package control

import (
	"fmt"
	"slices"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	rolloutOrdered = "ordered"
)

// rolloutsOfPools returns the rollouts whose pools exist, so that the number of pools bounds the
// number of rollouts.
func rolloutsOfPools(rollouts []operator.Rollout, pools []operator.Pool) []operator.Rollout {
	if len(rollouts) == 0 {
		return nil
	}
	names := make(map[string]bool, len(pools))
	for index := range pools {
		names[pools[index].Name] = true
	}
	var kept []operator.Rollout
	for _, rollout := range rollouts {
		if names[rollout.Pool] {
			kept = append(kept, rollout)
		}
	}
	return kept
}

// checkRollout returns the reply to an order that changes nothing: the rollout that it ordered before, or the
// reason to refuse it. Otherwise it returns false and the start of the rollout.
func (tablesData *tablesData) checkRollout(command *startRollout) (reply result, startedAt time.Time, settled bool) {
	newest, order := tablesData.newest(), &command.Order
	last := newest.Tables.Rollout(order.Pool)
	started := command.Now
	if last != nil {
		sameOrder := last.Release == order.Release && last.Duration == order.Duration
		switch {
		case sameOrder && (last.Phase != operator.PhaseRolledBack || !command.Replaces.Equal(last.StartedAt)):
			return result{Rollout: last}, started, true
		case !last.Phase.Final():
			return result{Fault: fault.New(fault.Conflict,
				fmt.Sprintf("pool %q has a rollout of release %q over %s in progress", order.Pool, last.Release, last.Duration),
				"order again once that rollout is completed or rolled back")}, started, true
		case !started.After(last.StartedAt):
			// The clock of this leader is behind. The start must differ, because it identifies
			// the rollout.
			started = last.StartedAt.Add(time.Nanosecond)
		}
	}
	if !slices.ContainsFunc(newest.Tables.Pools, func(pool operator.Pool) bool { return pool.Name == order.Pool }) {
		return result{Fault: fault.New(fault.BadRequest, fmt.Sprintf("pool %q is unknown", order.Pool), "name a pool of the tables in force")}, started, true
	}
	return result{}, started, false
}

// startRollout adds the rollout that is ordered, or replaces the pool's last one. An order that was
// sent before is answered with the rollout that it started.
func (tablesData *tablesData) startRollout(command *startRollout) result {
	reply, started, settled := tablesData.checkRollout(command)
	if settled {
		return reply
	}
	order := &command.Order
	rollout := operator.Rollout{
		Pool: order.Pool, Release: order.Release, Duration: order.Duration,
		StartedAt: started.UTC(), Phase: operator.PhaseTrial, Reason: rolloutOrdered,
	}
	return result{Version: tablesData.replaceRollout(&rollout), Rollout: &rollout}
}

// advanceRollout moves a rollout to another phase if it is in the phase that the leader took it to
// be in.
func (tablesData *tablesData) advanceRollout(command *advanceRollout) result {
	newest := tablesData.newest()
	last := newest.Tables.Rollout(command.Pool)
	if last == nil || !last.StartedAt.Equal(command.StartedAt) || last.Phase != command.From || last.Phase.Final() {
		return result{}
	}
	rollout := *last
	rollout.Phase, rollout.Reason = command.To, command.Reason
	return result{Version: tablesData.replaceRollout(&rollout), Rollout: &rollout}
}

// replaceRollout makes a version of the tables with the rollout in the place of the last one of its
// pool, and returns the number of that version.
func (tablesData *tablesData) replaceRollout(rollout *operator.Rollout) uint64 {
	newest := tablesData.newest()
	// Earlier versions share the slice, so that it must not be changed.
	rollouts := slices.DeleteFunc(slices.Clone(newest.Tables.Rollouts), func(other operator.Rollout) bool { return other.Pool == rollout.Pool })
	rollouts = append(rollouts, *rollout)
	newest.Tables.Rollouts = rollouts
	newest.ChangeID = fmt.Sprintf("rollout of pool %s to release %s: %s, after version %d", rollout.Pool, rollout.Release, rollout.Phase, newest.Version)
	return tablesData.add(&operator.Change{ID: newest.ChangeID, Base: newest.Version, Tables: newest.Tables}, newest).Version
}

// phaseVersion returns the oldest stored version of the tables since which the rollout has been in
// its phase.
func (tablesData *tablesData) phaseVersion(rollout *operator.Rollout) (version uint64) {
	for index := len(tablesData.Versions) - 1; index >= 0; index-- {
		stored := &tablesData.Versions[index]
		found := stored.Tables.Rollout(rollout.Pool)
		if found == nil || found.Phase != rollout.Phase || !found.StartedAt.Equal(rollout.StartedAt) {
			return version
		}
		version = stored.Version
	}
	return version
}

func (state *State) phaseVersion(rollout *operator.Rollout) uint64 {
	state.lock.RLock()
	defer state.lock.RUnlock()
	return state.data.Tables.phaseVersion(rollout)
}

// checkRollout is like that of tablesData. It doesn't apply the command.
func (state *State) checkRollout(command *startRollout) (reply result, settled bool) {
	state.lock.RLock()
	defer state.lock.RUnlock()
	reply, _, settled = state.data.Tables.checkRollout(command)
	return reply, settled
}
