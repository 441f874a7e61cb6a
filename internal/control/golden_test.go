package control

import (
	"testing"

	"gitlab.com/comfreythread/comfreythread/internal/golden"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// TestEncodingOf96531af guards against a change after which this build and 96531af, running beside each
// other or one after the other, don't understand each other's messages or stored data.
func TestEncodingOf96531af(t *testing.T) {
	golden.Check(t, "96531af",
		envelope{}, result{}, stateData{}, ledgerData{}, ViewDelta{},
		Renewal{}, Lease{}, ExceptionsRequest{}, ExceptionsReply{}, TablesRequest{}, StatusRequest{}, GrantRequest{}, Grant{},
		RecordRequest{}, RecordReply{}, ReplicasRequest{}, reply[Lease]{},
		operator.Change{}, operator.ChangeReply{}, operator.DomainChange{}, operator.VersionedTables{}, operator.Status{}, operator.EmptyReply{},
	)
}
