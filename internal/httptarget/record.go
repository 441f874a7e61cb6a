// What is known of one target, and which of two statements about it is newer.

package httptarget

import (
	"fmt"
	"net/netip"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

// States of a target by its own word.
const (
	// StateReady takes new requests.
	StateReady State = iota + 1
	// StateLeaving finishes what it has and gets nothing new.
	StateLeaving
	// StateGone has ended.
	StateGone
	// StateUnheard is no word of the target's own: a registry that has heard
	// nothing from it for goneSpan knows it no more. The target may announce
	// itself to another one.
	StateUnheard
)

const (
	// MaximumIDBytes bounds a target's ID and the names in its record.
	MaximumIDBytes = 128
	// MaximumSlots bounds what a target may say that it runs at a time.
	MaximumSlots = 65536
	// MaximumColdSpan bounds how long a target may say that it stays cold.
	MaximumColdSpan = time.Hour
)

type (
	// State is what a target is fit for.
	State uint8

	// Record is what one target says of itself.
	Record struct {
		ID            string `msgpack:"i"`
		Pool          string `msgpack:"p,omitempty"`
		Address       string `msgpack:"a,omitempty"`
		FailureDomain string `msgpack:"f,omitempty"`
		// Release is the version of the target's software.
		Release string `msgpack:"r,omitempty"`
		Slots   int    `msgpack:"c,omitempty"`
		State   State  `msgpack:"s"`
		// Silent states that the target has announced nothing for SilenceSpan
		// to the registry that says so.
		Silent bool `msgpack:"z,omitempty"`
		// StartedAt is when the target's process started, in milliseconds of
		// Unix time by its own clock; zero where it didn't say. A later start
		// under the same ID or at the same address is another target.
		StartedAt int64 `msgpack:"b,omitempty"`
		// Revision grows with each announcement of one start.
		Revision uint64 `msgpack:"q,omitempty"`
		// ColdFor is how long the target stays in cold start, from when the
		// record was made or sent on.
		ColdFor time.Duration `msgpack:"w,omitempty"`
	}
)

// Check returns a fault.Error that names the first problem of an announcement.
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

// String names the state for logs and metrics.
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

// supersedes reports whether a statement is newer than another one of the same
// ID. Of one start, gone is the last word.
func (record *Record) supersedes(known *Record) bool {
	if record.StartedAt != known.StartedAt {
		return record.StartedAt > known.StartedAt
	}
	if known.State == StateGone {
		return false
	}
	return record.State == StateGone || record.Revision > known.Revision
}
