// The record of a target: its validation and the order of two records of one ID.

package httptarget

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

// States of a target.
const (
	// StateReady is a target that takes new requests.
	StateReady State = iota + 1
	// StateLeaving is a target that finishes its requests and gets no new ones.
	StateLeaving
	// StateGone is a target that has ended.
	StateGone
	// StateUnheard is set by a registry that has had no announcement from the target
	// for retentionSpan; directories then drop its record. The target may announce
	// itself to another registry.
	StateUnheard
)

const (
	// MaximumIDBytes bounds a target's ID and the names in its record.
	MaximumIDBytes = 128
	// MaximumSlots bounds the number of concurrent requests that a target may announce.
	MaximumSlots = 65536
	// MaximumColdSpan bounds the length of the cold start that a target may announce.
	MaximumColdSpan = time.Hour
)

type (
	// State is the state of a target.
	State uint8

	// Record is the latest announcement of a target as a registry holds it.
	Record struct {
		ID            string `msgpack:"i"`
		Pool          string `msgpack:"p,omitempty"`
		Address       string `msgpack:"a,omitempty"`
		FailureDomain string `msgpack:"f,omitempty"`
		// Release is the version of the target's software.
		Release string `msgpack:"r,omitempty"`
		Slots   int    `msgpack:"c,omitempty"`
		State   State  `msgpack:"s"`
		// Silent is true if the registry that sent the record has had no announcement
		// from the target for SilenceSpan.
		Silent bool `msgpack:"z,omitempty"`
		// StartedAt is when the target's process started, in milliseconds of
		// Unix time by its own clock; zero if unknown. A later start under the same
		// ID or at the same address is another target.
		StartedAt int64 `msgpack:"b,omitempty"`
		// Revision increases with each announcement of one start.
		Revision uint64 `msgpack:"q,omitempty"`
		// ColdFor is how long the target stays in cold start, in which it gets requests
		// at a limited rate, counted from when the record was created or last sent.
		ColdFor time.Duration `msgpack:"w,omitempty"`
		// EndedFor is the time since the end of a target was taken, counted until the record was last sent or saved.
		EndedFor time.Duration `msgpack:"e,omitempty"`
		// HoldsOffFor is how long announcements of later starts are still ignored after the end of a target, counted
		// from when the record was created or last sent or saved.
		HoldsOffFor time.Duration `msgpack:"h,omitempty"`
	}
)

// DecodeMsgpack implements msgpack.CustomDecoder. A record whose fields can't be decoded becomes one without an ID, which
// checkStored rejects, so that the records beside it are still read.
func (record *Record) DecodeMsgpack(decoder *msgpack.Decoder) error {
	type fields Record
	encoded, err := decoder.DecodeRaw()
	if err != nil {
		return err
	}
	var decoded fields
	if err := msgpack.Unmarshal(encoded, &decoded); err != nil {
		decoded = fields{}
	}
	*record = Record(decoded)
	return nil
}

// checkStored is like Check for a record from a registry or a store, which may also describe a target that has ended or
// isn't heard.
func (record *Record) checkStored() error {
	if record.State == StateGone || record.State == StateUnheard {
		return checkID(record.ID)
	}
	return record.Check()
}

// Check returns a fault.Error for the first problem of an announcement, or nil.
func (record *Record) Check() error {
	if err := record.checkNames(); err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(record.Address)
	switch {
	case err != nil || !address.Addr().IsValid() || address.Port() == 0:
		return badRecord(fmt.Sprintf("the target's address %q is not IP:port", record.Address))
	case record.Slots < 1 || record.Slots > MaximumSlots:
		return badRecord(fmt.Sprintf("%d slots are out of range", record.Slots))
	case record.State != StateReady && record.State != StateLeaving:
		return badRecord("the target's state is neither ready nor leaving")
	case record.StartedAt < 0 || record.ColdFor < 0 || record.ColdFor > MaximumColdSpan:
		return badRecord("a time in the record is out of range")
	}
	return nil
}

func (record *Record) checkNames() error {
	if err := checkID(record.ID); err != nil {
		return err
	}
	switch {
	case record.Pool == "" || len(record.Pool) > MaximumIDBytes:
		return badRecord("the target's pool is missing or too long")
	case len(record.FailureDomain) > MaximumIDBytes || len(record.Release) > MaximumIDBytes:
		return badRecord("a name in the record is too long")
	}
	return nil
}

func checkID(id string) error {
	if id == "" || len(id) > MaximumIDBytes {
		return badRecord("the target's ID is missing or too long")
	}
	return nil
}

func badRecord(message string) error {
	return fault.New(fault.BadRequest, message, "correct the announcement and send it again")
}

// String returns the state's name in logs and metrics.
func (state State) String() string {
	switch state {
	case StateReady:
		return "ready"
	case StateLeaving:
		return "leaving"
	case StateGone:
		return "gone"
	case StateUnheard:
		return "unheard"
	}
	return "unknown"
}

// start returns the start that the record describes.
func (record *Record) start() Start {
	return Start{Pool: record.Pool, At: record.StartedAt}
}

// isUnboundEnd reports whether the record is the end of a target of which no start is known.
func (record *Record) isUnboundEnd() bool {
	return record.State == StateGone && !record.start().known()
}

// supersedes reports whether a record is newer than another one of the same ID.
// Within one start, StateGone is final.
func (record *Record) supersedes(current *Record) bool {
	if current.isUnboundEnd() {
		return true
	}
	if record.StartedAt != current.StartedAt {
		return record.StartedAt > current.StartedAt
	}
	if current.State == StateGone {
		return false
	}
	return record.State == StateGone || record.Revision > current.Revision
}
