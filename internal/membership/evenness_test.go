package membership_test

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

type (
	// assignment gives each of a failure domain's targets an entry.
	assignment func(entries, targets []string) map[string]string

	// evenness is what an assignment gives: the entries outside of 20% of the
	// even share, the most targets of one, and, where one entry leaves, its own
	// targets and those that move.
	evenness struct {
		outside, most, own, moved int
	}

	pair struct {
		entry, target string
		weight        uint64
	}
)

// plain is the rule of Placement.
func plain(entries, targets []string) map[string]string {
	view := membership.View{Number: 1}
	for _, entry := range entries {
		view.Members = append(view.Members, membership.Member{ID: entry, FailureDomain: "one"})
	}
	placement, homes := membership.NewPlacement(view), map[string]string{}
	for _, target := range targets {
		home, _ := placement.Home(target, "one")
		homes[target] = home.ID
	}
	return homes
}

// bounded is rendezvous hashing in which an entry that has its even share,
// rounded up, takes no more: a target goes to the best entry that has room, and
// pairs of greater weight come first. It needs the list of targets.
func bounded(entries, targets []string) map[string]string {
	rooms := map[string]int{}
	for _, entry := range entries {
		rooms[entry] = (len(targets) + len(entries) - 1) / len(entries)
	}
	return match(entries, targets, rooms)
}

// exact is bounded with rooms that add up to the number of targets.
func exact(entries, targets []string) map[string]string {
	byHash := slices.SortedFunc(slices.Values(entries), func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	rooms := map[string]int{}
	for index, entry := range byHash {
		rooms[entry] = len(targets) / len(entries)
		if index < len(targets)%len(entries) {
			rooms[entry]++
		}
	}
	return match(entries, targets, rooms)
}

func match(entries, targets []string, rooms map[string]int) map[string]string {
	var pairs []pair
	for _, target := range targets {
		for _, entry := range entries {
			pairs = append(pairs, pair{entry: entry, target: target, weight: xxhash.Sum64String(entry + "\x00" + target)})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int { return cmp.Compare(b.weight, a.weight) })
	homes := map[string]string{}
	for _, pair := range pairs {
		if homes[pair.target] == "" && rooms[pair.entry] > 0 {
			homes[pair.target] = pair.entry
			rooms[pair.entry]--
		}
	}
	return homes
}

// numbers names the entries or targets of one of eight failure domains.
func numbers(prefix string, count int) []string {
	var names []string
	for number := 0; number < count; number += 8 {
		names = append(names, fmt.Sprintf("%s-%d", prefix, number))
	}
	return names
}

var _ = ginkgo.DescribeTable("evenness against moves at the size to come, one failure domain", func(assign assignment, holds func(found evenness) bool) {
	entries, targets := numbers("entry", 1600), numbers("target", 12000)
	before, after := assign(entries, targets), assign(entries[1:], targets)
	loads, moved := map[string]int{}, 0
	for _, target := range targets {
		loads[before[target]]++
		if before[target] != after[target] {
			moved++
		}
	}
	found := evenness{own: loads[entries[0]], moved: moved}
	even := float64(len(targets)) / float64(len(entries))
	for _, entry := range entries {
		load := loads[entry]
		found.most = max(found.most, load)
		if float64(load) < even*0.8 || float64(load) > even*1.2 {
			found.outside++
		}
	}
	ginkgo.GinkgoWriter.Printf("%d targets, %d entries: %+v\n", len(targets), len(entries), found)
	gomega.Expect(holds(found)).To(gomega.BeTrue(), "%+v", found)
},
	ginkgo.Entry("plain rendezvous moves the leaving entry's own alone", assignment(plain), func(found evenness) bool { return found.moved == found.own }),
	ginkgo.Entry("bounded loads keep the bound", assignment(bounded), func(found evenness) bool { return found.most <= 8 }),
	ginkgo.Entry("exact loads are within 20%", assignment(exact), func(found evenness) bool { return found.outside == 0 }),
)
