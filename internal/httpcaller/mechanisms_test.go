package httpcaller

import (
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

// Guards against a mechanism that stays on although the settings turn it off.
func TestDisabledMechanismsAreOff(t *testing.T) {
	server := &Server{options: Options{Disabled: policy.AllMechanisms()}}
	now := time.Now()
	for range 40 {
		now = now.Add(time.Second)
		server.shardLoads.Observe("shard", true, now)
	}
	query := &query{call: &call{server: server}}
	dispatches := []*dispatch{{pool: "shard"}}
	if kept, admitted := query.omitShards(dispatches, &policy.QueryProgress{Shards: 1}); len(kept) != 1 || !admitted {
		t.Error("a shard is left out")
	}
	stalled := &dispatch{call: query.call, repeatable: true, hardDeadline: now.Add(time.Hour), order: []int{0, 1}, next: 1}
	if delay := stalled.hedgeDelay(); delay < 30*time.Minute {
		t.Errorf("a hedge is sent after %v", delay)
	}
	if connections := server.connectionsToShare(&routeIndex{}); connections != 0 {
		t.Errorf("entries are chosen by %d connections", connections)
	}
}
