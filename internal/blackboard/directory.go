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

type (
	// Directory holds the newest announcement of each target. The zero value
	// knows none.
	Directory struct {
		lock    sync.RWMutex
		records map[string]record
	}

	record struct {
		announcement target.Announcement
		until        time.Time
	}
)

// Put takes an announcement and reports whether it changed what is known. An
// announcement older than the known one is refused.
func (directory *Directory) Put(announcement target.Announcement) (bool, error) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	if directory.records == nil {
		directory.records = map[string]record{}
	}
	until := time.Now().Add(announcement.TTL.Std())
	known, exists := directory.records[announcement.ID]
	if !exists || announcement.Newer(&known.announcement) {
		directory.records[announcement.ID] = record{announcement: announcement, until: until}
		return true, nil
	}
	if known.announcement.Newer(&announcement) {
		return false, fault.New(fault.Conflict,
			fmt.Sprintf("target %s has announced a newer incarnation or revision", announcement.ID),
			"stop the older process, or give this target an ID of its own")
	}
	known.until = until
	directory.records[announcement.ID] = known
	return false, nil
}

// Get returns the announcement of a target that is still valid.
func (directory *Directory) Get(id string) (target.Announcement, bool) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	record, known := directory.records[id]
	if !known || !time.Now().Before(record.until) {
		return target.Announcement{}, false
	}
	return record.announcement, true
}

// Pool returns the valid announcements of a pool's targets.
func (directory *Directory) Pool(pool string) []target.Announcement {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	now := time.Now()
	var announcements []target.Announcement
	for _, record := range directory.records {
		if record.announcement.Pool == pool && now.Before(record.until) {
			announcements = append(announcements, record.announcement)
		}
	}
	return announcements
}

// All returns every valid announcement.
func (directory *Directory) All() []target.Announcement {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	now := time.Now()
	var announcements []target.Announcement
	for _, record := range directory.records {
		if now.Before(record.until) {
			announcements = append(announcements, record.announcement)
		}
	}
	return announcements
}
