// The directory of targets is replicated to every entry, because no list of
// targets is stored elsewhere.

package blackboard

import (
	"fmt"
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// MaximumTargets bounds the targets in the directory.
	MaximumTargets = 32768
	// changesPerSecond and changeBurst limit the rate at which one entry
	// accepts announcements of new or changed targets. Renewals aren't counted.
	changesPerSecond = 200
	changeBurst      = 400
	// tombstoneRetention is how long the record of a target that is gone is
	// kept, so that a delayed message doesn't restore the target.
	tombstoneRetention = 10 * time.Minute
)

type (
	// Directory holds the newest record of each target. The zero value is
	// empty.
	Directory struct {
		lock    sync.RWMutex
		self    string
		records map[string]*storedRecord
		// pools indexes the same records by pool and target ID.
		pools   map[string]map[string]*storedRecord
		digest  Digest
		buckets [DirectoryBuckets]Digest
		log     changeLog
		// unsent is the set of targets whose records this entry has changed
		// since the last call of DrainLocalChanges.
		unsent map[string]bool
		// changed is closed by the next put; it is nil while nobody waits.
		changed chan struct{}
		// completed is closed by MarkComplete.
		completed  chan struct{}
		isComplete bool
		// tokens is the level of the token bucket that limits changes, as of
		// refilledAt.
		tokens     float64
		refilledAt time.Time
	}

	// storedRecord is a Record with the expiry that this entry assigns to it.
	storedRecord struct {
		Record
		// expiresAt is when the target counts as gone unless it is renewed, if
		// this entry is the keeper or the keeper is no member of the view. If
		// the target is already gone, it is when the record is deleted. It is
		// zero if another member is the keeper, which then tracks the renewals.
		expiresAt time.Time
	}
)

// SetSelf sets the ID of this entry, which becomes the keeper of the targets
// that announce themselves here.
func (directory *Directory) SetSelf(self string) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	directory.self = self
}

// MarkComplete marks the directory as synchronized with the other entries.
func (directory *Directory) MarkComplete() {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	if !directory.isComplete {
		directory.isComplete = true
		close(directory.completedChannel())
	}
}

// IsComplete reports whether MarkComplete was called.
func (directory *Directory) IsComplete() bool {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	return directory.isComplete
}

// Completed returns a channel that is closed once MarkComplete is called.
func (directory *Directory) Completed() <-chan struct{} {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	return directory.completedChannel()
}

// completedChannel returns the channel of Completed, and creates it on first
// use. The lock must be held.
func (directory *Directory) completedChannel() chan struct{} {
	if directory.completed == nil {
		directory.completed = make(chan struct{})
	}
	return directory.completed
}

// Put stores a target's announcement and reports whether the target's record
// changed; a renewal doesn't change it. It returns an error if the announcement
// conflicts with the record, the directory is full, or the rate of changes is
// exceeded.
func (directory *Directory) Put(announcement target.Announcement) (bool, error) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	now := time.Now()
	expiresAt := now.Add(announcement.TTL.Std())
	current, exists := directory.records[announcement.ID]
	if !exists {
		if len(directory.records) >= MaximumTargets {
			return false, fault.New(fault.Unavailable, fmt.Sprintf("this entry knows %d targets already", MaximumTargets), "stop targets that aren't needed, then announce again")
		}
		return directory.putRateLimited(Record{Announcement: announcement, Keeper: directory.self}, expiresAt)
	}
	if err := current.conflict(&announcement); err != nil {
		return false, err
	}
	record := Record{Announcement: announcement, Keeper: directory.self}
	if !announcement.Newer(&current.Announcement) {
		if current.Keeper == directory.self && !current.Gone {
			current.expiresAt = expiresAt
			return false, nil
		}
		record.Announcement, record.Stamp = current.Announcement, current.Stamp+1
	}
	return directory.putRateLimited(record, expiresAt)
}

