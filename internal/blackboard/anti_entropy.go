// Anti-entropy between directories: entries compare short digests, and exchange
// only the records that differ.

package blackboard

const (
	// DirectoryBuckets is the number of buckets by which two directories are
	// compared if the change log no longer contains the peer's digest. Each bucket
	// holds the targets whose ID hashes are in one range.
	DirectoryBuckets = 256
	// logLength is the number of newest changes that the change log always
	// retains. It has room for one change of each target at the planned size
	// of 12,000 targets, so that entries that applied the same changes in a
	// different order need no reconciliation.
	logLength = 16384
)

type (
	// changeLog holds the newest changes, oldest first. It is truncated to
	// logLength each time it reaches twice that. The zero value is empty.
	changeLog struct {
		changes []loggedChange
	}

	// loggedChange is a change of one target's record.
	loggedChange struct {
		// before and after are the directory's digests before and after the
		// change.
		before, after Digest
		targetID      string
	}

	// Summary holds the digest of a whole directory and of each bucket.
	Summary struct {
		Digest  Digest   `msgpack:"d"`
		Buckets []Digest `msgpack:"b,omitempty"`
	}
)

func (changeLog *changeLog) add(after Digest, targetID string) {
	var before Digest
	if last := len(changeLog.changes) - 1; last >= 0 {
		before = changeLog.changes[last].after
	}
	changeLog.changes = append(changeLog.changes, loggedChange{before: before, after: after, targetID: targetID})
	if len(changeLog.changes) >= 2*logLength {
		changeLog.changes = append([]loggedChange(nil), changeLog.changes[logLength:]...)
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

// Since returns the records that have changed since the directory had the
// given digest. It returns false if the change log doesn't contain that digest.
func (directory *Directory) Since(digest Digest) ([]Record, bool) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	changes := directory.log.changes
	for index := len(changes) - 1; index >= 0; index-- {
		if changes[index].before == digest {
			return directory.currentRecords(changes[index:]), true
		}
	}
	return nil, false
}

// Differing returns this directory's records in the buckets whose digests differ from
// the peer's, and the numbers of these buckets. It returns nothing if the peer's
// summary doesn't have DirectoryBuckets buckets.
func (directory *Directory) Differing(peer Summary) (records []Record, numbers []int) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	if len(peer.Buckets) != DirectoryBuckets {
		return nil, nil
	}
	isDiffering := [DirectoryBuckets]bool{}
	for number, digest := range peer.Buckets {
		if directory.buckets[number] != digest {
			isDiffering[number] = true
			numbers = append(numbers, number)
		}
	}
	return directory.inBuckets(&isDiffering), numbers
}

// Buckets returns the records in the given buckets; numbers out of range are
// ignored.
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

// inBuckets returns the records in the wanted buckets. The lock must be held.
func (directory *Directory) inBuckets(wanted *[DirectoryBuckets]bool) []Record {
	var records []Record
	for id, stored := range directory.records {
		if wanted[bucketNumber(id)] {
			records = append(records, stored.Record)
		}
	}
	return records
}

// DrainLocalChanges returns the records that this entry has changed since the
// previous call, for sending to the other entries. Changes merged from other
// entries aren't included.
func (directory *Directory) DrainLocalChanges() []Record {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	var records []Record
	for id := range directory.unsent {
		if stored, exists := directory.records[id]; exists {
			records = append(records, stored.Record)
		}
	}
	directory.unsent = nil
	return records
}

// Changed returns a channel that is closed at the next change of any record.
func (directory *Directory) Changed() <-chan struct{} {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	if directory.changed == nil {
		directory.changed = make(chan struct{})
	}
	return directory.changed
}

// currentRecords returns the current records of the targets that were changed, each
// once. The lock must be held.
func (directory *Directory) currentRecords(changes []loggedChange) []Record {
	seen := map[string]bool{}
	var records []Record
	for _, change := range changes {
		stored, exists := directory.records[change.targetID]
		if exists && !seen[change.targetID] {
			seen[change.targetID] = true
			records = append(records, stored.Record)
		}
	}
	return records
}
