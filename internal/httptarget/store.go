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
)

const (
	// saveInterval is the minimum interval between two writes. Changes that a crash
	// loses within it are announced again within about the same time.
	saveInterval = time.Second

	storeName     = "targets"
	temporaryName = "targets.new"
	checksumBytes = 8
)

var (
	errStoreDamaged = errors.New("the targets file is damaged; targets return once they announce themselves again")
)

type (
	// Store keeps a registry's targets in a folder. If it is lost, targets are
	// missing only until they announce themselves again.
	Store struct {
		folder     string
		fileSystem disk.FileSystem
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

// Load adds the stored targets to the registry. Each target has SilenceSpan to
// announce itself again before it counts as silent. If the file can't be read, Load
// logs this and adds none.
func (registry *Registry) Load(store *Store) {
	records, err := store.read()
	if errors.Is(err, fs.ErrNotExist) {
		registry.logger.Info("no targets loaded: the targets file doesn't exist yet", zap.String("folder", store.folder))
		return
	}
	if err != nil {
		registry.logger.Warn("no targets loaded", zap.String("folder", store.folder), zap.Error(err))
		return
	}
	for _, record := range records {
		if err := registry.Announce(record); err != nil {
			registry.logger.Warn("not all targets loaded", zap.Error(err))
			break
		}
	}
	registry.logger.Info("targets loaded", zap.Int("targets", len(records)))
}

// Save writes the registry to the store after changes, at most once in saveInterval,
// until ctx ends. A failed write is logged, and repeated only after the next change.
func (registry *Registry) Save(ctx context.Context, store *Store) {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	lastRevision := uint64(0)
	for {
		records, revision, changed := registry.changesSince(0)
		if revision != lastRevision {
			if err := store.write(records); err != nil {
				registry.logger.Warn("targets not saved", zap.String("folder", store.folder), zap.Error(err))
			}
			lastRevision = revision
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (store *Store) read() ([]Record, error) {
	data, err := store.fileSystem.Read(filepath.Join(store.folder, storeName))
	if err != nil {
		return nil, err
	}
	if len(data) < checksumBytes || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[checksumBytes:]) {
		return nil, errStoreDamaged
	}
	var records []Record
	if err := msgpack.Unmarshal(data[checksumBytes:], &records); err != nil {
		return nil, errors.Wrap(err, "decode the targets file")
	}
	return records, nil
}

// write replaces the file atomically: at any moment it holds either the previous or
// the new records.
func (store *Store) write(records []Record) error {
	encoded, err := msgpack.Marshal(records)
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
