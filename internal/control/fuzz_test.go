package control

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// FuzzCall decodes arbitrary bytes as messages of entries and operators. Decoding and the check
// of a change must not panic, and every request ID with an expiry must expire after 1970.
func FuzzCall(f *testing.F) {
	change, _ := msgpack.Marshal(&operator.Change{ID: "a", Tables: operator.Tables{Pools: []operator.Pool{{Name: "p", Slots: 1, Connections: 1}}}})
	grant, _ := msgpack.Marshal(&GrantRequest{RequestID: "a.1893456000", Nonce: 7})
	renewal, _ := msgpack.Marshal(&Renewal{TablesVersion: 1})
	f.Add(change)
	f.Add(grant)
	f.Add(renewal)
	f.Fuzz(func(t *testing.T, data []byte) {
		var change operator.Change
		if frame.Unmarshal(data, &change) == nil {
			_ = change.Tables.Check()
		}
		var renewal Renewal
		_ = frame.Unmarshal(data, &renewal)
		var request GrantRequest
		if frame.Unmarshal(data, &request) != nil {
			return
		}
		if expiry, err := request.RequestID.Expiry(); err == nil && !expiry.After(time.Unix(0, 0)) {
			t.Fatalf("ID %q expires at %s, expected a time after 1970 or an error", request.RequestID, expiry)
		}
	})
}
