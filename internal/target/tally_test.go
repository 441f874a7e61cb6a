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
	maximumLostHomes = 20
)

func TestConnectionSharesAddUpToThePoolLimit(t *testing.T) {
	expect := gomega.NewWithT(t)
	for connections := 1; connections <= 200; connections++ {
		for slots := 1; slots <= min(8, connections); slots++ {
			pool := &operator.Pool{Connections: connections, Slots: slots}
			sum := 0
			for lostHomes := range maximumLostHomes {
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
		placements := &history{}
		placements.record(placementOf(1, 0))
		placements.recordNeverUsed()
		opened := 0
		for lostHomes := range maximumLostHomes {
			home := new(tally)
			home.assumeLostHomes(placements.lostHomes(&target.Announcement{ID: "target"}))
			for home.claim(pool) == nil {
				opened++
			}
			expect.Expect(opened).To(gomega.BeNumerically("<=", pool.Connections))
			time.Sleep(3 * time.Second)
			placements.record(placementOf(uint64(lostHomes)+2, lostHomes+1))
		}
		time.Sleep(historyDuration)
		later := new(tally)
		later.assumeLostHomes(placements.lostHomes(&target.Announcement{ID: "target"}))
		expect.Expect(later.currentLostHomes()).To(gomega.BeZero())
	})
}

func TestShortHistoryAssumesLostHomes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		placements := &history{}
		placements.record(placementOf(7, 0))
		placements.record(placementOf(8, 0))
		count, until := placements.lostHomes(&target.Announcement{ID: "target"})
		expect.Expect(count).To(gomega.Equal(unknownLostHomes))
		expect.Expect(until).To(gomega.Equal(time.Now().Add(lostHomeDuration)))
		placements.record(placementOf(10, 0))
		time.Sleep(historyDuration)
		count, _ = placements.lostHomes(&target.Announcement{ID: "target"})
		expect.Expect(count).To(gomega.BeZero())
		placements.record(placementOf(12, 0))
		count, _ = placements.lostHomes(&target.Announcement{ID: "target"})
		expect.Expect(count).To(gomega.Equal(unknownLostHomes), "a view was missed")
	})
}

func TestHandoverIncludesOpenConnections(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		pool := &operator.Pool{Connections: 6, Slots: 2}
		before, after := new(tally), new(tally)
		before.assumeLostHomes(1, time.Now().Add(lostHomeDuration))
		expect.Expect(before.claim(pool)).To(gomega.BeNil())
		after.applyHandover(before.handover(1), time.Now())
		expect.Expect(after.claim(pool)).To(gomega.BeNil(), "two may be open after one lost home")
		expect.Expect(after.claim(pool)).NotTo(gomega.BeNil())
		time.Sleep(lostHomeDuration)
		expect.Expect(after.claim(pool)).To(gomega.BeNil())
		expect.Expect(after.claim(pool)).To(gomega.BeNil())
		expect.Expect(after.claim(pool)).NotTo(gomega.BeNil())
	})
}

// placementOf returns the placement for a view with one entry, which is home to
// all targets.
func placementOf(number uint64, entry int) *membership.Placement {
	return membership.NewPlacement(membership.View{Number: number, Members: []membership.Member{{ID: fmt.Sprintf("entry-%d", entry)}}})
}
