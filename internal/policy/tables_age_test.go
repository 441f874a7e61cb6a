package policy_test

import (
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

// TestTablesAge guards against an entry that serves by older tables though it knows of newer ones, against one that is cut off
// and refuses its callers for that, and against a final rejection of what newer tables may allow.
func TestTablesAge(t *testing.T) {
	for _, row := range []struct {
		age                policy.TablesAge
		refusal, rejection policy.Reason
	}{
		{policy.TablesAge{LeaseLeft: time.Second}, 0, 0},
		{policy.TablesAge{LeaseLeft: time.Millisecond, Behind: true}, 0, policy.Outdated},
		{policy.TablesAge{LeaseLeft: 0, Behind: true}, policy.Outdated, policy.Outdated},
		{policy.TablesAge{LeaseLeft: -time.Minute}, 0, 0},
		{policy.TablesAge{LeaseLeft: -time.Minute - 1}, policy.Stale, 0},
	} {
		if refusal, rejection := row.age.Refusal(), row.age.RejectionRefusal(); refusal != row.refusal || rejection != row.rejection {
			t.Errorf("%+v: got %v and %v, expected %v and %v", row.age, refusal, rejection, row.refusal, row.rejection)
		}
	}
}
