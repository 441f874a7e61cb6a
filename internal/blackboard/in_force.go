// This file exists so that an entry acts only on tables that control has
// confirmed within the lease.

package blackboard

import (
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

type (
	// InForce holds the newest tables and the lease under which the entry may
	// take new work. The zero value is fenced.
	InForce struct {
		lock       sync.RWMutex
		version    uint64
		tables     *operator.Tables
		leaseUntil time.Time
		stopping   bool
		// outSince is when the entry's own failure domain was found to be
		// taken out; zero while it is not.
		outSince time.Time
	}
)

// Renew extends the lease.
func (inForce *InForce) Renew(leaseUntil time.Time) {
	inForce.lock.Lock()
	defer inForce.lock.Unlock()
	if leaseUntil.After(inForce.leaseUntil) {
		inForce.leaseUntil = leaseUntil
	}
}

// Replace puts newer tables in force. Tables of an older version than the
// present one are ignored, so that a late message can't revert a change.
func (inForce *InForce) Replace(version uint64, tables *operator.Tables) {
	inForce.lock.Lock()
	defer inForce.lock.Unlock()
	if version > inForce.version {
		inForce.version, inForce.tables = version, tables
	}
}

// Tables returns the tables in force and their version. The tables must not
// be changed. Before the first version they are empty.
func (inForce *InForce) Tables() (*operator.Tables, uint64) {
	inForce.lock.RLock()
	defer inForce.lock.RUnlock()
	if inForce.tables == nil {
		return &operator.Tables{}, inForce.version
	}
	return inForce.tables, inForce.version
}

// Fenced reports whether the lease has run out. The wall clock is asked
// besides the monotonic one because only one of them may have gone on while
// the VM was frozen.
func (inForce *InForce) Fenced() bool {
	inForce.lock.RLock()
	defer inForce.lock.RUnlock()
	now := time.Now()
	return !now.Before(inForce.leaseUntil) || !now.Round(0).Before(inForce.leaseUntil.Round(0))
}

// LeaseUntil returns the time at which the lease runs out.
func (inForce *InForce) LeaseUntil() time.Time {
	inForce.lock.RLock()
	defer inForce.lock.RUnlock()
	return inForce.leaseUntil
}

// Stop marks the entry as shutting down.
func (inForce *InForce) Stop() {
	inForce.lock.Lock()
	defer inForce.lock.Unlock()
	inForce.stopping = true
}

// Stopping reports whether the entry is shutting down.
func (inForce *InForce) Stopping() bool {
	inForce.lock.RLock()
	defer inForce.lock.RUnlock()
	return inForce.stopping
}

// SetOut records whether the entry's own failure domain is taken out.
func (inForce *InForce) SetOut(out bool) {
	inForce.lock.Lock()
	defer inForce.lock.Unlock()
	if !out {
		inForce.outSince = time.Time{}
	} else if inForce.outSince.IsZero() {
		inForce.outSince = time.Now()
	}
}

// OutFor returns for how long the entry's own failure domain has been taken
// out.
func (inForce *InForce) OutFor() time.Duration {
	inForce.lock.RLock()
	defer inForce.lock.RUnlock()
	if inForce.outSince.IsZero() {
		return 0
	}
	return time.Since(inForce.outSince)
}
