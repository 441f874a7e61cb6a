// This file exists so that a target passes from one home to the next with its
// runs ended, its connections closed and nothing lost.

package target

import (
	"context"
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// guardInterval is the span between two looks at a lease that has run out.
	guardInterval = 100 * time.Millisecond
	// closeSpan is how long a home waits for targets to confirm that their
	// connections are closed, before it tells the next homes.
	closeSpan = 100 * time.Millisecond
	// promptSpan is how long a release itself waits for that.
	promptSpan = 2 * time.Millisecond
)

type (
	// Released is a target that a home has given up.
	Released struct {
		TargetID string `msgpack:"t"`
		// Incarnation and Warm are what the earlier home knew; the first is
		// zero where it never used the target.
		Incarnation uint64 `msgpack:"i"`
		Warm        bool   `msgpack:"w"`
		// Starts is the number of runs that it began within the last second,
		// which the cold rate counts.
		Starts int `msgpack:"s"`
		// Closed states that what an earlier release under this view told is
		// replaced, because connections were closed since.
		Closed bool `msgpack:"c"`
		Inheritance
	}

	// Releaser tells a target's next home that the target is free for it.
	Releaser interface {
		Release(ctx context.Context, to membership.Member, view uint64, released []Released)
	}

	// forgottenTarget is a target that this home uses no more.
	forgottenTarget struct {
		announcement *target.Announcement
		known        Released
		tally        *tally
	}

	// expectation is what an earlier home told, and when.
	expectation struct {
		Released
		at time.Time
	}
)

// enter registers an attempt in the target's lane. The attempt must ask admit
// again after it, so that a handover either waits for it or stops it.
func (home *Home) enter(ctx context.Context, announcement *target.Announcement) (*lane, *use) {
	home.lock.Lock()
	defer home.lock.Unlock()
	lane := home.lane(announcement)
	return lane, lane.usage.begin(ctx)
}

