// The part of a control process that targets announce themselves to. Each
// process knows only the targets that chose it; entries watch all of them.

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
	// SilenceSpan is how long a target may announce nothing before it counts
	// as silent: three announcements at the usual interval of about a second,
	// and a second for one that is late.
	SilenceSpan = 4500 * time.Millisecond
	// goneSpan is how long an ended target is remembered, so that a late
	// announcement doesn't bring it back, and how long a silent one is known. It is
	// longer than any announcement is held up on its way.
	goneSpan = time.Minute
	// sweepInterval is the span between two looks for silent targets.
	sweepInterval = 500 * time.Millisecond
	// MaximumTargets bounds a registry.
	MaximumTargets = 65536
)

type (
	// Registry holds the announcements that this process has received. The
	// zero value is not usable; construct it with NewRegistry.
	Registry struct {
		logger *zap.Logger
		// session tells this registry from that of an earlier process.
		session uint64

		lock sync.Mutex
		// revision numbers the changes.
		revision uint64
		// forgotten is the revision of the newest change of a target that the
		// registry knows no more.
		forgotten uint64
		targets   map[string]*registered
		changed   chan struct{}
	}

	registered struct {
		record Record
		// revision is that of the last change of what entries are told.
		revision  uint64
		heardAt   time.Time
		coldUntil time.Time
	}
)

// NewRegistry returns an empty registry. The session must differ from that of
// each earlier process at the same address.
func NewRegistry(session uint64, logger *zap.Logger) *Registry {
	return &Registry{logger: logger, session: session, targets: map[string]*registered{}, changed: make(chan struct{})}
}

// Announce takes a checked announcement. One that is older than what is known
// changes nothing; a full registry is a fault.Error.
func (registry *Registry) Announce(record Record) error {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	now := time.Now()
	known, found := registry.targets[record.ID]
	if found && !record.supersedes(&known.record) {
		return nil
	}
	if !found {
		if len(registry.targets) >= MaximumTargets {
			registry.logger.Warn("announcement dropped: the registry is full", zap.String("target", record.ID), zap.Int("targets", len(registry.targets)))
			return errFull()
		}
		known = &registered{}
		registry.targets[record.ID] = known
	}
	told := !found || differs(&known.record, &record)
	known.record, known.heardAt, known.coldUntil = record, now, now.Add(record.ColdFor)
	if told {
		registry.tell(known)
	}
	return nil
}

func errFull() error {
	return fault.New(fault.Unavailable, fmt.Sprintf("this process knows %d targets and takes no more", MaximumTargets), "announce to another control process")
}

// differs reports whether entries need to be told of a newer record.
func differs(known, record *Record) bool {
	before, after := *known, *record
	before.Revision, after.Revision = 0, 0
	// A cold span shrinks with time by itself.
	before.ColdFor, after.ColdFor = 0, 0
	return before != after || record.ColdFor > known.ColdFor
}

// End takes the word that a target has ended, or is about to. A target that
// isn't known here is remembered, because entries may know it from another
// registry.
func (registry *Registry) End(id string) error {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	known, found := registry.targets[id]
	if found && known.record.State == StateGone {
		return nil
	}
	if !found {
		if len(registry.targets) >= MaximumTargets {
			registry.logger.Warn("end of a target dropped: the registry is full", zap.String("target", id))
			return errFull()
		}
		known = &registered{record: Record{ID: id}}
		registry.targets[id] = known
	}
	known.record.State, known.heardAt = StateGone, time.Now()
	registry.tell(known)
	return nil
}

// tell makes a change visible to those who watch. The lock is held.
func (registry *Registry) tell(known *registered) {
	registry.revision++
	known.revision = registry.revision
	close(registry.changed)
	registry.changed = make(chan struct{})
	registry.logger.Info("target", zap.String("target", known.record.ID), zap.String("pool", known.record.Pool), zap.String("address", known.record.Address),
		zap.Stringer("state", known.record.State), zap.Bool("silent", known.record.Silent), zap.Int64("started_at", known.record.StartedAt), zap.Uint64("target_revision", known.record.Revision),
		zap.Duration("cold_for", known.record.ColdFor), zap.Uint64("revision", known.revision))
}

// Run finds silent targets and forgets ended ones, until ctx ends.
func (registry *Registry) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		// After a pause of the whole process the announcements that came
		// meanwhile have not been read yet.
		if now.Round(0).Sub(last.Round(0)) < SilenceSpan {
			registry.sweep(now)
		} else {
			registry.forgive(now)
		}
		last = now
	}
}

func (registry *Registry) sweep(now time.Time) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	for id, known := range registry.targets {
		quiet := now.Sub(known.heardAt)
		ended := known.record.State == StateGone || known.record.State == StateUnheard
		switch {
		case ended && quiet >= goneSpan:
			delete(registry.targets, id)
			registry.forgotten = max(registry.forgotten, known.revision)
		case !ended && quiet >= goneSpan:
			known.record.State, known.heardAt = StateUnheard, now
			registry.tell(known)
		case !ended && !known.record.Silent && quiet >= SilenceSpan:
			known.record.Silent = true
			registry.tell(known)
		}
	}
}

func (registry *Registry) forgive(now time.Time) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	for _, known := range registry.targets {
		known.heardAt = now
	}
}

// misses reports whether who knows the registry as of a revision has missed the
// end of a target.
func (registry *Registry) misses(revision uint64) bool {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	return revision < registry.forgotten
}

// since returns the records that changed after a revision, the present revision
// and what to wait on for the next change. The lock is taken here.
func (registry *Registry) since(revision uint64) ([]Record, uint64, <-chan struct{}) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	now := time.Now()
	var records []Record
	for _, known := range registry.targets {
		if known.revision <= revision {
			continue
		}
		record := known.record
		record.ColdFor = max(0, known.coldUntil.Sub(now))
		records = append(records, record)
	}
	return records, registry.revision, registry.changed
}
