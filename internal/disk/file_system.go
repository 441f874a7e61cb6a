// The file system operations that the log uses. They are few, so that tests can make each
// of them fail.

package disk

import (
	"io"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
)

type (
	// FileSystem is the set of file system operations that the log uses. The effect of a
	// call is durable only after File.Sync, or SyncFolder for file names.
	FileSystem interface {
		MakeFolder(folder string) error
		// List lists the files in a folder in lexical order.
		List(folder string) ([]string, error)
		Read(path string) ([]byte, error)
		// Create creates an empty file or truncates an existing one.
		Create(path string) (File, error)
		// Open opens an existing file for appending.
		Open(path string) (File, error)
		Rename(from, to string) error
		Remove(path string) error
		SyncFolder(folder string) error
		// Lock locks a folder against other processes until the returned value is closed.
		Lock(folder string) (io.Closer, error)
	}

	// File is an open file. Writes append to it.
	File interface {
		io.WriteCloser
		Sync() error
		Truncate(size int64) error
	}

	// OS is the operating system's file system.
	OS struct{}
)

// MakeFolder implements FileSystem.
func (OS) MakeFolder(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	return OS{}.SyncFolder(filepath.Dir(folder))
}

// List implements FileSystem.
func (OS) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// Read implements FileSystem.
func (OS) Read(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FileSystem.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Open implements FileSystem.
func (OS) Open(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename implements FileSystem.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncFolder implements FileSystem.
func (OS) SyncFolder(folder string) error {
	opened, err := os.Open(folder)
	if err != nil {
		return err
	}
	err = opened.Sync()
	if closeError := opened.Close(); err == nil {
		err = closeError
	}
	return err
}

// Lock implements FileSystem.
func (OS) Lock(folder string) (io.Closer, error) {
	opened, err := os.OpenFile(filepath.Join(folder, "lock"), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(opened.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = opened.Close()
		return nil, errors.Wrap(err, "lock")
	}
	return opened, nil
}
