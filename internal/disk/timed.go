// How long the disk takes to make what was written last.

package disk

import (
	"time"
)

type (
	// Timed is a file system whose syncs of files are observed.
	Timed struct {
		FileSystem
		observe func(time.Duration)
	}

	timedFile struct {
		File
		observe func(time.Duration)
	}
)

// NewTimed returns the file system with each sync of a file observed. A nil file
// system is the operating system's.
func NewTimed(fileSystem FileSystem, observe func(time.Duration)) Timed {
	if fileSystem == nil {
		fileSystem = OS{}
	}
	return Timed{FileSystem: fileSystem, observe: observe}
}

// Create implements FileSystem.
func (timed Timed) Create(path string) (File, error) {
	return timed.wrap(timed.FileSystem.Create(path))
}

// Open implements FileSystem.
func (timed Timed) Open(path string) (File, error) {
	return timed.wrap(timed.FileSystem.Open(path))
}

func (timed Timed) wrap(file File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return timedFile{File: file, observe: timed.observe}, nil
}

// Sync implements File.
func (timedFile timedFile) Sync() error {
	begun := time.Now()
	err := timedFile.File.Sync()
	timedFile.observe(time.Since(begun))
	return err
}
