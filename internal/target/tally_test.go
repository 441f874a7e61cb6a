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
	levels = 20
)

func TestSharesOfAllLevelsMakeUpThePoolsConnections(t *testing.T) {
	expect := gomega.NewWithT(t)
	for connections := 1; connections <= 200; connections++ {
		for slots := 1; slots <= min(8, connections); slots++ {
			pool := &operator.Pool{Connections: connections, Slots: slots}
			sum := 0
			for level := range levels {
				sum += shareOf(pool, level)
				expect.Expect(shareOf(pool, level+1)).To(gomega.BeNumerically("<=", shareOf(pool, level)))
			}
			expect.Expect(sum).To(gomega.Equal(connections), "%d connections, %d slots", connections, slots)
			expect.Expect(shareOf(pool, 0)).To(gomega.BeNumerically(">=", slots))
		}
	}
}

func TestATargetsConnectionsAreKeptWhateverHomesItHad(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		pool := &operator.Pool{Connections: 25, Slots: 2}
		known := &history{}
		known.note(placementOf(1, 0))
		known.neverUsed()
		borne := 0
		for lost := range levels {
			home := new(tally)
			home.suppose(known.lost(&target.Announcement{ID: "target"}))
			for home.claim(pool) == nil {
				borne++
			}
			expect.Expect(borne).To(gomega.BeNumerically("<=", pool.Connections))
			time.Sleep(3 * time.Second)
			known.note(placementOf(uint64(lost)+2, lost+1))
		}
		time.Sleep(historySpan)
		calm := new(tally)
		calm.suppose(known.lost(&target.Announcement{ID: "target"}))
		expect.Expect(calm.presentLevel()).To(gomega.BeZero())
	})
}

func TestAHomeWithoutAHistorySupposesThatHomesWereLost(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		known := &history{}
		known.note(placementOf(7, 0))
		known.note(placementOf(8, 0))
		level, until := known.lost(&target.Announcement{ID: "target"})
		expect.Expect(level).To(gomega.Equal(unknownLevel))
		expect.Expect(until).To(gomega.Equal(time.Now().Add(lostSpan)))
		known.note(placementOf(10, 0))
		time.Sleep(historySpan)
		level, _ = known.lost(&target.Announcement{ID: "target"})
		expect.Expect(level).To(gomega.BeZero())
		known.note(placementOf(12, 0))
		level, _ = known.lost(&target.Announcement{ID: "target"})
		expect.Expect(level).To(gomega.Equal(unknownLevel), "a view was missed")
	})
}

func TestAReleaseTellsOfConnectionsThatMayBeOpen(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		pool := &operator.Pool{Connections: 6, Slots: 2}
		before, after := new(tally), new(tally)
		before.suppose(1, time.Now().Add(lostSpan))
		expect.Expect(before.claim(pool)).To(gomega.BeNil())
		after.inherit(before.bequeath(1), time.Now())
		expect.Expect(after.claim(pool)).To(gomega.BeNil(), "two may be open at level 1")
		expect.Expect(after.claim(pool)).NotTo(gomega.BeNil())
		time.Sleep(lostSpan)
		expect.Expect(after.claim(pool)).To(gomega.BeNil())
		expect.Expect(after.claim(pool)).To(gomega.BeNil())
		expect.Expect(after.claim(pool)).NotTo(gomega.BeNil())
	})
}

// placementOf returns a view with one entry, which is home to all targets.
func placementOf(number uint64, entry int) *membership.Placement {
	return membership.NewPlacement(membership.View{Number: number, Members: []membership.Member{{ID: fmt.Sprintf("entry-%d", entry)}}})
}
