// This file exists so that what became of an attempt is one of three things,
// and "not run" is never said without proof.

package target

import (
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

type (
	// Attempt is one run of a request that an entry asks a target for.
	Attempt struct {
		TargetID    string
		Fingerprint uint64
		Hedge       bool
		Run         target.Run
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
	}

	// Lost is the outcome of an attempt that may have run.
	Lost struct {
		Reason caller.MissingReason
	}
)

func (Answered) isOutcome() {}
func (NotRun) isOutcome()   {}
func (Lost) isOutcome()     {}
