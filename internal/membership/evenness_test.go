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
	// assignment maps each target of a failure domain to an entry.
	assignment func(entries, targets []string) map[string]string

	// evenness is the result of an assignment: the number of entries whose load
	// is more than 20% off the even share, the highest load, the number of
	// targets of an entry that leaves, and how many targets move as it leaves.
	evenness struct {
		outOfBounds, highestLoad, ownTargets, moved int
	}

	// pair is an entry and a target, with their weight in rendezvous hashing.
	pair struct {
		entry, target string
		weight        uint64
	}
)

// assignRendezvous assigns targets as Placement does without exceptions.
func assignRendezvous(entries, targets []string) map[string]string {
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

// assignBounded is rendezvous hashing with bounded loads: the capacity of an entry
// is its even share, rounded up. Pairs of entry and target are assigned in
// descending order of weight while the entry has capacity left. Unlike plain
// rendezvous hashing, this needs the list of targets.
func assignBounded(entries, targets []string) map[string]string {
	capacities := map[string]int{}
	for _, entry := range entries {
		capacities[entry] = (len(targets) + len(entries) - 1) / len(entries)
	}
	return assignGreedily(entries, targets, capacities)
}

// assignExact is assignBounded with capacities that add up to the number of targets.
func assignExact(entries, targets []string) map[string]string {
	byHash := slices.SortedFunc(slices.Values(entries), func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	capacities := map[string]int{}
	for index, entry := range byHash {
		capacities[entry] = len(targets) / len(entries)
		if index < len(targets)%len(entries) {
			capacities[entry]++
		}
	}
	return assignGreedily(entries, targets, capacities)
}

func assignGreedily(entries, targets []string, capacities map[string]int) map[string]string {
	var pairs []pair
	for _, target := range targets {
		for _, entry := range entries {
			pairs = append(pairs, pair{entry: entry, target: target, weight: xxhash.Sum64String(entry + "\x00" + target)})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int { return cmp.Compare(b.weight, a.weight) })
	homes := map[string]string{}
	for _, pair := range pairs {
		if homes[pair.target] == "" && capacities[pair.entry] > 0 {
			homes[pair.target] = pair.entry
			capacities[pair.entry]--
		}
	}
	return homes
}

// namesOfDomain returns the names of those entries or targets, out of count, that are
// in one of eight failure domains.
func namesOfDomain(prefix string, count int) []string {
	var names []string
	for number := 0; number < count; number += 8 {
		names = append(names, fmt.Sprintf("%s-%d", prefix, number))
	}
	return names
}

var _ = ginkgo.DescribeTable("evenness and moves in one failure domain at the planned size", func(assign assignment, satisfies func(result evenness) bool) {
	entries, targets := namesOfDomain("entry", 1600), namesOfDomain("target", 12000)
	before, after := assign(entries, targets), assign(entries[1:], targets)
	loads, moved := map[string]int{}, 0
	for _, target := range targets {
		loads[before[target]]++
		if before[target] != after[target] {
			moved++
		}
	}
	result := evenness{ownTargets: loads[entries[0]], moved: moved}
	even := float64(len(targets)) / float64(len(entries))
	for _, entry := range entries {
		load := loads[entry]
		result.highestLoad = max(result.highestLoad, load)
		if float64(load) < even*0.8 || float64(load) > even*1.2 {
			result.outOfBounds++
		}
	}
	ginkgo.GinkgoWriter.Printf("%d targets, %d entries: %+v\n", len(targets), len(entries), result)
	gomega.Expect(satisfies(result)).To(gomega.BeTrue(), "%+v", result)
},
	ginkgo.Entry("plain rendezvous hashing moves only the leaving entry's targets", assignment(assignRendezvous), func(result evenness) bool { return result.moved == result.ownTargets }),
	ginkgo.Entry("bounded loads stay within the bound", assignment(assignBounded), func(result evenness) bool { return result.highestLoad <= 8 }),
	ginkgo.Entry("exact loads are within 20%", assignment(assignExact), func(result evenness) bool { return result.outOfBounds == 0 }),
)
