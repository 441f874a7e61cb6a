// The log of records. Appended and rewritten records survive a crash at any moment.

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

	// formatVersion is stored in the preamble of each file.
	formatVersion = 1
	// preambleBytes is the size of the preamble: the format version and the length of the
	// sealed part, which was synced before the file was renamed to its final name.
	preambleBytes = 16
)

type (
	// Log is a list of records in one file of a folder. Rewrite replaces the file with a
	// new one that has the next number. Construct it with Open.
	Log struct {
		fileSystem FileSystem
		folder     string
		folderLock io.Closer
		fileNumber uint64
		file       File
		records    [][]byte
		damage     *DamagedError
		// failure is the error with which all writes fail after a failed one, or nil.
		failure error
		// appendedBytes and rewrittenBytes are what Sizes returns.
		appendedBytes  int64
		rewrittenBytes int64
	}
)

// Open locks a folder, creating it if needed, and reads its newest log file. It truncates a
// tail that was never synced. A damaged log has no records, and Damage returns the error.
func Open(fileSystem FileSystem, folder string) (*Log, error) {
	if err := fileSystem.MakeFolder(folder); err != nil {
		return nil, errors.Wrap(classifyError(folder, err), "make the data folder")
	}
	folderLock, err := fileSystem.Lock(folder)
	if err != nil {
		return nil, &LockedError{folder: folder}
	}
	log := &Log{fileSystem: fileSystem, folder: folder, folderLock: folderLock}
	if err := log.recover(); err != nil {
		_ = folderLock.Close()
		return nil, classifyError(folder, err)
	}
	return log, nil
}

// recover reads the newest log file, if there is one, and removes older and temporary files.
func (log *Log) recover() error {
	names, err := log.fileSystem.List(log.folder)
	if err != nil {
		return err
	}
	var superseded []string
	for _, name := range names {
		var number uint64
		if strings.HasSuffix(name, temporarySuffix) {
			superseded = append(superseded, name)
		} else if _, err := fmt.Sscanf(name, logPrefix+"%d", &number); err == nil {
			if log.fileNumber > 0 {
				superseded = append(superseded, filepath.Base(log.path()))
			}
			log.fileNumber = number
		}
	}
	if log.fileNumber > 0 {
		if err := log.read(); err != nil {
			return err
		}
	}
	// The newest file name must be durable before older files are removed or records appended.
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
	return filepath.Join(log.folder, fmt.Sprintf("%s%016d", logPrefix, log.fileNumber))
}

// read reads the newest file, truncates a torn tail and syncs the file. If the file is damaged, it
// sets damage and leaves the file as it is.
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

// parse reads the records into the log and returns the offset after the last intact one. It sets
// damage if a record is damaged.
func (log *Log) parse(data []byte) (end int, err error) {
	preamble, offset, state := readRecord(data, 0)
	if state != intact || len(preamble) != preambleBytes {
		log.damage = &DamagedError{path: log.path()}
		return 0, nil
	}
	if version := binary.LittleEndian.Uint64(preamble); version != formatVersion {
		return 0, errors.Errorf("the log has format %d, which this release doesn't know; run a newer release", version)
	}
	sealed := int(binary.LittleEndian.Uint64(preamble[8:]))
	for offset < len(data) || offset < sealed {
		body, next, state := readRecord(data, min(offset, len(data)))
		if state == damaged || state == torn && offset < sealed {
			log.damage = &DamagedError{path: log.path(), offset: offset}
			return 0, nil
		}
		if state == torn {
			break
		}
		log.records = append(log.records, body)
		offset = next
	}
	log.rewrittenBytes, log.appendedBytes = int64(sealed), int64(offset-sealed)
	return offset, nil
}

// Records returns the records that Open has read and releases them: a second call returns
// nil.
func (log *Log) Records() [][]byte {
	records := log.records
	log.records = nil
	return records
}

// Damage returns the damage that Open has found, or nil.
func (log *Log) Damage() error {
	if log.damage == nil {
		return nil
	}
	return log.damage
}

// Sizes returns the number of bytes appended since the last Rewrite, and the number of
// bytes that this Rewrite wrote.
func (log *Log) Sizes() (appendedBytes, rewrittenBytes int64) {
	return log.appendedBytes, log.rewrittenBytes
}

// Append adds records and syncs them. After an error all further writes fail, because the
// content of the disk is unknown.
func (log *Log) Append(records ...[]byte) error {
	if log.failure != nil {
		return log.failure
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
	log.appendedBytes += int64(len(buffer))
	return nil
}

// Rewrite replaces all records atomically: after a crash, the log has either all the old
// records or all the new ones.
func (log *Log) Rewrite(records ...[]byte) error {
	if log.failure != nil {
		return log.failure
	}
	previous, previousFile, previousNumber := log.path(), log.file, log.fileNumber
	log.fileNumber++
	file, size, err := log.writeSealed(records)
	if err != nil {
		return log.fail(err)
	}
	log.file, log.damage = file, nil
	log.appendedBytes, log.rewrittenBytes = 0, size
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

// writeSealed writes a new file under a temporary name, and renames it once it is durable.
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
	return file, int64(len(content)), wrapSyncError(log.fileSystem.SyncFolder(log.folder))
}

// Discard renames the log file, if there is one, so that an operator can inspect it. The log is
// empty afterwards. A file that was discarded earlier is replaced.
func (log *Log) Discard() error {
	if log.failure != nil {
		return log.failure
	}
	if log.fileNumber == 0 {
		return nil
	}
	if log.file != nil {
		_ = log.file.Close()
		log.file = nil
	}
	// The fixed name limits the discarded files to one.
	if err := log.fileSystem.Rename(log.path(), filepath.Join(log.folder, damagedPrefix+"log")); err != nil {
		return log.fail(err)
	}
	if err := log.fileSystem.SyncFolder(log.folder); err != nil {
		return log.fail(err)
	}
	log.fileNumber, log.damage, log.records, log.appendedBytes, log.rewrittenBytes = 0, nil, nil, 0, 0
	return nil
}

// Close closes the file and unlocks the folder.
func (log *Log) Close() error {
	if log.file != nil {
		_ = log.file.Close()
	}
	return log.folderLock.Close()
}

// fail stores and returns the error with which all further writes fail.
func (log *Log) fail(err error) error {
	log.failure = classifyError(log.path(), err)
	return log.failure
}

func writeAndSync(file File, data []byte) error {
	written, err := file.Write(data)
	if err != nil {
		return err
	}
	if written < len(data) {
		return io.ErrShortWrite
	}
	return wrapSyncError(file.Sync())
}

// wrapSyncError marks an error as a failed sync, so that a sync that failed for lack of
// space isn't taken for a failed write.
func wrapSyncError(err error) error {
	if err == nil {
		return nil
	}
	return &FailedError{cause: err}
}