// conflict returns an error if an announcement is older than the record, or changes
// what must stay the same until the target is gone or starts anew.
func (storedRecord *storedRecord) conflict(announcement *target.Announcement) error {
	current := &storedRecord.Announcement
	if current.Newer(announcement) {
		return fault.New(fault.Conflict,
			fmt.Sprintf("target %s has announced a newer incarnation or revision", announcement.ID),
			"stop the older process, or give this target an ID of its own")
	}
	if storedRecord.Gone {
		return nil
	}
	if current.Incarnation == announcement.Incarnation && current.Address != announcement.Address {
		return fault.New(fault.Conflict,
			fmt.Sprintf("target %s is known at %s in the same incarnation", announcement.ID, current.Address),
			"give each target an ID of its own, and each start a greater incarnation")
	}
	// The home depends on the failure domain, which therefore stays the same
	// until the target is gone.
	if current.FailureDomain != announcement.FailureDomain || current.Pool != announcement.Pool {
		return fault.New(fault.Conflict,
			fmt.Sprintf("target %s is known in pool %s and failure domain %s", announcement.ID, current.Pool, current.FailureDomain),
			"give the target another ID, or let the known one leave and wait for its TTL")
	}
	return nil
}

// MarkLeaving marks a target as leaving, after the given incarnation has indicated
// that it accepts no new work. It does nothing if that isn't the current incarnation.
func (directory *Directory) MarkLeaving(targetID string, incarnation uint64) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	current, exists := directory.records[targetID]
	if !exists || current.Gone || current.Announcement.Incarnation != incarnation || current.Announcement.State == target.Leaving {
		return
	}
	record := current.Record
	record.Announcement.State = target.Leaving
	record.Stamp++
	directory.put(record, current.expiresAt, true)
}

// Layout returns the number of shards that the pool's other targets announce
// for a layout, leaving out the target with the given ID. It returns false if
// none of them has the layout.
func (directory *Directory) Layout(pool, layout, targetID string) (int, bool) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	for _, stored := range directory.pools[pool] {
		announcement := &stored.Announcement
		if !stored.Gone && announcement.Layout == layout && announcement.ID != targetID {
			return announcement.Shards, true
		}
	}
	return 0, false
}

// putRateLimited stores a record announced by a target, unless the rate of
// changes is exceeded. The lock must be held.
func (directory *Directory) putRateLimited(record Record, expiresAt time.Time) (bool, error) {
	now := time.Now()
	directory.tokens = min(changeBurst, directory.tokens+now.Sub(directory.refilledAt).Seconds()*changesPerSecond)
	directory.refilledAt = now
	if directory.tokens < 1 {
		return false, fault.New(fault.Unavailable, "too many targets announce changes here", "announce again in a second")
	}
	directory.tokens--
	directory.put(record, expiresAt, true)
	return true, nil
}

// put stores a record, updates digests, indexes and the change log, and wakes
// those that wait for a change. A local change is queued for DrainLocalChanges.
// The lock must be held.
func (directory *Directory) put(record Record, expiresAt time.Time, local bool) {
	if directory.records == nil {
		directory.records = map[string]*storedRecord{}
		directory.pools = map[string]map[string]*storedRecord{}
	}
	id := record.Announcement.ID
	delta := record.digest()
	if previous, exists := directory.records[id]; exists {
		delta -= previous.digest()
		delete(directory.pools[previous.Announcement.Pool], id)
	}
	directory.digest += delta
	directory.buckets[bucketNumber(id)] += delta
	stored := &storedRecord{Record: record, expiresAt: expiresAt}
	directory.records[id] = stored
	pool := record.Announcement.Pool
	if directory.pools[pool] == nil {
		directory.pools[pool] = map[string]*storedRecord{}
	}
	directory.pools[pool][id] = stored
	directory.log.add(directory.digest, id)
	if local {
		if directory.unsent == nil {
			directory.unsent = map[string]bool{}
		}
		directory.unsent[id] = true
	}
	if directory.changed != nil {
		close(directory.changed)
		directory.changed = nil
	}
}

