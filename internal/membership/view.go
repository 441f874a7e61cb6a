// Package membership defines the numbered view of the entries, on which all
// entries agree, and the rule that assigns each target its home: the one entry
// that may send runs to it.
package membership

const (
	// MaximumExceptions bounds the exceptions of one view.
	MaximumExceptions = 4096
)

type (
	// Member describes one entry, which is a process that serves callers.
	Member struct {
		ID string `msgpack:"i"`
		// PeerAddress and CallerAddress are the IP:port for other entries and
		// for callers.
		PeerAddress   string `msgpack:"p"`
		CallerAddress string `msgpack:"c"`
		// GatewayAddress is the IP:port for callers of HTTP routes; it is empty
		// if the entry serves no HTTP routes.
		GatewayAddress string `msgpack:"g,omitempty"`
		FailureDomain  string `msgpack:"f"`
		Region         string `msgpack:"r"`
		// Incarnation grows with each start of the entry's process.
		Incarnation uint64 `msgpack:"n"`
		// Stopping is true if the entry is shutting down or its failure
		// domain was taken out of service. It is then home to no target, and
		// callers aren't directed to it.
		Stopping bool `msgpack:"s"`
		// Leaving is true if the entry is shutting down. No caller is then
		// directed to it, not even one that it could serve by targets in other
		// failure domains.
		Leaving bool `msgpack:"l,omitempty"`
		// Reserve is true if the entry is shutting down but can still serve. If
		// all entries are stopping, those in reserve are homes, and callers are
		// directed to them.
		Reserve bool `msgpack:"z,omitempty"`
		// SupportsExceptions is true if the entry's software version supports
		// exceptions. Exceptions have no effect in a view with a member that doesn't
		// support them.
		SupportsExceptions bool `msgpack:"h,omitempty"`
	}

	// View is one version of the membership on which all entries agree.
	View struct {
		Number  uint64   `msgpack:"n"`
		Members []Member `msgpack:"m"`
		// Exceptions even out the number of targets per home; they are sorted
		// by target. An exception whose entry may not be home to the target has
		// no effect.
		Exceptions []Exception `msgpack:"e,omitempty"`
	}

	// Exception assigns a target a different home than rendezvous hashing does.
	Exception struct {
		Target string `msgpack:"t"`
		Entry  string `msgpack:"e"`
	}
)

// Member returns the member with the given ID.
func (view *View) Member(id string) (Member, bool) {
	for _, member := range view.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Serving returns the members that may be homes: those that aren't stopping or, if
// all are stopping, those in reserve. The reserve is needed if the last entry that isn't
// stopping crashes while the others are in a planned stop.
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

// OthersServe reports whether any member other than the one with the given ID
// isn't stopping.
func (view *View) OthersServe(id string) bool {
	for index := range view.Members {
		if view.Members[index].ID != id && !view.Members[index].Stopping {
			return true
		}
	}
	return false
}
