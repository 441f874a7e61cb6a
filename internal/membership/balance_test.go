package membership_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
)

type (
	// balanceSize is entries and targets over failure domains.
	balanceSize struct {
		entries, namings int
		targets          []membership.Placed
	}

	// balanceFound counts over all namings.
	balanceFound struct {
		outside, moves, most, namingsOutside int
	}
)

func deploymentTargets(deployment standin.Deployment) []membership.Placed {
	var targets []membership.Placed
	for _, pool := range deployment.Pools {
		for _, announcement := range deployment.Announcements(pool) {
			targets = append(targets, membership.Placed{ID: announcement.ID, FailureDomain: announcement.FailureDomain})
		}
	}
	return targets
}

func numberedTargets(count, domains int) []membership.Placed {
	var targets []membership.Placed
	for number := range count {
		targets = append(targets, membership.Placed{ID: fmt.Sprintf("target-%d", number), FailureDomain: fmt.Sprint(number % domains)})
	}
	return targets
}

// view names entries at random over the failure domains of the targets.
func (size *balanceSize) view(random *rand.Rand) membership.View {
	view := membership.View{Number: 1}
	var domains []string
	seen := map[string]bool{}
	for _, target := range size.targets {
		if !seen[target.FailureDomain] {
			seen[target.FailureDomain], domains = true, append(domains, target.FailureDomain)
		}
	}
	for number := range size.entries {
		view.Members = append(view.Members, membership.Member{ID: fmt.Sprintf("entry-%x", random.Uint64()), FailureDomain: domains[number%len(domains)], Heeds: true})
	}
	return view
}

// outside counts homes outside of 20% of the even share of their failure
// domain, or of the whole numbers next to it.
func outside(view membership.View, targets []membership.Placed) (outside, most int) {
	placement := membership.NewPlacement(view)
	loads, counts, members := map[string]int{}, map[string]int{}, map[string]int{}
	for _, target := range targets {
		home, _ := placement.Home(target.ID, target.FailureDomain)
		loads[home.ID]++
		counts[home.FailureDomain]++
	}
	for _, member := range view.Members {
		members[member.FailureDomain]++
	}
	for _, member := range view.Members {
		even, load := float64(counts[member.FailureDomain])/float64(members[member.FailureDomain]), float64(loads[member.ID])
		most = max(most, loads[member.ID])
		if math.Abs(load-even) > 0.2*even+1e-9 && math.Abs(load-even) >= 1 {
			outside++
		}
	}
	return outside, most
}

var _ = ginkgo.DescribeTable("exceptions from rendezvous hashing keep each home within 20% of even", func(size balanceSize) {
	random := rand.New(rand.NewPCG(6, 0))
	var plain, balanced balanceFound
	for range size.namings {
		view := size.view(random)
		out, most := outside(view, size.targets)
		plain.outside, plain.most = plain.outside+out, max(plain.most, most)
		if out > 0 {
			plain.namingsOutside++
		}
		exceptions, _ := membership.NewPlacement(view).Balance(size.targets, len(size.targets))
		view.Exceptions = exceptions
		out, most = outside(view, size.targets)
		balanced.outside, balanced.most, balanced.moves = balanced.outside+out, max(balanced.most, most), balanced.moves+len(exceptions)
		_, again := membership.NewPlacement(view).Balance(size.targets, len(size.targets))
		gomega.Expect(again).To(gomega.BeFalse())
	}
	ginkgo.GinkgoWriter.Printf("%d entries, %d targets, %d namings: plain %+v, balanced %+v\n", size.entries, len(size.targets), size.namings, plain, balanced)
	gomega.Expect(balanced.outside).To(gomega.BeZero())
},
	ginkgo.Entry("Atelier, 6 entries", balanceSize{entries: 6, namings: 200, targets: deploymentTargets(standin.Atelier)}),
	ginkgo.Entry("Atelier, 8 entries", balanceSize{entries: 8, namings: 200, targets: deploymentTargets(standin.Atelier)}),
	ginkgo.Entry("Banaag, 6 entries", balanceSize{entries: 6, namings: 200, targets: deploymentTargets(standin.Banaag)}),
	ginkgo.Entry("Banaag, 8 entries", balanceSize{entries: 8, namings: 200, targets: deploymentTargets(standin.Banaag)}),
	ginkgo.Entry("the size to come", balanceSize{entries: 1600, namings: 1, targets: numberedTargets(12000, 8)}),
)

var _ = ginkgo.Describe("exceptions", func() {
	ginkgo.It("have no effect where a member doesn't heed them, or where they name one that may not be the home", func() {
		size := balanceSize{entries: 6, targets: deploymentTargets(standin.Atelier)}
		view := size.view(rand.New(rand.NewPCG(6, 0)))
		plain := membership.NewPlacement(view)
		target := size.targets[0]
		home, _ := plain.Home(target.ID, target.FailureDomain)
		for _, member := range view.Members {
			excepted := membership.View{Number: 2, Members: slices.Clone(view.Members), Exceptions: []membership.Exception{{Target: target.ID, Entry: member.ID}}}
			found, _ := membership.NewPlacement(excepted).Home(target.ID, target.FailureDomain)
			if member.FailureDomain == target.FailureDomain {
				gomega.Expect(found.ID).To(gomega.Equal(member.ID))
			} else {
				gomega.Expect(found.ID).To(gomega.Equal(home.ID))
			}
			excepted.Members[5].Heeds = false
			found, _ = membership.NewPlacement(excepted).Home(target.ID, target.FailureDomain)
			gomega.Expect(found.ID).To(gomega.Equal(home.ID))
		}
	})

	ginkgo.It("move the leaving entry's targets and the few that even out the rest, at the size to come", func() {
		size := balanceSize{entries: 1600, targets: numberedTargets(12000, 8)}
		view := size.view(rand.New(rand.NewPCG(6, 0)))
		view.Exceptions, _ = membership.NewPlacement(view).Balance(size.targets, len(size.targets))
		before := membership.NewPlacement(view)
		left := membership.View{Number: 2, Members: view.Members[1:], Exceptions: view.Exceptions}
		after := membership.NewPlacement(left)
		left.Exceptions, _ = after.Balance(size.targets, len(size.targets))
		balanced, own, moved, evened := membership.NewPlacement(left), 0, 0, 0
		for _, target := range size.targets {
			first, _ := before.Home(target.ID, target.FailureDomain)
			second, _ := after.Home(target.ID, target.FailureDomain)
			third, _ := balanced.Home(target.ID, target.FailureDomain)
			if first.ID == view.Members[0].ID {
				own++
			}
			if first.ID != second.ID {
				moved++
			}
			if second.ID != third.ID {
				evened++
			}
		}
		ginkgo.GinkgoWriter.Printf("own %d, moved by the leave %d, then to even out %d\n", own, moved, evened)
		gomega.Expect(moved).To(gomega.Equal(own))
		// At most one for each home of the failure domain.
		gomega.Expect(evened).To(gomega.BeNumerically("<=", size.entries/8))
	})
})
