package membership_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

func TestMembership(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "membership")
}

var _ = ginkgo.DescribeTable("when an entry leaves, only its targets move", func(entries, targets, failureDomains int) {
	view := membership.View{Number: 1}
	for number := range entries {
		view.Members = append(view.Members, membership.Member{ID: fmt.Sprintf("entry-%d", number), FailureDomain: fmt.Sprint(number % failureDomains)})
	}
	before, after := membership.NewPlacement(view), membership.NewPlacement(membership.View{Number: 2, Members: view.Members[1:]})
	loads, moved := map[string]int{}, 0
	for number := range targets {
		id, failureDomain := fmt.Sprintf("target-%d", number), fmt.Sprint(number%failureDomains)
		old, _ := before.Home(id, failureDomain)
		next, found := after.Home(id, failureDomain)
		gomega.Expect(found).To(gomega.BeTrue())
		loads[old.ID]++
		if old.ID != next.ID {
			moved++
			gomega.Expect(old.ID).To(gomega.Equal("entry-0"))
		}
	}
	gomega.Expect(moved).To(gomega.Equal(loads["entry-0"]))
	least, most, outOfBounds := targets, 0, 0
	even := float64(targets) / float64(entries)
	for _, member := range view.Members {
		load := loads[member.ID]
		least, most = min(least, load), max(most, load)
		if float64(load) < even*0.8 || float64(load) > even*1.2 {
			outOfBounds++
		}
	}
	ginkgo.GinkgoWriter.Printf("%d targets over %d entries: even share %.1f, minimum %d, maximum %d, more than 20%% off %d, moved %d\n", targets, entries, even, least, most, outOfBounds, moved)
},
	ginkgo.Entry("at the current size", 6, 88, 3),
	ginkgo.Entry("at the planned size", 1600, 12000, 8),
)

var _ = ginkgo.Describe("the home while entries are stopping", func() {
	home := func(members ...membership.Member) string {
		found, _ := membership.NewPlacement(membership.View{Number: 1, Members: members}).Home("target", "nord")
		return found.ID
	}
	serving := membership.Member{ID: "serving", FailureDomain: "sud"}
	reserve := membership.Member{ID: "reserve", FailureDomain: "nord", Stopping: true, Leaving: true, Reserve: true}
	withdrawn := membership.Member{ID: "out", FailureDomain: "nord", Stopping: true}

	ginkgo.It("is the serving entry, whatever its failure domain", func() {
		gomega.Expect(home(reserve, withdrawn, serving)).To(gomega.Equal("serving"))
	})
	ginkgo.It("is an entry that is shutting down if no other is left", func() {
		gomega.Expect(home(withdrawn, reserve)).To(gomega.Equal("reserve"))
	})
	ginkgo.It("is never an entry of a failure domain that was taken out of service", func() {
		gomega.Expect(home(withdrawn)).To(gomega.BeEmpty())
	})
})
