// This file exists so that tests crash, tear and damage what a process keeps
// on its disk, at any operation.

package standin

import (
	"io"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/disk"
)

const (
	sectorBytes = 512
)

var (
	// ErrCrashed is what every operation returns from a crash to Restart.
	ErrCrashed = errors.New("the VM has crashed; restart it")
	// ErrInput is what a failed sync returns.
	ErrInput = errors.New("input/output error; replace the disk")
)

type (
	// Disk is a file system in memory that loses at a crash what was not
	// synced. The zero value is empty and without faults. It has one folder.
	Disk struct {
		lock    sync.Mutex
		names   map[string]*inode
		durable map[string]*inode
		// pending are the changes of names since the last sync of the folder.
		pending []rename
		locked  bool
		crashed bool
		// operations counts what was done; the one numbered crashAt crashes,
		// and the syncs numbered failSyncs fail.
		operations int
		crashAt    int
		failSync   bool
		random     *rand.Rand
		capacity   int
		syncTime   time.Duration
	}

	// inode is a file's content: as written, and as it was last synced.
	inode struct {
		content []byte
		synced  []byte
		// stuck states that a sync has failed: later ones succeed and write
		// nothing, because the system holds the pages for clean.
		stuck bool
	}

	// rename is a change of names; an empty name stands for none.
	rename struct {
		from, to string
		inode    *inode
	}

	diskFile struct {
		disk  *Disk
		inode *inode
	}

	diskLock struct {
		disk *Disk
	}
)

// CrashAt lets the operation with a number crash, counted from now. What that
// operation has done by then is chosen by the seed.
func (disk *Disk) CrashAt(number int, seed uint64) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	disk.operations, disk.crashAt = 0, number
	disk.random = rand.New(rand.NewPCG(seed, uint64(number)))
}

// Operations returns the number of operations since CrashAt.
func (disk *Disk) Operations() int {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	return disk.operations
}

// Crash stops all operations until Restart.
func (disk *Disk) Crash() {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	disk.crashed = true
}

// FailSync lets the next sync fail, and loses what it should have synced. The
// file shows it until a crash.
func (disk *Disk) FailSync() {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	disk.failSync = true
}

// Limit sets how many bytes fit; zero sets no limit.
func (disk *Disk) Limit(capacity int) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	disk.capacity = capacity
}

// SetSyncTime sets how long each sync takes.
func (disk *Disk) SetSyncTime(span time.Duration) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	disk.syncTime = span
}

// Size returns the bytes that all files take.
func (disk *Disk) Size() int {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	return disk.size()
}

// Flip flips one bit of a file whose name begins with a prefix. An offset
// below zero counts from the end.
func (disk *Disk) Flip(prefix string, offset int) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	for name, inode := range disk.names {
		if len(filepath.Base(name)) < len(prefix) || filepath.Base(name)[:len(prefix)] != prefix {
			continue
		}
		if offset < 0 {
			offset += len(inode.content)
		}
		inode.content = slices.Clone(inode.content)
		inode.content[offset] ^= 1
		inode.synced = slices.Clone(inode.content)
	}
}

// Copy returns an independent disk with the durable content of this one.
func (disk *Disk) Copy() *Disk {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	copied := &Disk{names: map[string]*inode{}, durable: map[string]*inode{}}
	for name, original := range disk.durable {
		added := &inode{content: slices.Clone(original.synced), synced: slices.Clone(original.synced)}
		copied.names[name], copied.durable[name] = added, added
	}
	return copied
}

// Restart ends a crash: names and content are those that were synced, and a
// part of those that were not.
func (disk *Disk) Restart(seed uint64) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	random := rand.New(rand.NewPCG(seed, seed))
	for _, change := range disk.pending[:random.IntN(len(disk.pending)+1)] {
		change.apply(disk.durable)
	}
	disk.names = map[string]*inode{}
	for name, kept := range disk.durable {
		kept.content = remains(random, kept.synced, kept.content)
		kept.synced, kept.stuck = slices.Clone(kept.content), false
		disk.names[name] = kept
	}
	disk.pending, disk.crashed, disk.locked, disk.crashAt, disk.failSync = nil, false, false, 0, false
}

