// This file exists so that entries and targets agree on how a request is run
// and how a target says that it didn't run one.

package target

import (
	"encoding/json"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/duration"
)

// HTTP paths that a target serves.
const (
	RunPath    = "/v1/run"
	CancelPath = "/v1/cancel"
	HealthPath = "/v1/health"
	LoadPath   = "/v1/load"
)

// Reasons for which a target sheds a run.
const (
	ShedOverloaded ShedReason = "overloaded"
	ShedLeaving    ShedReason = "leaving"
	ShedCold       ShedReason = "cold"
	ShedVersion    ShedReason = "version"
	// ShedCancelled answers a run that was cancelled, or whose deadline has
	// passed.
	ShedCancelled ShedReason = "cancelled"
)

type (
	// ShedReason says why a target shed a run.
	ShedReason string

	// Run asks a target to run a request on one shard.
	Run struct {
		RequestID string          `json:"request_id" msgpack:"q"`
		AttemptID string          `json:"attempt_id" msgpack:"a"`
		Kind      string          `json:"kind" msgpack:"k"`
		Payload   json.RawMessage `json:"payload,omitempty" msgpack:"p"`
		// Deadline is the time after which the target may drop the run.
		Deadline time.Time `json:"deadline" msgpack:"d"`
		// IndexVersion pins the run to a version; zero asks for the newest.
		IndexVersion uint64 `json:"index_version,omitempty" msgpack:"v"`
		Layout       string `json:"layout" msgpack:"l"`
		Shard        int    `json:"shard" msgpack:"s"`
	}

	// Result is a target's answer to a Run.
	Result struct {
		RequestID    string          `json:"request_id" msgpack:"q"`
		AttemptID    string          `json:"attempt_id" msgpack:"a"`
		IndexVersion uint64          `json:"index_version" msgpack:"v"`
		Layout       string          `json:"layout" msgpack:"l"`
		Shard        int             `json:"shard" msgpack:"s"`
		Payload      json.RawMessage `json:"payload" msgpack:"p"`
		// Checksum is the xxHash64 of Payload.
		Checksum uint64 `json:"checksum" msgpack:"c"`
		// Incarnation is that of the process that ran the request.
		Incarnation uint64 `json:"incarnation" msgpack:"n"`
		// Leaving states that the target takes no new work.
		Leaving bool `json:"leaving,omitempty" msgpack:"e"`
	}

	// Shed is a target's refusal of a Run, sent with HTTP status 503.
	Shed struct {
		RequestID string     `json:"request_id" msgpack:"q"`
		AttemptID string     `json:"attempt_id" msgpack:"a"`
		Reason    ShedReason `json:"reason" msgpack:"r"`
		// Ran states whether any part of the request was run.
		Ran         bool              `json:"ran" msgpack:"ran"`
		Incarnation uint64            `json:"incarnation" msgpack:"n"`
		RetryAfter  duration.Duration `json:"retry_after" msgpack:"t"`
	}

	// Cancel asks a target to drop a run. A reply with a status of 2xx states
	// that the attempt occupies no slot and will occupy none: also where the
	// run itself arrives later than its cancel.
	Cancel struct {
		RequestID string `json:"request_id"`
		AttemptID string `json:"attempt_id"`
		// Deadline is that of the run; after it the cancel can be forgotten.
		Deadline time.Time `json:"deadline"`
	}
)
