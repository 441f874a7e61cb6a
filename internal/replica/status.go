// The status of the group, for operators.

package replica

type (
	// Status is the state of the group as seen by one replica.
	Status struct {
		// ID is this replica's ID: its process name and the incarnation of its disk.
		ID            string
		Term          uint64
		Leading       bool
		LeaderID      string
		LeaderAddress string
		// Applied is the index of the last entry that this replica has applied.
		Applied uint64
		// Replicas lists the group's replicas in the order of their IDs.
		Replicas []MemberStatus
	}

	// MemberStatus is the state of one replica of the group.
	MemberStatus struct {
		ID      string
		Address string
		// Voter is false for a learner, which doesn't count toward a quorum.
		Voter bool
		// Match is the last index known to be durable on the replica, and Lag is the number of
		// entries that it lacks. Only the leader knows them for other replicas.
		Match uint64
		Lag   uint64
		// Level is the feature level of the replica's build. Only the leader knows it.
		Level int
	}
)
