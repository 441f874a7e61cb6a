// Package exchange sends one JSON document over HTTP and decodes the reply, for the
// clients in pkg.
package exchange

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

const (
	maximumReplyBytes = 256 << 20
)

// JSON sends body at most once and decodes the response: into reply, a pointer, if the
// status is 200, and otherwise into refusal, which it then returns as the error.
func JSON(ctx context.Context, client *http.Client, method, url string, body, reply any, refusal error) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return errors.Wrap(err, "build request; check the address")
	}
	// Without GetBody the HTTP client can't send the request again on its own.
	request.GetBody = nil
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maximumReplyBytes))
	if err != nil {
		return errors.Wrap(err, "read reply")
	}
	if response.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, reply); err != nil {
			return errors.Wrap(err, "decode reply")
		}
		return nil
	}
	if err := json.Unmarshal(data, refusal); err != nil {
		return errors.Errorf("the process answered with status %d; check the address", response.StatusCode)
	}
	return refusal
}
