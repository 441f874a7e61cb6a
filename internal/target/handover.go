// Handover of a target from one home to the next: its runs end, its connections
// are closed, and the next home receives the state that it needs to respect the
// target's limits.

package target

import (
	"context"
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// leaseCheckInterval is the interval between checks of a lease that has run
	// out.
	leaseCheckInterval = 100 * time.Millisecond
	// closeConfirmationTimeout is how long a home waits for targets to confirm
	// that their connections are closed before it sends an update to the next
	// homes.
	closeConfirmationTimeout = 100 * time.Millisecond
	// releaseTimeout is how long the release itself waits for these
	// confirmations.
	releaseTimeout = 2 * time.Millisecond
)

type (
	// Released is a target that its home has released, with the state that the
	// next home needs.
	Released struct {
		TargetID string `msgpack:"t"`
		// Incarnation, which increases with each start of the target, and Warm
		// are as the earlier home last saw them. Incarnation is zero if that
		// home never used the target.
		Incarnation uint64 `msgpack:"i"`
		Warm        bool   `msgpack:"w"`
		// Starts is the number of runs started within the last second, which
		// count towards the cold rate.
		Starts int `msgpack:"s"`
		// IsUpdate is true if this is an update to an earlier release under the
		// same view, sent because some connections were still open then.
		IsUpdate bool `msgpack:"c"`
		ConnectionHandover
	}

	// Releaser informs the next home of released targets that it may use them.
	Releaser interface {
		Release(ctx context.Context, to membership.Member, view uint64, released []Released)
	}

	// releasedTarget is a target that this home has stopped using, with the
	// state to send to the next home.
	releasedTarget struct {
		announcement *target.Announcement
		state        Released
		tally        *connectionTally
	}

	// receivedRelease is a release received from an earlier home.
	receivedRelease struct {
		Released
		receivedAt time.Time
	}
)

// enter registers an attempt in the target's lane, and returns the lane and the
// attempt's use of it. The caller must call admit again afterwards, so that a
// handover either waits for the attempt or stops it.
func (home *Home) enter(ctx context.Context, announcement *target.Announcement) (*lane, *use) {
	home.lock.Lock()
	defer home.lock.Unlock()
	lane := home.lane(announcement)
	return lane, lane.usage.begin(ctx)
}

// ReleaseMoved releases every target that this entry is no longer home to under
// the newest view. It returns that view's number once no attempt runs at these
// targets and all are released, or once ctx has ended. usable lists the targets
// that this entry could use until the view arrived. Each target is released to
// its new home as soon as no attempt runs at it, so that a long run at one target
// doesn't delay the others.
func (home *Home) ReleaseMoved(ctx context.Context, usable []target.Announcement, releaser Releaser) uint64 {
	placement := home.board.Membership().Placement()
	home.history.record(placement)
	moved := map[string]target.Announcement{}
	for _, announcement := range append(home.usedTargets(), usable...) {
		if next, found := placement.Home(announcement.ID, announcement.FailureDomain); !found || next.ID != home.self {
			moved[announcement.ID] = announcement
		}
	}
	home.countMoved(len(moved))
	var free []target.Announcement
	var busy sync.WaitGroup
	for id, announcement := range moved {
		drained := home.drainLane(id)
		select {
		case <-drained:
			free = append(free, announcement)
		default:
			busy.Go(func() {
				select {
				case <-drained:
					home.release(ctx, releaser, []target.Announcement{announcement})
				case <-ctx.Done():
				}
			})
		}
	}
	home.release(ctx, releaser, free)
	busy.Wait()
	return placement.View().Number
}

// ClaimUsable returns the targets that this entry may use now. It also records
// them as targets that this entry has to release once another entry becomes
// their home, whether or not it uses them until then.
func (home *Home) ClaimUsable() []target.Announcement {
	var usable []target.Announcement
	for _, announcement := range home.board.Directory().All() {
		if home.board.Membership().MayUse(home.self, announcement.ID, announcement.FailureDomain) {
			usable = append(usable, announcement)
		}
	}
	home.lock.Lock()
	defer home.lock.Unlock()
	for _, announcement := range usable {
		home.releasable[announcement.ID] = true
	}
	return usable
}

