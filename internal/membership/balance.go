// This file exists so that the loads of homes can be evened out by a few
// exceptions from rendezvous hashing.

package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// evenShare is the part of the even share by which a home may differ.
	evenShare = 0.2
)

type (
	// Placed is what the home of a target depends on besides the view.
	Placed struct {
		ID, FailureDomain string
	}

	// share is the targets of the homes that stand in for each other: those of
	// one failure domain, or all where the targets' domain has none.
	share struct {
		placement *Placement
		homes     []candidate
		targets   map[string][]Placed
		count     int
	}
)

// Balance returns exceptions under which each home's number of targets is
// within 20% of even among the homes that may stand in for it, by moving as few
// targets as it can, and whether they differ from the view's. It moves at most
// so many targets, those of the fullest homes first. Exceptions for targets
// that aren't listed stay while there is room, since a target that restarts is
// away for a moment.
func (placement *Placement) Balance(targets []Placed, moves int) (exceptions []Exception, changed bool) {
	shares, moved := placement.shares(targets), 0
	for _, share := range shares {
		moved += share.even(moves - moved)
	}
	if moved == 0 {
		return placement.view.Exceptions, false
	}
	homes := map[string]string{}
	for _, share := range shares {
		for home, held := range share.targets {
			for _, target := range held {
				homes[target.ID] = home
			}
		}
	}
	exceptions = placement.differing(targets, homes)
	exceptions = append(exceptions, placement.absent(homes, MaximumExceptions-len(exceptions))...)
	if len(exceptions) > MaximumExceptions {
		return placement.view.Exceptions, false
	}
	slices.SortFunc(exceptions, func(a, b Exception) int { return cmp.Compare(a.Target, b.Target) })
	return exceptions, true
}

// differing returns the homes that rendezvous hashing doesn't give.
func (placement *Placement) differing(targets []Placed, homes map[string]string) []Exception {
	var exceptions []Exception
	for _, target := range targets {
		if plain, _ := placement.plain(target.ID, target.FailureDomain); homes[target.ID] != plain.ID {
			exceptions = append(exceptions, Exception{Target: target.ID, Entry: homes[target.ID]})
		}
	}
	return exceptions
}

// absent returns the exceptions for targets that have no home now.
func (placement *Placement) absent(homes map[string]string, room int) []Exception {
	var absent []Exception
	for _, exception := range placement.view.Exceptions {
		_, present := placement.view.Member(exception.Entry)
		if homes[exception.Target] == "" && present && len(absent) < room {
			absent = append(absent, exception)
		}
	}
	return absent
}

func (placement *Placement) shares(targets []Placed) []*share {
	byDomain := map[string]*share{}
	var shares []*share
	for _, target := range targets {
		home, found := placement.Home(target.ID, target.FailureDomain)
		if !found {
			return nil
		}
		domain := target.FailureDomain
		if len(placement.byDomain[domain]) == 0 {
			domain = ""
		}
		part := byDomain[domain]
		if part == nil {
			part = &share{placement: placement, homes: placement.candidates(domain), targets: map[string][]Placed{}}
			byDomain[domain], shares = part, append(shares, part)
		}
		part.targets[home.ID] = append(part.targets[home.ID], target)
		part.count++
	}
	return shares
}

// bounds are the numbers of targets within 20% of even, or the two next to the
// even share where no whole number is.
func (share *share) bounds() (low, high int) {
	even := float64(share.count) / float64(len(share.homes))
	low, high = int(math.Ceil(even*(1-evenShare))), int(math.Floor(even*(1+evenShare)))
	if low > high {
		return int(math.Floor(even)), int(math.Ceil(even))
	}
	return low, high
}

// even moves targets from the fullest home to the emptiest while either is out
// of bounds, and returns how many.
func (share *share) even(moves int) int {
	low, high := share.bounds()
	load := func(home candidate) int { return len(share.targets[home.member.ID]) }
	byLoad := func(a, b candidate) int {
		return cmp.Or(cmp.Compare(load(a), load(b)), cmp.Compare(a.member.ID, b.member.ID))
	}
	moved := 0
	for moved < moves {
		fullest, emptiest := slices.MaxFunc(share.homes, byLoad), slices.MinFunc(share.homes, byLoad)
		if load(fullest) <= high && load(emptiest) >= low {
			break
		}
		share.move(fullest, emptiest)
		moved++
	}
	return moved
}

// move takes the target that the receiving home weighs most, so that one whose
// home it is by rendezvous goes back.
func (share *share) move(from, to candidate) {
	held := share.targets[from.member.ID]
	best := slices.MaxFunc(held, func(a, b Placed) int {
		return cmp.Or(cmp.Compare(share.weight(a, to), share.weight(b, to)), cmp.Compare(a.ID, b.ID))
	})
	share.targets[from.member.ID] = slices.DeleteFunc(held, func(target Placed) bool { return target.ID == best.ID })
	share.targets[to.member.ID] = append(share.targets[to.member.ID], best)
}

func (share *share) weight(target Placed, home candidate) uint64 {
	if plain, _ := share.placement.plain(target.ID, target.FailureDomain); plain.ID == home.member.ID {
		return math.MaxUint64
	}
	return mix(xxhash.Sum64String(target.ID), home.hash)
}
