package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

// measureStandin measures runs at a stand-in target alone, so that its share can
// be subtracted from the cost of a leaf attempt. The runs are sent as bytes
// encoded beforehand, so that nearly all the time is the target's.
func measureStandin(ctx context.Context) ([]*series, error) {
	listener, err := tcp.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen as target")
	}
	announced := announcement(0)
	standinTarget := standin.NewTarget(announced, standin.Behaviour{}, tcp.Dial)
	go func() { _ = standinTarget.Serve(listener) }()
	defer standinTarget.Stop()
	message, err := encodedRun(ctx, listener.Addr().String(), &announced)
	if err != nil {
		return nil, err
	}
	measured := &series{name: "processor time of runs at a stand-in target alone", sizeName: "run", costUnit: "µs"}
	for _, runs := range []int{5000, 10000, 20000} {
		before := processorTime()
		if err := exchangeAll(ctx, listener.Addr().String(), message, runs); err != nil {
			return nil, err
		}
		measured.add(float64(runs), float64((processorTime() - before).Microseconds()))
	}
	return []*series{measured}, nil
}

// encodedRun returns the bytes of an HTTP request for a run.
func encodedRun(ctx context.Context, address string, announced *target.Announcement) ([]byte, error) {
	body, err := json.Marshal(&target.Run{
		RequestID: "order-17.1893456000", AttemptID: "9f0c-0-1", Kind: fanOutKind, Payload: json.RawMessage(`{}`),
		Deadline: time.Now().Add(time.Hour), IndexVersion: announced.IndexVersions[0], Layout: announced.Layout, Shard: announced.Shard,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode run")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+target.RunPath, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build run")
	}
	var message bytes.Buffer
	if err := request.Write(&message); err != nil {
		return nil, errors.Wrap(err, "encode run")
	}
	return message.Bytes(), nil
}

// exchangeAll sends the message a number of times over one connection and reads
// each answer.
func exchangeAll(ctx context.Context, address string, message []byte, runs int) error {
	connection, err := tcp.Dial(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "connect to target")
	}
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for range runs {
		if _, err := connection.Write(message); err != nil {
			return errors.Wrap(err, "send run")
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return errors.Errorf("the stand-in target answered with status %d", response.StatusCode)
		}
	}
	return nil
}
