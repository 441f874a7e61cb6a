// Encoded updates of the tables. Many entries ask for the same update at about the same time, so a replica encodes each only
// once.

package control

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// maximumInlineUpdate is the maximum size of an update that a lease carries.
	maximumInlineUpdate = 32 << 10
	// updatePartBytes is the size of the parts in which larger updates are sent.
	updatePartBytes = 4 << 10
	// maximumCachedUpdates is the maximum number of encoded updates that a replica keeps. Entries are a few versions apart
	// at most.
	maximumCachedUpdates = 8
)

type (
	// updateCache keeps the newest encoded updates. The zero value is empty.
	updateCache struct {
		lock    sync.Mutex
		updates []*encodedUpdate
	}

	// encodedUpdate is an update that is encoded on the first use of encode.
	encodedUpdate struct {
		base, version uint64
		once          sync.Once
		data          []byte
		sum           uint64
		err           error
	}
)

// get returns the update between two versions, which isn't encoded yet if it is new.
func (cache *updateCache) get(base, version uint64) *encodedUpdate {
	cache.lock.Lock()
	defer cache.lock.Unlock()
	for _, update := range cache.updates {
		if update.base == base && update.version == version {
			return update
		}
	}
	update := &encodedUpdate{base: base, version: version}
	cache.updates = append(cache.updates, update)
	if excess := len(cache.updates) - maximumCachedUpdates; excess > 0 {
		cache.updates = append([]*encodedUpdate(nil), cache.updates[excess:]...)
	}
	return update
}

// encode encodes the update unless that has been done. Concurrent callers wait for the first one.
func (update *encodedUpdate) encode(base, next *operator.VersionedTables) error {
	update.once.Do(func() {
		update.data, update.err = newTablesUpdate(base, next).encode()
		update.sum = xxhash.Sum64(update.data)
	})
	return update.err
}

// updateFrom returns the encoded update to a version from the version that an entry has. If that one is no longer stored, the
// update holds all rows.
func (service *Service) updateFrom(baseVersion uint64, next *operator.VersionedTables) (*encodedUpdate, error) {
	base, err := service.state.Version(baseVersion)
	if err != nil {
		base = operator.VersionedTables{}
	}
	update := service.updates.get(base.Version, next.Version)
	return update, update.encode(&base, next)
}

// attachUpdate replaces the tables of a lease by the update from the entry's version, or leaves them out if the update is so
// large that the entry asks for it apart.
func (service *Service) attachUpdate(renewal *Renewal, lease *Lease) error {
	if lease.Tables == nil || !renewal.AcceptsUpdates {
		return nil
	}
	update, err := service.updateFrom(renewal.TablesVersion, &operator.VersionedTables{Version: lease.TablesVersion, Tables: *lease.Tables})
	if err != nil {
		return err
	}
	lease.Tables = nil
	if len(update.data) <= maximumInlineUpdate {
		lease.Update = update.data
	}
	return nil
}

// sendUpdate sends an update in parts. Every replica that has applied the version may send it, because the log alone determines
// its content.
func (service *Service) sendUpdate(ctx context.Context, request *UpdateRequest, send func(*UpdatePart) error) error {
	if newest := service.state.Newest().Version; request.Version > newest {
		return fault.New(fault.Unavailable, "this replica doesn't have that version of the tables yet", "ask another replica")
	}
	next, err := service.state.Version(request.Version)
	if err != nil {
		return err
	}
	update, err := service.updateFrom(request.Base, &next)
	if err != nil {
		return err
	}
	offset := request.Offset
	if request.Sum != update.sum || offset < 0 || offset >= len(update.data) {
		offset = 0
	}
	for offset < len(update.data) && ctx.Err() == nil {
		end := min(offset+updatePartBytes, len(update.data))
		part := &UpdatePart{Size: len(update.data), Sum: update.sum, Offset: offset, Data: update.data[offset:end]}
		if err := send(part); err != nil {
			return err
		}
		offset = end
	}
	return ctx.Err()
}
