// This file exists so that operators see how the replicas of the group stand.

package replica

type (
	// Status is how the group stands, as seen from one replica.
	Status struct {
		// ID names this replica: its process's name and the incarnation of its
		// disk.
		ID            string
		Term          uint64
		Leading       bool
		LeaderID      string
		LeaderAddress string
		Applied       uint64
		// Replicas lists the group's replicas in the order of their IDs.
		Replicas []MemberStatus
	}

	// MemberStatus is how one replica of the group stands.
	MemberStatus struct {
		ID      string
		Address string
		// Voter is false for a learner, which isn't counted in a quorum.
		Voter bool
		// Match is the last index that the replica is known to hold durably,
		// and Lag the number of entries it lacks. Only the leader knows them
		// of others.
		Match uint64
		Lag   uint64
	}
)
