// This file exists so that two entries find out in few bytes whether their
// directories are equal, and if not, what differs.

package blackboard

const (
	// DirectoryBuckets is the number of parts that a directory is compared by
	// where the log doesn't reach back far enough.
	DirectoryBuckets = 256
	// logLength bounds the changes that a directory remembers. It has room for
	// a change of each target at the size to come, 12,000, so that entries
	// which took the same changes in another order need no reconciliation.
	logLength = 16384
)

type (
	// changeLog is a ring of the newest changes. The zero value is empty.
	changeLog struct {
		entries []logEntry
	}

	logEntry struct {
		// before and after are the directory's digests around the change.
		before, after Digest
		targetID      string
	}

	// Summary is a directory's digest, whole and by bucket.
	Summary struct {
		Digest  Digest   `msgpack:"d"`
		Buckets []Digest `msgpack:"b,omitempty"`
	}
)

func (changeLog *changeLog) add(after Digest, targetID string) {
	var before Digest
	if last := len(changeLog.entries) - 1; last >= 0 {
		before = changeLog.entries[last].after
	}
	changeLog.entries = append(changeLog.entries, logEntry{before: before, after: after, targetID: targetID})
	if len(changeLog.entries) >= 2*logLength {
		changeLog.entries = append([]logEntry(nil), changeLog.entries[logLength:]...)
	}
}

// Digest returns the digest of the whole directory.
func (directory *Directory) Digest() Digest {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	return directory.digest
}

// Summary returns the digests of the directory and its buckets.
func (directory *Directory) Summary() Summary {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	return Summary{Digest: directory.digest, Buckets: append([]Digest(nil), directory.buckets[:]...)}
}

// Since returns the records that have changed since the directory had a
// digest; it returns false where the log doesn't reach back to it.
func (directory *Directory) Since(digest Digest) ([]Record, bool) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	entries := directory.log.entries
	for index := len(entries) - 1; index >= 0; index-- {
		if entries[index].before == digest {
			return directory.named(entries[index:]), true
		}
	}
	return nil, false
}

// Differing returns the records of the buckets in which a peer's directory
// differs, and the numbers of those buckets.
func (directory *Directory) Differing(peer Summary) (records []Record, differing []int) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	if len(peer.Buckets) != DirectoryBuckets {
		return nil, nil
	}
	isDiffering := [DirectoryBuckets]bool{}
	for number, digest := range peer.Buckets {
		if directory.buckets[number] != digest {
			isDiffering[number] = true
			differing = append(differing, number)
		}
	}
	return directory.inBuckets(&isDiffering), differing
}

// Buckets returns the records of some buckets.
func (directory *Directory) Buckets(numbers []int) []Record {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	wanted := [DirectoryBuckets]bool{}
	for _, number := range numbers {
		if number >= 0 && number < DirectoryBuckets {
			wanted[number] = true
		}
	}
	return directory.inBuckets(&wanted)
}

func (directory *Directory) inBuckets(wanted *[DirectoryBuckets]bool) []Record {
	var records []Record
	for id, known := range directory.records {
		if wanted[bucket(id)] {
			records = append(records, known.Record)
		}
	}
	return records
}

// TakeChangedHere returns the records that this entry has changed since the
// last call.
func (directory *Directory) TakeChangedHere() []Record {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	var records []Record
	for id := range directory.untold {
		if known, exists := directory.records[id]; exists {
			records = append(records, known.Record)
		}
	}
	directory.untold = nil
	return records
}

// Changed returns a channel that is closed at the next change.
func (directory *Directory) Changed() <-chan struct{} {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	if directory.changed == nil {
		directory.changed = make(chan struct{})
	}
	return directory.changed
}

// named returns the present records that log entries name, each once.
func (directory *Directory) named(entries []logEntry) []Record {
	seen := map[string]bool{}
	var records []Record
	for _, entry := range entries {
		known, exists := directory.records[entry.targetID]
		if exists && !seen[entry.targetID] {
			seen[entry.targetID] = true
			records = append(records, known.Record)
		}
	}
	return records
}
