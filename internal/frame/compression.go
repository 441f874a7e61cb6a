// Compression of large bodies. Tables, directories and log entries repeat names and
// fields, and compress to a tenth of their size in some tens of microseconds.

package frame

import (
	"github.com/klauspost/compress/s2"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// compressionThreshold is the minimum size of a body that is compressed: below it,
	// compression saves one network packet at most.
	compressionThreshold = 1 << 10
	// maximumCompressionRatio bounds the ratio of a body to its compressed form, so that a
	// few bytes from a peer can't claim much memory.
	maximumCompressionRatio = 128
)

// compress returns a copy of the message with a compressed body, or the message itself if its body isn't to be compressed.
func compress(plain *message) *message {
	body := Compress(plain.Body)
	if body == nil {
		return plain
	}
	compressed := *plain
	compressed.Body, compressed.Compressed = nil, body
	return &compressed
}

// Compress returns a compressed body. It returns nil if the body is below compressionThreshold, doesn't get smaller, or would
// exceed maximumCompressionRatio.
func Compress(body []byte) []byte {
	if len(body) < compressionThreshold {
		return nil
	}
	compressed := s2.Encode(nil, body)
	if len(compressed) >= len(body) || len(compressed)*maximumCompressionRatio < len(body) {
		return nil
	}
	return compressed
}

// decompress restores the body of a received message, if it is compressed.
func (message *message) decompress(allowance *allowance) error {
	if message.Compressed == nil {
		return nil
	}
	length, err := decompressedLength(message.Compressed)
	if err != nil {
		return err
	}
	if err := allowance.Reserve(int64(length)); err != nil {
		return err
	}
	body, err := Decompress(message.Compressed)
	if err != nil {
		return err
	}
	if err := checkShape(body); err != nil {
		return err
	}
	message.Body, message.Compressed, message.counted = body, nil, allowance.keep(body)
	return nil
}

// Decompress returns the body that Compress has compressed.
func Decompress(compressed []byte) ([]byte, error) {
	if _, err := decompressedLength(compressed); err != nil {
		return nil, err
	}
	body, err := s2.Decode(nil, compressed)
	if err != nil {
		return nil, malformedBodyError()
	}
	return body, nil
}

// decompressedLength returns the size that a compressed body claims, or an error if it is above the bounds.
func decompressedLength(compressed []byte) (int, error) {
	length, err := s2.DecodedLen(compressed)
	if err != nil || length > MaximumFrameBytes || length > len(compressed)*maximumCompressionRatio {
		return 0, malformedBodyError()
	}
	return length, nil
}

func malformedBodyError() error {
	return fault.New(fault.BadRequest, "the peer's packed message can't be read", "check that both processes run the same release")
}
