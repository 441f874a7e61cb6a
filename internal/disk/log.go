// This file exists so that records are appended, replaced and found again
// whatever the moment of a crash.

package disk

import (
	"encoding/binary"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
)

const (
	logPrefix       = "log-"
	damagedPrefix   = "damaged-"
	temporarySuffix = ".tmp"

	// formatVersion heads each file.
	formatVersion = 1
	// preambleBytes holds the version and the length of the sealed part: what
	// was synced before the file got its name.
	preambleBytes = 16
)

type (
	// Log is a list of records in one file of a folder. Rewrite replaces the
	// file by a new one under the next number. Open it with Open.
	Log struct {
		fileSystem FileSystem
		folder     string
		lock       io.Closer
		number     uint64
		file       File
		records    [][]byte
		damage     *DamagedError
		failed     error
		appended   int64
		rewritten  int64
	}
)

// Open locks a folder and reads its newest log. A tail that was never synced
// is cut off. A damaged log has no records; Damage tells of it.
func Open(fileSystem FileSystem, folder string) (*Log, error) {
	if err := fileSystem.MakeFolder(folder); err != nil {
		return nil, errors.Wrap(typed(folder, err), "make the data folder")
	}
	lock, err := fileSystem.Lock(folder)
	if err != nil {
		return nil, &LockedError{folder: folder}
	}
	log := &Log{fileSystem: fileSystem, folder: folder, lock: lock}
	if err := log.recover(); err != nil {
		_ = lock.Close()
		return nil, typed(folder, err)
	}
	return log, nil
}

func (log *Log) recover() error {
	names, err := log.fileSystem.Names(log.folder)
	if err != nil {
		return err
	}
	var superseded []string
	for _, name := range names {
		var number uint64
		if strings.HasSuffix(name, temporarySuffix) {
			superseded = append(superseded, name)
		} else if _, err := fmt.Sscanf(name, logPrefix+"%d", &number); err == nil {
			if log.number > 0 {
				superseded = append(superseded, filepath.Base(log.path()))
			}
			log.number = number
		}
	}
	if log.number > 0 {
		if err := log.read(); err != nil {
			return err
		}
	}
	// The newest name must last before anything relies on it.
	if err := log.fileSystem.SyncFolder(log.folder); err != nil {
		return err
	}
	for _, name := range superseded {
		if err := log.fileSystem.Remove(filepath.Join(log.folder, name)); err != nil {
			return err
		}
	}
	return nil
}

func (log *Log) path() string {
	return filepath.Join(log.folder, fmt.Sprintf("%s%016d", logPrefix, log.number))
}

// read reads the newest file and makes what it found durable.
func (log *Log) read() error {
	data, err := log.fileSystem.Read(log.path())
	if err != nil {
		return err
	}
	end, err := log.parse(data)
	if err != nil {
		log.records = nil
		return errors.Wrap(err, "read")
	}
	if log.damage != nil {
		log.records = nil
		return nil
	}
	file, err := log.fileSystem.Open(log.path())
	if err != nil {
		return err
	}
	log.file = file
	if end < len(data) {
		if err := file.Truncate(int64(end)); err != nil {
			return err
		}
	}
	return file.Sync()
}

// parse reads records and returns the offset after the last whole one.
func (log *Log) parse(data []byte) (end int, err error) {
	preamble, offset, found := readRecord(data, 0)
	if found != whole || len(preamble) != preambleBytes {
		log.damage = &DamagedError{path: log.path()}
		return 0, nil
	}
	if version := binary.LittleEndian.Uint64(preamble); version != formatVersion {
		return 0, errors.Errorf("the log has format %d, which this release doesn't know; run a newer release", version)
	}
	sealed := int(binary.LittleEndian.Uint64(preamble[8:]))
	for offset < len(data) || offset < sealed {
		body, next, found := readRecord(data, min(offset, len(data)))
		if found == damaged || found == torn && offset < sealed {
			log.damage = &DamagedError{path: log.path(), offset: offset}
			return 0, nil
		}
		if found == torn {
			break
		}
		log.records = append(log.records, body)
		offset = next
	}
	log.rewritten, log.appended = int64(sealed), int64(offset-sealed)
	return offset, nil
}

