// An entry's directory of targets, merged from the records of all registries.

package httptarget

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

type (
	// Directory holds the targets that an entry may use, by pool. Construct it
	// with NewDirectory.
	Directory struct {
		logger *zap.Logger

		lock sync.Mutex
		// sources holds the records of each registry, by its peer address.
		sources map[string]*source
		targets map[string]*Target
		pools   map[string][]*Target
		// ended holds the latest start of each target that has ended, by target ID, for
		// retentionSpan. Records of that start and earlier ones are ignored, whichever registry has them.
		ended map[string]endedStart
		// releases holds the releases that the targets of each pool have, by pool and release.
		releases map[string]map[string]*seenRelease
		// tracksReleases is true if fresh releases are determined.
		tracksReleases bool
		// synced is true once a registry has replied.
		synced bool
		// ignoredRecords counts the invalid records that registries have sent.
		ignoredRecords int
	}

	// source is the state of one registry as last received.
	source struct {
		records map[string]receivedRecord
		// stale is true while the registry has been unreachable for
		// unreachableSpan or longer; its records then count as silent.
		stale bool
	}

	// receivedRecord is a record with the end of its cold start by this process's clock.
	receivedRecord struct {
		Record
		coldUntil time.Time
	}

	// endedStart is the latest start of a target that has ended.
	endedStart struct {
		// startedAt is Record.StartedAt of that start.
		startedAt int64
		// endedAt is when the end was taken.
		endedAt time.Time
	}
)

// NewDirectory returns an empty directory.
func NewDirectory(logger *zap.Logger) *Directory {
	return &Directory{logger: logger, sources: map[string]*source{}, targets: map[string]*Target{}, pools: map[string][]*Target{}, ended: map[string]endedStart{}, releases: map[string]map[string]*seenRelease{}}
}

// Synced reports whether any registry has replied, so that the directory can be
// used.
func (directory *Directory) Synced() bool {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	return directory.synced
}

// IgnoredRecords returns the number of invalid records that registries have sent.
func (directory *Directory) IgnoredRecords() int {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	return directory.ignoredRecords
}

// Pool returns the targets of a pool that may be used now, in no particular order.
func (directory *Directory) Pool(name string) []*Target {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	return directory.pools[name]
}

// InUse reports whether a target from Pool may still be used.
func (directory *Directory) InUse(target *Target) bool {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	return directory.inUse(target)
}

// inUse reports whether a target may be used now. The lock must be held.
func (directory *Directory) inUse(target *Target) bool {
	return slices.Contains(directory.pools[target.record.Pool], target)
}

// Find returns the target with an ID that started at a time, or nil if it may not be used now.
func (directory *Directory) Find(id string, startedAt int64) *Target {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	target := directory.targets[id]
	if target == nil || target.record.StartedAt != startedAt || !directory.inUse(target) {
		return nil
	}
	return target
}

// Exclude removes a target because another one has answered at its address. Further
// announcements of the same start are ignored for at least retentionSpan.
func (directory *Directory) Exclude(target *Target) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	if directory.targets[target.record.ID] != target {
		return
	}
	directory.logger.Info("target excluded: another target answers at its address", zap.String("target", target.record.ID), zap.String("address", target.record.Address))
	directory.markEnded(target.record.ID, target.record.StartedAt, 0)
	directory.merge(target.record.ID)
	directory.rebuildPools()
}

// apply applies a registry's reply to the directory.
func (directory *Directory) apply(address string, reply *WatchReply) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	existing := directory.sources[address]
	if existing == nil {
		existing = &source{records: map[string]receivedRecord{}}
		directory.sources[address] = existing
	}
	directory.synced = true
	directory.expireEnds()
	if len(reply.Records) == 0 && !reply.Full && !existing.stale {
		return
	}
	changed := map[string]bool{}
	if reply.Full || existing.stale {
		for id := range existing.records {
			changed[id] = true
		}
	}
	if reply.Full {
		existing.records = map[string]receivedRecord{}
	}
	existing.stale = false
	now := time.Now()
	for _, record := range reply.Records {
		if err := record.checkStored(); err != nil {
			directory.ignoredRecords++
			directory.logger.Warn("record of a target ignored", zap.String("registry", address), zap.String("target", record.ID[:min(len(record.ID), MaximumIDBytes)]), zap.Error(err))
			continue
		}
		changed[record.ID] = true
		switch record.State {
		case StateGone:
			delete(existing.records, record.ID)
			directory.applyEnd(&record)
		case StateUnheard:
			delete(existing.records, record.ID)
		case StateReady, StateLeaving:
			existing.records[record.ID] = receivedRecord{Record: record, coldUntil: now.Add(record.ColdFor)}
		}
	}
	for id := range changed {
		directory.merge(id)
	}
	directory.rebuildPools()
}

// applyEnd applies the record of an end. The lock must be held.
func (directory *Directory) applyEnd(end *Record) {
	if !end.isUnboundEnd() {
		directory.markEnded(end.ID, end.StartedAt, max(0, end.EndedFor))
		return
	}
	// The registry runs an older build and had no record of the start that ended, so it is
	// taken to be the one in this directory.
	if target := directory.targets[end.ID]; target != nil {
		directory.markEnded(end.ID, target.record.StartedAt, 0)
	}
}

// markStale marks the records of an unreachable registry as stale, so that its
// targets count as silent. If all registries are unreachable, this entry is probably
// partitioned itself, and merge keeps using the records as last received.
func (directory *Directory) markStale(address string) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	existing := directory.sources[address]
	if existing == nil || existing.stale {
		return
	}
	existing.stale = true
	directory.logger.Warn("registry not believed any more", zap.String("registry", address), zap.Duration("after", unreachableSpan), zap.Int("targets", len(existing.records)))
	for id := range existing.records {
		directory.merge(id)
	}
	directory.rebuildPools()
}