// ReceiveReleases stores the releases received from earlier homes of targets, and
// applies the updates to them.
func (home *Home) ReceiveReleases(released []Released) {
	home.lock.Lock()
	defer home.lock.Unlock()
	for _, release := range released {
		if release.IsUpdate {
			home.applyUpdate(release)
			continue
		}
		home.received[release.TargetID] = receivedRelease{Released: release, receivedAt: time.Now()}
	}
}

// applyUpdate applies an earlier home's update to its release. The lock must be
// held.
func (home *Home) applyUpdate(update Released) {
	if received, pending := home.received[update.TargetID]; pending && received.View == update.View {
		received.Open = min(received.Open, update.Open)
		home.received[update.TargetID] = received
	}
	if tally, found := home.tallies[update.TargetID]; found {
		tally.applyUpdate(update.ConnectionHandover)
	}
}

// EnforceLease ends all runs and closes all connections once this entry's lease
// has run out, because another entry may be home to the targets from then on. It
// returns when ctx ends.
func (home *Home) EnforceLease(ctx context.Context) {
	inForce := home.board.InForce()
	for {
		wait := leaseCheckInterval
		if inForce.Fenced() {
			home.CancelAll()
			home.setFencedMetric(true)
		} else {
			home.setFencedMetric(false)
			wait = max(time.Millisecond, time.Until(inForce.LeaseUntil()))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// Drain stops waiting attempts and waits until no lane has an attempt left. If
// ctx ends first, it ends the remaining attempts.
func (home *Home) Drain(ctx context.Context) {
	for _, announcement := range home.usedTargets() {
		drained := home.drainLane(announcement.ID)
		select {
		case <-drained:
		case <-ctx.Done():
			home.CancelAll()
			return
		}
	}
}

// usedTargets lists the targets that have a lane.
func (home *Home) usedTargets() []target.Announcement {
	home.lock.Lock()
	defer home.lock.Unlock()
	var usedTargets []target.Announcement
	for _, lane := range home.lanes {
		usedTargets = append(usedTargets, lane.announcement)
	}
	return usedTargets
}

// drainLane stops the waiting attempts at a target and returns a channel that is
// closed once the running ones have ended. Without a lane it is already closed.
func (home *Home) drainLane(targetID string) <-chan struct{} {
	home.lock.Lock()
	defer home.lock.Unlock()
	lane, exists := home.lanes[targetID]
	if !exists {
		drained := make(chan struct{})
		close(drained)
		return drained
	}
	return lane.usage.drain()
}

// release drops the lanes of targets without attempts, closes the connections to
// these targets and informs their next homes. If targets haven't confirmed the
// close of some connections, it sends the next homes an update later.
func (home *Home) release(ctx context.Context, releaser Releaser, free []target.Announcement) {
	placement := home.board.Membership().Placement()
	var dropped []releasedTarget
	for index := range free {
		if state, tally, released := home.dropLane(&free[index]); released {
			dropped = append(dropped, releasedTarget{announcement: &free[index], state: state, tally: tally})
		}
	}
	if stillOpen := home.sendReleases(ctx, releaser, placement, dropped, releaseTimeout); len(stillOpen) > 0 {
		go home.sendReleases(ctx, releaser, placement, stillOpen, closeConfirmationTimeout)
	}
}

// sendReleases sends the state of released targets to their next homes, once
// all connections are closed or the timeout has passed. It skips targets without
// a next home, and sends nothing once this entry's lease has run out. It returns
// the targets that may still hold connections open and need an update.
func (home *Home) sendReleases(ctx context.Context, releaser Releaser, placement *membership.Placement, targets []releasedTarget, timeout time.Duration) []releasedTarget {
	closeDeadline := time.Now().Add(timeout)
	nextHomes := map[string]membership.Member{}
	releases := map[string][]Released{}
	var stillOpen []releasedTarget
	for _, target := range targets {
		target.tally.awaitAllClosed(closeDeadline)
		next, found := placement.Home(target.announcement.ID, target.announcement.FailureDomain)
		if !found || home.board.InForce().Fenced() {
			continue
		}
		target.state.ConnectionHandover = target.tally.handover(placement.View().Number)
		nextHomes[next.ID] = next
		releases[next.ID] = append(releases[next.ID], target.state)
		if target.state.Open > 0 {
			target.state.IsUpdate = true
			stillOpen = append(stillOpen, target)
		}
	}
	for id, list := range releases {
		releaser.Release(ctx, nextHomes[id], placement.View().Number, list)
	}
	return stillOpen
}

// dropLane removes the lane of a target, if there is one without attempts. It
// returns the target's state for the next home, the tally of its connections,
// and whether the target is to be released. The latter is false if the lane
// still has attempts or if this entry doesn't have to release the target.
// dropLane also records that the target no longer has to be released, so that
// each claim leads to only one release.
func (home *Home) dropLane(announcement *target.Announcement) (Released, *connectionTally, bool) {
	home.lock.Lock()
	defer home.lock.Unlock()
	targetID := announcement.ID
	state := Released{TargetID: targetID}
	lane, exists := home.lanes[targetID]
	if exists && !lane.usage.isIdle() {
		return state, nil, false
	}
	releasable := home.releasable[targetID]
	tally := home.tally(announcement)
	tally.markReleased()
	delete(home.releasable, targetID)
	delete(home.received, targetID)
	if !exists {
		return state, tally, releasable
	}
	delete(home.lanes, targetID)
	state = lane.state()
	lane.closeIdle()
	return state, tally, releasable
}

// CancelAll ends every attempt and drops every lane. It also discards the
// releases received from other homes and the record of the targets that this
// entry has to release. Slots stay reserved for runs that may outlast the lease,
// in case this entry becomes home to their targets again.
func (home *Home) CancelAll() {
	home.lock.Lock()
	defer home.lock.Unlock()
	clear(home.received)
	clear(home.releasable)
	for _, tally := range home.tallies {
		tally.markReleased()
	}
	for id, lane := range home.lanes {
		delete(home.lanes, id)
		lane.tally.reserveUntil(lane.gate.outlastingEnd())
		lane.usage.cancelAll()
		lane.closeIdle()
	}
}

func (home *Home) countMoved(count int) {
	home.metrics.TargetsMoved().Add(float64(count))
}

// setFencedMetric sets the metric that shows whether this entry's lease has run out.
func (home *Home) setFencedMetric(fenced bool) {
	value := 0.0
	if fenced {
		value = 1
	}
	home.metrics.Fenced().Set(value)
}

// initializeLane initializes a new lane from the earlier home's release. A
// target that was warm in this incarnation stays warm. Without a release, or if
// the earlier home never used the target, the cold rate counts as used up when
// the view changed or the release arrived, because an earlier home may have
// used it up until then. The lock must be held.
func (home *Home) initializeLane(lane *lane) {
	received, released := home.received[lane.announcement.ID]
	delete(home.received, lane.announcement.ID)
	switch {
	case !released:
		lane.gate.exhaustColdRate(home.board.Membership().ChangedAt())
	case received.Incarnation == 0:
		lane.gate.exhaustColdRate(received.receivedAt)
	default:
		lane.applyRelease(received)
	}
}

// state returns the state that the target's next home needs, apart from the
// ConnectionHandover.
func (lane *lane) state() Released {
	lane.lock.Lock()
	state := Released{TargetID: lane.announcement.ID, Incarnation: lane.incarnation}
	lane.lock.Unlock()
	lane.gate.lock.Lock()
	defer lane.gate.lock.Unlock()
	state.Warm = lane.gate.warm
	state.Starts = lane.gate.starts.recentStarts(time.Now())
	return state
}

// applyRelease initializes the lane with the state from the target's earlier
// home. The target stays warm only if its incarnation is unchanged.
func (lane *lane) applyRelease(release receivedRelease) {
	lane.lock.Lock()
	defer lane.lock.Unlock()
	lane.gate.lock.Lock()
	defer lane.gate.lock.Unlock()
	for range release.Starts {
		lane.gate.starts.add(release.receivedAt)
	}
	lane.gate.warm = release.Warm && release.Incarnation == lane.incarnation
}
