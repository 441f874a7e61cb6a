// This file exists so that what is written to a target, and what counts as
// its whole answer to one run, stands in one place.

package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/propagation"

	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// maximumResultBytes bounds the body of a target's answer.
	maximumResultBytes = 4 << 20
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
	errVersion = errors.New("the answer is from another snapshot than the one asked for; the connection was closed")
)

type (
	// response is one HTTP response, read whole.
	response struct {
		status int
		body   []byte
		// last states that the target closes the connection.
		last bool
		// repeated states that more bytes came with the response, which
		// nobody has asked for.
		repeated bool
	}
)

// encode returns the bytes of a message to a target.
func encode(ctx context.Context, method, address, path string, message any) ([]byte, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode message to target")
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build message to target")
	}
	request.Header.Set("Content-Type", "application/json")
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(request.Header))
	var buffer bytes.Buffer
	buffer.Grow(len(body) + headBytes)
	if err := request.Write(&buffer); err != nil {
		return nil, errors.Wrap(err, "write message to target")
	}
	return buffer.Bytes(), nil
}

func readResponse(reader *bufio.Reader) (*response, error) {
	read, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(read.Body, maximumResultBytes+1))
	_ = read.Body.Close()
	if err != nil {
		return nil, err
	}
	if len(body) > maximumResultBytes {
		return nil, errDamaged
	}
	return &response{status: read.StatusCode, body: body, last: read.Close, repeated: reader.Buffered() > 0}, nil
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
