// This file exists so that a record that was cut off is told from one that
// was damaged.

package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

const (
	// A record is its length, the checksum of its body, the checksum of these
	// two, and its body.
	headerBytes = 12
	// sectorBytes is the unit in which a disk writes.
	sectorBytes = 512
)

const (
	// whole is a record that can be trusted.
	whole verdict = iota
	// torn is what a crash leaves of a write that was never synced.
	torn
	// damaged is anything else.
	damaged
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

type (
	verdict uint8
)

func appendRecord(buffer, body []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(body)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(header[:8], castagnoli))
	return append(append(buffer, header[:]...), body...)
}

// readRecord reads the record at an offset and returns the offset after it.
func readRecord(data []byte, offset int) (body []byte, next int, found verdict) {
	rest := data[offset:]
	if len(rest) < headerBytes {
		return nil, 0, torn
	}
	if crc32.Checksum(rest[:8], castagnoli) != binary.LittleEndian.Uint32(rest[8:]) {
		return nil, 0, unlessTorn(data, offset, offset+headerBytes)
	}
	length := int(binary.LittleEndian.Uint32(rest))
	if len(rest) < headerBytes+length {
		return nil, 0, torn
	}
	body = rest[headerBytes : headerBytes+length]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(rest[4:]) {
		return nil, 0, unlessTorn(data, offset, offset+headerBytes+length)
	}
	return body, offset + headerBytes + length, whole
}

// unlessTorn tells whether a bad record may be a write that a crash cut off:
// from some sector on, the record and all that follows it are zero, because
// the file had grown and its content had not arrived.
func unlessTorn(data []byte, start, end int) verdict {
	lastSector := (end - 1) / sectorBytes * sectorBytes
	zeroFrom := max(start, lastSector)
	if len(bytes.Trim(data[zeroFrom:], "\x00")) == 0 {
		return torn
	}
	return damaged
}
