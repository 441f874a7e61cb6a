package httptarget

import (
	"context"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
)

// Guards against the rest of a cold start that is counted anew whenever an entry merges a record with those of other
// registries, so that a warm target gets few requests for as long again.
func TestMergeOfRecordsDoesNotRestartAColdStart(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 2)
		defer cluster.close()
		record := announcedRecord("t", "10.0.2.1:80", 100, 5, StateReady)
		record.ColdFor = 3 * time.Second
		if err := cluster.nodes[0].api.Announce(context.Background(), &record); err != nil {
			t.Fatal(err)
		}
		time.Sleep(record.ColdFor + time.Second)
		cluster.nodes[1].ping(100, 4)
		time.Sleep(learnSpan)
		if target := cluster.entries[0].directory.Find("t", 100); target == nil || target.Limit(coldRate, time.Now()).Named() {
			t.Error("the target is taken for cold")
		}
	})
}

// Guards against the rest of a cold start that is counted from the restart of the registry that has saved it.
func TestRestartOfARegistryDoesNotExtendAColdStart(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 1)
		defer cluster.close()
		node := cluster.nodes[0]
		record := announcedRecord("t", "10.0.2.1:80", 100, 5, StateReady)
		record.ColdFor = 6 * time.Second
		if err := node.api.Announce(context.Background(), &record); err != nil {
			t.Fatal(err)
		}
		announcedAt := time.Now()
		time.Sleep(2 * saveInterval)
		node.kill()
		time.Sleep(3 * time.Second)
		node.start()
		entry := cluster.startEntry()
		time.Sleep(time.Until(announcedAt.Add(record.ColdFor + warmSlack)))
		if target := entry.directory.Find("t", 100); target == nil || target.Limit(coldRate, time.Now()).Named() {
			t.Error("the target is taken for cold")
		}
	})
}
