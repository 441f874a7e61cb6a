// An in-memory disk with which tests inject crashes, torn writes and corruption at any
// operation of a process.

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
	// ErrCrashed is returned by every operation after a crash until Restart.
	ErrCrashed = errors.New("the VM has crashed; restart it")
	// ErrIO is returned by a failed sync.
	ErrIO = errors.New("input/output error; replace the disk")
)

type (
	// Disk is an in-memory file system with one folder. Unsynced changes may be
	// lost in a crash. The zero value is empty and has no faults.
	Disk struct {
		lock         sync.Mutex
		files        map[string]*inode
		durableFiles map[string]*inode
		// pending lists the changes of names since the last sync of the folder.
		pending []nameChange
		locked  bool
		crashed bool
		// operationCount is the number of operations since CrashAt. The operation with
		// number crashAt crashes; zero disables the crash.
		operationCount int
		crashAt        int
		failNextSync   bool
		random         *rand.Rand
		capacity       int
		syncTime       time.Duration
	}

	// inode is a file's content, as written and as last synced.
	inode struct {
		content []byte
		synced  []byte
		// syncLost is set by a failed sync. Later syncs then succeed without
		// writing, because the operating system has marked the pages as clean.
		syncLost bool
	}

	// nameChange is the creation, renaming or removal of a file. An empty from
	// stands for a creation, an empty to for a removal.
	nameChange struct {
		from, to string
		inode    *inode
	}

	// diskFile is an open file.
	diskFile struct {
		disk  *Disk
		inode *inode
	}

	// diskLock is a held lock of the disk, which Close releases.
	diskLock struct {
		disk *Disk
	}
)

// CrashAt makes the operation with the given number crash, counted from this call. The seed
// determines how much of that operation takes effect.
func (disk *Disk) CrashAt(number int, seed uint64) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	disk.operationCount, disk.crashAt = 0, number
	disk.random = rand.New(rand.NewPCG(seed, uint64(number)))
}

// Operations returns the number of operations since CrashAt.
func (disk *Disk) Operations() int {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	return disk.operationCount
}

// Crash makes all operations fail until Restart.
func (disk *Disk) Crash() {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	disk.crashed = true
}

// FailSync makes the next sync fail. If it is the sync of a file, the file's unsynced data stays
// readable but is never synced, and a crash may lose it. If it is the sync of the folder, the next
// one syncs the changes of names.
func (disk *Disk) FailSync() {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	disk.failNextSync = true
}

// Limit sets the capacity in bytes. Zero means no limit.
func (disk *Disk) Limit(capacity int) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	disk.capacity = capacity
}

// SetSyncTime sets the duration of each sync of a file.
func (disk *Disk) SetSyncTime(span time.Duration) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	disk.syncTime = span
}

// Size returns the total size of all files in bytes.
func (disk *Disk) Size() int {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	return disk.size()
}

// Flip flips one bit in each file whose name begins with the prefix. A negative offset counts
// from the end of the file.
func (disk *Disk) Flip(prefix string, offset int) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	for name, inode := range disk.files {
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

// Copy returns an independent disk with the synced content of this one.
func (disk *Disk) Copy() *Disk {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	duplicate := &Disk{files: map[string]*inode{}, durableFiles: map[string]*inode{}}
	for name, original := range disk.durableFiles {
		file := &inode{content: slices.Clone(original.synced), synced: slices.Clone(original.synced)}
		duplicate.files[name], duplicate.durableFiles[name] = file, file
	}
	return duplicate
}

// Restart ends a crash. Synced names and content are kept, and the seed determines which of the
// unsynced changes survive.
func (disk *Disk) Restart(seed uint64) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	random := rand.New(rand.NewPCG(seed, seed))
	for _, change := range disk.pending[:random.IntN(len(disk.pending)+1)] {
		change.apply(disk.durableFiles)
	}
	disk.files = map[string]*inode{}
	for name, file := range disk.durableFiles {
		file.content = contentAfterCrash(random, file.synced, file.content)
		file.synced, file.syncLost = slices.Clone(file.content), false
		disk.files[name] = file
	}
	disk.pending, disk.crashed, disk.locked, disk.crashAt, disk.failNextSync = nil, false, false, 0, false
}

