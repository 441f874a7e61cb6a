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

	entryState struct {
		avoidUntil time.Time
		inProgress int
		// waitingSince is the time since which attempts are in progress without a reply.
		waitingSince time.Time
	}
)

// candidates returns the other entries, the best one for attempts at a target first: those in the
// target's failure domain, which keep most connections to it, then those near this entry, and last
// those that are avoided. Pinned candidates are those of the target's region first, in an order that
// differs between entries but stays the same for one.
func (relay *Relay) candidates(targetDomain string, pinned bool) []*membership.Member {
	members := relay.board.Membership().View().Members
	candidates := make([]*membership.Member, 0, len(members))
	now := time.Now()
	for index := range members {
		member := &members[index]
		if member.ID != relay.options.Self && member.GatewayAddress != "" && !member.Leaving {
			candidates = append(candidates, member)
		}
	}
	if pinned {
		relay.sortPinned(candidates, targetDomain, now)
		return candidates
	}
	rand.Shuffle(len(candidates), func(left, right int) { candidates[left], candidates[right] = candidates[right], candidates[left] })
	slices.SortStableFunc(candidates, func(left, right *membership.Member) int {
		return cmp.Compare(relay.distance(left, targetDomain, now), relay.distance(right, targetDomain, now))
	})
	return candidates
}

// sortPinned sorts entries for attempts over their connections: by whether they are avoided, by whether they have
// connections to lend, by their distance from the target, and by rendezvous hashing.
func (relay *Relay) sortPinned(candidates []*membership.Member, targetDomain string, now time.Time) {
	type rankedEntry struct {
		member *membership.Member
		rank   int
		weight uint64
	}
	targetRegion := relay.options.Regions[targetDomain]
	rank := func(member *membership.Member) int {
		switch {
		case relay.entries.avoids(member.PeerAddress, now):
			return 4
		case relay.isSpare != nil && relay.isSpare(member.ID):
			return 3
		case member.FailureDomain == targetDomain:
			return 0
		case member.Region == targetRegion:
			return 1
		}
		return 2
	}
	// The hashes are computed once for each entry and not for each comparison.
	ranked := make([]rankedEntry, len(candidates))
	for index, member := range candidates {
		ranked[index] = rankedEntry{member: member, rank: rank(member), weight: relay.weight(member)}
	}
	slices.SortFunc(ranked, func(left, right rankedEntry) int {
		return cmp.Or(cmp.Compare(left.rank, right.rank), cmp.Compare(left.weight, right.weight))
	})
	for index := range ranked {
		candidates[index] = ranked[index].member
	}
}

// weight returns the hash of an entry in the order of this entry's candidates.
func (relay *Relay) weight(member *membership.Member) uint64 {
	return xxhash.Sum64String(relay.options.Self + "/" + member.ID)
}

// distance orders entries for attempts at a target.
func (relay *Relay) distance(member *membership.Member, targetDomain string, now time.Time) int {
	switch {
	case relay.entries.avoids(member.PeerAddress, now):
		return 4
	case member.FailureDomain == targetDomain:
		return 0
	case member.FailureDomain == relay.options.FailureDomain:
		return 1
	case member.Region == relay.options.Region:
		return 2
	}
	return 3
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
	return state != nil && (now.Before(state.avoidUntil) || state.inProgress > 0 && now.Sub(state.waitingSince) > silenceSpan)
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
