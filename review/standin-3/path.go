// UNASKED: a leaf gets a request with another path than the consumer sent.

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// doubledPath begins with two slashes, so that the prefix "/" begins it.
const doubledPath = "//goka902/2f?shop=7"

// rawLeaf serves requests without a look at their paths, and notes the request lines of those that it runs.
type rawLeaf struct {
	id    string
	lock  sync.Mutex
	lines map[string]string
}

func (rawLeaf *rawLeaf) serve(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go rawLeaf.serveConnection(connection)
	}
}

func (rawLeaf *rawLeaf) serveConnection(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		requestID, expected := "", ""
		for {
			header, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			name, value, found := strings.Cut(strings.TrimSpace(header), ":")
			if !found {
				break
			}
			switch http.CanonicalHeaderKey(name) {
			case "Request-Id":
				requestID = strings.TrimSpace(value)
			case "Expect-Instance":
				expected = strings.TrimSpace(value)
			}
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: 4.01.001.3.0.%s\r\nContent-Length: 3\r\n\r\nok\n", requestID, requestID)
		if expected != "" && expected != rawLeaf.id {
			answer = fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", requestID)
		} else {
			rawLeaf.lock.Lock()
			rawLeaf.lines[requestID] = strings.TrimRight(line, "\r\n")
			rawLeaf.lock.Unlock()
		}
		if _, err := connection.Write([]byte(answer)); err != nil {
			return
		}
	}
}

func runPath(record *record, folder string, trouble bool) bool {
	system := newSystem(record, folder, 3)
	defer system.stop()
	if system.order("PUT", "/v1/config", manifest(1, "kafi81c", "unsafe"), 20*time.Second) == nil {
		cannotRun("the first manifest wasn't acknowledged")
	}
	raw := &rawLeaf{id: "i-7f3a91c0", lines: map[string]string{}}
	listener, err := net.Listen("tcp", system.prefix+"100:0")
	if err != nil {
		cannotRun("listen as a leaf: %v", err)
	}
	defer func() { _ = listener.Close() }()
	go raw.serve(listener)
	announced := &leaf{system: system, id: raw.id, service: "kafi81c", zone: zones[0], address: listener.Addr().String(), born: time.Now().UnixMilli(), stopped: make(chan struct{})}
	go announced.announce()
	defer announced.silence()
	system.awaitReady(20 * time.Second)
	time.Sleep(contactSpan + time.Second)
	if trouble {
		// The manifest changes: a route for all other paths of the host is added.
		if system.order("PUT", "/v1/config", manifestWithAll(2, "kafi81c"), 10*time.Second) == nil {
			cannotRun("the second manifest wasn't acknowledged")
		}
		time.Sleep(4 * time.Second)
	}
	sent := map[string]string{}
	for range 10 {
		for _, front := range system.fronts {
			for _, target := range []string{path, doubledPath} {
				answer := send(system, front, http.MethodGet, target)
				sent[answer.requestID] = target
			}
		}
	}
	raw.lock.Lock()
	defer raw.lock.Unlock()
	ran, broken := 0, 0
	for requestID, target := range sent {
		line, known := raw.lines[requestID]
		if !known {
			continue
		}
		ran++
		if expected := "GET " + target + " HTTP/1.1"; line != expected {
			broken++
			record.write("request %s was sent as %q, and the leaf ran it as %q", requestID, expected, line)
		}
	}
	record.write("%d of %d requests ran, %d of them with another path", ran, len(sent), broken)
	if ran == 0 {
		cannotRun("nothing ran")
	}
	return broken > 0
}
