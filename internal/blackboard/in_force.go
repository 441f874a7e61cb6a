// An entry acts only on configuration tables that control has confirmed within
// the entry's lease.

package blackboard

import (
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

type (
	// InForce holds the newest configuration tables and the lease under which
	// the entry may accept new requests. Without a valid lease the entry is
	// fenced: it refuses requests and uses no targets. The zero value is fenced.
	InForce struct {
		lock    sync.RWMutex
		version uint64
		tables  *operator.Tables
		// newest is the version that control has named last.
		newest     uint64
		leaseUntil time.Time
		stopping   bool
		// received is closed once the first tables are in force; nil until somebody waits for them.
		received chan struct{}
		// outSince is when this entry first saw that its own failure domain
		// is taken out of service; zero while it is in service.
		outSince time.Time
	}
)

// Renew extends the lease; it never shortens it.
func (inForce *InForce) Renew(leaseUntil time.Time) {
	inForce.lock.Lock()
	defer inForce.lock.Unlock()
	if leaseUntil.After(inForce.leaseUntil) {
		inForce.leaseUntil = leaseUntil
	}
}

// Replace puts newer tables in force. Tables whose version isn't newer than the
// current one are ignored, so that a delayed message can't revert a change.
func (inForce *InForce) Replace(version uint64, tables *operator.Tables) {
	inForce.lock.Lock()
	defer inForce.lock.Unlock()
	if version <= inForce.version {
		return
	}
	if inForce.version == 0 && inForce.received != nil {
		close(inForce.received)
	}
	inForce.version, inForce.tables = version, tables
}

// Learn records the version of the tables that control names as the newest.
func (inForce *InForce) Learn(version uint64) {
	inForce.lock.Lock()
	defer inForce.lock.Unlock()
	inForce.newest = version
}

// Newest returns the newest version of the tables that this entry knows of, or 0.
func (inForce *InForce) Newest() uint64 {
	inForce.lock.RLock()
	defer inForce.lock.RUnlock()
	return max(inForce.newest, inForce.version)
}

// Received returns a channel that is closed once the first tables are in force.
func (inForce *InForce) Received() <-chan struct{} {
	inForce.lock.Lock()
	defer inForce.lock.Unlock()
	if inForce.received == nil {
		inForce.received = make(chan struct{})
		if inForce.version > 0 {
			close(inForce.received)
		}
	}
	return inForce.received
}

// Tables returns the tables in force and their version. The tables must not
// be modified. They are empty until the first version is received.
func (inForce *InForce) Tables() (*operator.Tables, uint64) {
	inForce.lock.RLock()
	defer inForce.lock.RUnlock()
	if inForce.tables == nil {
		return &operator.Tables{}, inForce.version
	}
	return inForce.tables, inForce.version
}

// Fenced reports whether the lease has expired. It checks both the monotonic
// and the wall clock, because either may have stopped while the VM was frozen.
func (inForce *InForce) Fenced() bool {
	inForce.lock.RLock()
	defer inForce.lock.RUnlock()
	now := time.Now()
	return !now.Before(inForce.leaseUntil) || !now.Round(0).Before(inForce.leaseUntil.Round(0))
}

// LeaseUntil returns the time at which the lease expires.
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

// SetOut records whether the entry's own failure domain is taken out of service.
func (inForce *InForce) SetOut(out bool) {
	inForce.lock.Lock()
	defer inForce.lock.Unlock()
	if !out {
		inForce.outSince = time.Time{}
	} else if inForce.outSince.IsZero() {
		inForce.outSince = time.Now()
	}
}

// OutFor returns how long the entry's own failure domain has been out of
// service, or zero if it is in service.
func (inForce *InForce) OutFor() time.Duration {
	inForce.lock.RLock()
	defer inForce.lock.RUnlock()
	if inForce.outSince.IsZero() {
		return 0
	}
	return time.Since(inForce.outSince)
}
