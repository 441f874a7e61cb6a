package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

type (
	// answer is what a consumer got for one attempt.
	answer struct {
		id     string
		status int
		header http.Header
		body   []byte
		err    error
		sentAt time.Time
		at     time.Time
	}
)

var requestNumber atomic.Uint64

func newID() string {
	return fmt.Sprintf("%08x%06x", rand.Uint32(), requestNumber.Add(1))
}

// send sends one request on a new connection and waits for its answer.
func (system *system) send(frontend *machine, method, host, uri string, budget time.Duration, body []byte, id string) answer {
	result := answer{id: id, sentAt: time.Now()}
	system.record.note("consumer sends %s %s %s to %s", id, method, uri, frontend.name)
	defer func() {
		system.record.note("consumer has for %s: %d %v after %s", id, result.status, result.err, result.at.Sub(result.sentAt).Round(time.Millisecond))
	}()
	connection, err := net.DialTimeout("tcp", frontend.address(frontendPort), time.Second)
	if err != nil {
		result.err, result.at = err, time.Now()
		return result
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(budget + 2*time.Second))
	var message bytes.Buffer
	fmt.Fprintf(&message, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nConnection: close\r\n", method, uri, host, id, budget.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&message, "Content-Length: %d\r\n", len(body))
	}
	message.WriteString("\r\n")
	message.Write(body)
	if _, err := connection.Write(message.Bytes()); err != nil {
		result.err, result.at = err, time.Now()
		return result
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: method})
	if err == nil {
		result.status, result.header = response.StatusCode, response.Header
		result.body, err = io.ReadAll(response.Body)
	}
	result.err, result.at = err, time.Now()
	return result
}

// resolve asks a directory which addresses to use.
func (system *system) resolve(directory *machine, host, zone string) (addresses []string, ttl float64, err error) {
	response, err := system.client.Get(fmt.Sprintf("http://%s/v1/resolve?name=%s&region=%s&zone=%s", directory.address(directoryPort), host, region(zone), zone))
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	var decoded struct {
		Addrs []string `json:"addrs"`
		TTL   float64  `json:"ttl_s"`
	}
	err = json.NewDecoder(response.Body).Decode(&decoded)
	return decoded.Addrs, decoded.TTL, err
}
