package target

import (
	"bytes"
	"testing"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/comfreythread/comfreythread/internal/answer"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

// FuzzResponse parses arbitrary bytes as a target's response. Whatever is
// accepted must be the complete answer to this run or a shed of it.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n" + `{"request_id":"q","attempt_id":"a","index_version":1,"layout":"l","shard":1,"payload":"","checksum":1}`))
	f.Add([]byte("HTTP/1.1 503 Busy\r\nContent-Length: 44\r\n\r\n" + `{"request_id":"q","attempt_id":"a","ran":true}`))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n{"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		run := &target.Run{RequestID: "q", AttemptID: "a", IndexVersion: 1, Layout: "l", Shard: 1}
		responses := newResponseReader(bytes.NewReader(data), &answer.Budget{})
		if responses.await() != nil {
			return
		}
		read, err := responses.read()
		if err != nil {
			return
		}
		result, shed, err := read.decode(run)
		switch {
		case err != nil:
		case shed != nil && (shed.AttemptID != run.AttemptID || shed.RequestID != run.RequestID):
			t.Fatalf("accepted a shed of another run: %+v", shed)
		case shed != nil:
		case result == nil:
			t.Fatal("neither a result nor a shed nor an error")
		case result.AttemptID != run.AttemptID || result.RequestID != run.RequestID || result.Shard != run.Shard ||
			result.IndexVersion != run.IndexVersion || result.Layout != run.Layout || xxhash.Sum64(result.Payload) != result.Checksum:
			t.Fatalf("accepted a result that is not the complete answer to the run: %+v", result)
		}
	})
}
