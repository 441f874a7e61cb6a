// The links between this entry and the targets. An entry may lose its links to some or all targets
// while other entries keep theirs; it then sends its attempts through these.

package httptarget

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// silenceSpan is the least time without an answer after which an attempt is overdue, and
	// overdueFactor the multiple of the target's usual latency after which it is.
	silenceSpan   = 150 * time.Millisecond
	overdueFactor = 2
	// silentTargets is the number of targets that must be overdue, while no other one answers,
	// before all links are taken for lost. Fewer may be slow at the same time.
	silentTargets = 3
	// firstProbeDelay is the delay before a lost link is tried again. It doubles each time up
	// to maximumProbeDelay.
	firstProbeDelay   = 250 * time.Millisecond
	maximumProbeDelay = time.Second
	// unreachableByAllSpan is how long a target isn't tried through other entries after none of them
	// reached it.
	unreachableByAllSpan = time.Second
)

type (
	// Relay sends attempts through other entries.
	Relay interface {
		// Send sends an attempt through an entry that has a link to the target. It returns
		// false if none has, and the request was then not sent. With pinned, attempts go to the
		// same entry as long as it replies, so that few connections are used.
		Send(ctx context.Context, target *Target, request *Request, deadline time.Time, pinned bool) (Outcome, bool)
		// Reaches reports whether another entry has a link to the target.
		Reaches(ctx context.Context, target *Target) bool
	}

	// linkMonitor detects that no target answers this entry any more. The zero value works.
	linkMonitor struct {
		lock sync.Mutex
		// overdueAt holds, by target ID, when the first attempt is overdue that was sent since the
		// latest answer of any target.
		overdueAt map[string]time.Time
		// unconnected holds the IDs of the targets that no connection could be opened to since the
		// latest one that was opened to any target.
		unconnected map[string]bool
		// lost is true from the moment at which all links are taken for lost until a target is
		// reached again, and lostAt that moment.
		lost   bool
		lostAt time.Time
	}

	// linkState is the state of the link to one target, guarded by the target's lock.
	linkState struct {
		down    bool
		probing bool
		probeAt time.Time
		delay   time.Duration
		// unreachableUntil is the time until which other entries aren't asked, because they didn't
		// reach the target either.
		unreachableUntil time.Time
	}
)

// begin records an attempt whose answer is overdue at a time.
func (monitor *linkMonitor) begin(targetID string, overdueAt time.Time) {
	monitor.lock.Lock()
	defer monitor.lock.Unlock()
	if monitor.overdueAt == nil {
		monitor.overdueAt = map[string]time.Time{}
	}
	if _, waiting := monitor.overdueAt[targetID]; !waiting {
		monitor.overdueAt[targetID] = overdueAt
	}
}

// abandon records that an attempt ended before its answer was overdue.
func (monitor *linkMonitor) abandon(targetID string, now time.Time) {
	monitor.lock.Lock()
	defer monitor.lock.Unlock()
	if now.Before(monitor.overdueAt[targetID]) {
		delete(monitor.overdueAt, targetID)
	}
}

// reach records that a target was reached, and reports whether all links had been lost.
func (monitor *linkMonitor) reach() bool {
	monitor.lock.Lock()
	defer monitor.lock.Unlock()
	clear(monitor.overdueAt)
	wasLost := monitor.lost
	monitor.lost = false
	return wasLost
}

// recordConnect records whether a connection to a target could be opened.
func (monitor *linkMonitor) recordConnect(targetID string, opened bool) {
	monitor.lock.Lock()
	defer monitor.lock.Unlock()
	if opened {
		clear(monitor.unconnected)
		return
	}
	if monitor.unconnected == nil {
		monitor.unconnected = map[string]bool{}
	}
	monitor.unconnected[targetID] = true
}

// connects reports whether connections to targets can be opened. A few may be down at the same time.
func (monitor *linkMonitor) connects() bool {
	monitor.lock.Lock()
	defer monitor.lock.Unlock()
	return len(monitor.unconnected) < silentTargets
}

// check reports whether all links are taken for lost, and whether that is new. Answers of the time by which this process is
// late may have arrived and not been read.
func (monitor *linkMonitor) check(now time.Time, lateness time.Duration) (lost, isNew bool) {
	monitor.lock.Lock()
	defer monitor.lock.Unlock()
	if monitor.lost || len(monitor.overdueAt) < silentTargets {
		return monitor.lost, false
	}
	overdue := 0
	for _, at := range monitor.overdueAt {
		if !now.Add(-lateness).Before(at) {
			overdue++
		}
	}
	if overdue < silentTargets {
		return false, false
	}
	monitor.lost, monitor.lostAt = true, now
	return true, true
}

