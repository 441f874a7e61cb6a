package entry

import (
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

// TestProvenConnections guards against spending the last allowed run on a
// connection that has gone silent. The first run has no such requirement.
func TestProvenConnections(t *testing.T) {
	for _, row := range []struct {
		name             string
		allowed          int
		runs, pending    int
		repeated, proven bool
	}{
		{name: "the first and only run", allowed: 1, pending: 1},
		{name: "the first of two runs", allowed: 2, pending: 1},
		{name: "the second of three runs", allowed: 3, pending: 2},
		{name: "the last of two runs", allowed: 2, pending: 2, proven: true},
		{name: "the last run after one that was lost", allowed: 2, runs: 1, pending: 1, proven: true},
		{name: "a second run at the same target", allowed: 3, pending: 2, repeated: true, proven: true},
	} {
		fanOut := &fanOut{request: &caller.Request{Idempotent: true, RunsPerShard: row.allowed}}
		shard := &shardProgress{runs: row.runs, pending: row.pending, startedAt: time.Now().Add(-time.Second)}
		span := fanOut.provenWithin(shard, candidate{repeated: row.repeated})
		if proven := span > 0; proven != row.proven {
			t.Errorf("%s: connection must be proven: %v, want %v", row.name, proven, row.proven)
		}
	}
}
