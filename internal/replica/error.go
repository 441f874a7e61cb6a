// This file exists so that callers can tell a replica that doesn't lead from
// one that failed, and can follow the leader.

package replica

import (
	"fmt"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

type (
	// NotLeadingError reports that this replica doesn't lead and that it has
	// not accepted the command. It unwraps to a fault.Error of the kind
	// fault.Unavailable.
	NotLeadingError struct {
		leaderID      string
		leaderAddress string
	}
)

// LeaderID returns the leader's ID, or "" where no leader is known.
func (err *NotLeadingError) LeaderID() string { return err.leaderID }

// LeaderAddress returns the leader's peer address, or "" where no leader is
// known.
func (err *NotLeadingError) LeaderAddress() string { return err.leaderAddress }

// Error implements error.
func (err *NotLeadingError) Error() string { return err.Unwrap().Error() }

// Unwrap returns the fault that peers are told.
func (err *NotLeadingError) Unwrap() error {
	if err.leaderAddress == "" {
		return fault.New(fault.Unavailable, "this replica doesn't lead and knows no leader", "check that a quorum of control VMs is up, then try again")
	}
	return fault.New(fault.Unavailable, fmt.Sprintf("this replica doesn't lead; %s at %s does", err.leaderID, err.leaderAddress), "send it to "+err.leaderAddress)
}
