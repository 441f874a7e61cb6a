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
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"gitlab.com/comfreythread/comfreythread/internal/pieces"
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
	// maximumHelloBytes is the maximum size of the first frame of a connection. A later release may have more to say in it.
	maximumHelloBytes = 4 << 10
	// bodyKey is the key of message.Body.
	bodyKey = "b"
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

		// counted is true if the memory of a received body counts until the collector has freed it.
		counted bool
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
	return readFrame(reader, MaximumFrameBytes, &allowance{})
}

// readFrame reads a message of up to maximum bytes. All that it allocates is taken from the allowance.
func readFrame(reader *bufio.Reader, maximum int, allowance *allowance) (*message, error) {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(reader, prefix[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > uint32(maximum) {
		return nil, fault.New(fault.TooLarge, "the peer's frame is too large", "check that the address belongs to a comfreythread process")
	}
	if reader.Buffered() < int(length) {
		allowance.frameBegun()
	}
	payload, err := pieces.ReadKnown(reader, int64(length), allowance)
	if err != nil {
		return nil, err
	}
	// The shape of the whole frame is checked, including the body inside it.
	if err := checkShape(payload); err != nil {
		return nil, malformedFrameError()
	}
	rest, body, err := splitBody(payload)
	if err != nil {
		return nil, malformedFrameError()
	}
	// The fields are copied out of the payload, and a compressed body with them.
	if err := allowance.Reserve(int64(len(rest))); err != nil {
		return nil, err
	}
	var read message
	if err := msgpack.Unmarshal(rest, &read); err != nil {
		return nil, malformedFrameError()
	}
	if body != nil {
		read.Body, read.counted = body, allowance.keep(payload)
	}
	if err := read.decompress(allowance); err != nil {
		return nil, err
	}
	return &read, nil
}

// splitBody returns a frame whose shape has been checked without its body, and the body, which isn't copied: it may be most of the
// frame. The body is nil if the frame has none, or isn't written as writeMessage does.
func splitBody(payload []byte) (rest, body []byte, err error) {
	if len(payload) == 0 || !msgpcode.IsFixedMap(payload[0]) {
		return payload, nil, nil
	}
	reader := bytes.NewReader(payload)
	position := func() int { return len(payload) - reader.Len() }
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(reader)
	entries, err := decoder.DecodeMapLen()
	if err != nil {
		return nil, nil, err
	}
	for range entries {
		keyAt := position()
		key, err := decoder.DecodeString()
		if err != nil {
			return nil, nil, err
		}
		bodyAt := position()
		if err := decoder.Skip(); err != nil {
			return nil, nil, err
		}
		if key == bodyKey {
			rest = append([]byte{payload[0] - 1}, payload[1:keyAt]...)
			return append(rest, payload[position():]...), payload[bodyAt:position():position()], nil
		}
	}
	return payload, nil, nil
}

func malformedFrameError() error {
	return fault.New(fault.BadRequest, "the peer's frame can't be decoded", "check that both processes run the same release")
}
