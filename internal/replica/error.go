// Errors that let callers distinguish a replica that doesn't lead from one that failed, and find
// the leader.

package replica

import (
	"fmt"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

type (
	// NotLeadingError reports that this replica doesn't lead and that it has not accepted the
	// command. It unwraps to a fault.Error of the kind fault.Unavailable.
	NotLeadingError struct {
		leaderID      string
		leaderAddress string
	}
)

// LeaderID returns the leader's ID, or "" if no leader is known.
func (err *NotLeadingError) LeaderID() string { return err.leaderID }

// LeaderAddress returns the leader's peer address, or "" if no leader is known.
func (err *NotLeadingError) LeaderAddress() string { return err.leaderAddress }

// Error implements error.
func (err *NotLeadingError) Error() string { return err.Unwrap().Error() }

// Unwrap returns the fault that is sent to peers.
func (err *NotLeadingError) Unwrap() error {
	if err.leaderAddress == "" {
		return fault.New(fault.Unavailable, "this replica doesn't lead and knows no leader", "check that a quorum of control VMs is up, then try again")
	}
	return fault.New(fault.Unavailable, fmt.Sprintf("this replica doesn't lead; %s at %s does", err.leaderID, err.leaderAddress), "send it to "+err.leaderAddress)
}

// outcomeUnknown reports a proposal that may still be committed.
func outcomeUnknown() error {
	return fault.New(fault.Unavailable, "the replica lost its lead before the command was accepted; it may still be", "send the same command again, with the same ID")
}

// interrupted reports a call whose context ended before its outcome was known.
func interrupted() error {
	return fault.New(fault.Unavailable, "the replica didn't answer in time; a command may still be accepted", "send the same command again, with the same ID")
}

// stopped reports a call that ended because the replica stops.
func stopped() error {
	return fault.New(fault.Unavailable, "the replica is stopping", "try again at another replica")
}

// diskFailure reports that the disk is no longer used. Its kind is fault.Unavailable, because
// another replica can serve.
func diskFailure(err error) error {
	var typed *fault.Error
	if errors.As(err, &typed) {
		return fault.New(fault.Unavailable, typed.Message, typed.Remedy)
	}
	return fault.New(fault.Unavailable, "the replica's disk failed: "+err.Error(), "mend or replace the disk and restart the process")
}
