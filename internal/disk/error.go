// This file exists so that the log's failures are told apart by type.

package disk

import (
	"fmt"
	"syscall"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

type (
	// DamagedError reports records that were durable once and can't be
	// trusted any more.
	DamagedError struct {
		path   string
		offset int
	}

	// FullError reports a disk without space.
	FullError struct {
		path string
	}

	// FailedError reports a disk that must not be used any more, because it
	// isn't known what it holds.
	FailedError struct {
		cause error
	}

	// LockedError reports a folder that another process uses.
	LockedError struct {
		folder string
	}
)

// Error implements error.
func (err *DamagedError) Error() string { return err.Unwrap().Error() }

// Unwrap returns the fault that operators are told.
func (err *DamagedError) Unwrap() error {
	return fault.New(fault.Internal, fmt.Sprintf("%s is damaged at byte %d", err.path, err.offset), "check the disk; the replica repairs itself from the others")
}

// Error implements error.
func (err *FullError) Error() string { return err.Unwrap().Error() }

// Unwrap returns the fault that operators are told.
func (err *FullError) Unwrap() error {
	return fault.New(fault.Internal, "no space is left for "+err.path, "free space on the disk of the data folder; the replica then goes on by itself")
}

// Error implements error.
func (err *FailedError) Error() string { return err.Unwrap().Error() }

// Unwrap returns the fault that operators are told.
func (err *FailedError) Unwrap() error {
	return fault.New(fault.Internal, "the disk failed: "+err.cause.Error(), "check the disk of the data folder, then restart the process")
}

// Error implements error.
func (err *LockedError) Error() string { return err.Unwrap().Error() }

// Unwrap returns the fault that operators are told.
func (err *LockedError) Unwrap() error {
	return fault.New(fault.Conflict, "another process uses "+err.folder, "stop that process, or give this one a data folder of its own")
}

// typed gives an error its type. A sync that failed for lack of space stays a
// FailedError: what was written before it may be lost.
func typed(path string, err error) error {
	var failed *FailedError
	if errors.As(err, &failed) {
		return failed
	}
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return &FullError{path: path}
	}
	return &FailedError{cause: err}
}
