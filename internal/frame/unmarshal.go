// This file exists so that a few bytes from a peer can't claim much memory or
// a deep stack: the codec reserves what a length claims before it has read it.

package frame

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// maximumDepth bounds how deep arrays and maps may be nested.
	maximumDepth = 64
)

// Unmarshal decodes a peer's message. What it claims to hold must be there,
// and must not be nested deeper than any message of the protocol.
func Unmarshal(data []byte, into any) error {
	if err := checkShape(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, into)
}

// checkShape walks over one value without keeping it.
func checkShape(data []byte) error {
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(bytes.NewReader(data))
	// pending holds how many values are still to come at each depth.
	pending := []int{1}
	for len(pending) > 0 {
		deepest := len(pending) - 1
		if pending[deepest] == 0 {
			pending = pending[:deepest]
			continue
		}
		pending[deepest]--
		values, err := valuesInside(decoder)
		if err != nil {
			return err
		}
		if values <= 0 {
			continue
		}
		if len(pending) == maximumDepth {
			return fault.New(fault.BadRequest, "the peer's message is nested too deep", "check that both processes run the same release")
		}
		pending = append(pending, values)
	}
	return nil
}

// valuesInside reads the head of an array or a map and returns the number of
// values that it claims, or reads any other value whole.
func valuesInside(decoder *msgpack.Decoder) (int, error) {
	code, err := decoder.PeekCode()
	if err != nil {
		return 0, err
	}
	switch {
	case msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32:
		return decoder.DecodeArrayLen()
	case msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32:
		entries, err := decoder.DecodeMapLen()
		return 2 * entries, err
	}
	return 0, decoder.Skip()
}
