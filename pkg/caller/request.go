package caller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// MaximumPayloadBytes is the maximum size of a request's payload.
	MaximumPayloadBytes = 1 << 20
	// MaximumRequestIDBytes is the maximum length of a request ID.
	MaximumRequestIDBytes = 128
	// MaximumRunsPerShard is the maximum of Request.RunsPerShard.
	MaximumRunsPerShard = 16
	// MaximumRequestIDLifetime is the maximum time until a request ID expires.
	MaximumRequestIDLifetime = 24 * time.Hour
	// MaximumTimeout is the maximum timeout of a request.
	MaximumTimeout = time.Minute
)

type (
	// RequestID identifies a request and its resends. It ends with a dot and
	// the Unix time in seconds at which it expires, so that the system needs
	// to remember an ID for a limited time only.
	RequestID string

	// Request asks for a run of a kind of work on the shards of a pool.
	Request struct {
		ID RequestID `json:"id"`
		// Kind is the kind of work. It selects the route, and so the pool.
		Kind string `json:"kind"`
		// Payload is passed to targets unchanged.
		Payload json.RawMessage `json:"payload,omitempty"`
		// Timeout is the time after which the caller no longer needs the answer.
		Timeout duration.Duration `json:"timeout"`
		// RunsPerShard is the maximum number of runs on each shard, including
		// hedges and retries. Zero means one.
		RunsPerShard int `json:"runs_per_shard,omitempty"`
		// Idempotent is true if it is safe to run the request more than once.
		Idempotent bool `json:"idempotent,omitempty"`
		// MinimumCoverage is the fraction of shards, from 0 to 1, below which
		// the request is refused instead of answered.
		MinimumCoverage float64 `json:"minimum_coverage,omitempty"`
		// ShardKey restricts the request to the shard that owns the key. Empty
		// means all shards.
		ShardKey string `json:"shard_key,omitempty"`
	}
)

// NewRequestID returns a random ID that expires at the given time.
func NewRequestID(expiry time.Time) RequestID {
	return RequestID(fmt.Sprintf("%016x%016x.%d", rand.Uint64(), rand.Uint64(), expiry.Unix()))
}

// Expiry returns the time at which the ID expires, or an error if the ID has no
// valid expiry.
func (requestID RequestID) Expiry() (time.Time, error) {
	text := string(requestID)
	dot := strings.LastIndexByte(text, '.')
	if dot <= 0 {
		return time.Time{}, badRequestID(requestID)
	}
	second, err := strconv.ParseInt(text[dot+1:], 10, 64)
	if err != nil || second <= 0 {
		return time.Time{}, badRequestID(requestID)
	}
	return time.Unix(second, 0), nil
}

// AllowedRuns returns the maximum number of runs on each shard, which is one
// for a request that isn't idempotent.
func (request *Request) AllowedRuns() int {
	if !request.Idempotent || request.RunsPerShard < 1 {
		return 1
	}
	return request.RunsPerShard
}

// Check validates the request. It returns all problems as one *fault.Error, or
// nil if there are none.
func (request *Request) Check() error {
	var problems []fault.Problem
	add := func(path, message, remedy string) {
		problems = append(problems, fault.Problem{Path: path, Message: message, Remedy: remedy})
	}
	if len(request.ID) > MaximumRequestIDBytes {
		add("id", "the ID is too long", fmt.Sprintf("use at most %d bytes", MaximumRequestIDBytes))
	} else if _, err := request.ID.Expiry(); err != nil {
		add("id", "the ID has no expiry", "write it as NAME.UNIXSECOND, such as order-17.1893456000")
	}
	if request.Kind == "" {
		add("kind", "the kind is missing", "name a kind of the table of routes")
	}
	if len(request.Payload) > MaximumPayloadBytes {
		add("payload", "the payload is too large", fmt.Sprintf("send at most %d bytes", MaximumPayloadBytes))
	}
	if request.Timeout <= 0 || request.Timeout.Std() > MaximumTimeout {
		add("timeout", "the timeout is out of range", "use a span above 0s and up to "+MaximumTimeout.String())
	}
	if request.RunsPerShard < 0 || request.RunsPerShard > MaximumRunsPerShard {
		add("runs_per_shard", "the number of runs is out of range", fmt.Sprintf("use 0 to %d", MaximumRunsPerShard))
	}
	if !request.Idempotent && request.RunsPerShard > 1 {
		add("runs_per_shard", "a request that isn't idempotent can't run twice", "leave the field out, or set idempotent")
	}
	if !(request.MinimumCoverage >= 0 && request.MinimumCoverage <= 1) {
		add("minimum_coverage", "the share is out of range", "use 0 to 1")
	}
	return fault.InvalidDocument("request", problems)
}

func badRequestID(requestID RequestID) error {
	return fault.New(fault.BadRequest,
		fmt.Sprintf("request ID %q has no expiry", string(requestID)),
		"write it as NAME.UNIXSECOND, such as order-17.1893456000")
}
