// An entry's knowledge of targets: what the registries say, joined with what
// the entry's own requests have met.

package httptarget

import (
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
		// sources holds what each registry says, by its peer address.
		sources map[string]*source
		targets map[string]*Target
		pools   map[string][]*Target
		// ended remembers the start of targets that have ended, so that a
		// registry which heard of them late doesn't bring them back.
		ended map[string]ending
		// heard states that at least one registry has answered in full.
		heard bool
	}

	source struct {
		records map[string]Record
		// doubted states that the registry has been unreachable for long, so
		// that its word for a target counts no more.
		doubted bool
	}

	ending struct {
		startedAt int64
		at        time.Time
	}
)

// NewDirectory returns a directory that knows no target.
func NewDirectory(logger *zap.Logger) *Directory {
	return &Directory{logger: logger, sources: map[string]*source{}, targets: map[string]*Target{}, pools: map[string][]*Target{}, ended: map[string]ending{}}
}

// Heard reports whether any registry has said what it knows.
func (directory *Directory) Heard() bool {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	return directory.heard
}

// Pool returns the targets of a pool that may be used at present, in no order.
func (directory *Directory) Pool(name string) []*Target {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	return directory.pools[name]
}

// Disown takes a target out of use until a newer announcement of it: something
// else has answered at its address.
func (directory *Directory) Disown(target *Target) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	if directory.targets[target.record.ID] != target {
		return
	}
	directory.logger.Info("target disowned: another one answers at its address", zap.String("target", target.record.ID), zap.String("address", target.record.Address))
	directory.end(target.record.ID, target.record.StartedAt)
	directory.join(target.record.ID)
	directory.index()
}

// take takes the reply of a registry.
func (directory *Directory) take(address string, reply *WatchReply) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	present := directory.sources[address]
	if present == nil {
		present = &source{records: map[string]Record{}}
		directory.sources[address] = present
	}
	directory.heard = true
	if len(reply.Records) == 0 && !reply.Whole && !present.doubted {
		return
	}
	changed := map[string]bool{}
	if reply.Whole || present.doubted {
		for id := range present.records {
			changed[id] = true
		}
	}
	if reply.Whole {
		present.records = map[string]Record{}
	}
	present.doubted = false
	for _, record := range reply.Records {
		changed[record.ID] = true
		if record.State == StateUnheard {
			delete(present.records, record.ID)
		} else {
			present.records[record.ID] = record
		}
	}
	for id := range changed {
		directory.join(id)
	}
	directory.index()
}

// doubt makes the word of a registry that can't be reached count no more. Where
// no registry can be reached, all are believed on: then it is this entry that
// is cut off.
func (directory *Directory) doubt(address string) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	present := directory.sources[address]
	if present == nil || present.doubted {
		return
	}
	present.doubted = true
	directory.logger.Warn("registry not believed any more", zap.String("registry", address), zap.Duration("after", unreachableSpan), zap.Int("targets", len(present.records)))
	for id := range present.records {
		directory.join(id)
	}
	directory.index()
}

// drop forgets a registry whose process has left the group.
func (directory *Directory) drop(address string) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	present := directory.sources[address]
	if present == nil {
		return
	}
	delete(directory.sources, address)
	for id := range present.records {
		directory.join(id)
	}
	directory.index()
}

// join derives one target from what all registries say of its ID. The lock is
// held.
func (directory *Directory) join(id string) {
	newest, found := directory.newest(id)
	if !found {
		directory.forget(id)
		return
	}
	silent, anyBelieved := true, false
	for _, source := range directory.sources {
		record, known := source.records[id]
		if !known || record.StartedAt != newest.StartedAt {
			continue
		}
		anyBelieved = anyBelieved || !source.doubted
		silent = silent && (record.Silent || source.doubted)
	}
	if silent && !anyBelieved && !directory.anyBelieved() {
		silent = newest.Silent
	}
	if newest.State == StateGone {
		directory.end(id, newest.StartedAt)
	}
	if ended, known := directory.ended[id]; known && newest.StartedAt <= ended.startedAt {
		directory.forget(id)
		return
	}
	directory.update(&newest, silent)
}

func (directory *Directory) anyBelieved() bool {
	for _, source := range directory.sources {
		if !source.doubted {
			return true
		}
	}
	return false
}

// newest returns what is known of the newest start of an ID: gone or leaving if
// any registry says so. The lock is held.
func (directory *Directory) newest(id string) (Record, bool) {
	var newest Record
	found := false
	for _, source := range directory.sources {
		record, known := source.records[id]
		switch {
		case !known:
		case record.State == StateGone && record.StartedAt == 0:
			// The registry didn't know which start has ended: it is the one
			// that was known when its word came.
			if target := directory.targets[id]; target != nil {
				directory.end(id, target.record.StartedAt)
			}
			delete(source.records, id)
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

func (directory *Directory) end(id string, startedAt int64) {
	now := time.Now()
	known, found := directory.ended[id]
	if !found || startedAt > known.startedAt {
		directory.ended[id] = ending{startedAt: startedAt, at: now}
	}
	for other, ended := range directory.ended {
		if now.Sub(ended.at) >= goneSpan {
			delete(directory.ended, other)
		}
	}
}

func (directory *Directory) forget(id string) {
	if target := directory.targets[id]; target != nil {
		delete(directory.targets, id)
		directory.logger.Info("target gone", zap.String("target", id), zap.String("pool", target.record.Pool))
		target.retire()
	}
}

// update puts a record in force. The lock is held.
func (directory *Directory) update(record *Record, silent bool) {
	target := directory.targets[record.ID]
	if target != nil && !target.names(record) {
		directory.forget(record.ID)
		target = nil
	}
	if target == nil {
		target = newTarget(record)
		directory.targets[record.ID] = target
		directory.logger.Info("target found", zap.String("target", record.ID), zap.String("pool", record.Pool), zap.String("address", record.Address), zap.Stringer("state", record.State))
	} else if target.record.State != record.State || target.silent != silent {
		directory.logger.Info("target changed", zap.String("target", record.ID), zap.Stringer("state", record.State), zap.Bool("silent", silent))
	}
	target.update(record, silent)
}

// names reports whether a record is of this target, and not of another one that
// goes by its ID.
func (target *Target) names(record *Record) bool {
	known := &target.record
	return known.StartedAt == record.StartedAt && known.Address == record.Address && known.Pool == record.Pool && known.FailureDomain == record.FailureDomain
}

// index makes the lists by pool anew. Of two targets at one address the one that
// started last is in use. The lock is held.
func (directory *Directory) index() {
	owners := map[string]*Target{}
	for _, target := range directory.targets {
		owner := owners[target.record.Address]
		if owner == nil || target.outlives(owner) {
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
}

// outlives reports whether a target took over the address of another one.
func (target *Target) outlives(other *Target) bool {
	if target.record.StartedAt != other.record.StartedAt {
		return target.record.StartedAt > other.record.StartedAt
	}
	return target.foundAt.After(other.foundAt)
}
