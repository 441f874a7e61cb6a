package frame

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"testing"

	"github.com/klauspost/compress/s2"
	"github.com/vmihailenco/msgpack/v5"
)

// TestTablesAreCompressed sends tables of the planned size, which go to every entry
// process on each change.
func TestTablesAreCompressed(t *testing.T) {
	tables := make([]map[string]any, 300)
	for number := range tables {
		tables[number] = map[string]any{"name": fmt.Sprintf("pool-%d", number*7919%1000), "slots": 4, "connections": 70, "hedge_percent": 0}
	}
	body, err := msgpack.Marshal(tables)
	if err != nil {
		t.Fatal(err)
	}
	var frame bytes.Buffer
	if err := writeMessage(&frame, compress(&message{Type: typeReply, CallID: 7, Body: body})); err != nil {
		t.Fatal(err)
	}
	if frame.Len() > len(body)/5 {
		t.Errorf("%d bytes were sent as %d, expected at most a fifth", len(body), frame.Len())
	}
	read, err := readMessage(bufio.NewReader(&frame))
	if err != nil || !bytes.Equal(read.Body, body) || read.Compressed != nil {
		t.Errorf("the body changed in transit: %v", err)
	}
}

func TestMalformedCompressedBodiesAreRefused(t *testing.T) {
	zeros := s2.Encode(nil, make([]byte, 8<<20))
	nested := s2.Encode(nil, bytes.Repeat([]byte{0x91}, 2048))
	for name, body := range map[string][]byte{"a ratio above the limit": zeros, "nested too deep": nested, "not in the compressed format": {1, 2, 3}} {
		var frame bytes.Buffer
		if err := writeMessage(&frame, &message{Type: typeReply, CallID: 7, Compressed: body}); err != nil {
			t.Fatal(err)
		}
		if _, err := readMessage(bufio.NewReader(&frame)); err == nil {
			t.Errorf("%s was read, expected an error", name)
		}
	}
}

func TestBodiesAreCompressedOnlyForPeersThatAcceptIt(t *testing.T) {
	large := &message{Type: typeReply, Body: append([]byte{0xda, 0x08, 0x00}, bytes.Repeat([]byte("0123456789abcdef0123456789ABCDEF"), 64)...)}
	for _, acceptsCompressed := range []bool{false, true} {
		var sent bytes.Buffer
		connection, _ := net.Pipe()
		link := &link{acceptsCompressed: acceptsCompressed, connection: connection, writer: bufio.NewWriter(&sent)}
		if err := link.write(large); err != nil {
			t.Fatal(err)
		}
		if smaller := sent.Len() < 2048; smaller != acceptsCompressed {
			t.Errorf("accepts compressed bodies %t: the peer was sent %d bytes, expected below 2048 only if it accepts them", acceptsCompressed, sent.Len())
		}
	}
}