// contentAfterCrash returns the content of a file after a crash. Of unsynced data a prefix
// survives, possibly with its last sectors zeroed. An unsynced truncation may be undone.
func contentAfterCrash(random *rand.Rand, synced, content []byte) []byte {
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

func (change *nameChange) apply(files map[string]*inode) {
	if change.from != "" {
		delete(files, change.from)
	}
	if change.to != "" {
		files[change.to] = change.inode
	}
}

func (disk *Disk) size() int {
	size := 0
	for _, inode := range disk.files {
		size += len(inode.content)
	}
	return size
}

// beginOperation counts an operation, and fails if the disk has crashed or crashes at this
// operation. The lock must be held.
func (disk *Disk) beginOperation() error {
	if disk.crashed {
		return ErrCrashed
	}
	disk.operationCount++
	if disk.crashAt > 0 && disk.operationCount == disk.crashAt {
		disk.crashed = true
		return ErrCrashed
	}
	return nil
}

// change applies a change of names. It becomes durable with the next sync of the folder. The
// lock must be held.
func (disk *Disk) change(change nameChange) {
	if disk.files == nil {
		disk.files, disk.durableFiles = map[string]*inode{}, map[string]*inode{}
	}
	change.apply(disk.files)
	disk.pending = append(disk.pending, change)
}

// MakeFolder implements disk.FileSystem.
func (disk *Disk) MakeFolder(string) error {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	return disk.beginOperation()
}

// List implements disk.FileSystem.
func (disk *Disk) List(string) ([]string, error) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	if err := disk.beginOperation(); err != nil {
		return nil, err
	}
	var files []string
	for path := range disk.files {
		files = append(files, filepath.Base(path))
	}
	slices.Sort(files)
	return files, nil
}

// Read implements disk.FileSystem.
func (disk *Disk) Read(path string) ([]byte, error) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	found, err := disk.beginOnFile(path)
	if err != nil {
		return nil, err
	}
	return slices.Clone(found.content), nil
}

// beginOnFile begins an operation on an existing file. The lock must be held.
func (disk *Disk) beginOnFile(path string) (*inode, error) {
	if err := disk.beginOperation(); err != nil {
		return nil, err
	}
	found, exists := disk.files[path]
	if !exists {
		return nil, syscall.ENOENT
	}
	return found, nil
}

// Create implements disk.FileSystem.
func (disk *Disk) Create(path string) (disk.File, error) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	if err := disk.beginOperation(); err != nil {
		return nil, err
	}
	created := &inode{}
	disk.change(nameChange{to: path, inode: created})
	return &diskFile{disk: disk, inode: created}, nil
}

// Open implements disk.FileSystem.
func (disk *Disk) Open(path string) (disk.File, error) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	found, err := disk.beginOnFile(path)
	if err != nil {
		return nil, err
	}
	return &diskFile{disk: disk, inode: found}, nil
}

// Rename implements disk.FileSystem.
func (disk *Disk) Rename(from, to string) error {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	moved, exists := disk.files[from]
	if !exists {
		return syscall.ENOENT
	}
	if err := disk.beginOperation(); err != nil {
		if disk.random != nil && disk.random.IntN(2) == 0 {
			disk.change(nameChange{from: from, to: to, inode: moved})
		}
		return err
	}
	disk.change(nameChange{from: from, to: to, inode: moved})
	return nil
}

// Remove implements disk.FileSystem.
func (disk *Disk) Remove(path string) error {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	if err := disk.beginOperation(); err != nil {
		return err
	}
	disk.change(nameChange{from: path})
	return nil
}

// SyncFolder implements disk.FileSystem.
func (disk *Disk) SyncFolder(string) error {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	if err := disk.beginOperation(); err != nil {
		return err
	}
	if disk.failNextSync {
		disk.failNextSync = false
		return ErrIO
	}
	for _, change := range disk.pending {
		change.apply(disk.durableFiles)
	}
	disk.pending = nil
	return nil
}

// Lock implements disk.FileSystem.
func (disk *Disk) Lock(string) (io.Closer, error) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	if err := disk.beginOperation(); err != nil {
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
