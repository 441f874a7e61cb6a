// The in-memory log and the conversion of its indexes to positions.

package replica

import "github.com/vmihailenco/msgpack/v5"

const (
	// entryCommand carries a command for the state machine.
	entryCommand entryKind = iota + 1
	// entryMembers carries the group's members. It takes effect once appended.
	entryMembers
	// entryEmpty is the first entry of a leader's term.
	entryEmpty
)

type (
	entryKind uint8

	entry struct {
		Index uint64    `msgpack:"i"`
		Term  uint64    `msgpack:"t"`
		Kind  entryKind `msgpack:"k"`
		Data  []byte    `msgpack:"d"`
	}

	// member is one replica of the group.
	member struct {
		ID      string `msgpack:"i"`
		Address string `msgpack:"a"`
		// Voter is false for a learner, which receives the log but doesn't count toward a quorum.
		Voter bool `msgpack:"v"`
	}

	// membership is the list of members that is in effect from an index on.
	membership struct {
		index   uint64
		members []member
	}

	// snapshot is the state machine's state after the entry at an index.
	snapshot struct {
		Index   uint64   `msgpack:"i"`
		Term    uint64   `msgpack:"t"`
		Members []member `msgpack:"m"`
		Data    []byte   `msgpack:"d"`
	}

	// entryLog holds the entries whose indexes are greater than offset. offsetTerm is the term of the
	// entry at offset. The zero value is empty.
	entryLog struct {
		offset     uint64
		offsetTerm uint64
		entries    []entry
	}
)

// lastIndex returns the index of the last entry, or the offset if there are no entries.
func (log *entryLog) lastIndex() uint64 {
	return log.offset + uint64(len(log.entries))
}

func (log *entryLog) lastTerm() uint64 {
	term, _ := log.term(log.lastIndex())
	return term
}

// term returns the term of the entry at an index. It is unknown before the offset and after the
// last entry.
func (log *entryLog) term(index uint64) (term uint64, known bool) {
	if index == log.offset {
		return log.offsetTerm, true
	}
	if index < log.offset || index > log.lastIndex() {
		return 0, false
	}
	return log.entries[index-log.offset-1].Term, true
}

// entriesFrom returns entries starting at an index, up to a number of bytes, but at least one if
// there is one.
func (log *entryLog) entriesFrom(index uint64, maximumBytes int) []entry {
	if index <= log.offset || index > log.lastIndex() {
		return nil
	}
	entries := log.entries[index-log.offset-1:]
	size := 0
	for count := range entries {
		size += len(entries[count].Data)
		if count > 0 && size > maximumBytes {
			return entries[:count:count]
		}
	}
	return entries[:len(entries):len(entries)]
}

// append adds entries. It first drops the existing entries from the index of the first added one on.
func (log *entryLog) append(entries ...entry) {
	keep := entries[0].Index - log.offset - 1
	log.entries = append(log.entries[:keep:keep], entries...)
}

// reset drops all entries and starts after an index.
func (log *entryLog) reset(index, term uint64) {
	*log = entryLog{offset: index, offsetTerm: term}
}

// compact drops the entries up to and including an index.
func (log *entryLog) compact(index uint64) {
	term, known := log.term(index)
	if !known || index <= log.offset {
		return
	}
	log.entries = append([]entry(nil), log.entries[index-log.offset:]...)
	log.offset, log.offsetTerm = index, term
}

func encodeMembers(members []member) []byte {
	encoded, err := msgpack.Marshal(members)
	if err != nil {
		panic(err) // plain structs always encode
	}
	return encoded
}
