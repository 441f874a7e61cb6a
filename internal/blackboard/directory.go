// This file exists so that every entry knows every target, there being no
// list of targets elsewhere.

package blackboard

import (
	"fmt"
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// MaximumTargets bounds the targets that an entry knows.
	MaximumTargets = 32768
	// changesPerSecond and changeBurst bound the announcements of new or
	// changed targets that one entry takes; renewals aren't counted.
	changesPerSecond = 200
	changeBurst      = 400
	// goneRetention is how long it is remembered that a target is gone, so
	// that a late message doesn't bring it back.
	goneRetention = 10 * time.Minute
)

type (
	// Directory holds the newest record of each target. The zero value knows
	// none.
	Directory struct {
		lock    sync.RWMutex
		self    string
		records map[string]*known
		// pools holds the same records by pool and ID.
		pools   map[string]map[string]*known
		digest  Digest
		buckets [DirectoryBuckets]Digest
		log     changeLog
		// untold names the targets whose changes were made here and weren't
		// told to other entries yet.
		untold  map[string]bool
		changed chan struct{}
		// completed is closed once the directory was compared with another
		// entry's.
		completed  chan struct{}
		isComplete bool
		// allowance is what is left of changeBurst at allowedAt.
		allowance float64
		allowedAt time.Time
	}

	known struct {
		Record
		// until is when the record's renewals end where this entry keeps it,
		// when it counts as lost where its keeper is no member of the view,
		// and when it is forgotten where the target is gone. It is zero where
		// another entry keeps the record.
		until time.Time
	}
)

// SetSelf names this entry as the keeper of what is announced to it.
func (directory *Directory) SetSelf(self string) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	directory.self = self
}

// Complete records that the directory holds what the other entries know.
func (directory *Directory) Complete() {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	if !directory.isComplete {
		directory.isComplete = true
		close(directory.completion())
	}
}

// IsComplete reports whether Complete was called.
func (directory *Directory) IsComplete() bool {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	return directory.isComplete
}

// Completed returns a channel that is closed by Complete.
func (directory *Directory) Completed() <-chan struct{} {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	return directory.completion()
}

// completion returns the channel of Completed. The lock is held.
func (directory *Directory) completion() chan struct{} {
	if directory.completed == nil {
		directory.completed = make(chan struct{})
	}
	return directory.completed
}

// Put takes an announcement from a target and reports whether it changed what
// is known. It is refused where it contradicts what is known.
func (directory *Directory) Put(announcement target.Announcement) (bool, error) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	now := time.Now()
	until := now.Add(announcement.TTL.Std())
	present, exists := directory.records[announcement.ID]
	if !exists {
		if len(directory.records) >= MaximumTargets {
			return false, fault.New(fault.Unavailable, fmt.Sprintf("this entry knows %d targets already", MaximumTargets), "stop targets that aren't needed, then announce again")
		}
		return directory.change(Record{Announcement: announcement, Keeper: directory.self}, until)
	}
	if err := present.conflict(&announcement); err != nil {
		return false, err
	}
	record := Record{Announcement: announcement, Keeper: directory.self}
	if !announcement.Newer(&present.Announcement) {
		if present.Keeper == directory.self && !present.Gone {
			present.until = until
			return false, nil
		}
		record.Announcement, record.Stamp = present.Announcement, present.Stamp+1
	}
	return directory.change(record, until)
}

// conflict says why an announcement contradicts the record, if it does.
func (known *known) conflict(announcement *target.Announcement) error {
	present := &known.Announcement
	if present.Newer(announcement) {
		return fault.New(fault.Conflict,
			fmt.Sprintf("target %s has announced a newer incarnation or revision", announcement.ID),
			"stop the older process, or give this target an ID of its own")
	}
	if known.Gone {
		return nil
	}
	if present.Incarnation == announcement.Incarnation && present.Address != announcement.Address {
		return fault.New(fault.Conflict,
			fmt.Sprintf("target %s is known at %s in the same incarnation", announcement.ID, present.Address),
			"give each target an ID of its own, and each start a greater incarnation")
	}
	// The home depends on the failure domain, so it stays as long as the
	// target is known.
	if present.FailureDomain != announcement.FailureDomain || present.Pool != announcement.Pool {
		return fault.New(fault.Conflict,
			fmt.Sprintf("target %s is known in pool %s and failure domain %s", announcement.ID, present.Pool, present.FailureDomain),
			"give the target another ID, or let the known one leave and wait for its TTL")
	}
	return nil
}

// Leave records that a target, in an incarnation, has shown that it takes no
// new work.
func (directory *Directory) Leave(targetID string, incarnation uint64) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	present, exists := directory.records[targetID]
	if !exists || present.Gone || present.Announcement.Incarnation != incarnation || present.Announcement.State == target.Leaving {
		return
	}
	record := present.Record
	record.Announcement.State = target.Leaving
	record.Stamp++
	directory.put(record, present.until, true)
}