// remains returns what a crash leaves of content beyond what was synced: a
// part of it, maybe with its last sectors zero, or a truncation undone.
func remains(random *rand.Rand, synced, content []byte) []byte {
	if len(content) < len(synced) {
		if random.IntN(2) == 0 {
			return slices.Clone(synced)
		}
		return slices.Clone(content)
	}
	kept := slices.Clone(content[:len(synced)+random.IntN(len(content)-len(synced)+1)])
	if random.IntN(3) == 0 {
		zeroFrom := max(len(synced), random.IntN(len(kept)+1)/sectorBytes*sectorBytes)
		clear(kept[min(zeroFrom, len(kept)):])
	}
	return kept
}

func (change *rename) apply(names map[string]*inode) {
	if change.from != "" {
		delete(names, change.from)
	}
	if change.to != "" {
		names[change.to] = change.inode
	}
}

func (disk *Disk) size() int {
	size := 0
	for _, inode := range disk.names {
		size += len(inode.content)
	}
	return size
}

// begin counts an operation. The lock is held.
func (disk *Disk) begin() error {
	if disk.crashed {
		return ErrCrashed
	}
	disk.operations++
	if disk.crashAt > 0 && disk.operations == disk.crashAt {
		disk.crashed = true
		return ErrCrashed
	}
	return nil
}

// change changes names, durable after a sync of the folder. The lock is held.
func (disk *Disk) change(change rename) {
	if disk.names == nil {
		disk.names, disk.durable = map[string]*inode{}, map[string]*inode{}
	}
	change.apply(disk.names)
	disk.pending = append(disk.pending, change)
}

// MakeFolder implements disk.FileSystem.
func (disk *Disk) MakeFolder(string) error {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	return disk.begin()
}

// Names implements disk.FileSystem.
func (disk *Disk) Names(string) ([]string, error) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	if err := disk.begin(); err != nil {
		return nil, err
	}
	var names []string
	for path := range disk.names {
		names = append(names, filepath.Base(path))
	}
	slices.Sort(names)
	return names, nil
}

// Read implements disk.FileSystem.
func (disk *Disk) Read(path string) ([]byte, error) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	found, err := disk.find(path)
	if err != nil {
		return nil, err
	}
	return slices.Clone(found.content), nil
}

// find begins an operation on a file that exists. The lock is held.
func (disk *Disk) find(path string) (*inode, error) {
	if err := disk.begin(); err != nil {
		return nil, err
	}
	found, exists := disk.names[path]
	if !exists {
		return nil, syscall.ENOENT
	}
	return found, nil
}

// Create implements disk.FileSystem.
func (disk *Disk) Create(path string) (disk.File, error) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	if err := disk.begin(); err != nil {
		return nil, err
	}
	created := &inode{}
	disk.change(rename{to: path, inode: created})
	return &diskFile{disk: disk, inode: created}, nil
}

// Open implements disk.FileSystem.
func (disk *Disk) Open(path string) (disk.File, error) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	found, err := disk.find(path)
	if err != nil {
		return nil, err
	}
	return &diskFile{disk: disk, inode: found}, nil
}

// Rename implements disk.FileSystem.
func (disk *Disk) Rename(from, to string) error {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	moved, exists := disk.names[from]
	if !exists {
		return syscall.ENOENT
	}
	if err := disk.begin(); err != nil {
		if disk.random != nil && disk.random.IntN(2) == 0 {
			disk.change(rename{from: from, to: to, inode: moved})
		}
		return err
	}
	disk.change(rename{from: from, to: to, inode: moved})
	return nil
}

// Remove implements disk.FileSystem.
func (disk *Disk) Remove(path string) error {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	if err := disk.begin(); err != nil {
		return err
	}
	disk.change(rename{from: path})
	return nil
}

// SyncFolder implements disk.FileSystem.
func (disk *Disk) SyncFolder(string) error {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	if err := disk.begin(); err != nil {
		return err
	}
	if disk.failSync {
		disk.failSync = false
		return ErrInput
	}
	for _, change := range disk.pending {
		change.apply(disk.durable)
	}
	disk.pending = nil
	return nil
}

// Lock implements disk.FileSystem.
func (disk *Disk) Lock(string) (io.Closer, error) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	if err := disk.begin(); err != nil {
		return nil, err
	}
	if disk.locked {
		return nil, syscall.EWOULDBLOCK
	}
	disk.locked = true
	return &diskLock{disk: disk}, nil
}

// Close implements io.Closer.
func (diskLock *diskLock) Close() error {
	diskLock.disk.lock.Lock()
	defer diskLock.disk.lock.Unlock()
	diskLock.disk.locked = false
	return nil
}
