package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// run is a request that a leaf began to run.
	run struct {
		leaf   *leaf
		id     string
		method string
		uri    string
		body   []byte
		header http.Header
		at     time.Time
	}

	// leaf is a stand-in for one leaf: it announces itself, and runs one request at a time on a connection.
	leaf struct {
		system   *system
		id       string
		service  string
		zone     string
		born     int64
		listener net.Listener
		capacity int
		// handle answers a request; nil answers with success after work.
		handle func(leaf *leaf, request *run, connection net.Conn)
		work   time.Duration
		state  atomic.Value
		number atomic.Uint64
		stop   chan struct{}
		once   sync.Once

		lock  sync.Mutex
		runs  []run
		conns map[net.Conn]bool
	}
)

func newLeaf(system *system, id, service, zone string, work time.Duration) (*leaf, error) {
	ip := strings.TrimSuffix(system.cores[0].ip, ".10") + ".250"
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	leaf := &leaf{system: system, id: id, service: service, zone: zone, born: time.Now().UnixMilli(), listener: listener, capacity: 8, work: work, stop: make(chan struct{}), conns: map[net.Conn]bool{}}
	leaf.state.Store("ready")
	go leaf.accept()
	go leaf.announce()
	return leaf, nil
}

func (leaf *leaf) accept() {
	for {
		connection, err := leaf.listener.Accept()
		if err != nil {
			return
		}
		leaf.lock.Lock()
		leaf.conns[connection] = true
		leaf.lock.Unlock()
		go leaf.serve(connection)
	}
}

func (leaf *leaf) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != leaf.id {
			fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", leaf.id)
			continue
		}
		if request.URL.Path == "/health" {
			fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", leaf.id)
			continue
		}
		started := run{leaf: leaf, id: request.Header.Get("Request-Id"), method: request.Method, uri: request.RequestURI, body: body, header: request.Header, at: time.Now()}
		if leaf.handle != nil {
			leaf.handle(leaf, &started, connection)
			continue
		}
		leaf.began(&started)
		time.Sleep(leaf.work)
		leaf.succeed(&started, connection)
	}
}

// began records that the leaf began to run a request.
func (leaf *leaf) began(started *run) {
	leaf.lock.Lock()
	leaf.runs = append(leaf.runs, *started)
	leaf.lock.Unlock()
	leaf.system.record.note("%s (%s) runs %s %s %s, time budget %s", leaf.id, leaf.zone, started.id, started.method, started.uri, started.header.Get("Deadline-Ms"))
}

func (leaf *leaf) succeed(started *run, connection net.Conn) {
	body := fmt.Sprintf("%s by %s", started.id, leaf.id)
	fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s.%s\r\nContent-Length: %d\r\n\r\n%s", started.id, leaf.id, started.id, len(body), body)
}

func (leaf *leaf) takenRuns() []run {
	leaf.lock.Lock()
	defer leaf.lock.Unlock()
	return append([]run{}, leaf.runs...)
}

// announce sends a heartbeat every 1.2 s to a core machine, and to the next one if it isn't acknowledged.
func (leaf *leaf) announce() {
	current := rand.IntN(len(leaf.system.cores))
	for {
		acknowledged := leaf.beat(&current)
		pause := 1200 * time.Millisecond
		if !acknowledged {
			pause = 200 * time.Millisecond
		}
		select {
		case <-leaf.stop:
			return
		case <-time.After(pause):
		}
	}
}

func (leaf *leaf) beat(current *int) bool {
	core := leaf.system.cores[*current%len(leaf.system.cores)]
	body := encode(map[string]any{"service": leaf.service, "address": leaf.listener.Addr().String(), "zone": leaf.zone, "version": "v1", "capacity": leaf.capacity, "state": leaf.state.Load(), "warmup-left-ms": 0, "sequence": leaf.number.Add(1), "born": leaf.born})
	status, err := leaf.system.call(http.MethodPut, "http://"+core.address(controlPort)+"/v1/instances/"+leaf.id, body, time.Second)
	if err == nil && status == 200 {
		return true
	}
	*current++
	return false
}

// close ends the leaf as a crash does.
func (leaf *leaf) close() {
	leaf.once.Do(func() { close(leaf.stop) })
	_ = leaf.listener.Close()
	leaf.lock.Lock()
	defer leaf.lock.Unlock()
	for connection := range leaf.conns {
		_ = connection.Close()
	}
}
