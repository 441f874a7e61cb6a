// This file exists so that the verbs which talk to a running system share one
// way of doing so.

package verb

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	clientTimeout = 70 * time.Second
)

// addressFlag names the process to talk to.
func addressFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "address",
		Value: "127.0.0.1:8080",
		Usage: "IP:port of the HTTP interface of any process of the system",
	}
}

// exchange sends a body and decodes the reply, which may be a typed error.
func exchange[Out any](ctx context.Context, command *cli.Command, method, path string, body any) (*Out, error) {
	status, data, err := send(ctx, method, "http://"+command.String("address")+path, body)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		typed := new(fault.Error)
		if err := json.Unmarshal(data, typed); err != nil || typed.Kind == "" {
			return nil, errors.Errorf("the process answered with status %d; check --address", status)
		}
		return nil, typed
	}
	out := new(Out)
	if err := json.Unmarshal(data, out); err != nil {
		return nil, errors.Wrap(err, "decode reply; check --address")
	}
	return out, nil
}

func send(ctx context.Context, method, url string, body any) (int, []byte, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, nil, errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return 0, nil, errors.Wrap(err, "build request; check --address")
	}
	client := http.Client{Timeout: clientTimeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, fault.New(fault.Unavailable, err.Error(), "check --address and that the process runs")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, fault.New(fault.Unavailable, err.Error(), "try again")
	}
	return response.StatusCode, data, nil
}
