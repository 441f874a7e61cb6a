// This file exists so that both ends of a connection read and write the same
// frames, and refuse the same malformed ones.

package frame

import (
	"bufio"
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
	}
)

func writeMessage(writer io.Writer, message *message) error {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	if len(body) > MaximumFrameBytes {
		return fault.New(fault.TooLarge, "the frame is too large", "send less in one call")
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	_, err = writer.Write(append(frame, body...))
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
	// The buffer grows with the bytes that arrive, so that a length alone
	// reserves no memory.
	body, err := io.ReadAll(io.LimitReader(reader, int64(length)))
	if err != nil {
		return nil, err
	}
	if len(body) < int(length) {
		return nil, io.ErrUnexpectedEOF
	}
	var read message
	if err := msgpack.Unmarshal(body, &read); err != nil {
		return nil, fault.New(fault.BadRequest, "the peer's frame can't be decoded", "check that both processes run the same release")
	}
	return &read, nil
}
