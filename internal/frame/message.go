// This file exists so that both ends of a connection read and write the same
// frames, and refuse the same malformed ones.

package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// Version is the protocol version that a connection starts with.
	Version = 1
	// MaximumFrameBytes bounds one frame.
	MaximumFrameBytes = 16 << 20

	lengthBytes = 4
	// overheadBytes is room for what a message has besides its body.
	overheadBytes = 64
	// reservedBytes bounds the memory that a frame's length alone reserves.
	reservedBytes = 64 << 10
)

const (
	typeHello messageType = iota + 1
	typeCall
	typePart
	typeReply
	typeCancel
	typePing
	typePong
)

type (
	messageType uint8

	message struct {
		Type   messageType `msgpack:"t"`
		Call   uint64      `msgpack:"c,omitempty"`
		Method string      `msgpack:"m,omitempty"`
		// Timeout is the time left to the caller's deadline. A span travels
		// in place of a time because the clocks of two VMs differ.
		Timeout     time.Duration      `msgpack:"d,omitempty"`
		TraceParent string             `msgpack:"tp,omitempty"`
		Body        msgpack.RawMessage `msgpack:"b,omitempty"`
		Fault       *fault.Error       `msgpack:"f,omitempty"`
		Version     int                `msgpack:"v,omitempty"`
		// OnDemand states in a client's hello that heartbeats are sent only
		// while a reply is awaited.
		OnDemand bool `msgpack:"o,omitempty"`
		// Packs states in a hello that packed bodies can be read. Packed is the
		// packed form of a body that is left out.
		Packs  bool   `msgpack:"k,omitempty"`
		Packed []byte `msgpack:"z,omitempty"`
	}
)

func writeMessage(writer io.Writer, message *message) error {
	frame := bytes.NewBuffer(make([]byte, lengthBytes, lengthBytes+overheadBytes+len(message.Body)))
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(frame)
	if err := encoder.Encode(message); err != nil {
		return errors.Wrap(err, "encode frame")
	}
	length := frame.Len() - lengthBytes
	if length > MaximumFrameBytes {
		return fault.New(fault.TooLarge, "the frame is too large", "send less in one call")
	}
	binary.BigEndian.PutUint32(frame.Bytes(), uint32(length))
	_, err := writer.Write(frame.Bytes())
	return err
}

func readMessage(reader *bufio.Reader) (*message, error) {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(reader, prefix[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > MaximumFrameBytes {
		return nil, fault.New(fault.TooLarge, "the peer's frame is too large", "check that the address belongs to a comfreythread process")
	}
	body, err := readBody(reader, int(length))
	if err != nil {
		return nil, err
	}
	var read message
	// The check of the frame holds for the body in it too.
	if err := Unmarshal(body, &read); err != nil {
		return nil, fault.New(fault.BadRequest, "the peer's frame can't be decoded", "check that both processes run the same release")
	}
	if err := read.unpack(); err != nil {
		return nil, err
	}
	return &read, nil
}

// readBody reads exactly length bytes. A large buffer grows with the bytes
// that arrive, so that a length alone reserves little memory.
func readBody(reader io.Reader, length int) ([]byte, error) {
	if length <= reservedBytes {
		body := make([]byte, length)
		_, err := io.ReadFull(reader, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(reader, int64(length)))
	if err == nil && len(body) < length {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}
