package caller

import (
	"encoding/json"
	"fmt"

	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// NotRun means that no target ran any part of the request.
	NotRun RunOutcome = "not_run"
	// MayHaveRun means that a target may have run a part of the request.
	MayHaveRun RunOutcome = "may_have_run"
	// DidRun means that the request ran.
	DidRun RunOutcome = "did_run"
)

const (
	// RefusedBadRequest means that the request is invalid.
	RefusedBadRequest RefusalKind = "bad_request"
	// RefusedUnknownKind means that no route exists for the request's kind.
	RefusedUnknownKind RefusalKind = "unknown_kind"
	// RefusedExpired means that the request ID has expired.
	RefusedExpired RefusalKind = "expired"
	// RefusedOverloaded means that there is no capacity to serve the request in time.
	RefusedOverloaded RefusalKind = "overloaded"
	// RefusedFenced means that the entry has no valid lease from control.
	RefusedFenced RefusalKind = "fenced"
	// RefusedStopping means that the entry is shutting down.
	RefusedStopping RefusalKind = "stopping"
	// RefusedQuarantined means that requests with this content have crashed targets.
	RefusedQuarantined RefusalKind = "quarantined"
	// RefusedNoReplica means that no usable replica is available.
	RefusedNoReplica RefusalKind = "no_replica"
	// RefusedDeadline means that the request's timeout elapsed.
	RefusedDeadline RefusalKind = "deadline"
	// RefusedCoverage means that the coverage is below the caller's minimum.
	RefusedCoverage RefusalKind = "coverage_below_minimum"
	// RefusedAlreadySent means that a request with the same ID was sent before, and
	// is in progress or has already been granted its single run.
	RefusedAlreadySent RefusalKind = "already_sent"
	// RefusedCancelled means that the caller cancelled the request.
	RefusedCancelled RefusalKind = "cancelled"
	// RefusedControlUnavailable means that control could not grant a run to a request
	// that isn't idempotent.
	RefusedControlUnavailable RefusalKind = "control_unavailable"
	// RefusedAnswerLost means that a target's answer was lost.
	RefusedAnswerLost RefusalKind = "answer_lost"
)

const (
	// MissingNoReplica means that the shard has no usable replica.
	MissingNoReplica MissingReason = "no_replica"
	// MissingDeadline means that the shard didn't answer in time.
	MissingDeadline MissingReason = "deadline"
	// MissingOverloaded means that the shard's targets had no free capacity.
	MissingOverloaded MissingReason = "overloaded"
	// MissingVersion means that the shard can't serve the answer's snapshot.
	MissingVersion MissingReason = "version"
	// MissingLost means that the shard's target failed during the run.
	MissingLost MissingReason = "lost"
	// MissingQuarantined means that the request wasn't sent to the shard because
	// it has crashed targets.
	MissingQuarantined MissingReason = "quarantined"
	// MissingGivenUp means that the request was abandoned before the shard
	// answered.
	MissingGivenUp MissingReason = "given_up"
)

type (
	// RunOutcome states whether a request ran, as far as that is certain.
	RunOutcome string

	// RefusalKind is the machine-readable reason for a Refusal.
	RefusalKind string

	// MissingReason is the reason why a shard is missing from an answer.
	MissingReason string

	// Snapshot identifies the version of the data that all parts of an answer
	// were computed from.
	Snapshot struct {
		IndexVersion uint64 `json:"index_version" msgpack:"v"`
		// Layout is the name of the partitioning of the data into shards.
		Layout string `json:"layout" msgpack:"l"`
	}

	// MissingShard is a shard that is missing from an answer.
	MissingShard struct {
		Shard  int           `json:"shard"`
		Reason MissingReason `json:"reason"`
	}

	// Coverage describes which shards contributed to an answer.
	Coverage struct {
		Answered int `json:"answered"`
		// Total is the number of shards in the layout. It is meaningful only
		// if Known is true.
		Total    int            `json:"total"`
		Known    bool           `json:"known"`
		Complete bool           `json:"complete"`
		Missing  []MissingShard `json:"missing,omitempty"`
	}

	// Part is the result of one shard.
	Part struct {
		Shard   int             `json:"shard"`
		Target  string          `json:"target"`
		Payload json.RawMessage `json:"payload"`
	}

	// Answer is the result of a request, with the data version and the shards
	// that it covers.
	Answer struct {
		RequestID RequestID  `json:"request_id"`
		Snapshot  Snapshot   `json:"snapshot"`
		Coverage  Coverage   `json:"coverage"`
		Run       RunOutcome `json:"run"`
		Parts     []Part     `json:"parts"`
		// Attempts is the number of runs sent to targets.
		Attempts int `json:"attempts"`
	}

	// Refusal is the final reply to a request that was not answered.
	Refusal struct {
		Kind      RefusalKind `json:"kind"`
		RequestID RequestID   `json:"request_id,omitempty"`
		Run       RunOutcome  `json:"run"`
		Message   string      `json:"message"`
		Remedy    string      `json:"remedy"`
		// RetryAfter is the delay after which to retry. Zero means that a
		// retry with the same ID is of no use.
		RetryAfter duration.Duration `json:"retry_after"`
		Coverage   *Coverage         `json:"coverage,omitempty"`
		// Problems lists the validation errors of a bad request.
		Problems []fault.Problem `json:"problems,omitempty"`
		// Entries lists the addresses of entries to use instead of this one.
		Entries []string `json:"entries,omitempty"`
	}

	// Addresses lists the entries that a caller can use, and how long the list
	// is valid.
	Addresses struct {
		Entries []string          `json:"entries"`
		MaxAge  duration.Duration `json:"max_age"`
	}
)

// Share returns the fraction of shards that answered, from 0 to 1. It is 0 if
// the total is unknown.
func (coverage *Coverage) Share() float64 {
	if !coverage.Known || coverage.Total == 0 {
		return 0
	}
	return float64(coverage.Answered) / float64(coverage.Total)
}

// Error returns the refusal and its remedy as one line.
func (refusal *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s; remedy: %s", refusal.Kind, refusal.Run, refusal.Message, refusal.Remedy)
}
