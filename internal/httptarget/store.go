// The registry's file on disk. After a restart of all processes it provides the
// targets before they announce themselves again.

package httptarget

import (
	"context"
	"encoding/binary"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/disk"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// saveInterval is the minimum interval between two writes. Changes that a crash
	// loses within it are announced again within about the same time. Withdrawals don't
	// wait for it.
	saveInterval = time.Second
	// withdrawalPause is the time in which withdrawals are collected for one write.
	withdrawalPause = 10 * time.Millisecond
	// withdrawalTimeout limits the wait for the write of a withdrawal. It leaves a target
	// time to withdraw at another process instead.
	withdrawalTimeout = 500 * time.Millisecond
	// resaveInterval is the longest interval between two writes, so that the file's time
	// shows until when its process ran.
	resaveInterval = 20 * time.Second

	storeName     = "targets"
	temporaryName = "targets.new"
	checksumBytes = 8
)

var (
	errStoreOutdated = errors.New("the targets file is too old; targets return once they announce themselves again")
	errStoreDamaged  = errors.New("the targets file is damaged; targets return once they announce themselves again")
)

type (
	// Store keeps a registry's targets in a folder. If it is lost, targets are
	// missing only until they announce themselves again.
	Store struct {
		folder     string
		fileSystem disk.FileSystem
	}

	// storedTargets is the content of the file.
	storedTargets struct {
		SavedAt time.Time `msgpack:"t"`
		Records []Record  `msgpack:"c"`
	}
)

// NewStore returns the store in a folder. A nil file system means that of the
// operating system.
func NewStore(folder string, fileSystem disk.FileSystem) *Store {
	if fileSystem == nil {
		fileSystem = disk.OS{}
	}
	return &Store{folder: folder, fileSystem: fileSystem}
}

// Load adds the stored targets to the registry, and makes withdrawals wait for Save. Each
// target has SilenceSpan to announce itself again before it counts as silent. If the file
// can't be read, or is so old that the other registries may have forgotten targets that
// have ended since, Load logs this and adds none.
func (registry *Registry) Load(store *Store) {
	registry.lock.Lock()
	registry.persistent = true
	registry.lock.Unlock()
	records, age, err := store.read(time.Now())
	if errors.Is(err, fs.ErrNotExist) {
		registry.logger.Info("no targets loaded: the targets file doesn't exist yet", zap.String("folder", store.folder))
		return
	}
	if err != nil {
		registry.logger.Warn("no targets loaded", zap.String("folder", store.folder), zap.Error(err))
		return
	}
	ignored := 0
	for index := range records {
		if err := records[index].checkStored(); err != nil {
			ignored++
			registry.logger.Warn("stored target ignored", zap.Stringer("state", records[index].State), zap.Error(err))
			continue
		}
		if err := registry.restore(&records[index], age); err != nil {
			registry.logger.Warn("not all targets loaded", zap.Error(err))
			break
		}
	}
	registry.logger.Info("targets loaded", zap.Int("targets", len(records)-ignored), zap.Int("ignored", ignored))
}

// restore adds a record that was saved some time ago.
func (registry *Registry) restore(record *Record, age time.Duration) error {
	switch {
	case record.State != StateGone:
		record.ColdFor = max(0, record.ColdFor-age)
		return registry.Announce(*record)
	case record.isUnboundEnd() && record.HoldsOffFor <= age:
		return nil
	}
	record.EndedFor += age
	record.HoldsOffFor = max(0, record.HoldsOffFor-age)
	return registry.addEnd(record)
}

