// Attempts and their outcomes. NotRun is returned only if it is certain that
// the run wasn't executed.

package target

import (
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

// Reasons to send an attempt.
const (
	// First is the first attempt on a shard.
	First AttemptReason = "first"
	// Hedge is an attempt sent in parallel to one that is slow.
	Hedge AttemptReason = "hedge"
	// Retry is an attempt sent after one that failed.
	Retry AttemptReason = "retry"
)

type (
	// AttemptReason is the reason why an attempt is sent.
	AttemptReason string

	// Attempt is one run of a request at a target, as requested by an entry.
	Attempt struct {
		TargetID string
		// Fingerprint identifies the content of the request, regardless of its ID.
		Fingerprint uint64
		Reason      AttemptReason
		// SuspectAfter is the time without data from the target after which the
		// idle connections are probed; zero disables the check.
		SuspectAfter time.Duration
		// ActiveWithin demands a new connection or one on which the target has
		// sent data within this time; zero accepts any connection.
		ActiveWithin time.Duration
		// MayRepeat is true if the request may run again on the shard, so that
		// this run may get an earlier deadline.
		MayRepeat bool
		// IsLastReplica is true if no other replica of the shard is left to try.
		IsLastReplica bool
		Run           target.Run
	}

	// Outcome is the outcome of an attempt: Answered, NotRun or Lost.
	Outcome interface {
		isOutcome()
	}

	// Answered is the outcome of an attempt that a target answered.
	Answered struct {
		Result target.Result
	}

	// NotRun is the outcome of an attempt that certainly wasn't run by any
	// target.
	NotRun struct {
		Reason     caller.MissingReason
		RetryAfter time.Duration
		// Moving is true if the target is moving between homes, so that a
		// retry may soon succeed.
		Moving bool
	}

	// Lost is the outcome of an attempt that may have run.
	Lost struct {
		Reason caller.MissingReason
		// Broken is true if the connection broke during the run, which may
		// mean that the run crashed the target.
		Broken bool
	}
)

func (Answered) isOutcome() {}
func (NotRun) isOutcome()   {}
func (Lost) isOutcome()     {}

// outcomeName returns the metric label for an outcome.
func outcomeName(outcome Outcome) string {
	switch outcome.(type) {
	case Answered:
		return "answered"
	case NotRun:
		return "not_run"
	}
	return "lost"
}
