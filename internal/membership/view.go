// Package membership holds the agreed, numbered view of the entries and the
// rule that gives each target its one home.
package membership

import (
	"github.com/cespare/xxhash/v2"
)

type (
	// Member is one entry of a View.
	Member struct {
		ID string `msgpack:"i"`
		// PeerAddress and CallerAddress are IP:port, for other entries and
		// for callers.
		PeerAddress   string `msgpack:"p"`
		CallerAddress string `msgpack:"c"`
		FailureDomain string `msgpack:"f"`
		Region        string `msgpack:"r"`
		// Incarnation grows with each start of the entry's process.
		Incarnation uint64 `msgpack:"n"`
		// Stopping states that the entry withdraws and gets no homes.
		Stopping bool `msgpack:"s"`
	}

	// View is one agreed state of the membership.
	View struct {
		Number  uint64   `msgpack:"n"`
		Members []Member `msgpack:"m"`
	}
)

// Member returns the member of an ID.
func (view *View) Member(id string) (Member, bool) {
	for _, member := range view.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Home returns the one entry that is home to a target: by rendezvous hashing
// among the members in the target's failure domain, or among all members
// where that domain has none. Members for which excluded returns true, and
// members that stop, get no targets.
func (view *View) Home(targetID, failureDomain string, excluded func(*Member) bool) (Member, bool) {
	var best Member
	var bestWeight uint64
	found, near := false, false
	for index := range view.Members {
		member := &view.Members[index]
		if member.Stopping || excluded(member) {
			continue
		}
		isNear := member.FailureDomain == failureDomain
		if near && !isNear {
			continue
		}
		weight := xxhash.Sum64String(targetID + "\x00" + member.ID)
		if !found || (isNear && !near) || weight > bestWeight {
			best, bestWeight, found, near = *member, weight, true, isNear
		}
	}
	return best, found
}
