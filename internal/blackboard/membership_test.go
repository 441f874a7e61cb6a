package blackboard_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

type (
	// controlModel is a model of control: a view is settled once every member
	// with a valid lease has acknowledged it.
	controlModel struct {
		views   []membership.View
		entries map[string]*modelEntry
	}

	// modelEntry is an entry as control and the entry itself see it.
	modelEntry struct {
		table            blackboard.Membership
		receivedView     uint64
		acknowledgedView uint64
		// fenced is true if the lease has expired.
		fenced bool
	}

	// release is the message by which an entry releases a target to its next home.
	release struct {
		to       string
		view     uint64
		targetID string
	}
)

var _ = ginkgo.Describe("the right to use a target", func() {
	ginkgo.It("is held by at most one entry under any order of views, losses, releases and fencing", func() {
		heldUnsettled := 0
		for seed := range uint64(300) {
			heldUnsettled += runHistory(seed)
		}
		gomega.Expect(heldUnsettled).To(gomega.BeNumerically(">", 0), "no target was held while a view was unsettled")
	})
})

// runHistory runs a random sequence of events and fails the spec if two entries
// hold one target. It returns how often a target was held under an unsettled view.
func runHistory(seed uint64) int {
	random := rand.New(rand.NewPCG(seed, 1))
	controlModel := &controlModel{entries: map[string]*modelEntry{}}
	members := map[string]bool{"a": true, "b": true, "c": true}
	controlModel.publish(members, random)
	var releases []release
	heldUnsettled := 0
	for range 200 {
		id := string(rune('a' + random.IntN(4)))
		switch random.IntN(9) {
		case 8:
			controlModel.publish(members, random)
		case 0:
			members[id] = !members[id]
			if !members[id] {
				// Control removes an entry only after its lease has expired.
				controlModel.entry(id).fence()
			}
			controlModel.publish(members, random)
		case 1:
			controlModel.entry(id).fence()
		case 2:
			for index := range releases {
				if random.IntN(2) == 0 {
					controlModel.entry(releases[index].to).table.Release(releases[index].targetID, releases[index].view)
				}
			}
		case 3:
			controlModel.entry(id).acknowledgedView = controlModel.entry(id).receivedView
		default:
			releases = append(releases, controlModel.renew(id, members[id])...)
		}
		heldUnsettled += controlModel.checkHolders(seed)
	}
	return heldUnsettled
}

func (controlModel *controlModel) entry(id string) *modelEntry {
	if controlModel.entries[id] == nil {
		controlModel.entries[id] = &modelEntry{fenced: true}
	}
	return controlModel.entries[id]
}

// publish creates a view with random exceptions, because no target may have two
// holders whatever the exceptions are.
func (controlModel *controlModel) publish(members map[string]bool, random *rand.Rand) {
	view := membership.View{Number: uint64(len(controlModel.views) + 1)}
	for _, id := range []string{"a", "b", "c", "d"} {
		if members[id] {
			view.Members = append(view.Members, membership.Member{ID: id, SupportsExceptions: true})
		}
	}
	for _, targetID := range targetIDs() {
		if random.IntN(3) == 0 {
			view.Exceptions = append(view.Exceptions, membership.Exception{Target: targetID, Entry: string(rune('a' + random.IntN(4)))})
		}
	}
	controlModel.views = append(controlModel.views, view)
}

func (controlModel *controlModel) newest() membership.View {
	return controlModel.views[len(controlModel.views)-1]
}

func (controlModel *controlModel) settledView() uint64 {
	newest := controlModel.newest()
	settled := newest.Number
	for _, member := range newest.Members {
		if entry := controlModel.entry(member.ID); !entry.fenced {
			settled = min(settled, entry.acknowledgedView)
		}
	}
	return settled
}

// renew gives an entry the newest view, as entry.Leaseholder does. It returns the
// releases of the targets that get another home.
func (controlModel *controlModel) renew(id string, isMember bool) []release {
	entry := controlModel.entry(id)
	if !isMember {
		return nil
	}
	if entry.fenced {
		entry.table.Reset()
		// Control ignores acknowledgements from before the lease expired.
		entry.acknowledgedView = 0
		entry.fenced = false
	}
	var held []string
	for _, targetID := range targetIDs() {
		if entry.table.MayUse(id, targetID, "") {
			held = append(held, targetID)
		}
	}
	view := controlModel.newest()
	entry.table.Update(&view, controlModel.settledView())
	entry.receivedView = view.Number
	var releases []release
	for _, targetID := range held {
		if home, found := entry.table.Placement().Home(targetID, ""); found && home.ID != id {
			releases = append(releases, release{to: home.ID, view: view.Number, targetID: targetID})
		}
	}
	return releases
}

func (entry *modelEntry) fence() {
	entry.fenced = true
}

// checkHolders fails the spec if more than one entry may use a target. It returns how
// many targets are held under an unsettled view.
func (controlModel *controlModel) checkHolders(seed uint64) int {
	heldUnsettled := 0
	for _, targetID := range targetIDs() {
		var holders []string
		for id, entry := range controlModel.entries {
			if !entry.fenced && entry.table.MayUse(id, targetID, "") {
				holders = append(holders, id)
				if !entry.table.Settled() {
					heldUnsettled++
				}
			}
		}
		gomega.Expect(len(holders)).To(gomega.BeNumerically("<=", 1), "seed %d: %s is held by %v", seed, targetID, holders)
	}
	return heldUnsettled
}

func targetIDs() []string {
	var ids []string
	for number := range 12 {
		ids = append(ids, fmt.Sprintf("target-%d", number))
	}
	return ids
}