// Save writes the registry to the store until ctx ends: after changes, at most once in
// saveInterval, at once after withdrawals, and at least once in resaveInterval. A failed
// write is logged and repeated.
func (registry *Registry) Save(ctx context.Context, store *Store) {
	var lastSave time.Time
	for lastRevision := uint64(0); ; {
		records, revision, _ := registry.changesSince(0)
		failed := false
		if revision != lastRevision || revision > 0 && time.Since(lastSave) >= resaveInterval {
			if err := store.write(records, time.Now()); err != nil {
				registry.logger.Warn("targets not saved", zap.String("folder", store.folder), zap.Error(err))
				failed = true
			} else {
				lastRevision = revision
				registry.markSaved(revision)
			}
			lastSave = time.Now()
		}
		if !registry.awaitSaveTime(ctx, failed, lastSave) {
			return
		}
	}
}

// awaitSaveTime waits until the registry must be saved again, which is after the pause if the
// last write failed. It returns false once ctx has ended.
func (registry *Registry) awaitSaveTime(ctx context.Context, failed bool, lastSave time.Time) bool {
	if !failed {
		resave := time.NewTimer(resaveInterval)
		defer resave.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-resave.C:
		case <-registry.saveDue:
		}
	}
	pause := time.NewTimer(time.Until(lastSave.Add(saveInterval)))
	defer pause.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-pause.C:
		return true
	case <-registry.saveNow:
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(withdrawalPause):
		return true
	}
}

func (registry *Registry) markSaved(revision uint64) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	registry.savedRevision = revision
	close(registry.saved)
	registry.saved = make(chan struct{})
}

// AwaitSaved returns once the latest change of a target is on the disk, if the registry is
// saved to one. A target that is told that it has withdrawn must not be in use again after a
// restart of this process. If the write takes too long, AwaitSaved returns a fault.Error.
func (registry *Registry) AwaitSaved(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, withdrawalTimeout)
	defer cancel()
	for {
		saved := registry.unsaved(id)
		if saved == nil {
			return nil
		}
		select {
		case registry.saveNow <- struct{}{}:
		default:
		}
		select {
		case <-ctx.Done():
			registry.logger.Warn("withdrawal not saved in time", zap.String("target", id))
			return fault.New(fault.Unavailable, "the withdrawal isn't on the disk yet", "send it again, to another control process if possible")
		case <-saved:
		}
	}
}

// unsaved returns a channel that is closed at the next save if the latest change of a target
// isn't saved yet, or nil.
func (registry *Registry) unsaved(id string) <-chan struct{} {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	registered, found := registry.targets[id]
	if !found || !registry.persistent || registered.revision <= registry.savedRevision {
		return nil
	}
	return registry.saved
}

// read returns the stored records and their age, unless the file is outdated at now.
func (store *Store) read(now time.Time) ([]Record, time.Duration, error) {
	data, err := store.fileSystem.Read(filepath.Join(store.folder, storeName))
	if err != nil {
		return nil, 0, err
	}
	if len(data) < checksumBytes || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[checksumBytes:]) {
		return nil, 0, errStoreDamaged
	}
	var stored storedTargets
	if err := frame.Unmarshal(data[checksumBytes:], &stored); err != nil {
		return nil, 0, errors.Wrap(err, "decode the targets file")
	}
	age := max(0, now.Sub(stored.SavedAt))
	if age >= retentionSpan {
		return nil, 0, errStoreOutdated
	}
	return stored.Records, age, nil
}

// write replaces the file atomically: at any moment it holds either the previous or
// the new records and their time.
func (store *Store) write(records []Record, now time.Time) error {
	encoded, err := msgpack.Marshal(&storedTargets{SavedAt: now, Records: records})
	if err != nil {
		return errors.Wrap(err, "encode the targets")
	}
	if err := store.fileSystem.MakeFolder(store.folder); err != nil {
		return err
	}
	temporary := filepath.Join(store.folder, temporaryName)
	file, err := store.fileSystem.Create(temporary)
	if err != nil {
		return err
	}
	_, err = file.Write(append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(encoded)), encoded...))
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := store.fileSystem.Rename(temporary, filepath.Join(store.folder, storeName)); err != nil {
		return err
	}
	return store.fileSystem.SyncFolder(store.folder)
}