// Yield gives up every target that is no longer this entry's under the newest
// view, and returns the view's number once no attempt at them runs any more
// and their connections are closed. held lists the targets that this entry
// could use until the view came. Each is released to its new home as soon as
// it is free, so that a long run at one target delays no other.
func (home *Home) Yield(ctx context.Context, held []target.Announcement, releaser Releaser) uint64 {
	placement := home.board.Membership().Placement()
	home.history.note(placement)
	lost := map[string]target.Announcement{}
	for _, announcement := range append(home.used(), held...) {
		if next, found := placement.Home(announcement.ID, announcement.FailureDomain); !found || next.ID != home.self {
			lost[announcement.ID] = announcement
		}
	}
	home.moved(len(lost))
	var free []target.Announcement
	var busy sync.WaitGroup
	for id, announcement := range lost {
		idle := home.close(id)
		select {
		case <-idle:
			free = append(free, announcement)
		default:
			busy.Go(func() {
				select {
				case <-idle:
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

// Held lists the targets that this entry may use now, and so may release later.
func (home *Home) Held() []target.Announcement {
	var held []target.Announcement
	for _, announcement := range home.board.Directory().All() {
		if home.board.Membership().Holds(home.self, announcement.ID, announcement.FailureDomain) {
			held = append(held, announcement)
		}
	}
	home.lock.Lock()
	defer home.lock.Unlock()
	for _, announcement := range held {
		home.held[announcement.ID] = true
	}
	return held
}

// Expect takes what the earlier home of a target knew of it.
func (home *Home) Expect(released []Released) {
	home.lock.Lock()
	defer home.lock.Unlock()
	for _, known := range released {
		if known.Closed {
			home.amend(known)
			continue
		}
		home.expected[known.TargetID] = expectation{Released: known, at: time.Now()}
	}
}

// amend takes what an earlier home told since its release. The lock is held.
func (home *Home) amend(known Released) {
	if expected, waiting := home.expected[known.TargetID]; waiting && expected.View == known.View {
		expected.Open = min(expected.Open, known.Open)
		home.expected[known.TargetID] = expected
	}
	if tally, counted := home.tallies[known.TargetID]; counted {
		tally.amend(known.Inheritance)
	}
}

// Guard ends all runs and closes all connections once the lease has run out,
// because another entry may be home to the targets from then on. It returns
// when ctx ends.
func (home *Home) Guard(ctx context.Context) {
	inForce := home.board.InForce()
	for {
		wait := guardInterval
		if inForce.Fenced() {
			home.Cut()
			home.fenced(true)
		} else {
			home.fenced(false)
			wait = max(time.Millisecond, time.Until(inForce.LeaseUntil()))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// Drain waits until no attempt is in any lane.
func (home *Home) Drain(ctx context.Context) {
	for _, announcement := range home.used() {
		idle := home.close(announcement.ID)
		select {
		case <-idle:
		case <-ctx.Done():
			home.Cut()
			return
		}
	}
}

// used lists the targets that have lanes.
func (home *Home) used() []target.Announcement {
	home.lock.Lock()
	defer home.lock.Unlock()
	var used []target.Announcement
	for _, lane := range home.lanes {
		used = append(used, lane.announcement)
	}
	return used
}

// close stops the waiting attempts at a target and returns a channel that is
// closed once the running ones have ended.
func (home *Home) close(targetID string) <-chan struct{} {
	home.lock.Lock()
	defer home.lock.Unlock()
	lane, known := home.lanes[targetID]
	if !known {
		idle := make(chan struct{})
		close(idle)
		return idle
	}
	return lane.usage.drain()
}

// release closes the connections to idle targets, forgets them and tells
// their new homes, also of connections whose close a target hasn't confirmed.
func (home *Home) release(ctx context.Context, releaser Releaser, free []target.Announcement) {
	placement := home.board.Membership().Placement()
	var forgotten []forgottenTarget
	for index := range free {
		if known, tally, released := home.forget(&free[index]); released {
			forgotten = append(forgotten, forgottenTarget{announcement: &free[index], known: known, tally: tally})
		}
	}
	if open := home.tell(ctx, releaser, placement, forgotten, promptSpan); len(open) > 0 {
		go home.tell(ctx, releaser, placement, open, closeSpan)
	}
}

// tell tells the next homes of targets what this home knows, once their
// connections are closed or a span has passed. It returns the targets that
// may still hold some open, to be told of again.
func (home *Home) tell(ctx context.Context, releaser Releaser, placement *membership.Placement, forgotten []forgottenTarget, span time.Duration) []forgottenTarget {
	limit := time.Now().Add(span)
	homes := map[string]membership.Member{}
	told := map[string][]Released{}
	var open []forgottenTarget
	for _, target := range forgotten {
		target.tally.awaitNone(limit)
		next, found := placement.Home(target.announcement.ID, target.announcement.FailureDomain)
		if !found || home.board.InForce().Fenced() {
			continue
		}
		target.known.Inheritance = target.tally.bequeath(placement.View().Number)
		homes[next.ID] = next
		told[next.ID] = append(told[next.ID], target.known)
		if target.known.Open > 0 {
			target.known.Closed = true
			open = append(open, target)
		}
	}
	for id, list := range told {
		releaser.Release(ctx, homes[id], placement.View().Number, list)
	}
	return open
}

// forget drops the lane of an idle target. It returns false where the lane has
// attempts in it, and where the target isn't this entry's to release: each
// right to use a target is released once.
func (home *Home) forget(announcement *target.Announcement) (Released, *tally, bool) {
	home.lock.Lock()
	defer home.lock.Unlock()
	targetID := announcement.ID
	known := Released{TargetID: targetID}
	lane, exists := home.lanes[targetID]
	if exists && !lane.usage.isIdle() {
		return known, nil, false
	}
	held := home.held[targetID]
	tally := home.tally(announcement)
	tally.leave()
	delete(home.held, targetID)
	delete(home.expected, targetID)
	if !exists {
		return known, tally, held
	}
	delete(home.lanes, targetID)
	known = lane.known()
	lane.closeIdle()
	return known, tally, held
}

// Cut ends every attempt and forgets every lane and every right to release.
func (home *Home) Cut() {
	home.lock.Lock()
	defer home.lock.Unlock()
	clear(home.expected)
	clear(home.held)
	for _, tally := range home.tallies {
		tally.leave()
	}
	for id, lane := range home.lanes {
		delete(home.lanes, id)
		lane.tally.reserve(lane.gate.outlastingUntil())
		lane.usage.cut()
		lane.closeIdle()
	}
}

func (home *Home) moved(count int) {
	home.metrics.Moved().Add(float64(count))
}

func (home *Home) fenced(fenced bool) {
	value := 0.0
	if fenced {
		value = 1
	}
	home.metrics.Fenced().Set(value)
}

// takeOver starts a new lane with what the earlier home knew: a target that was
// warm a moment ago in this incarnation still is, and the cold rate of another
// one may have been used up until then. The lock is held.
func (home *Home) takeOver(lane *lane) {
	expected, told := home.expected[lane.announcement.ID]
	delete(home.expected, lane.announcement.ID)
	switch {
	case !told:
		lane.gate.assumeFull(home.board.Membership().ChangedAt())
	case expected.Incarnation == 0:
		lane.gate.assumeFull(expected.at)
	default:
		lane.expect(expected)
	}
}

func (lane *lane) known() Released {
	lane.lock.Lock()
	known := Released{TargetID: lane.announcement.ID, Incarnation: lane.incarnation}
	lane.lock.Unlock()
	lane.gate.lock.Lock()
	defer lane.gate.lock.Unlock()
	known.Warm = lane.gate.warm
	known.Starts = lane.gate.starts.recent(time.Now())
	return known
}

// expect takes over what the earlier home of the target knew: a target that
// was warm a moment ago in this incarnation still is.
func (lane *lane) expect(expected expectation) {
	lane.lock.Lock()
	defer lane.lock.Unlock()
	lane.gate.lock.Lock()
	defer lane.gate.lock.Unlock()
	for range expected.Starts {
		lane.gate.starts.add(expected.at)
	}
	lane.gate.warm = expected.Warm && expected.Incarnation == lane.incarnation
}