// usableSince returns the time since which an open connection may be used: those opened before all
// links were lost may be silent for good.
func (monitor *linkMonitor) usableSince() time.Time {
	monitor.lock.Lock()
	defer monitor.lock.Unlock()
	return monitor.lostAt
}

// UseRelay makes the sender send attempts through other entries where its own link is lost. It must be
// called before the first request is sent.
func (sender *Sender) UseRelay(relay Relay) {
	sender.relay = relay
}

// LinkLost reports whether the link to a target is known to be lost. It then tries the link again in
// the background from time to time.
func (sender *Sender) LinkLost(target *Target, limit int) bool {
	now := time.Now()
	lost, isNew := sender.links.check(now, sender.lateness.Recent(now))
	if isNew {
		sender.logger.Warn("links to all targets lost")
	}
	if lost {
		target.markLinkDown(now, false)
	}
	if !target.linkDown() {
		return false
	}
	if target.beginProbe(now) {
		go sender.probeLink(target, limit)
	}
	return true
}

// HasLinks reports whether this entry reaches targets and can open connections to them.
func (sender *Sender) HasLinks() bool {
	now := time.Now()
	lost, _ := sender.links.check(now, sender.lateness.Recent(now))
	return !lost && sender.links.connects()
}

// probeLink opens a connection to a target whose link is down. If that succeeds, the link is used
// again, and the connection is kept.
func (sender *Sender) probeLink(target *Target, limit int) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	if !target.connections.reserve(limit) {
		target.markLinkDown(time.Now(), true)
		return
	}
	opened, err := sender.dial(ctx, "tcp", target.Address())
	if err != nil {
		target.connections.releaseReservation()
		sender.links.recordConnect(target.ID(), false)
		target.markLinkDown(time.Now(), true)
		return
	}
	target.connections.addIdle(newConnection(opened), time.Now())
	sender.connected(target)
	sender.logger.Info("link to target is back", zap.String("target", target.ID()))
}

// reached records that the target was reached over a link of this entry.
func (sender *Sender) reached(target *Target) {
	target.markLinkUp()
	if sender.links.reach() {
		sender.logger.Info("links to targets are back", zap.String("target", target.ID()))
	}
}

// connected records that a connection to the target was opened.
func (sender *Sender) connected(target *Target) {
	sender.links.recordConnect(target.ID(), true)
	sender.reached(target)
}

// lostLink records that no connection to the target could be opened.
func (sender *Sender) lostLink(target *Target, cause error) {
	sender.links.recordConnect(target.ID(), false)
	if target.markLinkDown(time.Now(), false) {
		sender.logger.Warn("link to target lost", zap.String("target", target.ID()), zap.String("address", target.Address()), zap.Error(cause))
	}
}

// overdueAt returns when an attempt at the target that starts at a time is overdue.
func (target *Target) overdueAt(startedAt time.Time) time.Time {
	target.lock.Lock()
	defer target.lock.Unlock()
	return startedAt.Add(max(silenceSpan, overdueFactor*(target.latency+deviationFactor*target.deviation)))
}

// unreachable reports whether other entries lately didn't reach the target either.
func (target *Target) unreachable(now time.Time) bool {
	target.lock.Lock()
	defer target.lock.Unlock()
	return now.Before(target.link.unreachableUntil)
}

// recordUnreachable records that no entry reaches the target, which counts as a failed attempt.
func (target *Target) recordUnreachable(now time.Time) {
	target.lock.Lock()
	target.link.unreachableUntil = now.Add(unreachableByAllSpan)
	target.lock.Unlock()
	target.recordConnectFailure(now, now)
}

func (target *Target) linkDown() bool {
	target.lock.Lock()
	defer target.lock.Unlock()
	return target.link.down
}

// markLinkDown records that the link to the target is down and reports whether that is new. The next
// probe is delayed if the link wasn't down before, or if this is the end of a probe.
func (target *Target) markLinkDown(now time.Time, probed bool) bool {
	target.lock.Lock()
	defer target.lock.Unlock()
	isNew := !target.link.down
	target.link.down = true
	if isNew || probed {
		target.link.delay = min(maximumProbeDelay, max(firstProbeDelay, 2*target.link.delay))
		// Jitter, so that the links of many entries aren't all tried at once.
		target.link.probeAt = now.Add(time.Duration((0.5 + rand.Float64()/2) * float64(target.link.delay)))
		target.link.probing = false
	}
	return isNew
}

func (target *Target) markLinkUp() {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.link = linkState{}
}

// beginProbe reports whether the link should be tried now, and records that it is.
func (target *Target) beginProbe(now time.Time) bool {
	target.lock.Lock()
	defer target.lock.Unlock()
	if target.link.probing || now.Before(target.link.probeAt) {
		return false
	}
	target.link.probing = true
	return true
}
