package frame

import (
	"bufio"
	"bytes"
	"testing"
)

// FuzzReadMessage reads any bytes as a frame: no panic, and what can be read
// is written and read again alike.
func FuzzReadMessage(f *testing.F) {
	var frame bytes.Buffer
	_ = writeMessage(&frame, &message{Type: typeCall, Call: 7, Method: "entry.run", Body: []byte{0xc0}})
	f.Add(frame.Bytes())
	var packed bytes.Buffer
	_ = writeMessage(&packed, pack(&message{Type: typeReply, Call: 7, Body: append([]byte{0xda, 0x08, 0x00}, bytes.Repeat([]byte("pool-7 "), 293)[:2048]...)}))
	f.Add(packed.Bytes())
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 5, 0x81})
	f.Fuzz(func(t *testing.T, data []byte) {
		read, err := readMessage(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		var again bytes.Buffer
		if err := writeMessage(&again, read); err != nil {
			t.Fatal(err)
		}
		reread, err := readMessage(bufio.NewReader(&again))
		if err != nil || reread.Type != read.Type || reread.Call != read.Call || reread.Method != read.Method {
			t.Fatalf("read %+v, then %+v (%v)", read, reread, err)
		}
	})
}