// Layout returns the number of shards that the pool's known targets give a
// layout; it returns false where none is known to have it. The target itself
// is left out.
func (directory *Directory) Layout(pool, layout, targetID string) (int, bool) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	for _, known := range directory.pools[pool] {
		announcement := &known.Announcement
		if !known.Gone && announcement.Layout == layout && announcement.ID != targetID {
			return announcement.Shards, true
		}
	}
	return 0, false
}

// change puts a record that a target brought, within the rate. The lock is
// held.
func (directory *Directory) change(record Record, until time.Time) (bool, error) {
	now := time.Now()
	directory.allowance = min(changeBurst, directory.allowance+now.Sub(directory.allowedAt).Seconds()*changesPerSecond)
	directory.allowedAt = now
	if directory.allowance < 1 {
		return false, fault.New(fault.Unavailable, "too many targets announce changes here", "announce again in a second")
	}
	directory.allowance--
	directory.put(record, until, true)
	return true, nil
}

// put replaces a record and notes the change, which is told to other entries
// where it was made here. The lock is held.
func (directory *Directory) put(record Record, until time.Time, local bool) {
	if directory.records == nil {
		directory.records = map[string]*known{}
		directory.pools = map[string]map[string]*known{}
	}
	id := record.Announcement.ID
	added := record.digest()
	if previous, exists := directory.records[id]; exists {
		added -= previous.digest()
		delete(directory.pools[previous.Announcement.Pool], id)
	}
	directory.digest += added
	directory.buckets[bucket(id)] += added
	replaced := &known{Record: record, until: until}
	directory.records[id] = replaced
	pool := record.Announcement.Pool
	if directory.pools[pool] == nil {
		directory.pools[pool] = map[string]*known{}
	}
	directory.pools[pool][id] = replaced
	directory.log.add(directory.digest, id)
	if local {
		if directory.untold == nil {
			directory.untold = map[string]bool{}
		}
		directory.untold[id] = true
	}
	if directory.changed != nil {
		close(directory.changed)
		directory.changed = nil
	}
}

// Merge takes records from another entry and returns how many were news.
func (directory *Directory) Merge(records []Record) int {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	news := 0
	for _, record := range records {
		id := record.Announcement.ID
		present, exists := directory.records[id]
		if exists && !record.supersedes(&present.Record) || !exists && len(directory.records) >= MaximumTargets {
			continue
		}
		news++
		var until time.Time
		if record.Gone {
			until = time.Now().Add(goneRetention)
		} else if record.Keeper == directory.self {
			// This entry kept the target before a restart, or never did: the
			// target shows itself within its TTL or is gone.
			until = time.Now().Add(record.Announcement.TTL.Std())
		}
		directory.put(record, until, false)
	}
	return news
}

// Expire marks the targets whose renewals have ended as gone, and forgets
// those that have been gone for long. isMember says whether an entry is in the
// view; the targets of a keeper that isn't have their TTL to renew elsewhere.
func (directory *Directory) Expire(isMember func(entry string) bool) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	now := time.Now()
	for id, known := range directory.records {
		if known.Keeper != directory.self && !known.Gone {
			directory.expectKeeper(known, isMember(known.Keeper), now)
		}
		if known.until.IsZero() || now.Before(known.until) {
			continue
		}
		if known.Gone {
			delete(directory.records, id)
			delete(directory.pools[known.Announcement.Pool], id)
			continue
		}
		gone := known.Record
		gone.Gone, gone.Stamp = true, gone.Stamp+1
		// The targets of an entry that has left expire alike everywhere, so
		// only what this entry kept is told.
		directory.put(gone, now.Add(goneRetention), known.Keeper == directory.self)
	}
}

// expectKeeper starts or ends the span in which a target whose keeper has
// left the view must renew elsewhere. The lock is held.
func (directory *Directory) expectKeeper(known *known, isMember bool, now time.Time) {
	switch {
	case isMember:
		known.until = time.Time{}
	case known.until.IsZero():
		known.until = now.Add(known.Announcement.TTL.Std())
	}
}

// Get returns the announcement of a target that is still valid.
func (directory *Directory) Get(id string) (target.Announcement, bool) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	known, exists := directory.records[id]
	if !exists || !known.valid(time.Now()) {
		return target.Announcement{}, false
	}
	return known.Announcement, true
}

// Pool returns the valid announcements of a pool's targets.
func (directory *Directory) Pool(pool string) []target.Announcement {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	return valid(directory.pools[pool])
}

// All returns every valid announcement.
func (directory *Directory) All() []target.Announcement {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	return valid(directory.records)
}

// Records returns every record, those of targets that are gone included.
func (directory *Directory) Records() []Record {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	records := make([]Record, 0, len(directory.records))
	for _, known := range directory.records {
		records = append(records, known.Record)
	}
	return records
}

func valid(records map[string]*known) []target.Announcement {
	now := time.Now()
	announcements := make([]target.Announcement, 0, len(records))
	for _, known := range records {
		if known.valid(now) {
			announcements = append(announcements, known.Announcement)
		}
	}
	return announcements
}

func (known *known) valid(now time.Time) bool {
	return !known.Gone && (known.until.IsZero() || now.Before(known.until))
}
