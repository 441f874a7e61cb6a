// Encoding and decoding of frames, shared by both ends of a connection.

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
	// Version is the protocol version that both ends must announce in the handshake.
	Version = 1
	// MaximumFrameBytes is the maximum size of one frame, without its length prefix.
	MaximumFrameBytes = 16 << 20

	lengthBytes = 4
	// overheadBytes is the buffer space reserved for the fields of a message besides its body.
	overheadBytes = 64
	// maximumPreallocatedBytes bounds the memory that is allocated on the strength of a
	// frame's length prefix alone.
	maximumPreallocatedBytes = 64 << 10
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

	// message is the content of one frame. Type determines which of the other fields are set.
	message struct {
		Type   messageType `msgpack:"t"`
		CallID uint64      `msgpack:"c,omitempty"`
		Method string      `msgpack:"m,omitempty"`
		// Timeout is the time left until the caller's deadline. It is sent as a duration
		// instead of a point in time because the clocks of two VMs differ.
		Timeout time.Duration `msgpack:"d,omitempty"`
		// StartWithin is the time since SentAt after which the call isn't worth starting; 0 means no limit.
		StartWithin time.Duration `msgpack:"w,omitempty"`
		// SentAt is when a client wrote the message, as the time since it opened the link.
		SentAt      time.Duration      `msgpack:"s,omitempty"`
		TraceParent string             `msgpack:"tp,omitempty"`
		Body        msgpack.RawMessage `msgpack:"b,omitempty"`
		Fault       *fault.Error       `msgpack:"f,omitempty"`
		Version     int                `msgpack:"v,omitempty"`
		// OnDemand in a client's hello announces that heartbeats are sent only while a
		// reply is awaited.
		OnDemand bool `msgpack:"o,omitempty"`
		// AcceptsCompressed in a hello announces that the sender can read compressed
		// bodies. Compressed replaces Body in a message with a compressed body.
		AcceptsCompressed bool   `msgpack:"k,omitempty"`
		Compressed        []byte `msgpack:"z,omitempty"`
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
	payload, err := readPayload(reader, int(length))
	if err != nil {
		return nil, err
	}
	var read message
	// Unmarshal checks the shape of the whole frame, including the body inside it.
	if err := Unmarshal(payload, &read); err != nil {
		return nil, fault.New(fault.BadRequest, "the peer's frame can't be decoded", "check that both processes run the same release")
	}
	if err := read.decompress(); err != nil {
		return nil, err
	}
	return &read, nil
}

// readPayload reads exactly length bytes. A large buffer grows as bytes arrive, so that a
// length prefix alone can't claim much memory.
func readPayload(reader io.Reader, length int) ([]byte, error) {
	if length <= maximumPreallocatedBytes {
		payload := make([]byte, length)
		_, err := io.ReadFull(reader, payload)
		return payload, err
	}
	payload, err := io.ReadAll(io.LimitReader(reader, int64(length)))
	if err == nil && len(payload) < length {
		err = io.ErrUnexpectedEOF
	}
	return payload, err
}
