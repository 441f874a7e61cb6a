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
	// agreement is control in small: it settles a view once every member that
	// holds a lease has acknowledged it.
	agreement struct {
		views   []membership.View
		entries map[string]*participant
	}

	participant struct {
		table blackboard.Membership
		known uint64
		acked uint64
		// fenced states that the lease has run out.
		fenced bool
	}

	release struct {
		to       string
		view     uint64
		targetID string
	}
)

var _ = ginkgo.Describe("the right to use a target", func() {
	ginkgo.It("is held by at most one entry through any order of views, losses, releases and fencing", func() {
		kept := 0
		for seed := range uint64(300) {
			kept += tryAgreement(seed)
		}
		gomega.Expect(kept).To(gomega.BeNumerically(">", 0), "no target was kept while a view was unsettled")
	})
})

// tryAgreement runs a random history, fails the spec where two entries hold
// one target, and returns how often one was held under an unsettled view.
func tryAgreement(seed uint64) int {
	random := rand.New(rand.NewPCG(seed, 1))
	agreement := &agreement{entries: map[string]*participant{}}
	present := map[string]bool{"a": true, "b": true, "c": true}
	agreement.publish(present, random)
	var late []release
	kept := 0
	for range 200 {
		id := string(rune('a' + random.IntN(4)))
		switch random.IntN(9) {
		case 8:
			agreement.publish(present, random)
		case 0:
			present[id] = !present[id]
			if !present[id] {
				// Control removes an entry only once its lease is over.
				agreement.entry(id).fence()
			}
			agreement.publish(present, random)
		case 1:
			agreement.entry(id).fence()
		case 2:
			for index := range late {
				if random.IntN(2) == 0 {
					agreement.entry(late[index].to).table.Release(late[index].targetID, late[index].view)
				}
			}
		case 3:
			agreement.entry(id).acked = agreement.entry(id).known
		default:
			late = append(late, agreement.renew(id, present[id])...)
		}
		kept += agreement.check(seed)
	}
	return kept
}

func (agreement *agreement) entry(id string) *participant {
	if agreement.entries[id] == nil {
		agreement.entries[id] = &participant{fenced: true}
	}
	return agreement.entries[id]
}

// publish makes a view whose exceptions are random, since whatever they are no
// target may have two homes.
func (agreement *agreement) publish(present map[string]bool, random *rand.Rand) {
	view := membership.View{Number: uint64(len(agreement.views) + 1)}
	for _, id := range []string{"a", "b", "c", "d"} {
		if present[id] {
			view.Members = append(view.Members, membership.Member{ID: id, Heeds: true})
		}
	}
	for _, targetID := range targetIDs() {
		if random.IntN(3) == 0 {
			view.Exceptions = append(view.Exceptions, membership.Exception{Target: targetID, Entry: string(rune('a' + random.IntN(4)))})
		}
	}
	agreement.views = append(agreement.views, view)
}

func (agreement *agreement) newest() membership.View {
	return agreement.views[len(agreement.views)-1]
}

func (agreement *agreement) settled() uint64 {
	newest := agreement.newest()
	settled := newest.Number
	for _, member := range newest.Members {
		if entry := agreement.entry(member.ID); !entry.fenced {
			settled = min(settled, entry.acked)
		}
	}
	return settled
}

// renew gives an entry the newest view, as Leaseholder does. It returns the
// releases of what it loses.
func (agreement *agreement) renew(id string, present bool) []release {
	entry := agreement.entry(id)
	if !present {
		return nil
	}
	if entry.fenced {
		entry.table.Reset()
		// Control takes no acknowledgement from before the lease ran out.
		entry.acked = 0
		entry.fenced = false
	}
	var held []string
	for _, targetID := range targetIDs() {
		if entry.table.Holds(id, targetID, "") {
			held = append(held, targetID)
		}
	}
	view := agreement.newest()
	entry.table.Learn(&view, agreement.settled())
	entry.known = view.Number
	var releases []release
	for _, targetID := range held {
		if home, found := entry.table.Placement().Home(targetID, ""); found && home.ID != id {
			releases = append(releases, release{to: home.ID, view: view.Number, targetID: targetID})
		}
	}
	return releases
}

func (entry *participant) fence() {
	entry.fenced = true
}

func (agreement *agreement) check(seed uint64) int {
	kept := 0
	for _, targetID := range targetIDs() {
		var holders []string
		for id, entry := range agreement.entries {
			if !entry.fenced && entry.table.Holds(id, targetID, "") {
				holders = append(holders, id)
				if !entry.table.Settled() {
					kept++
				}
			}
		}
		gomega.Expect(len(holders)).To(gomega.BeNumerically("<=", 1), "seed %d: %s is held by %v", seed, targetID, holders)
	}
	return kept
}

func targetIDs() []string {
	var ids []string
	for number := range 12 {
		ids = append(ids, fmt.Sprintf("target-%d", number))
	}
	return ids
}
