// Open files of a Disk, with the faults that are set on the disk.

package standin

import (
	"slices"
	"syscall"
	"time"
)

// Write implements io.Writer.
func (diskFile *diskFile) Write(data []byte) (int, error) {
	disk := diskFile.disk
	disk.lock.Lock()
	defer disk.lock.Unlock()
	written := len(data)
	err := disk.beginOperation()
	if err != nil {
		if disk.random == nil {
			return 0, err
		}
		written = disk.random.IntN(len(data) + 1)
	}
	if disk.capacity > 0 && disk.size()+written > disk.capacity {
		written, err = max(0, disk.capacity-disk.size()), syscall.ENOSPC
	}
	diskFile.inode.content = append(diskFile.inode.content, data[:written]...)
	return written, err
}

// Sync implements disk.File.
func (diskFile *diskFile) Sync() error {
	disk := diskFile.disk
	disk.lock.Lock()
	defer disk.lock.Unlock()
	time.Sleep(disk.syncTime)
	if err := disk.beginOperation(); err != nil {
		if disk.random != nil && disk.random.IntN(2) == 0 {
			diskFile.inode.synced = slices.Clip(diskFile.inode.content)
		}
		return err
	}
	if disk.failNextSync {
		disk.failNextSync, diskFile.inode.syncLost = false, true
		return ErrIO
	}
	if diskFile.inode.syncLost {
		return nil
	}
	diskFile.inode.synced = slices.Clip(diskFile.inode.content)
	return nil
}

// Truncate implements disk.File.
func (diskFile *diskFile) Truncate(size int64) error {
	disk := diskFile.disk
	disk.lock.Lock()
	defer disk.lock.Unlock()
	if err := disk.beginOperation(); err != nil {
		return err
	}
	diskFile.inode.content = slices.Clone(diskFile.inode.content[:size])
	return nil
}

// Close implements io.Closer.
func (diskFile *diskFile) Close() error { return nil }
