// This file exists so that all entries order and digest what is known of a
// target alike, whichever way it reached them.

package blackboard

import (
	"cmp"
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

type (
	// Record is what entries tell each other of a target.
	Record struct {
		Announcement target.Announcement `msgpack:"a"`
		// Keeper is the entry that takes the target's renewals, and tells the
		// others when they end.
		Keeper string `msgpack:"k"`
		// Stamp grows with each change of Keeper or Gone that isn't a change
		// of the announcement.
		Stamp uint64 `msgpack:"s"`
		// Gone states that the target's renewals have ended.
		Gone bool `msgpack:"g"`
	}

	// Digest stands for the content of a directory: equal digests mean equal
	// content. It is the sum of the records' hashes, so that the order in
	// which changes came doesn't matter and one change costs one hash.
	Digest uint64
)

// supersedes reports whether the record replaces the other one of the same
// target. Any two differing records are ordered, and alike at all entries.
func (record *Record) supersedes(other *Record) bool {
	return cmp.Or(
		cmp.Compare(record.Announcement.Incarnation, other.Announcement.Incarnation),
		cmp.Compare(record.Announcement.Revision, other.Announcement.Revision),
		cmp.Compare(record.Stamp, other.Stamp),
		cmp.Compare(record.Keeper, other.Keeper),
		cmp.Compare(bit(record.Gone), bit(other.Gone)),
		cmp.Compare(record.Announcement.Address, other.Announcement.Address),
	) > 0
}

// digest returns the record's share of the directory's digest. Records of
// targets that are gone have none, so that each entry can drop them when it
// likes.
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

// bucket returns the part of the directory that a target belongs to.
func bucket(targetID string) int {
	return int(xxhash.Sum64String(targetID) / (math.MaxUint64/DirectoryBuckets + 1))
}

func bit(value bool) int {
	if value {
		return 1
	}
	return 0
}
