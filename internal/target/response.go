// This file exists so that a target's response is read whole, and the usual one
// without the work that HTTP's rarer forms need.

package target

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
)

const (
	// maximumResultBytes bounds the body of a target's answer.
	maximumResultBytes = 4 << 20
	// plainBytes bounds the body of a plain response, whose memory is reserved
	// by its length alone.
	plainBytes = 64 << 10

	protocol   = "HTTP/1.1 "
	lineEnd    = "\r\n"
	statusEnd  = len(protocol) + 3
	firstFinal = http.StatusOK
)

type (
	// response is one HTTP response, read whole.
	response struct {
		status int
		body   []byte
		// last states that the target closes the connection.
		last bool
		// repeated states that more bytes came with the response, which
		// nobody has asked for.
		repeated bool
	}
)

func readResponse(reader *bufio.Reader) (*response, error) {
	if status, head, length, plain := peekPlain(reader); plain {
		return readPlain(reader, status, head, length)
	}
	return readAny(reader)
}

// peekPlain looks for a response that differs from others only in its status
// and its body's length, and whose head has come whole. All else, and what is
// malformed, is left to readAny.
func peekPlain(reader *bufio.Reader) (status, head, length int, plain bool) {
	buffered, _ := reader.Peek(reader.Buffered())
	head = bytes.Index(buffered, []byte(lineEnd+lineEnd))
	if head < statusEnd || string(buffered[:len(protocol)]) != protocol {
		return 0, 0, 0, false
	}
	line, fields, _ := bytes.Cut(buffered[:head], []byte(lineEnd))
	status, plain = number(line[len(protocol):min(statusEnd, len(line))])
	plain = plain && len(line) > statusEnd && line[statusEnd] == ' ' && isText(line)
	if !plain || status < firstFinal || status == http.StatusNoContent || status == http.StatusNotModified {
		return 0, 0, 0, false
	}
	length, plain = plainLength(fields)
	return status, head + 2*len(lineEnd), length, plain
}

// plainLength returns the body's length where the header's fields say nothing
// else of the body or the connection.
func plainLength(fields []byte) (int, bool) {
	length, found := 0, false
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, []byte(lineEnd))
		name, value, isField := bytes.Cut(field, []byte(":"))
		if !isField || !isName(name) || !isText(value) {
			return 0, false
		}
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			next, isNumber := number(bytes.TrimSpace(value))
			if found || !isNumber || next > plainBytes {
				return 0, false
			}
			length, found = next, true
		case bytes.EqualFold(name, []byte("Transfer-Encoding")), bytes.EqualFold(name, []byte("Connection")), bytes.EqualFold(name, []byte("Trailer")):
			return 0, false
		}
	}
	return length, found
}

// number reads a number of a few digits.
func number(digits []byte) (int, bool) {
	if len(digits) == 0 || len(digits) > len(strconv.Itoa(plainBytes)) {
		return 0, false
	}
	value := 0
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		value = 10*value + int(digit-'0')
	}
	return value, true
}

func isName(name []byte) bool {
	for _, char := range name {
		letter := 'a' <= char|0x20 && char|0x20 <= 'z'
		if !letter && (char < '0' || char > '9') && !strings.ContainsRune("-_", rune(char)) {
			return false
		}
	}
	return len(name) > 0
}

func isText(value []byte) bool {
	for _, char := range value {
		if char < ' ' || char > '~' {
			return false
		}
	}
	return true
}

func readPlain(reader *bufio.Reader, status, head, length int) (*response, error) {
	_, _ = reader.Discard(head)
	body := make([]byte, length)
	if _, err := io.ReadFull(reader, body); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return &response{status: status, body: body, repeated: reader.Buffered() > 0}, nil
}

// readAny reads any response that HTTP allows.
func readAny(reader *bufio.Reader) (*response, error) {
	read, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(read.Body, maximumResultBytes+1))
	_ = read.Body.Close()
	if err != nil {
		return nil, err
	}
	if len(body) > maximumResultBytes {
		return nil, errDamaged
	}
	return &response{status: read.StatusCode, body: body, last: read.Close, repeated: reader.Buffered() > 0}, nil
}
