// The registry of targets in a control process. It holds only the targets that
// announce themselves to this process; entries watch the registries of all processes.

package httptarget

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// SilenceSpan is the time without an announcement after which a target counts as
	// silent: three announcements at the usual interval of about a second, and a
	// second for one that is late.
	SilenceSpan = 4500 * time.Millisecond
	// retentionSpan is how long the record of an ended target is kept, so that a
	// delayed announcement doesn't bring it back, and how long a target without
	// announcements is kept. It is longer than any announcement is delayed.
	retentionSpan = time.Minute
	// lateAnnouncementSpan is how long announcements are ignored after the end of a target that has no known start in
	// use: they may have been sent before it. A target that announces itself later has started again.
	lateAnnouncementSpan = 5 * time.Second
	// coldStartMargin is added to the end of a cold start, so that the announcements that name the same end again,
	// a little later for their transit, aren't changes.
	coldStartMargin = 100 * time.Millisecond
	// sweepInterval is the interval between checks for silent targets.
	sweepInterval = 500 * time.Millisecond
	// MaximumTargets bounds the number of targets in a registry.
	MaximumTargets = 65536
)

type (
	// Registry holds the announcements that this process has received. The
	// zero value is not usable; construct it with NewRegistry.
	Registry struct {
		logger *zap.Logger
		// session distinguishes this registry from that of an earlier process.
		session uint64

		lock sync.Mutex
		// revision is the number of the latest change.
		revision uint64
		// prunedRevision is the highest revision of the targets that were removed.
		prunedRevision uint64
		targets        map[string]*registeredTarget
		// changed is closed and replaced at each change.
		changed chan struct{}
		// persistent is true if the registry is saved to a store. saveDue is signalled at each change.
		// savedRevision is the last revision that was saved, and saved is closed and replaced at each save.
		persistent    bool
		saveDue       chan struct{}
		savedRevision uint64
		saved         chan struct{}
		// saveNow requests a save without the usual pause.
		saveNow chan struct{}
	}

	registeredTarget struct {
		record Record
		// revision is that of the latest change.
		revision uint64
		// unlisted is true for the end of a start that this registry never listed. It is sent in full replies only.
		unlisted bool
		// lastHeardAt is when the latest announcement arrived, or when the record became
		// StateGone or StateUnheard. Run resets it after a pause of the process.
		lastHeardAt time.Time
		// coldUntil is the end of the cold start as entries know it. Within one start it is never set back.
		coldUntil time.Time
		// heldOffUntil is the time before which announcements of starts after the one that has ended are ignored.
		heldOffUntil time.Time
	}
)

// NewRegistry returns an empty registry. The session must differ from that of
// each earlier process at the same address.
func NewRegistry(session uint64, logger *zap.Logger) *Registry {
	return &Registry{logger: logger, session: session, targets: map[string]*registeredTarget{}, changed: make(chan struct{}), saveDue: make(chan struct{}, 1), saved: make(chan struct{}), saveNow: make(chan struct{}, 1)}
}

// Announce stores an announcement that has passed Record.Check. One that is older
// than the stored record is ignored; a full registry returns a fault.Error.
func (registry *Registry) Announce(record Record) error {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	now := time.Now()
	registered, found := registry.targets[record.ID]
	if found && !record.supersedes(&registered.record) {
		return nil
	}
	if found && now.Before(registered.heldOffUntil) {
		registry.logger.Info("announcement ignored: it may have been sent before the target's end", zap.String("target", record.ID), zap.Int64("started_at", record.StartedAt))
		return nil
	}
	if !found {
		if len(registry.targets) >= MaximumTargets {
			registry.logger.Warn("announcement dropped: the registry is full", zap.String("target", record.ID), zap.Int("targets", len(registry.targets)))
			return newFullError()
		}
		registered = &registeredTarget{}
		registry.targets[record.ID] = registered
	}
	visible := !found || changesTarget(&registered.record, &record)
	if !found || record.StartedAt != registered.record.StartedAt {
		registered.coldUntil = time.Time{}
	}
	if coldUntil := now.Add(record.ColdFor); record.ColdFor > 0 && coldUntil.After(registered.coldUntil) {
		registered.coldUntil = coldUntil.Add(coldStartMargin)
		visible = true
	}
	registered.record, registered.unlisted, registered.lastHeardAt, registered.heldOffUntil = record, false, now, time.Time{}
	if visible {
		registry.publish(registered)
	}
	return nil
}

