// Encoding of messages to targets, and the checks that decide whether a
// response is the complete answer to one run.

package target

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/propagation"

	"gitlab.com/comfreythread/comfreythread/internal/answer"
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
	// responseReader reads the responses on one connection within bounds.
	responseReader struct {
		bounded  *answer.BoundedReader
		buffered *bufio.Reader
		budget   *answer.Budget
	}

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

// newResponseReader returns a reader of the responses on a connection, which count toward a budget.
func newResponseReader(source io.Reader, budget *answer.Budget) *responseReader {
	bounded := answer.NewBoundedReader(source)
	return &responseReader{bounded: bounded, buffered: bufio.NewReader(bounded), budget: budget}
}

// await waits for the first byte of the next response.
func (responseReader *responseReader) await() error {
	responseReader.bounded.AllowHead()
	_, err := responseReader.buffered.Peek(1)
	return err
}

// read reads one response with its body after await. A head above answer.MaximumHeadBytes or a body above
// maximumResultBytes is answer.ErrTooLarge.
func (responseReader *responseReader) read() (*response, error) {
	httpResponse, err := http.ReadResponse(responseReader.buffered, nil)
	if err != nil {
		return nil, responseReader.bounded.Cause(err)
	}
	responseReader.bounded.AllowBody(maximumResultBytes)
	body, err := responseReader.budget.ReadBody(httpResponse.Body, httpResponse.ContentLength, maximumResultBytes)
	if err != nil {
		// Closing the body would read on to its end. The connection is closed.
		return nil, responseReader.bounded.Cause(err)
	}
	_ = httpResponse.Body.Close()
	return &response{status: httpResponse.StatusCode, body: body, closesConnection: httpResponse.Close, hasTrailingBytes: responseReader.buffered.Buffered() > 0}, nil
}

// drain reads and drops what follows until the connection ends, up to the size of a response: a peer that
// sends without end would take the time of this process.
func (responseReader *responseReader) drain() error {
	responseReader.bounded.AllowBody(maximumResultBytes)
	_, err := io.Copy(io.Discard, responseReader.buffered)
	return err
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
	return cmp.Or(answer.DropReason(err), "damaged")
}
