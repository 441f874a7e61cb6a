// This file exists so that each connection to a target carries one run at a
// time, and it is known whether a byte of the run was written. The HTTP
// client's transport is not used, because it may send a request again on its
// own.

package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// maximumResultBytes bounds the body of a target's answer.
	maximumResultBytes = 4 << 20
)

var (
	errCrossed = errors.New("the answer belongs to another attempt; the connection was closed")
)

type (
	// connection is one open connection to a target.
	connection struct {
		net.Conn
		reader *bufio.Reader
		// written counts the bytes of the present run that were written.
		written int64
	}

	countingWriter struct {
		connection *connection
	}

	// reply is what a target sent back: a result or a shed.
	reply struct {
		result *target.Result
		shed   *target.Shed
		// reusable states that the connection can carry another run.
		reusable bool
	}
)

func newConnection(opened net.Conn) *connection {
	return &connection{Conn: opened, reader: bufio.NewReader(opened)}
}

// Write counts what reaches the socket.
func (countingWriter countingWriter) Write(data []byte) (int, error) {
	written, err := countingWriter.connection.Write(data)
	countingWriter.connection.written += int64(written)
	return written, err
}

// exchange sends one run and reads its reply. The end of ctx ends it at once
// and leaves the connection unusable.
func (connection *connection) exchange(ctx context.Context, run *target.Run) (*reply, error) {
	connection.written = 0
	stop := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := connection.send(ctx, run); err != nil {
		return nil, err
	}
	return connection.receive(run)
}

func (connection *connection) send(ctx context.Context, run *target.Run) error {
	body, err := json.Marshal(run)
	if err != nil {
		return errors.Wrap(err, "encode run")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+connection.RemoteAddr().String()+target.RunPath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build run")
	}
	request.Header.Set("Content-Type", "application/json")
	// One buffered write for head and body, so that the run arrives whole.
	buffered := bufio.NewWriterSize(countingWriter{connection}, len(body)+1024)
	if err := request.Write(buffered); err != nil {
		return err
	}
	return buffered.Flush()
}

func (connection *connection) receive(run *target.Run) (*reply, error) {
	response, err := http.ReadResponse(connection.reader, nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maximumResultBytes+1))
	_ = response.Body.Close()
	if err != nil {
		return nil, err
	}
	if len(body) > maximumResultBytes {
		return nil, errors.New("the target's answer is too large")
	}
	received := &reply{reusable: !response.Close}
	if response.StatusCode == http.StatusServiceUnavailable {
		received.shed = new(target.Shed)
		if err := json.Unmarshal(body, received.shed); err != nil {
			return nil, errors.Wrap(err, "decode shed")
		}
		if received.shed.AttemptID != run.AttemptID || received.shed.RequestID != run.RequestID {
			return nil, errCrossed
		}
		return received, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the target answered with status %d", response.StatusCode)
	}
	received.result = new(target.Result)
	if err := json.Unmarshal(body, received.result); err != nil {
		return nil, errors.Wrap(err, "decode result")
	}
	return received, checkResult(run, received.result)
}

// checkResult refuses an answer that isn't the whole answer to this run.
func checkResult(run *target.Run, result *target.Result) error {
	if result.RequestID != run.RequestID || result.AttemptID != run.AttemptID || result.Shard != run.Shard {
		return errCrossed
	}
	if result.Layout != run.Layout || (run.IndexVersion != 0 && result.IndexVersion != run.IndexVersion) {
		return errors.New("the answer is from another snapshot than the one asked for")
	}
	if xxhash.Sum64(result.Payload) != result.Checksum {
		return errors.New("the answer's checksum is wrong")
	}
	return nil
}
