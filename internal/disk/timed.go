// Measurement of the time that syncs of files take.

package disk

import (
	"time"
)

type (
	// Timed is a file system that reports the duration of each sync of a file.
	Timed struct {
		FileSystem
		observe func(time.Duration)
	}

	// timedFile is a file that reports the duration of each sync.
	timedFile struct {
		File
		observe func(time.Duration)
	}
)

// NewTimed wraps a file system so that observe is called with the duration of each sync of
// a file. A nil file system means OS.
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
	start := time.Now()
	err := timedFile.File.Sync()
	timedFile.observe(time.Since(start))
	return err
}
