// A leaf: it serves requests, announces itself to control and leaves, as the pages say.

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// arrival is a request that a leaf has begun to run.
	arrival struct {
		id, leaf  string
		born      int64
		at        time.Time
		requestID string
		tenant    string
	}

	// leaf is one boot of a leaf.
	leaf struct {
		system    *system
		id        string
		service   string
		address   string
		zone      string
		born      int64
		sequence  atomic.Uint64
		node      int
		server    *http.Server
		listener  net.Listener
		stopped   chan struct{}
		stopOnce  sync.Once
		work      time.Duration
		onRequest func(arrival arrival)
		// coldUntil is when the leaf is warm, in Unix nanoseconds.
		coldUntil atomic.Int64
		// slots holds an element for each request that is being run.
		slots chan struct{}
	}
)

const leafSlots = 3

// startLeaf starts a leaf, which listens at the address, or at a free one if that is "". It announces itself to the control
// machine with the number node first.
func startLeaf(system *system, id, service, zone, address string, node int, work time.Duration, onRequest func(arrival arrival)) *leaf {
	if address == "" {
		address = system.prefix + "100:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("listen as a leaf: %v", err)
	}
	leaf := &leaf{system: system, id: id, service: service, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), node: node, listener: listener, stopped: make(chan struct{}), work: work, onRequest: onRequest, slots: make(chan struct{}, leafSlots)}
	leaf.server = &http.Server{Handler: http.HandlerFunc(leaf.serve)}
	go func() { _ = leaf.server.Serve(listener) }()
	system.record.write("leaf %s (born %d) of %s listens at %s", id, leaf.born, service, leaf.address)
	return leaf
}

func (leaf *leaf) serve(writer http.ResponseWriter, request *http.Request) {
	requestID := request.Header.Get("Request-Id")
	if requestID != "" {
		writer.Header().Set("Request-Id", requestID)
	}
	writer.Header().Set("Keep-Alive", "timeout=10")
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != leaf.id {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/health" {
		writer.Header().Set("Instance-Id", leaf.id)
		return
	}
	leaf.slots <- struct{}{}
	defer func() { <-leaf.slots }()
	leaf.onRequest(arrival{leaf: leaf.id, born: leaf.born, at: time.Now(), requestID: requestID, tenant: request.Header.Get("Tenant")})
	time.Sleep(leaf.work)
	writer.Header().Set("Server-Stamp", fmt.Sprintf("%x.01.001.3.0.%s", len(requestID), requestID))
	_, _ = writer.Write([]byte("ok\n"))
}

// ping announces the leaf at one control machine.
func (leaf *leaf) ping(control *machine, state string, sequence uint64) bool {
	body := encode(map[string]any{"service": leaf.service, "address": leaf.address, "zone": leaf.zone, "version": "v1", "capacity": leafSlots, "state": state, "warmup-left-ms": max(0, time.Until(leaf.warmAt()).Milliseconds()), "sequence": sequence, "born": leaf.born})
	status, err := leaf.system.call(control, http.MethodPut, "/v1/instances/"+leaf.id, body)
	leaf.system.record.write("leaf %s (born %d): ping %d %s to %s: status %d %s", leaf.id, leaf.born, sequence, state, control.name, status, errorText(err))
	return err == nil && status/100 == 2
}

// announce pings until the leaf stops to announce itself. It stays with a control machine until a ping fails there, and then
// calls the next one.
func (leaf *leaf) announce() {
	for {
		for range leaf.system.controls {
			if leaf.ping(leaf.system.controls[leaf.node%len(leaf.system.controls)], "ready", leaf.sequence.Add(1)) {
				break
			}
			leaf.node++
		}
		select {
		case <-leaf.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// silence ends the announcements.
func (leaf *leaf) silence() {
	leaf.stopOnce.Do(func() { close(leaf.stopped) })
}

// withdraw sends the leaf's end to the control machines in turn, beginning with the one that has the number node, until one
// acknowledges it. It returns the time of the acknowledgement.
func (leaf *leaf) withdraw(node int) time.Time {
	leaf.silence()
	for range 12 {
		control := leaf.system.controls[node%len(leaf.system.controls)]
		status, err := leaf.system.call(control, http.MethodDelete, "/v1/instances/"+leaf.id, nil)
		leaf.system.record.write("leaf %s (born %d): DELETE to %s: status %d %s", leaf.id, leaf.born, control.name, status, errorText(err))
		if err == nil && status/100 == 2 {
			return time.Now()
		}
		node++
	}
	cannotRun("no control machine acknowledged the end of leaf %s", leaf.id)
	return time.Time{}
}

// exit ends the leaf's process.
func (leaf *leaf) exit() {
	leaf.silence()
	_ = leaf.server.Close()
	leaf.system.record.write("leaf %s (born %d) exits", leaf.id, leaf.born)
}

// becomeCold makes the leaf cold for a span from now on.
func (leaf *leaf) becomeCold(span time.Duration) {
	leaf.coldUntil.Store(time.Now().Add(span).UnixNano())
}

// warmAt returns when the leaf is warm.
func (leaf *leaf) warmAt() time.Time {
	return time.Unix(0, leaf.coldUntil.Load())
}
