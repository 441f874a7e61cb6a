// This file exists so that what is written to a target, and what counts as
// its whole answer to one run, stands in one place. How an answer is read is in
// response.go.

package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// headBytes is room for the head of a message to a target.
	headBytes = 512

	// droppedLate names, in metrics, answers to runs that were given up.
	droppedLate = "late"
	// droppedRepeated names, in metrics, answers that came more than once.
	droppedRepeated = "duplicated"
)

var (
	errCrossed = errors.New("the answer belongs to another attempt; the connection was closed")
	errDamaged = errors.New("the answer is damaged; the connection was closed")
	errAddress = errors.New("the target's address holds bytes that no address has; announce IP:port")
	errVersion = errors.New("the answer is from another snapshot than the one asked for; the connection was closed")
)

// encode returns the bytes of a message to a target.
func encode(ctx context.Context, method, address, path string, message any) ([]byte, error) {
	host, err := hostOf(address)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode message to target")
	}
	encoded := make([]byte, 0, headBytes+len(body))
	encoded = append(encoded, method...)
	encoded = append(encoded, ' ')
	encoded = append(encoded, path...)
	encoded = append(encoded, " HTTP/1.1\r\nHost: "...)
	encoded = append(encoded, host...)
	encoded = append(encoded, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	encoded = strconv.AppendInt(encoded, int64(len(body)), 10)
	encoded = appendTrace(ctx, encoded)
	encoded = append(encoded, "\r\n\r\n"...)
	return append(encoded, body...), nil
}

// hostOf returns an address as it stands in a head: without its zone, which
// means nothing at the other end.
func hostOf(address string) (string, error) {
	if start := strings.IndexByte(address, '%'); start >= 0 {
		end := max(start, strings.LastIndexByte(address, ']'))
		address = address[:start] + address[end:]
	}
	for index := range len(address) {
		if address[index] <= ' ' || address[index] >= utf8.RuneSelf {
			return "", errAddress
		}
	}
	return address, nil
}

// appendTrace adds the headers that tie the target's part to the trace, where
// there is one.
func appendTrace(ctx context.Context, encoded []byte) []byte {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return encoded
	}
	header := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, header)
	for name, value := range header {
		encoded = append(encoded, "\r\n"...)
		encoded = append(encoded, name...)
		encoded = append(encoded, ": "...)
		encoded = append(encoded, value...)
	}
	return encoded
}

// decode returns the result or the shed that the response to a run holds.
func (response *response) decode(run *target.Run) (*target.Result, *target.Shed, error) {
	if response.status == http.StatusServiceUnavailable {
		shed := new(target.Shed)
		if json.Unmarshal(response.body, shed) != nil {
			return nil, nil, errDamaged
		}
		if shed.AttemptID != run.AttemptID || shed.RequestID != run.RequestID {
			return nil, nil, errCrossed
		}
		return nil, shed, nil
	}
	result := new(target.Result)
	if response.status != http.StatusOK || json.Unmarshal(response.body, result) != nil {
		return nil, nil, errDamaged
	}
	return result, nil, checkResult(run, result)
}

// checkResult refuses an answer that isn't the whole answer to this run.
func checkResult(run *target.Run, result *target.Result) error {
	if result.RequestID != run.RequestID || result.AttemptID != run.AttemptID || result.Shard != run.Shard {
		return errCrossed
	}
	if result.Layout != run.Layout || (run.IndexVersion != 0 && result.IndexVersion != run.IndexVersion) {
		return errVersion
	}
	if xxhash.Sum64(result.Payload) != result.Checksum {
		return errDamaged
	}
	return nil
}

// dropReason names, in metrics, why an answer that can't be used was dropped.
func dropReason(err error) string {
	switch {
	case errors.Is(err, errCrossed):
		return "crossed"
	case errors.Is(err, errVersion):
		return "version"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "truncated"
	}
	return "damaged"
}
