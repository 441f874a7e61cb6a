// The consumers: each attempt has an id of its own, and goes over a new connection or a kept one.

package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

type (
	// attempt is one request of a consumer and its answer.
	attempt struct {
		id     string
		sentAt time.Time
		status int
		header http.Header
		body   []byte
		err    error
	}
)

func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// newConsumer returns a consumer that keeps its connections open.
func newConsumer() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
}

// send sends one request and waits for its answer.
func send(consumer *http.Client, address, host, method, path string, body []byte, deadline time.Duration, header map[string]string) attempt {
	sent := attempt{id: newID(), sentAt: time.Now()}
	if id := header["Request-Id"]; id != "" {
		sent.id = id
	}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		sent.err = err
		return sent
	}
	request.Host = host
	request.Header.Set("Request-Id", sent.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := *consumer
	client.Timeout = deadline
	response, err := client.Do(request)
	if err != nil {
		sent.err = err
		return sent
	}
	defer func() { _ = response.Body.Close() }()
	sent.status, sent.header = response.StatusCode, response.Header
	sent.body, sent.err = io.ReadAll(response.Body)
	return sent
}

func (attempt *attempt) String() string {
	if attempt.err != nil {
		return attempt.id + " no answer"
	}
	return fmt.Sprintf("%s %d", attempt.id, attempt.status)
}
