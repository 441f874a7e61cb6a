// Large bodies travel packed: tables, directories and log entries repeat names
// and fields, and shrink to a tenth in some tens of microseconds.

package frame

import (
	"github.com/klauspost/compress/s2"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// packedBytes is the size from which on a body is packed: below, a packet
	// more or less is saved at most.
	packedBytes = 1 << 10
	// maximumRatio bounds how much larger a body may be than its packed form, so
	// that few bytes from a peer can't claim much memory.
	maximumRatio = 128
)

// pack returns the message with its body packed where that makes it smaller.
func pack(plain *message) *message {
	if len(plain.Body) < packedBytes {
		return plain
	}
	body := s2.Encode(nil, plain.Body)
	if len(body) >= len(plain.Body) || len(body)*maximumRatio < len(plain.Body) {
		return plain
	}
	packed := *plain
	packed.Body, packed.Packed = nil, body
	return &packed
}

// unpack restores the body of a message that was read.
func (message *message) unpack() error {
	if message.Packed == nil {
		return nil
	}
	length, err := s2.DecodedLen(message.Packed)
	if err != nil || length > MaximumFrameBytes || length > len(message.Packed)*maximumRatio {
		return badPack()
	}
	body, err := s2.Decode(nil, message.Packed)
	if err != nil {
		return badPack()
	}
	if err := checkShape(body); err != nil {
		return err
	}
	message.Body, message.Packed = body, nil
	return nil
}

func badPack() error {
	return fault.New(fault.BadRequest, "the peer's packed message can't be read", "check that both processes run the same release")
}
