// Decoding of untrusted messages. The codec allocates what a length claims before it has
// read the content, so the shape of a message is checked first: otherwise a few bytes
// from a peer could claim much memory or a deep stack.

package frame

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// maximumDepth is the maximum nesting depth of arrays and maps.
	maximumDepth = 64
)

// Unmarshal decodes a peer's message after checking that it contains as many values as
// its lengths claim and isn't nested deeper than maximumDepth.
func Unmarshal(data []byte, into any) error {
	if err := checkShape(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, into)
}

// checkShape reads over one value without storing it, and checks its lengths and depth.
func checkShape(data []byte) error {
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(bytes.NewReader(data))
	// pending holds the number of values still to be read at each depth.
	pending := []int{1}
	for len(pending) > 0 {
		deepest := len(pending) - 1
		if pending[deepest] == 0 {
			pending = pending[:deepest]
			continue
		}
		pending[deepest]--
		values, err := containedValues(decoder)
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

// containedValues reads the header of an array or a map and returns the number of values
// that it claims to contain. It skips any other value and returns 0.
func containedValues(decoder *msgpack.Decoder) (int, error) {
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
