// Package pieces reads bodies in pieces, each reserved before it is allocated. A buffer that doubles would take up to three times the
// size of the body while it grows, and one of the length that a sender claims could be taken by the claim alone.
package pieces

import (
	"io"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// MaximumBytes is the size of the greatest pieces.
	MaximumBytes = 256 << 10
	// firstBytes is the size of the first piece.
	firstBytes = 4 << 10
	// smallBytes is the known length up to which a body is read into one buffer.
	smallBytes = 64 << 10
	// claimDivisor is the part of a body of known length that must have arrived before the buffer for the whole is allocated.
	claimDivisor = 4
	// maximumSpare is the number of pieces that are kept.
	maximumSpare = 24
)

var (
	// ErrTooLarge reports a body above the maximum.
	ErrTooLarge = errors.New("the body is too large")

	// spare holds pieces of MaximumBytes for the next body. Without it, bodies that are dropped leave garbage faster than it is
	// collected. A sync.Pool would keep any number of them until the second collection.
	spare spareList
)

type (
	// Pieces are the parts of a body that have been read so far. The zero value is empty.
	Pieces struct {
		parts [][]byte
		size  int64
		held  int64
	}

	// Account counts the memory of bodies.
	Account interface {
		// Reserve counts bytes that are about to be allocated, or returns an error if there is no memory for them.
		Reserve(bytes int64) error
		// Release returns a part of what was reserved.
		Release(bytes int64)
	}

	spareList struct {
		lock   sync.Mutex
		pieces [][]byte
	}
)

// Size returns the number of bytes that have been read.
func (pieces *Pieces) Size() int64 {
	return pieces.size
}

// Held returns the number of bytes that have been reserved for the pieces.
func (pieces *Pieces) Held() int64 {
	return pieces.held
}

// Read reads a body of up to maximum bytes to its end. Before each piece is allocated, reserve is called with its length; an error
// ends the reading, as does one of the body. A body above the maximum is ErrTooLarge. After an error the pieces are empty.
func (pieces *Pieces) Read(body io.Reader, maximum int64, reserve func(length int64) error) (err error) {
	defer func() {
		if err != nil {
			pieces.recycle()
		}
	}()
	for {
		// A body is small until it has proved to be large.
		length := min(MaximumBytes, max(firstBytes, pieces.size), maximum-pieces.size+1)
		if err := reserve(length); err != nil {
			return err
		}
		pieces.held += length
		piece := newPiece(length)
		read, err := fill(body, piece)
		pieces.parts, pieces.size = append(pieces.parts, piece[:read]), pieces.size+int64(read)
		switch {
		case pieces.size > maximum:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// Single returns the body if it is in one piece, which needs no join.
func (pieces *Pieces) Single() (body []byte, single bool) {
	if len(pieces.parts) == 1 {
		return pieces.parts[0], true
	}
	return nil, false
}

// Join returns the whole body in a new buffer. Afterwards the pieces are empty.
func (pieces *Pieces) Join() []byte {
	return pieces.appendTo(make([]byte, 0, pieces.size))
}

// ReadKnown reads exactly length bytes. They stay reserved; after an error nothing does.
func ReadKnown(body io.Reader, length int64, account Account) ([]byte, error) {
	var start Pieces
	if length > smallBytes {
		err := start.Read(io.LimitReader(body, length/claimDivisor), length, account.Reserve)
		defer account.Release(start.Held())
		if err != nil {
			return nil, err
		}
	}
	if err := account.Reserve(length); err != nil {
		start.recycle()
		return nil, err
	}
	read := start.appendTo(make([]byte, 0, length))
	count, err := fill(body, read[len(read):length])
	if len(read)+count < int(length) {
		account.Release(length)
		if err == nil || errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return read[:length], nil
}

// appendTo appends the body to a buffer and empties the pieces.
func (pieces *Pieces) appendTo(joined []byte) []byte {
	for _, part := range pieces.parts {
		joined = append(joined, part...)
	}
	pieces.recycle()
	return joined
}

func newPiece(length int64) []byte {
	if length == MaximumBytes {
		return spare.take()
	}
	return make([]byte, length)
}

func (spareList *spareList) take() []byte {
	spareList.lock.Lock()
	defer spareList.lock.Unlock()
	last := len(spareList.pieces) - 1
	if last < 0 {
		return make([]byte, MaximumBytes)
	}
	piece := spareList.pieces[last]
	spareList.pieces = spareList.pieces[:last]
	return piece
}

func (spareList *spareList) put(piece []byte) {
	spareList.lock.Lock()
	defer spareList.lock.Unlock()
	if len(spareList.pieces) < maximumSpare {
		spareList.pieces = append(spareList.pieces, piece)
	}
}

// recycle makes the buffers available for other bodies.
func (pieces *Pieces) recycle() {
	for _, part := range pieces.parts {
		if cap(part) == MaximumBytes {
			spare.put(part[:MaximumBytes])
		}
	}
	pieces.parts = nil
}

// fill reads until the buffer is full or the reader returns an error. Unlike io.ReadFull it returns that error unchanged, so that
// a body that ended can be told from one that was cut.
func fill(reader io.Reader, buffer []byte) (read int, err error) {
	for read < len(buffer) && err == nil {
		var count int
		count, err = reader.Read(buffer[read:])
		read += count
	}
	return read, err
}
