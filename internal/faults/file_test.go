package faults_test

import (
	"gitlab.com/comfreythread/comfreythread/internal/disk"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
)

type (
	// watchedFileSystem reports file operations of a process to a cell.
	watchedFileSystem struct {
		disk.FileSystem
		cell *cell
	}

	// watchedFile reports writes and syncs of a file to a cell.
	watchedFile struct {
		disk.File
		cell *cell
	}
)

// fileSystem returns the file system of a process, which keeps its files when the process
// restarts.
func (cell *cell) fileSystem(process string) disk.FileSystem {
	cell.lock.Lock()
	defer cell.lock.Unlock()
	if cell.disks[process] == nil {
		cell.disks[process] = new(standin.Disk)
	}
	return watchedFileSystem{FileSystem: cell.disks[process], cell: cell}
}

// diskOf returns the disk behind the file system of a process.
func (cell *cell) diskOf(process *tier.Process) *standin.Disk {
	cell.lock.Lock()
	defer cell.lock.Unlock()
	return cell.disks[process.Settings().Name]
}

// triggerOnFile injects the faults if the cell's step is this file operation
// and a change is in progress.
func (cell *cell) triggerOnFile(operation fileOperation) {
	cell.triggerIf(func(step *step) bool { return step.file == operation && cell.inProgress[changing] > 0 }, standin.Traffic{})
}

// Create implements disk.FileSystem.
func (watchedFileSystem watchedFileSystem) Create(path string) (disk.File, error) {
	watchedFileSystem.cell.triggerOnFile(fileCreate)
	return watchedFileSystem.wrap(watchedFileSystem.FileSystem.Create(path))
}

// Open implements disk.FileSystem.
func (watchedFileSystem watchedFileSystem) Open(path string) (disk.File, error) {
	return watchedFileSystem.wrap(watchedFileSystem.FileSystem.Open(path))
}

func (watchedFileSystem watchedFileSystem) wrap(opened disk.File, err error) (disk.File, error) {
	if err != nil {
		return nil, err
	}
	return watchedFile{File: opened, cell: watchedFileSystem.cell}, nil
}

// Write implements disk.File.
func (watchedFile watchedFile) Write(data []byte) (int, error) {
	watchedFile.cell.triggerOnFile(fileWrite)
	return watchedFile.File.Write(data)
}

// Sync implements disk.File.
func (watchedFile watchedFile) Sync() error {
	watchedFile.cell.triggerOnFile(fileSync)
	return watchedFile.File.Sync()
}
