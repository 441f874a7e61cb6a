// Package membership holds the agreed, numbered view of the entries and the
// rule that gives each target its one home.
package membership

const (
	// MaximumExceptions bounds the exceptions of one view.
	MaximumExceptions = 4096
)

type (
	// Member is one entry of a View.
	Member struct {
		ID string `msgpack:"i"`
		// PeerAddress and CallerAddress are IP:port, for other entries and
		// for callers.
		PeerAddress   string `msgpack:"p"`
		CallerAddress string `msgpack:"c"`
		// GatewayAddress is the IP:port for callers of HTTP routes; none where
		// the entry serves no such callers.
		GatewayAddress string `msgpack:"g,omitempty"`
		FailureDomain  string `msgpack:"f"`
		Region         string `msgpack:"r"`
		// Incarnation grows with each start of the entry's process.
		Incarnation uint64 `msgpack:"n"`
		// Stopping states that the entry withdraws: it is shutting down or its
		// failure domain was taken out. It is home to no target and callers
		// aren't sent to it.
		Stopping bool `msgpack:"s"`
		// Leaving states that the entry shuts down, so that nobody is sent to
		// it, not even callers that it could serve by targets elsewhere.
		Leaving bool `msgpack:"l,omitempty"`
		// Reserve states that the entry shuts down and could serve on. Where all
		// entries stop, those in reserve are homes and are named to callers.
		Reserve bool `msgpack:"z,omitempty"`
		// Heeds states that the entry's release knows exceptions. A view with a
		// member that doesn't has none.
		Heeds bool `msgpack:"h,omitempty"`
	}

	// View is one agreed state of the membership.
	View struct {
		Number  uint64   `msgpack:"n"`
		Members []Member `msgpack:"m"`
		// Exceptions even out the loads of homes, in the order of the targets.
		// One that names an entry which may not be home to the target has no
		// effect.
		Exceptions []Exception `msgpack:"e,omitempty"`
	}

	// Exception gives a target another home than rendezvous hashing does.
	Exception struct {
		Target string `msgpack:"t"`
		Entry  string `msgpack:"e"`
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

// Serving returns the members that may be homes: those that don't stop, or where
// all do, those in reserve. Load: the last entry that is to serve crashes while
// the others are in a planned stop.
func (view *View) Serving() []*Member {
	var serving, reserve []*Member
	for index := range view.Members {
		member := &view.Members[index]
		switch {
		case !member.Stopping:
			serving = append(serving, member)
		case member.Reserve:
			reserve = append(reserve, member)
		}
	}
	if len(serving) == 0 {
		return reserve
	}
	return serving
}

// OthersServe reports whether a member besides one of an ID is not stopping.
func (view *View) OthersServe(id string) bool {
	for index := range view.Members {
		if view.Members[index].ID != id && !view.Members[index].Stopping {
			return true
		}
	}
	return false
}
