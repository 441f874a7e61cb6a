package target

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// lostHomeRounds is the number of homes that are lost one after another.
	lostHomeRounds = 20
)

func TestConnectionSharesAddUpToThePoolLimit(t *testing.T) {
	expect := gomega.NewWithT(t)
	for connections := 1; connections <= 200; connections++ {
		for slots := 1; slots <= min(8, connections); slots++ {
			pool := &operator.Pool{Connections: connections, Slots: slots}
			sum := 0
			for lostHomes := range lostHomeRounds {
				sum += connectionShare(pool, lostHomes)
				expect.Expect(connectionShare(pool, lostHomes+1)).To(gomega.BeNumerically("<=", connectionShare(pool, lostHomes)))
			}
			expect.Expect(sum).To(gomega.Equal(connections), "%d connections, %d slots", connections, slots)
			expect.Expect(connectionShare(pool, 0)).To(gomega.BeNumerically(">=", slots))
		}
	}
}

func TestConnectionLimitHoldsAcrossLostHomes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		pool := &operator.Pool{Connections: 25, Slots: 2}
		placements := &placementHistory{}
		placements.record(singleEntryPlacement(1, 0))
		placements.recordNoTargetUsed()
		opened := 0
		for lostHomes := range lostHomeRounds {
			nextTally := new(connectionTally)
			nextTally.assumeLostHomes(placements.lostHomes(&target.Announcement{ID: "target"}))
			for nextTally.claim(pool) == nil {
				opened++
			}
			expect.Expect(opened).To(gomega.BeNumerically("<=", pool.Connections))
			time.Sleep(3 * time.Second)
			placements.record(singleEntryPlacement(uint64(lostHomes)+2, lostHomes+1))
		}
		time.Sleep(historyDuration)
		laterTally := new(connectionTally)
		laterTally.assumeLostHomes(placements.lostHomes(&target.Announcement{ID: "target"}))
		expect.Expect(laterTally.currentLostHomes()).To(gomega.BeZero())
	})
}

func TestShortHistoryAssumesLostHomes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		placements := &placementHistory{}
		placements.record(singleEntryPlacement(7, 0))
		placements.record(singleEntryPlacement(8, 0))
		count, until := placements.lostHomes(&target.Announcement{ID: "target"})
		expect.Expect(count).To(gomega.Equal(assumedLostHomeCount))
		expect.Expect(until).To(gomega.Equal(time.Now().Add(lostHomeDuration)))
		placements.record(singleEntryPlacement(10, 0))
		time.Sleep(historyDuration)
		count, _ = placements.lostHomes(&target.Announcement{ID: "target"})
		expect.Expect(count).To(gomega.BeZero())
		placements.record(singleEntryPlacement(12, 0))
		count, _ = placements.lostHomes(&target.Announcement{ID: "target"})
		expect.Expect(count).To(gomega.Equal(assumedLostHomeCount), "the history is discarded because view 11 was missed")
	})
}

func TestHandoverIncludesOpenConnections(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		pool := &operator.Pool{Connections: 6, Slots: 2}
		before, after := new(connectionTally), new(connectionTally)
		before.assumeLostHomes(1, time.Now().Add(lostHomeDuration))
		expect.Expect(before.claim(pool)).To(gomega.BeNil())
		after.applyHandover(before.handover(1), time.Now())
		expect.Expect(after.claim(pool)).To(gomega.BeNil(), "after one lost home the share is 2 of the 6 connections, and only 1 is open")
		expect.Expect(after.claim(pool)).NotTo(gomega.BeNil())
		time.Sleep(lostHomeDuration)
		expect.Expect(after.claim(pool)).To(gomega.BeNil())
		expect.Expect(after.claim(pool)).To(gomega.BeNil())
		expect.Expect(after.claim(pool)).NotTo(gomega.BeNil())
	})
}

// singleEntryPlacement returns the placement for a view with one entry, which is
// home to all targets.
func singleEntryPlacement(viewNumber uint64, entryNumber int) *membership.Placement {
	return membership.NewPlacement(membership.View{Number: viewNumber, Members: []membership.Member{{ID: fmt.Sprintf("entry-%d", entryNumber)}}})
}

// Guards against runs that wait until their deadline for a connection at a target whose connections all count as those of
// lost homes, instead of going to another replica.
func TestRunIsRefusedWhileLostHomesHoldAllConnections(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		pool := operator.Pool{Connections: 6, Slots: 2}
		for lostHomes := 0; lostHomes <= lostHomeRounds; lostHomes++ {
			lane := &lane{pool: pool, tally: new(connectionTally)}
			lane.tally.assumeLostHomes(lostHomes, time.Now().Add(lostHomeDuration))
			refusal := lane.refuseUnconnectable(time.Now().Add(time.Second))
			if canConnect := lane.tally.claim(&pool) == nil; canConnect != (refusal == nil) {
				t.Errorf("after %d lost homes a connection can be opened: %t, refusal: %v", lostHomes, canConnect, refusal)
			}
			if notRun, refused := refusal.(NotRun); refused && notRun.RetryAfter <= 0 {
				t.Errorf("after %d lost homes the refusal doesn't say when to retry", lostHomes)
			}
			if lane.refuseUnconnectable(time.Now().Add(lostHomeDuration+time.Second)) != nil {
				t.Errorf("after %d lost homes a run that can wait is refused", lostHomes)
			}
			time.Sleep(lostHomeDuration)
			if lane.refuseUnconnectable(time.Now().Add(time.Second)) != nil {
				t.Errorf("after %d lost homes a run is refused once their connections are closed", lostHomes)
			}
		}
	})
}
