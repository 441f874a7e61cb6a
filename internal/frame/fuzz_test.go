package frame

import (
	"bufio"
	"bytes"
	"testing"
)

// FuzzReadMessage checks that reading arbitrary bytes as a frame doesn't panic, and that
// a message that was read is unchanged after it is written and read again.
func FuzzReadMessage(f *testing.F) {
	var frame bytes.Buffer
	_ = writeMessage(&frame, &message{Type: typeCall, CallID: 7, Method: "entry.run", Body: []byte{0xc0}})
	f.Add(frame.Bytes())
	var compressed bytes.Buffer
	_ = writeMessage(&compressed, compress(&message{Type: typeReply, CallID: 7, Body: append([]byte{0xda, 0x08, 0x00}, bytes.Repeat([]byte("pool-7 "), 293)[:2048]...)}))
	f.Add(compressed.Bytes())
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 5, 0x81})
	f.Fuzz(func(t *testing.T, data []byte) {
		read, err := readMessage(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		var rewritten bytes.Buffer
		if err := writeMessage(&rewritten, read); err != nil {
			t.Fatal(err)
		}
		reread, err := readMessage(bufio.NewReader(&rewritten))
		if err != nil || reread.Type != read.Type || reread.CallID != read.CallID || reread.Method != read.Method {
			t.Fatalf("read %+v, and after writing it read %+v with error %v, expected the same message", read, reread, err)
		}
	})
}
