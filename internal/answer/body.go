package answer

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/pieces"
)

// ReadBody reads a body to its end. Told is its length as the target told it, negative if it didn't, and maximum a further bound on its
// size. It returns ErrTooLarge, at once if the target has told a length above the bound, ErrNoMemory, or the error of the reader.
// A large body counts toward the budget for as long as it is used.
func (budget *Budget) ReadBody(body io.Reader, told, maximum int64) ([]byte, error) {
	maximum = min(maximum, budget.MaximumBodyBytes())
	switch {
	case told == 0, body == http.NoBody:
		// The answer to a HEAD request tells the length of a body that it doesn't have.
		return nil, nil
	case told > maximum:
		return nil, ErrTooLarge
	case told > 0 && told <= smallBytes:
		return budget.readSmall(body, told)
	}
	return budget.readPieces(body, maximum)
}

// readSmall reads a small body of a known length. It counts while it is read: small answers are bounded by their number.
func (budget *Budget) readSmall(body io.Reader, told int64) ([]byte, error) {
	if !budget.reserve(told, budget.total()) {
		return nil, ErrNoMemory
	}
	defer budget.release(told)
	data := make([]byte, told)
	if _, err := io.ReadFull(body, data); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	// The reader checks what follows the body only when its end is read.
	if _, err := body.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return nil, errors.Wrap(err, "read the end of the body")
	}
	return data, nil
}

// readPieces reads a body of up to maximum bytes in pieces, each counted before it is allocated, and joins them.
func (budget *Budget) readPieces(body io.Reader, maximum int64) ([]byte, error) {
	var read pieces.Pieces
	defer func() { budget.release(read.Held()) }()
	err := read.Read(body, maximum, func(length int64) error { return budget.reservePiece(length, read.Size()) })
	if errors.Is(err, pieces.ErrTooLarge) {
		return nil, ErrTooLarge
	}
	if err != nil {
		return nil, err
	}
	if single, isSingle := read.Single(); isSingle {
		return single, nil
	}
	return budget.join(&read)
}

// reservePiece counts a piece that follows a number of bytes.
func (budget *Budget) reservePiece(length, size int64) error {
	if size+length > smallBytes {
		return budget.reserveLarge(length)
	}
	if !budget.reserve(length, budget.total()) {
		return ErrNoMemory
	}
	return nil
}

// join returns the whole of a body. A large one counts until it is freed.
func (budget *Budget) join(read *pieces.Pieces) ([]byte, error) {
	isLarge := read.Size() > smallBytes
	if isLarge {
		if err := budget.reserveLarge(read.Size()); err != nil {
			return nil, err
		}
	}
	joined := read.Join()
	if isLarge {
		budget.releaseWhenFreed(joined)
	}
	return joined, nil
}
