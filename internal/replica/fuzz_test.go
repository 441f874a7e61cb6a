package replica

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
)

// FuzzParcel decodes arbitrary bytes as an envelope from another replica: the result must be
// exactly one known message, or an error.
func FuzzParcel(f *testing.F) {
	for _, message := range []message{voteRequest{Term: 3}, appendRequest{Term: 3}, installRequest{Term: 3}} {
		wire := (&envelope{from: "a#1", to: "b#1", message: message}).wire()
		data, _ := msgpack.Marshal(&wire)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var wire wireEnvelope
		if frame.Unmarshal(data, &wire) != nil {
			return
		}
		read, err := wire.envelope()
		if (read.message == nil) != (err != nil) {
			t.Fatalf("decoded %+v with error %v, expected either a message or an error", read, err)
		}
	})
}
