// A consumer: it sends requests to front machines, each on a new connection.

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// answer is what a consumer got for a request.
	answer struct {
		requestID string
		front     string
		sentAt    time.Time
		status    int
		stamp     string
		err       error
	}

	load struct {
		lock    sync.Mutex
		answers []answer
		stop    chan struct{}
		done    sync.WaitGroup
	}
)

var requestNumber atomic.Uint64

const (
	host = "leno12.example"
	path = "/goka902/2f"
)

func send(system *system, front *machine, method, path string) answer {
	return sendBody(system, front, method, path, nil)
}

func sendBody(system *system, front *machine, method, path string, body []byte) answer {
	return sendRequest(system, front, method, path, body, func(http.Header) {})
}

func sendRequest(system *system, front *machine, method, path string, body []byte, prepare func(http.Header)) answer {
	answer := answer{requestID: fmt.Sprintf("%016x", 0x9c41d07b00000000+requestNumber.Add(1)), front: front.name, sentAt: time.Now()}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", front.ip, frontendPort, path), bytes.NewReader(body))
	if err != nil {
		answer.err = err
		return answer
	}
	request.Host = host
	request.Header.Set("Request-Id", answer.requestID)
	request.Header.Set("Deadline-Ms", "3000")
	prepare(request.Header)
	response, err := (&http.Client{Timeout: 4 * time.Second, Transport: system.client.Transport}).Do(request)
	if err != nil {
		answer.err = err
	} else {
		answer.status, answer.stamp = response.StatusCode, response.Header.Get("Server-Stamp")
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			answer.err, answer.status = err, 0
		}
		_ = response.Body.Close()
	}
	system.record.write("request %s to %s: status %d, stamp %q %s", answer.requestID, front.name, answer.status, answer.stamp, errorText(answer.err))
	return answer
}

// startLoad sends requests to every front machine at an interval.
func startLoad(system *system, interval time.Duration) *load {
	load := &load{stop: make(chan struct{})}
	for _, front := range system.fronts {
		load.done.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-load.stop:
					return
				case <-ticker.C:
				}
				load.done.Go(func() {
					answer := send(system, front, http.MethodGet, path)
					load.lock.Lock()
					load.answers = append(load.answers, answer)
					load.lock.Unlock()
				})
			}
		})
	}
	return load
}

// end stops the load and returns the answers once all requests have ended.
func (load *load) end() []answer {
	close(load.stop)
	load.done.Wait()
	load.lock.Lock()
	defer load.lock.Unlock()
	return load.answers
}

// served counts the requests sent in a span, and those of them that got a success with a stamp.
func served(answers []answer, from, to time.Time) (sent, served int) {
	for _, answer := range answers {
		if answer.sentAt.Before(from) || !answer.sentAt.Before(to) {
			continue
		}
		sent++
		if answer.err == nil && answer.status/100 == 2 && answer.stamp != "" {
			served++
		}
	}
	return sent, served
}
