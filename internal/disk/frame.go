// Encoding of records. On reading, a record that a crash cut off is distinguished from one
// that was damaged.

package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

const (
	// headerBytes is the size of a record's header: the length of the body, the checksum
	// of the body, and the checksum of these two fields. The body follows.
	headerBytes = 12
	// sectorBytes is the unit in which a disk writes.
	sectorBytes = 512
)

const (
	// intact is a record whose checksums match.
	intact recordState = iota
	// torn is a record of an unsynced write that a crash interrupted.
	torn
	// damaged is any other record.
	damaged
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

type (
	// recordState is the result of reading a record.
	recordState uint8
)

func appendRecord(buffer, body []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(body)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(header[:8], castagnoli))
	return append(append(buffer, header[:]...), body...)
}

// readRecord reads the record at an offset. If the record is intact, it returns the body and the
// offset after the record.
func readRecord(data []byte, offset int) (body []byte, next int, state recordState) {
	rest := data[offset:]
	if len(rest) < headerBytes {
		return nil, 0, torn
	}
	if crc32.Checksum(rest[:8], castagnoli) != binary.LittleEndian.Uint32(rest[8:]) {
		return nil, 0, classifyInvalid(data, offset, offset+headerBytes)
	}
	length := int(binary.LittleEndian.Uint32(rest))
	if len(rest) < headerBytes+length {
		return nil, 0, torn
	}
	body = rest[headerBytes : headerBytes+length]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(rest[4:]) {
		return nil, 0, classifyInvalid(data, offset, offset+headerBytes+length)
	}
	return body, offset + headerBytes + length, intact
}

// classifyInvalid reports whether an invalid record may be torn or must be damaged. A torn
// record is zero from the start of its last sector, or from its own start, to the end of
// the file, because the file had grown but its content had not been written.
func classifyInvalid(data []byte, start, end int) recordState {
	lastSector := (end - 1) / sectorBytes * sectorBytes
	zeroFrom := max(start, lastSector)
	if len(bytes.Trim(data[zeroFrom:], "\x00")) == 0 {
		return torn
	}
	return damaged
}