// removeSource removes a registry whose process has left the group.
func (directory *Directory) removeSource(address string) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	existing := directory.sources[address]
	if existing == nil {
		return
	}
	delete(directory.sources, address)
	for id := range existing.records {
		directory.merge(id)
	}
	directory.rebuildPools()
}

// merge updates one target from the records of all registries for its ID, or removes
// it if none is left or its latest start has ended. The target is silent if each
// registry that has its latest start is stale or reports it as silent. If all
// registries are stale, the newest record decides. The lock must be held.
func (directory *Directory) merge(id string) {
	newest, found := directory.newest(id)
	if !found {
		directory.removeTarget(id)
		return
	}
	silent, reportedFresh := true, false
	for _, source := range directory.sources {
		record, ok := source.records[id]
		if !ok || record.StartedAt != newest.StartedAt {
			continue
		}
		reportedFresh = reportedFresh || !source.stale
		silent = silent && (record.Silent || source.stale)
	}
	if silent && !reportedFresh && !directory.anyFresh() {
		silent = newest.Silent
	}
	if ended, ok := directory.ended[id]; ok && newest.StartedAt <= ended.startedAt {
		directory.removeTarget(id)
		return
	}
	directory.update(&newest, silent)
}

// anyFresh reports whether any registry is not stale. The lock must be held.
func (directory *Directory) anyFresh() bool {
	for _, source := range directory.sources {
		if !source.stale {
			return true
		}
	}
	return false
}

// newest returns the merged record of the latest start of an ID, and whether there is
// one. Its state is leaving if any registry reports that. The lock must be held.
func (directory *Directory) newest(id string) (receivedRecord, bool) {
	var newest receivedRecord
	found := false
	for _, source := range directory.sources {
		record, reported := source.records[id]
		switch {
		case !reported:
		case !found || record.StartedAt > newest.StartedAt:
			newest, found = record, true
		case record.StartedAt == newest.StartedAt:
			state := max(record.State, newest.State)
			if record.Revision > newest.Revision {
				newest = record
			}
			newest.State = state
		}
	}
	return newest, found
}

// markEnded records the end of a start that was taken some time ago, unless that of the same or a later start is
// recorded. The lock must be held.
func (directory *Directory) markEnded(id string, startedAt int64, age time.Duration) {
	previous, found := directory.ended[id]
	if age < retentionSpan && (!found || startedAt > previous.startedAt) {
		directory.ended[id] = endedStart{startedAt: startedAt, endedAt: time.Now().Add(-age)}
	}
}

// expireEnds forgets the ends that are older than retentionSpan. A target that still announces itself is then
// used again. The lock must be held.
func (directory *Directory) expireEnds() {
	now, expired := time.Now(), false
	for id, ended := range directory.ended {
		if now.Sub(ended.endedAt) >= retentionSpan {
			delete(directory.ended, id)
			directory.merge(id)
			expired = true
		}
	}
	if expired {
		directory.rebuildPools()
	}
}

// removeTarget removes a target, if present, and closes its idle connections. The
// lock must be held.
func (directory *Directory) removeTarget(id string) {
	if target := directory.targets[id]; target != nil {
		delete(directory.targets, id)
		directory.logger.Info("target gone", zap.String("target", id), zap.String("pool", target.record.Pool))
		target.closeConnections()
	}
}

// update adds a target or applies a newer record to it. If the record describes
// another target with the same ID, that one replaces it. The lock must be held.
func (directory *Directory) update(record *receivedRecord, silent bool) {
	target := directory.targets[record.ID]
	if target != nil && !target.matches(&record.Record) {
		directory.removeTarget(record.ID)
		target = nil
	}
	if target == nil {
		target = newTarget(&record.Record)
		directory.targets[record.ID] = target
		directory.logger.Info("target found", zap.String("target", record.ID), zap.String("pool", record.Pool), zap.String("address", record.Address), zap.Stringer("state", record.State))
	} else if target.record.State != record.State || target.silent != silent {
		directory.logger.Info("target changed", zap.String("target", record.ID), zap.Stringer("state", record.State), zap.Bool("silent", silent))
	}
	target.update(record, silent)
}

// matches reports whether a record describes this target, and not another one with
// the same ID.
func (target *Target) matches(record *Record) bool {
	current := &target.record
	return current.StartedAt == record.StartedAt && current.Address == record.Address && current.Pool == record.Pool && current.FailureDomain == record.FailureDomain
}

// rebuildPools rebuilds the lists by pool. Of several targets at one address only
// the one that started last is used. The lock must be held.
func (directory *Directory) rebuildPools() {
	owners := map[string]*Target{}
	for _, target := range directory.targets {
		owner := owners[target.record.Address]
		if owner == nil || target.supersedes(owner) {
			owners[target.record.Address] = target
		}
	}
	pools := map[string][]*Target{}
	for _, target := range owners {
		if target.record.State == StateReady && !target.silent {
			pools[target.record.Pool] = append(pools[target.record.Pool], target)
		}
	}
	directory.pools = pools
	if directory.tracksReleases {
		directory.updateReleases(time.Now())
	}
}

// supersedes reports whether a target started after another one at the same
// address.
func (target *Target) supersedes(other *Target) bool {
	if target.record.StartedAt != other.record.StartedAt {
		return target.record.StartedAt > other.record.StartedAt
	}
	return target.foundAt.After(other.foundAt)
}
