// The store on a disk, and the format of its records.

package replica

import (
	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/internal/disk"
)

type (
	// record is one record on the disk. Later records override earlier ones.
	record struct {
		ID       string     `msgpack:"i,omitempty"`
		Hard     *hardState `msgpack:"h,omitempty"`
		Snapshot *snapshot  `msgpack:"s,omitempty"`
		// Entries replace the log from the index of the first one on.
		Entries []entry `msgpack:"e,omitempty"`
	}

	// diskStore is a store on a disk.
	diskStore struct {
		log *disk.Log
	}
)

// load returns the state on the disk, or nil if the disk doesn't hold a member of a group.
func (diskStore *diskStore) load() (*durableState, error) {
	var state durableState
	var log entryLog
	for _, encoded := range diskStore.log.Records() {
		var decoded record
		if err := msgpack.Unmarshal(encoded, &decoded); err != nil {
			return nil, errors.Wrap(err, "decode a record of the log; run the release that wrote it or a newer one")
		}
		if decoded.ID != "" {
			state.id = decoded.ID
		}
		if decoded.Hard != nil {
			state.hard = *decoded.Hard
		}
		if decoded.Snapshot != nil {
			state.snapshot = *decoded.Snapshot
			log.reset(state.snapshot.Index, state.snapshot.Term)
		}
		if len(decoded.Entries) > 0 {
			log.append(decoded.Entries...)
		}
	}
	state.entries = log.entries
	if len(state.snapshot.Members) == 0 && len(state.entries) == 0 {
		return nil, nil
	}
	return &state, nil
}

func (diskStore *diskStore) append(hard *hardState, entries []entry) error {
	encoded, err := msgpack.Marshal(&record{Hard: hard, Entries: entries})
	if err != nil {
		return err
	}
	return diskStore.log.Append(encoded)
}

func (diskStore *diskStore) rewrite(state *durableState) error {
	head, err := msgpack.Marshal(&record{ID: state.id, Hard: &state.hard, Snapshot: &state.snapshot})
	if err != nil {
		return err
	}
	tail, err := msgpack.Marshal(&record{Entries: state.entries})
	if err != nil {
		return err
	}
	return diskStore.log.Rewrite(head, tail)
}

func (diskStore *diskStore) writtenBytes() (appended, rewritten int64) { return diskStore.log.Sizes() }

func (diskStore *diskStore) discard() error { return diskStore.log.Discard() }

func (diskStore *diskStore) close() error { return diskStore.log.Close() }
