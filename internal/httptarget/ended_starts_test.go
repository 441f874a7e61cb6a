package httptarget

import (
	"context"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
)

const (
	// pingInterval is the interval of the announcements of targets in these tests.
	pingInterval = 1200 * time.Millisecond
	// drainSpan is how long after its end was acknowledged a target may still be used.
	drainSpan = 3 * time.Second
)

// ping announces a start of target t at a registry, and fails the test if it isn't taken.
func (node *clusterNode) ping(startedAt int64, sequence uint64) {
	record := announcedRecord("t", "10.0.2.1:80", startedAt, sequence, StateReady)
	if err := node.api.Announce(context.Background(), &record); err != nil {
		node.cluster.t.Errorf("announcement %d of start %d: %v", sequence, startedAt, err)
	}
}

// pingFor announces a start of target t at a registry for a while.
func (node *clusterNode) pingFor(span time.Duration, startedAt int64, sequence uint64) {
	for until := time.Now().Add(span); time.Now().Before(until); sequence++ {
		node.ping(startedAt, sequence)
		time.Sleep(pingInterval)
	}
}

// end ends target t at a registry, and fails the test if that isn't acknowledged.
func (node *clusterNode) end() {
	if err := node.api.Remove(context.Background(), "t"); err != nil {
		node.cluster.t.Errorf("end of the target: %v", err)
	}
}

// Guards against a registry that ends the running start of a target after its own restart, because it
// has stored the end of an earlier start without naming that start (review/11).
func TestRestartOfARegistryKeepsLaterStarts(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 3)
		defer cluster.close()
		announced, ended := cluster.nodes[0], cluster.nodes[1]
		announced.pingFor(4*pingInterval, 100, 1)
		ended.end()
		time.Sleep(drainSpan)
		if cluster.entries[0].uses("t", 100) {
			t.Error("the start that has ended is used")
		}
		announced.pingFor(4*pingInterval, 200, 1)
		if !cluster.entries[0].uses("t", 200) {
			t.Error("the next start isn't used")
		}
		ended.restart()
		announced.pingFor(4*pingInterval, 200, 9)
		if !cluster.entries[0].uses("t", 200) {
			t.Error("the running start isn't used after the restart of a registry")
		}
	})
}

// Guards against an end that only the entries which run at that moment connect with a start. An entry
// that starts later used the target again (review/12).
func TestEntryThatStartsLaterKnowsWhichStartHasEnded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 3)
		defer cluster.close()
		announced, ended := cluster.nodes[0], cluster.nodes[1]
		announced.pingFor(4*pingInterval, 100, 1)
		ended.end()
		endedAt := time.Now()
		entry := cluster.startEntry()
		time.Sleep(time.Second)
		// The last announcement is late.
		announced.ping(100, 9)
		time.Sleep(time.Until(endedAt.Add(drainSpan)))
		for range 10 {
			if entry.uses("t", 100) {
				t.Fatalf("the target is used %s after its end", time.Since(endedAt))
			}
			time.Sleep(time.Second)
		}
	})
}

// Guards against an end that is taken for that of an earlier start, which is the latest one that the
// process knows (review/9).
func TestEndConcernsTheLatestStartThatAnyRegistryKnows(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 3)
		defer cluster.close()
		first, second := cluster.nodes[0], cluster.nodes[1]
		first.pingFor(4*pingInterval, 100, 1)
		second.pingFor(4*pingInterval, 200, 1)
		first.end()
		time.Sleep(time.Second)
		if cluster.entries[0].uses("t", 200) {
			t.Error("the target is used after its end")
		}
	})
}

// Guards against an announcement that was sent before the end of its target and arrives after it, where
// no registry has known the target, and against a target that is never used after that.
func TestLateFirstAnnouncementOfAnEndedTarget(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 3)
		defer cluster.close()
		node := cluster.nodes[0]
		node.end()
		time.Sleep(drainSpan)
		node.ping(100, 1)
		time.Sleep(time.Second)
		if cluster.entries[0].uses("t", 100) {
			t.Error("the target is used after its end")
		}
		node.pingFor(4*pingInterval, 200, 1)
		if !cluster.entries[0].uses("t", 200) {
			t.Error("the next start isn't used")
		}
	})
}

