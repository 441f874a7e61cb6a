// The error types of the log.

package disk

import (
	"fmt"
	"syscall"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

type (
	// DamagedError reports that records which were durable fail their checksums.
	DamagedError struct {
		path   string
		offset int
	}

	// FullError reports that the disk is full.
	FullError struct {
		path string
	}

	// FailedError reports a disk failure after which the content of the disk is
	// unknown, so that the log must not be used any more.
	FailedError struct {
		cause error
	}

	// LockedError reports that another process uses the folder.
	LockedError struct {
		folder string
	}
)

// Error implements error.
func (err *DamagedError) Error() string { return err.Unwrap().Error() }

// Unwrap returns the fault that is reported to operators.
func (err *DamagedError) Unwrap() error {
	return fault.New(fault.Internal, fmt.Sprintf("%s is damaged at byte %d", err.path, err.offset), "check the disk; the replica repairs itself from the others")
}

// Error implements error.
func (err *FullError) Error() string { return err.Unwrap().Error() }

// Unwrap returns the fault that is reported to operators.
func (err *FullError) Unwrap() error {
	return fault.New(fault.Internal, "no space is left for "+err.path, "free space on the disk of the data folder; the replica then goes on by itself")
}

// Error implements error.
func (err *FailedError) Error() string { return err.Unwrap().Error() }

// Unwrap returns the fault that is reported to operators.
func (err *FailedError) Unwrap() error {
	return fault.New(fault.Internal, "the disk failed: "+err.cause.Error(), "check the disk of the data folder, then restart the process")
}

// Error implements error.
func (err *LockedError) Error() string { return err.Unwrap().Error() }

// Unwrap returns the fault that is reported to operators.
func (err *LockedError) Unwrap() error {
	return fault.New(fault.Conflict, "another process uses "+err.folder, "stop that process, or give this one a data folder of its own")
}

// classifyError converts an error to FullError or FailedError. A sync that failed for lack
// of space stays a FailedError, because data written before it may be lost.
func classifyError(path string, err error) error {
	var failedError *FailedError
	if errors.As(err, &failedError) {
		return failedError
	}
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return &FullError{path: path}
	}
	return &FailedError{cause: err}
}
