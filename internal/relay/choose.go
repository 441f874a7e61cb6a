// Choice of the entry through which an attempt is sent.

package relay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

const (
	// avoidSpan is how long an entry is avoided that has no link or didn't reply.
	avoidSpan = time.Second
	// silenceSpan is the time without any reply to attempts in progress after which an entry is
	// avoided.
	silenceSpan = 400 * time.Millisecond

	// distances is the number of groups of equally near entries.
	distances = 4

	keepEntry entryVerdict = iota
	avoidEntry
	ignoreEntry
)

type (
	entryVerdict uint8

	// entryStates holds what is known of other entries, by peer address. The zero value works.
	entryStates struct {
		lock   sync.Mutex
		states map[string]*entryState
	}

	// rankings holds the orders of the entries of one view, by the failure domain of the target. The zero value works.
	rankings struct {
		lock     sync.Mutex
		view     uint64
		members  int
		byDomain map[string]*ranking
	}

	// ranking is the order of the other entries for attempts at targets in one failure domain.
	ranking struct {
		// near holds the entries by their distance, and pinned the order of pinned candidates.
		near   [][]*membership.Member
		pinned []*membership.Member
	}

	entryState struct {
		avoidUntil time.Time
		inProgress int
		// waitingSince is the time since which attempts are in progress without a reply.
		waitingSince time.Time
	}
)

// candidates returns the other entries, the best one for attempts at a target first: those in the
// target's failure domain, which keep most connections to it, then those near this entry, and last
// those that are avoided. Among equally near ones, those with connections to lend come first, in random order. Pinned
// candidates are those of the target's region first, in an order that differs between entries but stays the same for one.
// Entries in regions that aren't allowed are left out; a nil allowsRegion allows all.
//
// Only the first maximumEntries are put in order, because no attempt goes further: a query of an entry without links asks for
// the candidates of each shard.
func (relay *Relay) candidates(targetDomain string, pinned bool, allowsRegion func(region string) bool) []*membership.Member {
	ranking := relay.rankingFor(targetDomain)
	avoided := relay.entries.avoided(time.Now())
	groups := ranking.near
	if pinned {
		groups = [][]*membership.Member{ranking.pinned}
	}
	candidates := make([]*membership.Member, 0, len(ranking.pinned))
	var spares, last []*membership.Member
	for _, group := range groups {
		start := len(candidates)
		for _, member := range group {
			// Those behind the first maximumEntries aren't tried, but the first ones of a group are drawn from all of it.
			matters := start < maximumEntries && !pinned || len(candidates) < maximumEntries
			switch {
			case allowsRegion != nil && !allowsRegion(member.Region):
			case avoided[member.PeerAddress]:
				last = append(last, member)
			case matters && relay.isSpare != nil && relay.isSpare(member.ID):
				spares = append(spares, member)
			default:
				candidates = append(candidates, member)
			}
		}
		if !pinned {
			shuffleFirst(candidates[start:])
			candidates, spares = append(candidates, spares...), spares[:0]
		}
	}
	return append(append(candidates, spares...), last...)
}

// shuffleFirst puts random members at the first maximumEntries positions.
func shuffleFirst(members []*membership.Member) {
	for index := range min(len(members), maximumEntries) {
		other := index + rand.IntN(len(members)-index)
		members[index], members[other] = members[other], members[index]
	}
}

// rankingFor returns the order of the other entries in the view for attempts at targets in a failure domain.
func (relay *Relay) rankingFor(targetDomain string) *ranking {
	view := relay.board.Membership().View()
	relay.rankings.lock.Lock()
	defer relay.rankings.lock.Unlock()
	if relay.rankings.view != view.Number || relay.rankings.members != len(view.Members) {
		relay.rankings.view, relay.rankings.members, relay.rankings.byDomain = view.Number, len(view.Members), nil
	}
	if known := relay.rankings.byDomain[targetDomain]; known != nil {
		return known
	}
	computed := relay.rank(view.Members, targetDomain)
	if relay.rankings.byDomain == nil {
		relay.rankings.byDomain = map[string]*ranking{}
	}
	relay.rankings.byDomain[targetDomain] = computed
	return computed
}

// rank orders the other entries by their distances, and for pinned attempts by rendezvous hashing.
func (relay *Relay) rank(members []membership.Member, targetDomain string) *ranking {
	ranked := &ranking{near: make([][]*membership.Member, distances)}
	weights := map[*membership.Member]uint64{}
	for index := range members {
		member := &members[index]
		if member.ID == relay.options.Self || member.GatewayAddress == "" || member.Leaving {
			continue
		}
		distance := relay.distance(member, targetDomain)
		ranked.near[distance] = append(ranked.near[distance], member)
		ranked.pinned = append(ranked.pinned, member)
		weights[member] = xxhash.Sum64String(relay.options.Self + "/" + member.ID)
	}
	targetRegion := relay.options.Regions[targetDomain]
	distanceFromTarget := func(member *membership.Member) int {
		switch {
		case member.FailureDomain == targetDomain:
			return 0
		case member.Region == targetRegion:
			return 1
		}
		return 2
	}
	slices.SortFunc(ranked.pinned, func(left, right *membership.Member) int {
		return cmp.Or(cmp.Compare(distanceFromTarget(left), distanceFromTarget(right)), cmp.Compare(weights[left], weights[right]))
	})
	return ranked
}

// distance groups entries for attempts at a target, the best group first.
func (relay *Relay) distance(member *membership.Member, targetDomain string) int {
	switch {
	case member.FailureDomain == targetDomain:
		return 0
	case member.FailureDomain == relay.options.FailureDomain:
		return 1
	case member.Region == relay.options.Region:
		return 2
	}
	return distances - 1
}

func (entryStates *entryStates) state(address string) *entryState {
	if entryStates.states == nil {
		entryStates.states = map[string]*entryState{}
	}
	state := entryStates.states[address]
	if state == nil {
		state = new(entryState)
		entryStates.states[address] = state
	}
	return state
}

func (entryStates *entryStates) avoids(address string, now time.Time) bool {
	entryStates.lock.Lock()
	defer entryStates.lock.Unlock()
	state := entryStates.states[address]
	return state != nil && state.isAvoided(now)
}

// avoided returns the addresses of the entries that are avoided.
func (entryStates *entryStates) avoided(now time.Time) map[string]bool {
	entryStates.lock.Lock()
	defer entryStates.lock.Unlock()
	var avoided map[string]bool
	for address, state := range entryStates.states {
		if state.isAvoided(now) {
			if avoided == nil {
				avoided = map[string]bool{}
			}
			avoided[address] = true
		}
	}
	return avoided
}

func (state *entryState) isAvoided(now time.Time) bool {
	return now.Before(state.avoidUntil) || state.inProgress > 0 && now.Sub(state.waitingSince) > silenceSpan
}

// begin records an attempt through an entry. The returned function ends it.
func (entryStates *entryStates) begin(address string) (end func(verdict entryVerdict)) {
	entryStates.lock.Lock()
	defer entryStates.lock.Unlock()
	state := entryStates.state(address)
	if state.inProgress == 0 {
		state.waitingSince = time.Now()
	}
	state.inProgress++
	return func(verdict entryVerdict) {
		entryStates.lock.Lock()
		defer entryStates.lock.Unlock()
		now := time.Now()
		state.inProgress--
		switch verdict {
		case keepEntry:
			state.waitingSince = now
		case avoidEntry:
			state.waitingSince, state.avoidUntil = now, now.Add(avoidSpan)
		case ignoreEntry:
		}
	}
}