// Guards against an acknowledged end without effect: the target's first announcement arrives at a registry after that was asked
// for the target's start, and before it is told of the end.
func TestEndConcernsAStartThatIsAnnouncedMeanwhile(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 3)
		defer cluster.close()
		announced, ended := cluster.nodes[0], cluster.nodes[1]
		// Without a connection to be opened, the two calls arrive one and three delays after the end.
		ended.end()
		time.Sleep(lateAnnouncementSpan)
		go func() {
			time.Sleep(2 * clusterDelay)
			announced.ping(100, 1)
		}()
		ended.end()
		time.Sleep(time.Second)
		if cluster.entries[0].uses("t", 100) {
			t.Error("the target is used after its end")
		}
	})
}

// Guards against an acknowledged end without effect: the only registry that knows the target is down.
func TestEndIsRefusedWhileItsStartCannotBeFound(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 3)
		defer cluster.close()
		announced, asked := cluster.nodes[0], cluster.nodes[1]
		// The others hear nothing of the announcement.
		for _, other := range cluster.nodes[1:] {
			cluster.network.Cut(announced.ip, other.ip)
		}
		announced.ping(100, 1)
		announced.kill()
		if err := asked.api.Remove(context.Background(), "t"); err == nil {
			t.Error("the end of an unknown target is acknowledged")
		}
		for _, other := range cluster.nodes[1:] {
			cluster.network.Heal(announced.ip, other.ip)
		}
		announced.start()
		time.Sleep(time.Second)
		asked.end()
		time.Sleep(time.Second)
		if cluster.entries[0].uses("t", 100) {
			t.Error("the target is used after its end")
		}
	})
}

// Guards against an end that is taken for that of an earlier start, which has ended, because a registry that is down was last
// heard to list that one.
func TestEndedStartOfAnUnreachableRegistryIsNotInUse(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 3)
		defer cluster.close()
		announced, ended, other := cluster.nodes[0], cluster.nodes[1], cluster.nodes[2]
		announced.pingFor(4*pingInterval, 100, 1)
		announced.kill()
		ended.end()
		time.Sleep(drainSpan)
		// The first announcement of the next start is late.
		for other.api.Remove(context.Background(), "t") != nil {
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(time.Second)
		other.ping(200, 1)
		time.Sleep(time.Second)
		if cluster.entries[0].uses("t", 200) {
			t.Error("the target is used after its end")
		}
	})
}

// Guards against an end that only the registry has which took it: after that registry has lost its disk, an entry that
// starts uses the target again, because another registry still lists it.
func TestEndOutlastsTheRegistryThatTookIt(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 3)
		defer cluster.close()
		announced, ended := cluster.nodes[0], cluster.nodes[1]
		announced.pingFor(4*pingInterval, 100, 1)
		ended.end()
		ended.kill()
		ended.wipe()
		entry := cluster.startEntry()
		announced.ping(100, 9)
		time.Sleep(drainSpan)
		if entry.uses("t", 100) {
			t.Error("the target is used after its end")
		}
	})
}

// Guards against an end that its registry doesn't tell entries, because it has the end of an earlier start of the target from
// another registry.
func TestEndOfALaterStartReachesEntries(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 3)
		defer cluster.close()
		announced, told, ended := cluster.nodes[0], cluster.nodes[1], cluster.nodes[2]
		announced.pingFor(4*pingInterval, 100, 1)
		ended.end()
		time.Sleep(drainSpan)
		announced.pingFor(4*pingInterval, 200, 1)
		announced.kill()
		ended.kill()
		told.end()
		time.Sleep(time.Second)
		if cluster.entries[0].uses("t", 200) {
			t.Error("the target is used after its end")
		}
	})
}

// Guards against an end that doesn't reach a registry which was down, and which lists the target again from its file.
func TestEndReachesARegistryThatWasDown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 3)
		defer cluster.close()
		announced, ended := cluster.nodes[0], cluster.nodes[1]
		announced.pingFor(4*pingInterval, 100, 1)
		announced.kill()
		ended.end()
		announced.start()
		time.Sleep(time.Second)
		ended.kill()
		ended.wipe()
		announced.ping(100, 9)
		entry := cluster.startEntry()
		time.Sleep(drainSpan)
		if entry.uses("t", 100) {
			t.Error("the target is used after its end")
		}
	})
}