func newFullError() error {
	return fault.New(fault.Unavailable, fmt.Sprintf("this process knows %d targets and takes no more", MaximumTargets), "announce to another control process")
}

// changesTarget reports whether a newer record must be published to entries, whatever the end of its cold start.
func changesTarget(previous, record *Record) bool {
	before, after := *previous, *record
	before.Revision, after.Revision = 0, 0
	before.ColdFor, after.ColdFor = 0, 0
	return before != after
}

// startReply returns the latest start of a target that this registry knows.
func (registry *Registry) startReply(id string) *StartReply {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	registered, found := registry.targets[id]
	if !found {
		return &StartReply{}
	}
	record := &registered.record
	return &StartReply{
		Start:     record.start(),
		Announced: !record.Silent && (record.State == StateReady || record.State == StateLeaving),
		Ended:     record.State == StateGone,
	}
}

// takeEnd stores an end that a target has called, here or, with publish false, at another registry that tells this one.
func (registry *Registry) takeEnd(end *Record, publish bool) error {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	registered, found := registry.targets[end.ID]
	if found && registered.hasEnd(end) {
		registry.repeatEnd(registered, end, publish)
		return nil
	}
	return registry.storeEnd(end, publish)
}

// repeatEnd applies a further call of a known end, which may concern a later start. The lock must be held.
func (registry *Registry) repeatEnd(registered *registeredTarget, end *Record, publish bool) {
	holdsOffLonger := registered.holdOff(end)
	switch {
	case publish && (holdsOffLonger || registered.unlisted):
		registered.unlisted = false
		registry.publish(registered)
	case holdsOffLonger:
		registry.markChanged(registered)
	}
}

// addEnd stores an end that another registry has sent to its followers, or that was saved. That a known end holds off later
// starts for longer isn't a change: otherwise registries would tell each other of it for good, because the time that is left
// grows by the transit of each message.
func (registry *Registry) addEnd(end *Record) error {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	if registered, found := registry.targets[end.ID]; found && registered.hasEnd(end) {
		registered.holdOff(end)
		return nil
	}
	return registry.storeEnd(end, false)
}

// hasEnd reports whether the record is that of the same start's end.
func (registered *registeredTarget) hasEnd(end *Record) bool {
	return registered.record.State == StateGone && registered.record.start() == end.start()
}

// holdOff prolongs the time in which announcements of later starts are ignored by that of an end, and reports whether it
// is longer than before.
func (registered *registeredTarget) holdOff(end *Record) bool {
	until := time.Now().Add(end.HoldsOffFor)
	if end.HoldsOffFor <= 0 || !until.After(registered.heldOffUntil) {
		return false
	}
	registered.heldOffUntil = until
	return true
}

// storeEnd stores the end of a start unless that end or a later start is known. An end of a start that
// isn't listed is published only if requested. The lock must be held.
func (registry *Registry) storeEnd(end *Record, publish bool) error {
	age, now := max(0, end.EndedFor), time.Now()
	if age >= retentionSpan {
		return nil
	}
	registered, found := registry.targets[end.ID]
	switch {
	case !found:
		if len(registry.targets) >= MaximumTargets {
			registry.logger.Warn("end of a target dropped: the registry is full", zap.String("target", end.ID))
			return newFullError()
		}
		registered = &registeredTarget{record: *end, unlisted: true}
		registry.targets[end.ID] = registered
	case !end.supersedes(&registered.record):
		return nil
	case registered.record.start() == end.start():
		registered.record.State = StateGone
	default:
		registered.record = *end
	}
	registered.record.EndedFor, registered.record.HoldsOffFor = 0, 0
	registered.lastHeardAt, registered.heldOffUntil = now.Add(-age), now.Add(end.HoldsOffFor)
	registered.unlisted = registered.unlisted && !publish
	if registered.unlisted {
		registry.markChanged(registered)
	} else {
		registry.publish(registered)
	}
	return nil
}

