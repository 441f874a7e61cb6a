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
	// balanceSize is the number of entries, the number of random sets of entry
	// IDs to try, and the targets.
	balanceSize struct {
		entries, trials int
		targets         []membership.TargetKey
	}

	// balanceResult holds the totals and the highest load over all trials. Moves
	// are counted as exceptions, one for each moved target.
	balanceResult struct {
		homesOutOfBounds, moves, highestLoad, trialsOutOfBounds int
	}
)

func deploymentTargets(deployment standin.Deployment) []membership.TargetKey {
	var targets []membership.TargetKey
	for _, pool := range deployment.Pools {
		for _, announcement := range deployment.Announcements(pool) {
			targets = append(targets, membership.TargetKey{ID: announcement.ID, FailureDomain: announcement.FailureDomain})
		}
	}
	return targets
}

func numberedTargets(count, domains int) []membership.TargetKey {
	var targets []membership.TargetKey
	for number := range count {
		targets = append(targets, membership.TargetKey{ID: fmt.Sprintf("target-%d", number), FailureDomain: fmt.Sprint(number % domains)})
	}
	return targets
}

// view returns a view of entries with random IDs, spread over the failure domains
// of the targets.
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
		view.Members = append(view.Members, membership.Member{ID: fmt.Sprintf("entry-%x", random.Uint64()), FailureDomain: domains[number%len(domains)], SupportsExceptions: true})
	}
	return view
}

// homesOutOfBounds returns the number of homes whose load is neither within 20% of
// the even share of their failure domain nor one of the integers next to it, and the
// highest load.
func homesOutOfBounds(view membership.View, targets []membership.TargetKey) (outOfBounds, highestLoad int) {
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
		highestLoad = max(highestLoad, loads[member.ID])
		if math.Abs(load-even) > 0.2*even+1e-9 && math.Abs(load-even) >= 1 {
			outOfBounds++
		}
	}
	return outOfBounds, highestLoad
}

var _ = ginkgo.DescribeTable("exceptions from rendezvous hashing keep each home within 20% of the even share", func(size balanceSize) {
	random := rand.New(rand.NewPCG(6, 0))
	var unbalanced, balanced balanceResult
	for range size.trials {
		view := size.view(random)
		outOfBounds, highestLoad := homesOutOfBounds(view, size.targets)
		unbalanced.homesOutOfBounds, unbalanced.highestLoad = unbalanced.homesOutOfBounds+outOfBounds, max(unbalanced.highestLoad, highestLoad)
		if outOfBounds > 0 {
			unbalanced.trialsOutOfBounds++
		}
		exceptions, _ := membership.NewPlacement(view).Balance(size.targets, len(size.targets))
		view.Exceptions = exceptions
		outOfBounds, highestLoad = homesOutOfBounds(view, size.targets)
		balanced.homesOutOfBounds, balanced.highestLoad, balanced.moves = balanced.homesOutOfBounds+outOfBounds, max(balanced.highestLoad, highestLoad), balanced.moves+len(exceptions)
		_, changed := membership.NewPlacement(view).Balance(size.targets, len(size.targets))
		gomega.Expect(changed).To(gomega.BeFalse())
	}
	ginkgo.GinkgoWriter.Printf("%d entries, %d targets, %d trials: unbalanced %+v, balanced %+v\n", size.entries, len(size.targets), size.trials, unbalanced, balanced)
	gomega.Expect(balanced.homesOutOfBounds).To(gomega.BeZero())
},
	ginkgo.Entry("Atelier, 6 entries", balanceSize{entries: 6, trials: 200, targets: deploymentTargets(standin.Atelier)}),
	ginkgo.Entry("Atelier, 8 entries", balanceSize{entries: 8, trials: 200, targets: deploymentTargets(standin.Atelier)}),
	ginkgo.Entry("Banaag, 6 entries", balanceSize{entries: 6, trials: 200, targets: deploymentTargets(standin.Banaag)}),
	ginkgo.Entry("Banaag, 8 entries", balanceSize{entries: 8, trials: 200, targets: deploymentTargets(standin.Banaag)}),
	ginkgo.Entry("the planned size", balanceSize{entries: 1600, trials: 1, targets: numberedTargets(12000, 8)}),
)

var _ = ginkgo.Describe("exceptions", func() {
	ginkgo.It("have no effect if a member doesn't support them, or if they name an entry that may not be the home", func() {
		size := balanceSize{entries: 6, targets: deploymentTargets(standin.Atelier)}
		view := size.view(rand.New(rand.NewPCG(6, 0)))
		plain := membership.NewPlacement(view)
		target := size.targets[0]
		home, _ := plain.Home(target.ID, target.FailureDomain)
		for _, member := range view.Members {
			viewWithException := membership.View{Number: 2, Members: slices.Clone(view.Members), Exceptions: []membership.Exception{{Target: target.ID, Entry: member.ID}}}
			found, _ := membership.NewPlacement(viewWithException).Home(target.ID, target.FailureDomain)
			if member.FailureDomain == target.FailureDomain {
				gomega.Expect(found.ID).To(gomega.Equal(member.ID))
			} else {
				gomega.Expect(found.ID).To(gomega.Equal(home.ID))
			}
			viewWithException.Members[5].SupportsExceptions = false
			found, _ = membership.NewPlacement(viewWithException).Home(target.ID, target.FailureDomain)
			gomega.Expect(found.ID).To(gomega.Equal(home.ID))
		}
	})

	ginkgo.It("move only the leaving entry's targets and a few more to rebalance, at the planned size", func() {
		size := balanceSize{entries: 1600, targets: numberedTargets(12000, 8)}
		view := size.view(rand.New(rand.NewPCG(6, 0)))
		view.Exceptions, _ = membership.NewPlacement(view).Balance(size.targets, len(size.targets))
		before := membership.NewPlacement(view)
		reducedView := membership.View{Number: 2, Members: view.Members[1:], Exceptions: view.Exceptions}
		after := membership.NewPlacement(reducedView)
		reducedView.Exceptions, _ = after.Balance(size.targets, len(size.targets))
		balanced, ownTargets, moved, rebalanced := membership.NewPlacement(reducedView), 0, 0, 0
		for _, target := range size.targets {
			homeBefore, _ := before.Home(target.ID, target.FailureDomain)
			homeAfter, _ := after.Home(target.ID, target.FailureDomain)
			homeBalanced, _ := balanced.Home(target.ID, target.FailureDomain)
			if homeBefore.ID == view.Members[0].ID {
				ownTargets++
			}
			if homeBefore.ID != homeAfter.ID {
				moved++
			}
			if homeAfter.ID != homeBalanced.ID {
				rebalanced++
			}
		}
		ginkgo.GinkgoWriter.Printf("targets of the leaving entry %d, moved on its leave %d, moved to rebalance %d\n", ownTargets, moved, rebalanced)
		gomega.Expect(moved).To(gomega.Equal(ownTargets))
		// At most one for each home of the failure domain.
		gomega.Expect(rebalanced).To(gomega.BeNumerically("<=", size.entries/8))
	})
})
