package answer

import (
	"io"
)

const (
	// MaximumHeadBytes bounds the head of an answer.
	MaximumHeadBytes = 64 << 10
	// maximumFramingBytes is the room for chunk sizes and trailers beyond the body of an answer.
	maximumFramingBytes = 1 << 20
)

type (
	// BoundedReader reads from a connection to a target. It returns ErrTooLarge after the number of bytes that was allowed last; the
	// zero number allows none.
	BoundedReader struct {
		source io.Reader
		left   int64
		// exceeded is true once more was read than was allowed last.
		exceeded bool
	}
)

// NewBoundedReader returns a reader that allows nothing yet.
func NewBoundedReader(source io.Reader) *BoundedReader {
	return &BoundedReader{source: source}
}

// AllowHead permits the head of one answer, in place of what was left.
func (boundedReader *BoundedReader) AllowHead() {
	boundedReader.left, boundedReader.exceeded = MaximumHeadBytes, false
}

// AllowBody permits a body of up to maximum bytes with its framing, in place of what was left.
func (boundedReader *BoundedReader) AllowBody(maximum int64) {
	boundedReader.left, boundedReader.exceeded = maximum+maximumFramingBytes, false
}

// Cause returns ErrTooLarge if an error while reading an answer comes from the bound, and otherwise the error: a parser may report
// what was cut off as malformed.
func (boundedReader *BoundedReader) Cause(err error) error {
	if boundedReader.exceeded {
		return ErrTooLarge
	}
	return err
}

// Read implements io.Reader.
func (boundedReader *BoundedReader) Read(buffer []byte) (int, error) {
	if boundedReader.left <= 0 {
		boundedReader.exceeded = true
		return 0, ErrTooLarge
	}
	read, err := boundedReader.source.Read(buffer[:min(int64(len(buffer)), boundedReader.left)])
	boundedReader.left -= int64(read)
	return read, err
}