// Guards against a late announcement that brings a target back, at a registry that was down when the end was taken and
// isn't told of it, because no registry knew the start.
func TestEndOfAnUnknownStartReachesARegistryThatWasDown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 3)
		defer cluster.close()
		down, ended := cluster.nodes[0], cluster.nodes[1]
		down.kill()
		time.Sleep(unreachableSpan + clusterSettleSpan)
		ended.end()
		down.checkLateAnnouncement(100)
	})
}

// Guards against the same where the registry that was down knows the end of an earlier start, which holds off this one.
func TestRepeatedEndReachesARegistryThatWasDown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 3)
		defer cluster.close()
		down, ended := cluster.nodes[0], cluster.nodes[1]
		ended.pingFor(4*pingInterval, 100, 1)
		ended.end()
		time.Sleep(drainSpan)
		down.kill()
		time.Sleep(unreachableSpan + clusterSettleSpan)
		ended.end()
		down.checkLateAnnouncement(200)
	})
}

// checkLateAnnouncement starts a registry right after the end of target t was taken elsewhere, and checks that an announcement
// of the start that has ended isn't used there, and later ones are.
func (node *clusterNode) checkLateAnnouncement(startedAt int64) {
	node.cluster.t.Helper()
	node.start()
	time.Sleep(time.Second)
	node.ping(startedAt, 1)
	time.Sleep(time.Second)
	if node.cluster.entries[0].uses("t", startedAt) {
		node.cluster.t.Error("the target is used after its end")
	}
	time.Sleep(lateAnnouncementSpan)
	node.ping(startedAt, 2)
	time.Sleep(time.Second)
	if !node.cluster.entries[0].uses("t", startedAt) {
		node.cluster.t.Error("the target isn't used although it goes on announcing itself")
	}
}

// Guards against a target that announces itself again a minute after its end, and that only entries which started since
// then use: the others kept the end for good.
func TestEndIsForgottenAfterAMinuteByAllEntries(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 3)
		defer cluster.close()
		announced, ended := cluster.nodes[0], cluster.nodes[1]
		announced.pingFor(4*pingInterval, 100, 1)
		ended.end()
		announced.pingFor(retentionSpan+clusterSettleSpan, 100, 5)
		cluster.startEntry()
		announced.pingFor(clusterSettleSpan, 100, 100)
		for number, entry := range cluster.runningEntries() {
			if !entry.uses("t", 100) {
				t.Errorf("entry %d doesn't use the target", number)
			}
		}
	})
}

// Guards against a target that leaves and is used again because the registry that it told so has lost its disk, and another
// one still lists it as ready.
func TestLeavingOutlastsTheRegistryThatTookIt(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 3)
		defer cluster.close()
		announced, told := cluster.nodes[0], cluster.nodes[1]
		announced.pingFor(4*pingInterval, 100, 1)
		leaving := announcedRecord("t", "10.0.2.1:80", 100, 9, StateLeaving)
		if err := told.api.Announce(context.Background(), &leaving); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		told.kill()
		told.wipe()
		told.start()
		time.Sleep(time.Second)
		if cluster.entries[0].uses("t", 100) {
			t.Error("the target is used although it leaves")
		}
	})
}

// Guards against registries that tell each other of the same end without end, because the time for which it holds off later
// starts grows by the transit of each message.
func TestEndIsPublishedOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 3)
		defer cluster.close()
		for _, node := range cluster.nodes {
			node.ping(100, 1)
			time.Sleep(pingInterval)
		}
		time.Sleep(SilenceSpan)
		before := cluster.revisions()
		cluster.nodes[0].end()
		time.Sleep(time.Second)
		cluster.nodes[1].end()
		time.Sleep(lateAnnouncementSpan)
		// Each registry that lists the start publishes its end, and stores that it was called twice.
		if published := cluster.revisions() - before; published > 6 {
			t.Errorf("%d changes were published for an end", published)
		}
	})
}