// adoptLeaving applies a newer announcement that another registry has of a start, if it says that the target is leaving
// and this registry lists that start as ready.
func (registry *Registry) adoptLeaving(record *Record) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	registered, found := registry.targets[record.ID]
	if !found || record.State != StateLeaving || registered.record.State != StateReady || registered.record.start() != record.start() || !record.supersedes(&registered.record) {
		return
	}
	registered.record.State, registered.record.Revision = StateLeaving, record.Revision
	registry.publish(registered)
}

// publish makes a change visible to watchers. The lock must be held.
func (registry *Registry) publish(registered *registeredTarget) {
	registry.markChanged(registered)
	close(registry.changed)
	registry.changed = make(chan struct{})
	registry.logger.Info("target", zap.String("target", registered.record.ID), zap.String("pool", registered.record.Pool), zap.String("address", registered.record.Address),
		zap.Stringer("state", registered.record.State), zap.Bool("silent", registered.record.Silent), zap.Int64("started_at", registered.record.StartedAt), zap.Uint64("target_revision", registered.record.Revision),
		zap.Duration("cold_for", registered.record.ColdFor), zap.Uint64("revision", registered.revision))
}

// markChanged assigns a change its revision, so that it is saved. The lock must be held.
func (registry *Registry) markChanged(registered *registeredTarget) {
	registry.revision++
	registered.revision = registry.revision
	select {
	case registry.saveDue <- struct{}{}:
	default:
	}
}

// Run marks silent targets and removes ended ones until ctx ends.
func (registry *Registry) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	lastSweep := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		// After a pause of the whole process, announcements that arrived in the
		// meantime have not been read yet. Round(0) selects the wall clock.
		if now.Round(0).Sub(lastSweep.Round(0)) < SilenceSpan {
			registry.sweep(now)
		} else {
			registry.resetSilence(now)
		}
		lastSweep = now
	}
}

// sweep marks targets without announcements as silent, then as unheard, and removes
// those that have been gone or unheard for retentionSpan.
func (registry *Registry) sweep(now time.Time) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	for id, registered := range registry.targets {
		silentFor := now.Sub(registered.lastHeardAt)
		ended := registered.record.State == StateGone || registered.record.State == StateUnheard
		switch {
		case ended && silentFor >= retentionSpan:
			delete(registry.targets, id)
			if !registered.unlisted {
				registry.prunedRevision = max(registry.prunedRevision, registered.revision)
			}
		case !ended && silentFor >= retentionSpan:
			registered.record.State, registered.lastHeardAt = StateUnheard, now
			registry.publish(registered)
		case !ended && !registered.record.Silent && silentFor >= SilenceSpan:
			registered.record.Silent = true
			registry.publish(registered)
		}
	}
}

// resetSilence restarts the silence timeout of every target that hasn't ended.
func (registry *Registry) resetSilence(now time.Time) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	for _, registered := range registry.targets {
		if registered.record.State != StateGone {
			registered.lastHeardAt = now
		}
	}
}

// hasPrunedSince reports whether a target that changed after a revision has been
// removed, so that a watcher at that revision needs a full reply.
func (registry *Registry) hasPrunedSince(revision uint64) bool {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	return revision < registry.prunedRevision
}

// changesSince returns the records that changed after a revision, the current
// revision, and a channel that is closed at the next change that is published. After
// revision 0 these are all records, unbound and unlisted ends included.
func (registry *Registry) changesSince(revision uint64) ([]Record, uint64, <-chan struct{}) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	now := time.Now()
	var records []Record
	for _, registered := range registry.targets {
		if revision > 0 && (registered.revision <= revision || registered.unlisted) {
			continue
		}
		record := registered.record
		record.ColdFor = max(0, registered.coldUntil.Sub(now))
		if record.State == StateGone {
			record.EndedFor, record.HoldsOffFor = now.Sub(registered.lastHeardAt), max(0, registered.heldOffUntil.Sub(now))
		}
		records = append(records, record)
	}
	return records, registry.revision, registry.changed
}
