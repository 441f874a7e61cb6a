// Encoding of messages to targets, and the checks that decide whether a
// response is the complete answer to one run.

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
	// maximumResultBytes limits the body of a target's response.
	maximumResultBytes = 4 << 20
	// requestHeadBytes is the space reserved in the buffer for the request line
	// and the headers of a message to a target.
	requestHeadBytes = 512

	// dropReasonLate is the metric label for answers that arrived after the
	// attempt was abandoned.
	dropReasonLate = "late"
	// dropReasonDuplicated is the metric label for answers that arrived more
	// than once.
	dropReasonDuplicated = "duplicated"
)

var (
	errWrongAttempt  = errors.New("the answer belongs to another attempt; the connection was closed")
	errDamagedAnswer = errors.New("the answer is damaged; the connection was closed")
	errWrongVersion  = errors.New("the answer is from another snapshot than the one asked for; the connection was closed")
)

type (
	// response is one HTTP response with its body read completely.
	response struct {
		status int
		body   []byte
		// closesConnection is true if the target closes the connection after
		// this response.
		closesConnection bool
		// hasTrailingBytes is true if unsolicited bytes followed the response.
		hasTrailingBytes bool
	}
)

// encodeRequest returns the bytes of an HTTP request that carries a message to
// a target.
func encodeRequest(ctx context.Context, method, address, path string, message any) ([]byte, error) {
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
	buffer.Grow(len(body) + requestHeadBytes)
	if err := request.Write(&buffer); err != nil {
		return nil, errors.Wrap(err, "write message to target")
	}
	return buffer.Bytes(), nil
}

// readResponse reads one response with its body. A body above maximumResultBytes
// is errDamagedAnswer.
func readResponse(reader *bufio.Reader) (*response, error) {
	httpResponse, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maximumResultBytes+1))
	_ = httpResponse.Body.Close()
	if err != nil {
		return nil, err
	}
	if len(body) > maximumResultBytes {
		return nil, errDamagedAnswer
	}
	return &response{status: httpResponse.StatusCode, body: body, closesConnection: httpResponse.Close, hasTrailingBytes: reader.Buffered() > 0}, nil
}

// decode returns the result in the response to a run, or the shed, which is the
// target's refusal to run it. The error states why neither can be used.
func (response *response) decode(run *target.Run) (*target.Result, *target.Shed, error) {
	if response.status == http.StatusServiceUnavailable {
		shed := new(target.Shed)
		if json.Unmarshal(response.body, shed) != nil {
			return nil, nil, errDamagedAnswer
		}
		if shed.AttemptID != run.AttemptID || shed.RequestID != run.RequestID {
			return nil, nil, errWrongAttempt
		}
		return nil, shed, nil
	}
	result := new(target.Result)
	if response.status != http.StatusOK || json.Unmarshal(response.body, result) != nil {
		return nil, nil, errDamagedAnswer
	}
	return result, nil, checkResult(run, result)
}

// checkResult returns an error unless the result is complete and belongs to
// this run.
func checkResult(run *target.Run, result *target.Result) error {
	if result.RequestID != run.RequestID || result.AttemptID != run.AttemptID || result.Shard != run.Shard {
		return errWrongAttempt
	}
	if result.Layout != run.Layout || (run.IndexVersion != 0 && result.IndexVersion != run.IndexVersion) {
		return errWrongVersion
	}
	if xxhash.Sum64(result.Payload) != result.Checksum {
		return errDamagedAnswer
	}
	return nil
}

// dropReason returns the metric label for the reason why an unusable answer was
// dropped.
func dropReason(err error) string {
	switch {
	case errors.Is(err, errWrongAttempt):
		return "crossed"
	case errors.Is(err, errWrongVersion):
		return "version"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "truncated"
	}
	return "damaged"
}
