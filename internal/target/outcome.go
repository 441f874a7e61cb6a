// This file exists so that what became of an attempt is one of three things,
// and "not run" is never said without proof.

package target

import (
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

// Reasons for which an attempt is sent.
const (
	// First is the first attempt at a shard.
	First Why = "first"
	// Hedge is an attempt beside one that is late.
	Hedge Why = "hedge"
	// Retry is an attempt after one that failed.
	Retry Why = "retry"
)

type (
	// Why says why an attempt is sent.
	Why string

	// Attempt is one run of a request that an entry asks a target for.
	Attempt struct {
		TargetID    string
		Fingerprint uint64
		Why         Why
		// SuspectAfter is the span without a byte from the target after
		// which the connection counts as suspect; zero means never.
		SuspectAfter time.Duration
		// ProvenWithin asks for a connection on which the target has answered
		// within this span, or a new one; zero takes any.
		ProvenWithin time.Duration
		// Spare states that the request may run again on the shard, so that
		// this run may get an earlier deadline.
		Spare bool
		// Last states that no other replica of the shard is left to try.
		Last bool
		Run  target.Run
	}

	// Outcome says what became of an attempt. It is Answered, NotRun or Lost.
	Outcome interface {
		isOutcome()
	}

	// Answered is the outcome of an attempt that a target answered.
	Answered struct {
		Result target.Result
	}

	// NotRun is the outcome of an attempt that certainly ran at no target.
	NotRun struct {
		Reason     caller.MissingReason
		RetryAfter time.Duration
		// Moving states that the target is moving between homes, so that
		// another try soon makes sense.
		Moving bool
	}

	// Lost is the outcome of an attempt that may have run.
	Lost struct {
		Reason caller.MissingReason
		// Broken states that the target's connection broke under the run,
		// which may mean that the run crashed the target.
		Broken bool
	}
)

func (Answered) isOutcome() {}
func (NotRun) isOutcome()   {}
func (Lost) isOutcome()     {}

// name returns the outcome's name in metrics.
func name(outcome Outcome) string {
	switch outcome.(type) {
	case Answered:
		return "answered"
	case NotRun:
		return "not_run"
	}
	return "lost"
}
