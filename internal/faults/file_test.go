package faults_test

import (
	"gitlab.com/comfreythread/comfreythread/internal/disk"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
)

type (
	// watchedFiles tells a cell what control does to its files.
	watchedFiles struct {
		disk.FileSystem
		cell *cell
	}

	watchedFile struct {
		disk.File
		cell *cell
	}
)

// files returns the files of a process. They outlast it.
func (cell *cell) files(process string) disk.FileSystem {
	cell.lock.Lock()
	defer cell.lock.Unlock()
	if cell.disks[process] == nil {
		cell.disks[process] = new(standin.Disk)
	}
	return watchedFiles{FileSystem: cell.disks[process], cell: cell}
}

func (cell *cell) diskOf(process *tier.Process) *standin.Disk {
	cell.lock.Lock()
	defer cell.lock.Unlock()
	return cell.disks[process.Settings().Name]
}

// touch reaches a step that is an operation on a file while a change is in
// progress.
func (cell *cell) touch(operation fileOperation) {
	cell.reach(func(step *step) bool { return step.file == operation && cell.activity[changing] > 0 }, standin.Traffic{})
}

// Create implements disk.FileSystem.
func (watchedFiles watchedFiles) Create(path string) (disk.File, error) {
	watchedFiles.cell.touch(created)
	return watchedFiles.watch(watchedFiles.FileSystem.Create(path))
}

// Open implements disk.FileSystem.
func (watchedFiles watchedFiles) Open(path string) (disk.File, error) {
	return watchedFiles.watch(watchedFiles.FileSystem.Open(path))
}

func (watchedFiles watchedFiles) watch(opened disk.File, err error) (disk.File, error) {
	if err != nil {
		return nil, err
	}
	return watchedFile{File: opened, cell: watchedFiles.cell}, nil
}

// Write implements disk.File.
func (watchedFile watchedFile) Write(data []byte) (int, error) {
	watchedFile.cell.touch(written)
	return watchedFile.File.Write(data)
}

// Sync implements disk.File.
func (watchedFile watchedFile) Sync() error {
	watchedFile.cell.touch(synced)
	return watchedFile.File.Sync()
}
