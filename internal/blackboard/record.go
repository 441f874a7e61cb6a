// Ordering and digests of records are the same at all entries, whatever the
// order in which records arrive, so that directories converge.

package blackboard

import (
	"cmp"
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

type (
	// Record is the state of a target that entries replicate to each other.
	Record struct {
		Announcement target.Announcement `msgpack:"a"`
		// Keeper is the entry that receives the target's renewals, and informs
		// the others when they end.
		Keeper string `msgpack:"k"`
		// Stamp orders records of one incarnation and revision. It grows when
		// an entry changes the keeper, Gone or the state without a new
		// announcement.
		Stamp uint64 `msgpack:"s"`
		// Gone is true if the target's renewals have ended.
		Gone bool `msgpack:"g"`
	}

	// Digest identifies the content of a directory: equal digests mean equal
	// content. It is the sum of the hashes of the records, so it doesn't depend
	// on the order of changes, and a change updates it without a full rehash.
	Digest uint64
)

// supersedes reports whether the record replaces another one of the same
// target. Any two differing records are ordered, in the same way at all entries.
func (record *Record) supersedes(other *Record) bool {
	return cmp.Or(
		cmp.Compare(record.Announcement.Incarnation, other.Announcement.Incarnation),
		cmp.Compare(record.Announcement.Revision, other.Announcement.Revision),
		cmp.Compare(record.Stamp, other.Stamp),
		cmp.Compare(record.Keeper, other.Keeper),
		cmp.Compare(boolToInt(record.Gone), boolToInt(other.Gone)),
		cmp.Compare(record.Announcement.Address, other.Announcement.Address),
	) > 0
}

// digest returns the record's contribution to the directory's digest. It is
// zero for targets that are gone, so that each entry can delete their records
// at a time of its own.
func (record *Record) digest() Digest {
	if record.Gone {
		return 0
	}
	announcement := &record.Announcement
	hash := xxhash.New()
	_, _ = hash.WriteString(announcement.ID + "\x00" + announcement.Address + "\x00" + record.Keeper + "\x00" + string(announcement.State))
	var numbers [24]byte
	binary.LittleEndian.PutUint64(numbers[0:], announcement.Incarnation)
	binary.LittleEndian.PutUint64(numbers[8:], announcement.Revision)
	binary.LittleEndian.PutUint64(numbers[16:], record.Stamp)
	_, _ = hash.Write(numbers[:])
	return Digest(hash.Sum64())
}

// bucketNumber returns the number of the directory's bucket that a target
// belongs to.
func bucketNumber(targetID string) int {
	return int(xxhash.Sum64String(targetID) / (math.MaxUint64/DirectoryBuckets + 1))
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}