// Records returns the records found by Open and forgets them.
func (log *Log) Records() [][]byte {
	records := log.records
	log.records = nil
	return records
}

// Damage returns the damage found by Open, or nil.
func (log *Log) Damage() error {
	if log.damage == nil {
		return nil
	}
	return log.damage
}

// Grown returns the bytes appended since the last Rewrite, and the bytes that
// it wrote.
func (log *Log) Grown() (appended, rewritten int64) {
	return log.appended, log.rewritten
}

// Append adds records and syncs them. After an error the log refuses
// everything, because it isn't known what the disk holds.
func (log *Log) Append(records ...[]byte) error {
	if log.failed != nil {
		return log.failed
	}
	if log.file == nil {
		return errors.New("the log is empty; call Rewrite first")
	}
	var buffer []byte
	for _, record := range records {
		buffer = appendRecord(buffer, record)
	}
	if err := writeAndSync(log.file, buffer); err != nil {
		return log.fail(err)
	}
	log.appended += int64(len(buffer))
	return nil
}

// Rewrite replaces all records. A crash leaves either the old ones or the new
// ones.
func (log *Log) Rewrite(records ...[]byte) error {
	if log.failed != nil {
		return log.failed
	}
	previous, previousFile, previousNumber := log.path(), log.file, log.number
	log.number++
	file, size, err := log.writeSealed(records)
	if err != nil {
		return log.fail(err)
	}
	log.file, log.damage = file, nil
	log.appended, log.rewritten = 0, size
	if previousFile != nil {
		_ = previousFile.Close()
	}
	if previousNumber == 0 {
		return nil
	}
	if err := log.fileSystem.Remove(previous); err != nil {
		return log.fail(err)
	}
	return nil
}

// writeSealed writes a new file and gives it its name once it is durable.
func (log *Log) writeSealed(records [][]byte) (file File, size int64, err error) {
	var body []byte
	for _, record := range records {
		body = appendRecord(body, record)
	}
	var preamble [preambleBytes]byte
	binary.LittleEndian.PutUint64(preamble[0:], formatVersion)
	binary.LittleEndian.PutUint64(preamble[8:], uint64(headerBytes+preambleBytes+len(body)))
	content := append(appendRecord(nil, preamble[:]), body...)
	temporary := log.path() + temporarySuffix
	file, err = log.fileSystem.Create(temporary)
	if err != nil {
		return nil, 0, err
	}
	if err := writeAndSync(file, content); err != nil {
		_ = file.Close()
		return nil, 0, err
	}
	if err := log.fileSystem.Rename(temporary, log.path()); err != nil {
		return nil, 0, err
	}
	return file, int64(len(content)), synced(log.fileSystem.SyncFolder(log.folder))
}

// Discard sets the records aside for an operator to look at. The log is empty
// afterwards.
func (log *Log) Discard() error {
	if log.failed != nil {
		return log.failed
	}
	if log.number == 0 {
		return nil
	}
	if log.file != nil {
		_ = log.file.Close()
		log.file = nil
	}
	// One file under a fixed name bounds what is set aside.
	if err := log.fileSystem.Rename(log.path(), filepath.Join(log.folder, damagedPrefix+"log")); err != nil {
		return log.fail(err)
	}
	if err := log.fileSystem.SyncFolder(log.folder); err != nil {
		return log.fail(err)
	}
	log.number, log.damage, log.records, log.appended, log.rewritten = 0, nil, nil, 0, 0
	return nil
}

// Close closes the file and unlocks the folder.
func (log *Log) Close() error {
	if log.file != nil {
		_ = log.file.Close()
	}
	return log.lock.Close()
}

func (log *Log) fail(err error) error {
	log.failed = typed(log.path(), err)
	return log.failed
}

func writeAndSync(file File, data []byte) error {
	written, err := file.Write(data)
	if err != nil {
		return err
	}
	if written < len(data) {
		return io.ErrShortWrite
	}
	return synced(file.Sync())
}

// synced tells a failed sync from a write that found no space.
func synced(err error) error {
	if err == nil {
		return nil
	}
	return &FailedError{cause: err}
}
