package entry

import (
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

// TestActiveConnections guards against spending the last allowed run on a
// connection that has gone silent. The first run has no such requirement.
func TestActiveConnections(t *testing.T) {
	for _, row := range []struct {
		name             string
		allowed          int
		runs, pending    int
		repeated, active bool
	}{
		{name: "the first and only run", allowed: 1, pending: 1},
		{name: "the first of two runs", allowed: 2, pending: 1},
		{name: "the second of three runs", allowed: 3, pending: 2},
		{name: "the last of two runs", allowed: 2, pending: 2, active: true},
		{name: "the last run after one that was lost", allowed: 2, runs: 1, pending: 1, active: true},
		{name: "a second run at the same target", allowed: 3, pending: 2, repeated: true, active: true},
	} {
		fanOut := &fanOut{request: &caller.Request{Idempotent: true, RunsPerShard: row.allowed}}
		shard := &shardProgress{runs: row.runs, pending: row.pending, firstSentAt: time.Now().Add(-time.Second)}
		span := fanOut.activeWithin(shard, candidate{repeated: row.repeated})
		if active := span > 0; active != row.active {
			t.Errorf("%s: connection must be recently active: %v, want %v", row.name, active, row.active)
		}
	}
}
