// Disk failures: a replica resumes once a full disk has space, and stays stopped after any other
// failure.

package replica

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/disk"
)

const (
	// diskRetryInterval is the time between two attempts to use a full disk.
	diskRetryInterval = time.Second
)

// fail stops the use of the disk, because its contents are uncertain. If the disk is full, it
// schedules a retry: after a write that found no space nothing was synced, so the disk can be read
// again as after a crash.
func (driver *driver) fail(err error) {
	driver.haltReason = diskFailure(err)
	var full *disk.FullError
	if errors.As(err, &full) {
		if driver.diskRetryAt.IsZero() {
			driver.replica.options.Logger.Error("this replica takes no part until its disk has space", zap.Error(driver.haltReason))
		}
		driver.diskRetryAt = driver.now().Add(diskRetryInterval)
		return
	}
	driver.diskRetryAt = time.Time{}
	driver.replica.options.Logger.Error("this replica takes part no more", zap.Error(driver.haltReason))
}

// handleTimer passes a tick to the core. If the replica was halted by a full disk, it retries the disk
// once the retry is due; after any other failure it does nothing.
func (driver *driver) handleTimer(now time.Time) {
	if driver.haltReason == nil {
		driver.step(ticked{})
		return
	}
	if driver.diskRetryAt.IsZero() || now.Before(driver.diskRetryAt) {
		return
	}
	if err := driver.reopen(now); err != nil {
		driver.fail(err)
		return
	}
	driver.haltReason, driver.diskRetryAt = nil, time.Time{}
	driver.replica.options.Logger.Info("the disk has space; this replica takes part again")
}

// reopen restarts from the state on the disk, as after a restart of the process.
func (driver *driver) reopen(now time.Time) error {
	_ = driver.store.close()
	driver.store = &memoryStore{}
	if err := driver.replica.machine.Restore(driver.emptyState); err != nil {
		return err
	}
	return driver.open(now)
}

// canRun reports whether the driver can run after open returned openErr: open succeeded, or the disk
// is full. For a full disk it also schedules the retry.
func (driver *driver) canRun(openErr error) bool {
	var full *disk.FullError
	if errors.As(openErr, &full) && driver.core != nil {
		driver.fail(openErr)
		return true
	}
	return openErr == nil
}
