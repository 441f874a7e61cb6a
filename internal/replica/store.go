// The interface between the driver and its durable storage, and a store in memory.

package replica

import (
	"crypto/rand"
	"encoding/hex"
)

type (
	// durableState is the state that must survive a restart.
	durableState struct {
		id       string
		hard     hardState
		snapshot snapshot
		entries  []entry
	}

	// store makes a replica's records durable. After an error it must not be used any more.
	store interface {
		// append makes records durable after the existing ones.
		append(hard *hardState, entries []entry) error
		// rewrite replaces all records.
		rewrite(state *durableState) error
		// writtenBytes returns the bytes appended since the last rewrite, and the bytes that the
		// rewrite wrote.
		writtenBytes() (appended, rewritten int64)
		// discard sets all records aside, because they must not be used.
		discard() error
		close() error
	}

	// memoryStore is a store in memory, which lasts as long as the process.
	memoryStore struct {
		appendedBytes int64
	}
)

func (memoryStore *memoryStore) append(_ *hardState, entries []entry) error {
	for _, entry := range entries {
		memoryStore.appendedBytes += int64(len(entry.Data))
	}
	return nil
}

func (memoryStore *memoryStore) rewrite(*durableState) error {
	memoryStore.appendedBytes = 0
	return nil
}

func (memoryStore *memoryStore) writtenBytes() (appended, rewritten int64) {
	return memoryStore.appendedBytes, 0
}

func (memoryStore *memoryStore) discard() error { return nil }

func (memoryStore *memoryStore) close() error { return nil }

// newID returns an ID that no other disk has, so that a replica whose disk is lost is never taken
// for its former self.
func newID(name string) string {
	var incarnation [8]byte
	_, _ = rand.Read(incarnation[:])
	return name + "#" + hex.EncodeToString(incarnation[:])
}