// Merge applies records from another entry and returns how many of them were new or
// superseded the stored ones. New records are ignored while the directory is full.
func (directory *Directory) Merge(records []Record) int {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	accepted := 0
	for _, record := range records {
		id := record.Announcement.ID
		current, exists := directory.records[id]
		if exists && !record.supersedes(&current.Record) || !exists && len(directory.records) >= MaximumTargets {
			continue
		}
		accepted++
		var expiresAt time.Time
		if record.Gone {
			expiresAt = time.Now().Add(tombstoneRetention)
		} else if record.Keeper == directory.self {
			// This entry may have been the target's keeper before a restart, or
			// never. Unless the target announces itself within its TTL, it is
			// gone.
			expiresAt = time.Now().Add(record.Announcement.TTL.Std())
		}
		directory.put(record, expiresAt, false)
	}
	return accepted
}

// Expire marks targets that weren't renewed in time as gone, and deletes records
// of gone targets after tombstoneRetention. isMember reports whether an entry is
// in the view. If a target's keeper has left the view, the target has one TTL to
// renew at another entry.
func (directory *Directory) Expire(isMember func(entry string) bool) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	now := time.Now()
	for id, stored := range directory.records {
		if stored.Keeper != directory.self && !stored.Gone {
			directory.updateOrphanExpiry(stored, isMember(stored.Keeper), now)
		}
		if stored.expiresAt.IsZero() || now.Before(stored.expiresAt) {
			continue
		}
		if stored.Gone {
			delete(directory.records, id)
			delete(directory.pools[stored.Announcement.Pool], id)
			continue
		}
		expired := stored.Record
		expired.Gone, expired.Stamp = true, expired.Stamp+1
		// All entries expire the targets of a keeper that has left, so only
		// the expiry of this entry's own targets is sent to the others.
		directory.put(expired, now.Add(tombstoneRetention), stored.Keeper == directory.self)
	}
}

// updateOrphanExpiry starts the TTL within which a target must renew at another
// entry after its keeper has left the view, or clears it if the keeper is a
// member. The lock must be held.
func (directory *Directory) updateOrphanExpiry(storedRecord *storedRecord, isMember bool, now time.Time) {
	switch {
	case isMember:
		storedRecord.expiresAt = time.Time{}
	case storedRecord.expiresAt.IsZero():
		storedRecord.expiresAt = now.Add(storedRecord.Announcement.TTL.Std())
	}
}

// Get returns a target's announcement, if the target is neither gone nor
// expired.
func (directory *Directory) Get(id string) (target.Announcement, bool) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	stored, exists := directory.records[id]
	if !exists || !stored.isValid(time.Now()) {
		return target.Announcement{}, false
	}
	return stored.Announcement, true
}

// Pool returns the announcements of a pool's targets that are neither gone nor
// expired.
func (directory *Directory) Pool(pool string) []target.Announcement {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	return validAnnouncements(directory.pools[pool])
}

// All returns the announcements of all targets that are neither gone nor
// expired.
func (directory *Directory) All() []target.Announcement {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	return validAnnouncements(directory.records)
}

// Records returns all records, including those of targets that are gone.
func (directory *Directory) Records() []Record {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	records := make([]Record, 0, len(directory.records))
	for _, stored := range directory.records {
		records = append(records, stored.Record)
	}
	return records
}

// validAnnouncements returns the announcements of the records that are valid now.
func validAnnouncements(records map[string]*storedRecord) []target.Announcement {
	now := time.Now()
	announcements := make([]target.Announcement, 0, len(records))
	for _, storedRecord := range records {
		if storedRecord.isValid(now) {
			announcements = append(announcements, storedRecord.Announcement)
		}
	}
	return announcements
}

// isValid reports whether the target is neither gone nor expired.
func (storedRecord *storedRecord) isValid(now time.Time) bool {
	return !storedRecord.Gone && (storedRecord.expiresAt.IsZero() || now.Before(storedRecord.expiresAt))
}
