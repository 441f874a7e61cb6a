// This file exists so that an answer carries all that a caller needs to judge
// it: the snapshot, the coverage and the parts.

package caller

import (
	"encoding/json"
	"fmt"

	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// NotRun states that no target ran any part of the request.
	NotRun RunOutcome = "not_run"
	// MayHaveRun states that a target may have run a part of the request.
	MayHaveRun RunOutcome = "may_have_run"
	// DidRun states that the request ran.
	DidRun RunOutcome = "did_run"
)

const (
	// RefusedBadRequest refuses a request that breaks a stated rule.
	RefusedBadRequest RefusalKind = "bad_request"
	// RefusedUnknownKind refuses a kind that the table of routes lacks.
	RefusedUnknownKind RefusalKind = "unknown_kind"
	// RefusedExpired refuses a request ID whose expiry has passed.
	RefusedExpired RefusalKind = "expired"
	// RefusedOverloaded refuses a request that can't be served in time.
	RefusedOverloaded RefusalKind = "overloaded"
	// RefusedFenced refuses because the entry holds no lease.
	RefusedFenced RefusalKind = "fenced"
	// RefusedStopping refuses because the entry is shutting down.
	RefusedStopping RefusalKind = "stopping"
	// RefusedQuarantined refuses a request that has crashed targets.
	RefusedQuarantined RefusalKind = "quarantined"
	// RefusedNoReplica refuses because no usable replica is known.
	RefusedNoReplica RefusalKind = "no_replica"
	// RefusedDeadline refuses because the time ran out.
	RefusedDeadline RefusalKind = "deadline"
	// RefusedCoverage refuses because coverage is below the caller's minimum.
	RefusedCoverage RefusalKind = "coverage_below_minimum"
	// RefusedRepeat refuses a resend of a request that has its run right.
	RefusedRepeat RefusalKind = "already_sent"
	// RefusedCancelled refuses because the caller cancelled.
	RefusedCancelled RefusalKind = "cancelled"
	// RefusedUnavailable refuses because control can't grant a run right.
	RefusedUnavailable RefusalKind = "control_unavailable"
	// RefusedLost refuses because a target's answer was lost.
	RefusedLost RefusalKind = "answer_lost"
)

const (
	// MissingNoReplica names a shard without a usable replica.
	MissingNoReplica MissingReason = "no_replica"
	// MissingDeadline names a shard that didn't answer in time.
	MissingDeadline MissingReason = "deadline"
	// MissingOverloaded names a shard whose targets had no room.
	MissingOverloaded MissingReason = "overloaded"
	// MissingVersion names a shard that can't serve the answer's snapshot.
	MissingVersion MissingReason = "version"
	// MissingLost names a shard whose target failed while it ran.
	MissingLost MissingReason = "lost"
	// MissingQuarantined names a shard spared from a crashing request.
	MissingQuarantined MissingReason = "quarantined"
	// MissingGivenUp names a shard that was no longer waited for, because the
	// request had been given up.
	MissingGivenUp MissingReason = "given_up"
)

type (
	// RunOutcome says what is certain about the run of a request.
	RunOutcome string

	// RefusalKind classifies a Refusal for programs.
	RefusalKind string

	// MissingReason says why a shard is missing from an answer.
	MissingReason string

	// Snapshot identifies the one state of the data that an answer shows.
	Snapshot struct {
		IndexVersion uint64 `json:"index_version" msgpack:"v"`
		Layout       string `json:"layout" msgpack:"l"`
	}

	// MissingShard is a shard that an answer lacks.
	MissingShard struct {
		Shard  int           `json:"shard"`
		Reason MissingReason `json:"reason"`
	}

	// Coverage tells which shards an answer holds.
	Coverage struct {
		Answered int `json:"answered"`
		// Total is the number of shards in the layout; it has no meaning
		// while Known is false.
		Total    int            `json:"total"`
		Known    bool           `json:"known"`
		Complete bool           `json:"complete"`
		Missing  []MissingShard `json:"missing,omitempty"`
	}

	// Part is one shard's share of an answer.
	Part struct {
		Shard   int             `json:"shard"`
		Target  string          `json:"target"`
		Payload json.RawMessage `json:"payload"`
	}

	// Answer is a request's result.
	Answer struct {
		RequestID RequestID  `json:"request_id"`
		Snapshot  Snapshot   `json:"snapshot"`
		Coverage  Coverage   `json:"coverage"`
		Run       RunOutcome `json:"run"`
		Parts     []Part     `json:"parts"`
		// Attempts is the number of runs that were sent to targets.
		Attempts int `json:"attempts"`
	}

	// Refusal is the final answer to a request that the system gave up on.
	Refusal struct {
		Kind      RefusalKind `json:"kind"`
		RequestID RequestID   `json:"request_id,omitempty"`
		Run       RunOutcome  `json:"run"`
		Message   string      `json:"message"`
		Remedy    string      `json:"remedy"`
		// RetryAfter is the span after which another try makes sense; zero
		// means that another try with this ID makes none.
		RetryAfter duration.Duration `json:"retry_after"`
		Coverage   *Coverage         `json:"coverage,omitempty"`
		// Problems lists what is wrong with a bad request.
		Problems []fault.Problem `json:"problems,omitempty"`
		// Entries lists addresses to use in place of this entry's.
		Entries []string `json:"entries,omitempty"`
	}

	// Addresses lists entries that a caller can use.
	Addresses struct {
		Entries []string          `json:"entries"`
		MaxAge  duration.Duration `json:"max_age"`
	}
)

// Share returns the covered share of shards, from 0 to 1. An unknown total
// counts as no coverage.
func (coverage *Coverage) Share() float64 {
	if !coverage.Known || coverage.Total == 0 {
		return 0
	}
	return float64(coverage.Answered) / float64(coverage.Total)
}

// Error describes the refusal and its remedy in one line.
func (refusal *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s; remedy: %s", refusal.Kind, refusal.Run, refusal.Message, refusal.Remedy)
}
