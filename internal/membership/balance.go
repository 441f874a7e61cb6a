// Rendezvous hashing alone spreads targets unevenly; a few exceptions from it
// even out the number of targets per home.

package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// balanceTolerance is the fraction of the even share by which a home's
	// number of targets may differ from it.
	balanceTolerance = 0.2
)

type (
	// TargetKey holds the attributes of a target that determine its home under a
	// given view.
	TargetKey struct {
		ID, FailureDomain string
	}

	// balanceGroup is a set of homes between which targets may move, and their
	// targets: the homes of one failure domain, or all homes for the targets of
	// domains that have none.
	balanceGroup struct {
		placement   *Placement
		homes       []candidate
		targets     map[string][]TargetKey
		targetCount int
	}
)

// Balance returns exceptions, sorted by target, under which each home's number of
// targets is within 20% of the even share among the homes that may replace it, and
// whether they differ from the view's exceptions. It moves as few targets as
// possible and at most maximumMoves, first those of the fullest homes. Exceptions
// for targets that aren't listed are retained up to MaximumExceptions, because a
// target that restarts is absent for a short time. If more than MaximumExceptions
// would be needed, the view's exceptions stay.
func (placement *Placement) Balance(targets []TargetKey, maximumMoves int) (exceptions []Exception, changed bool) {
	groups, moved := placement.groups(targets), 0
	for _, group := range groups {
		moved += group.rebalance(maximumMoves - moved)
	}
	if moved == 0 {
		return placement.view.Exceptions, false
	}
	homes := map[string]string{}
	for _, group := range groups {
		for home, homeTargets := range group.targets {
			for _, target := range homeTargets {
				homes[target.ID] = home
			}
		}
	}
	exceptions = placement.requiredExceptions(targets, homes)
	exceptions = append(exceptions, placement.retainedExceptions(homes, MaximumExceptions-len(exceptions))...)
	if len(exceptions) > MaximumExceptions {
		return placement.view.Exceptions, false
	}
	slices.SortFunc(exceptions, func(a, b Exception) int { return cmp.Compare(a.Target, b.Target) })
	return exceptions, true
}

// requiredExceptions returns an exception for each target whose home differs from
// the one that rendezvous hashing assigns.
func (placement *Placement) requiredExceptions(targets []TargetKey, homes map[string]string) []Exception {
	var exceptions []Exception
	for _, target := range targets {
		if rendezvousHome, _ := placement.rendezvousHome(target.ID, target.FailureDomain); homes[target.ID] != rendezvousHome.ID {
			exceptions = append(exceptions, Exception{Target: target.ID, Entry: homes[target.ID]})
		}
	}
	return exceptions
}

// retainedExceptions returns up to limit of the view's exceptions for targets that
// aren't listed now, if their entries are still members.
func (placement *Placement) retainedExceptions(homes map[string]string, limit int) []Exception {
	var retained []Exception
	for _, exception := range placement.view.Exceptions {
		_, present := placement.view.Member(exception.Entry)
		if homes[exception.Target] == "" && present && len(retained) < limit {
			retained = append(retained, exception)
		}
	}
	return retained
}

// groups returns the listed targets, grouped by the homes between which they may
// move. It returns nil if no member may be home.
func (placement *Placement) groups(targets []TargetKey) []*balanceGroup {
	byDomain := map[string]*balanceGroup{}
	var groups []*balanceGroup
	for _, target := range targets {
		home, found := placement.Home(target.ID, target.FailureDomain)
		if !found {
			return nil
		}
		domain := target.FailureDomain
		if len(placement.byDomain[domain]) == 0 {
			domain = ""
		}
		group := byDomain[domain]
		if group == nil {
			group = &balanceGroup{placement: placement, homes: placement.candidates(domain), targets: map[string][]TargetKey{}}
			byDomain[domain], groups = group, append(groups, group)
		}
		group.targets[home.ID] = append(group.targets[home.ID], target)
		group.targetCount++
	}
	return groups
}

// bounds returns the least and the greatest number of targets within 20% of the
// even share, or the two integers next to the even share if none is that close.
func (balanceGroup *balanceGroup) bounds() (low, high int) {
	evenShare := float64(balanceGroup.targetCount) / float64(len(balanceGroup.homes))
	low, high = int(math.Ceil(evenShare*(1-balanceTolerance))), int(math.Floor(evenShare*(1+balanceTolerance)))
	if low > high {
		return int(math.Floor(evenShare)), int(math.Ceil(evenShare))
	}
	return low, high
}

// rebalance moves targets from the fullest home to the emptiest while either is
// out of bounds, at most maximumMoves, and returns the number of moves.
func (balanceGroup *balanceGroup) rebalance(maximumMoves int) int {
	low, high := balanceGroup.bounds()
	load := func(home candidate) int { return len(balanceGroup.targets[home.member.ID]) }
	byLoad := func(a, b candidate) int {
		return cmp.Or(cmp.Compare(load(a), load(b)), cmp.Compare(a.member.ID, b.member.ID))
	}
	moved := 0
	for moved < maximumMoves {
		fullest, emptiest := slices.MaxFunc(balanceGroup.homes, byLoad), slices.MinFunc(balanceGroup.homes, byLoad)
		if load(fullest) <= high && load(emptiest) >= low {
			break
		}
		balanceGroup.move(fullest, emptiest)
		moved++
	}
	return moved
}

// move moves one target between two homes: the one with the greatest weight for the
// receiving home. A target that rendezvous hashing assigns to that home is
// preferred, so that it returns there and needs no exception.
func (balanceGroup *balanceGroup) move(from, to candidate) {
	fromTargets := balanceGroup.targets[from.member.ID]
	heaviest := slices.MaxFunc(fromTargets, func(a, b TargetKey) int {
		return cmp.Or(cmp.Compare(balanceGroup.weight(a, to), balanceGroup.weight(b, to)), cmp.Compare(a.ID, b.ID))
	})
	balanceGroup.targets[from.member.ID] = slices.DeleteFunc(fromTargets, func(target TargetKey) bool { return target.ID == heaviest.ID })
	balanceGroup.targets[to.member.ID] = append(balanceGroup.targets[to.member.ID], heaviest)
}

// weight returns the weight of a target for a home in rendezvous hashing, or the
// greatest number if rendezvous hashing assigns the target to that home.
func (balanceGroup *balanceGroup) weight(target TargetKey, home candidate) uint64 {
	if rendezvousHome, _ := balanceGroup.placement.rendezvousHome(target.ID, target.FailureDomain); rendezvousHome.ID == home.member.ID {
		return math.MaxUint64
	}
	return mix(xxhash.Sum64String(target.ID), home.hash)
}
