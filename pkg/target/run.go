// An entry sends a Run to a target, which replies with a Result, or with a Shed
// if it refuses the run.

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

// Reasons why a target sheds a run.
const (
	ShedOverloaded ShedReason = "overloaded"
	ShedLeaving    ShedReason = "leaving"
	ShedCold       ShedReason = "cold"
	ShedVersion    ShedReason = "version"
	// ShedCancelled is the reason for a run that was cancelled or whose
	// deadline has passed.
	ShedCancelled ShedReason = "cancelled"
)

type (
	// ShedReason is the reason why a target shed a run.
	ShedReason string

	// Run asks a target to run a request on one shard.
	Run struct {
		RequestID string          `json:"request_id" msgpack:"q"`
		AttemptID string          `json:"attempt_id" msgpack:"a"`
		Kind      string          `json:"kind" msgpack:"k"`
		Payload   json.RawMessage `json:"payload,omitempty" msgpack:"p"`
		// Deadline is the time after which the target may drop the run.
		Deadline time.Time `json:"deadline" msgpack:"d"`
		// IndexVersion is the index version to run on; zero means the newest.
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
		// Incarnation is the incarnation of the target process that ran the
		// request.
		Incarnation uint64 `json:"incarnation" msgpack:"n"`
		// Leaving is true if the target accepts no new work.
		Leaving bool `json:"leaving,omitempty" msgpack:"e"`
	}

	// Shed is a target's refusal of a Run, sent with HTTP status 503.
	Shed struct {
		RequestID string     `json:"request_id" msgpack:"q"`
		AttemptID string     `json:"attempt_id" msgpack:"a"`
		Reason    ShedReason `json:"reason" msgpack:"r"`
		// Ran is true if any part of the request ran.
		Ran         bool              `json:"ran" msgpack:"ran"`
		Incarnation uint64            `json:"incarnation" msgpack:"n"`
		RetryAfter  duration.Duration `json:"retry_after" msgpack:"t"`
	}

	// Cancel asks a target to cancel a run. A 2xx status in reply guarantees
	// that the attempt occupies no slot and never will, even if the run
	// arrives after its cancellation.
	Cancel struct {
		RequestID string `json:"request_id"`
		AttemptID string `json:"attempt_id"`
		// Deadline is the deadline of the run. After it, the target can discard
		// its record of the cancellation.
		Deadline time.Time `json:"deadline"`
	}
)
