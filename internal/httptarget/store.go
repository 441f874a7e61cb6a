// The registry on disk, so that after a restart of all processes requests find
// their targets before these announce themselves again.

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
	// saveInterval is the least span between two writes. What changed within it
	// is announced again within about as much.
	saveInterval = time.Second

	storeName     = "targets"
	temporaryName = "targets.new"
	checksumBytes = 8
)

var (
	errStoreDamaged = errors.New("the file of targets is damaged; targets are known again once they announce themselves")
)

type (
	// Store keeps a registry's targets in a folder. A loss of it costs no more
	// than the time until targets announce themselves again.
	Store struct {
		folder     string
		fileSystem disk.FileSystem
	}
)

// NewStore returns the store in a folder. A nil file system is the operating
// system's.
func NewStore(folder string, fileSystem disk.FileSystem) *Store {
	if fileSystem == nil {
		fileSystem = disk.OS{}
	}
	return &Store{folder: folder, fileSystem: fileSystem}
}

// Load fills the registry with what the store holds. Each target has SilenceSpan
// to announce itself again.
func (registry *Registry) Load(store *Store) {
	records, err := store.read()
	if errors.Is(err, fs.ErrNotExist) {
		registry.logger.Info("no targets loaded: the disk holds none yet", zap.String("folder", store.folder))
		return
	}
	if err != nil {
		registry.logger.Warn("no targets loaded", zap.String("folder", store.folder), zap.Error(err))
		return
	}
	for _, record := range records {
		if err := registry.Announce(record); err != nil {
			registry.logger.Warn("targets left out", zap.Error(err))
			break
		}
	}
	registry.logger.Info("targets loaded", zap.Int("targets", len(records)))
}

// Save writes each change to the store until ctx ends.
func (registry *Registry) Save(ctx context.Context, store *Store) {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	saved := uint64(0)
	for {
		records, revision, changed := registry.since(0)
		if revision != saved {
			if err := store.write(records); err != nil {
				registry.logger.Warn("targets not saved", zap.String("folder", store.folder), zap.Error(err))
			}
			saved = revision
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
		return nil, errors.Wrap(err, "decode the file of targets")
	}
	return records, nil
}

// write replaces the file, which holds either the former records or these at any
// moment.
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
	if closing := file.Close(); err == nil {
		err = closing
	}
	if err != nil {
		return err
	}
	if err := store.fileSystem.Rename(temporary, filepath.Join(store.folder, storeName)); err != nil {
		return err
	}
	return store.fileSystem.SyncFolder(store.folder)
}
