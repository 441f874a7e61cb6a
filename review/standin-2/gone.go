package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	drainSpan   = 3 * time.Second
	contactSpan = 5 * time.Second
)

func init() {
	cases["gone"] = playGone
}

// ping returns the body of a heartbeat that the leaf sends now.
func (leaf *leaf) ping() []byte {
	body, _ := json.Marshal(map[string]any{
		"service": leaf.service, "address": leaf.listener.Addr().String(), "zone": leaf.zone, "version": "v1", "capacity": leaf.capacity,
		"state": "ready", "warmup-left-ms": 0, "sequence": leaf.sequence.Add(1), "born": leaf.born,
	})
	return body
}

// deliver sends a call of a leaf to one control machine and reports whether it is acknowledged.
func (deployment *deployment) deliver(control *machine, method, id string, body []byte) bool {
	client := &http.Client{Timeout: time.Second}
	request, _ := http.NewRequest(method, "http://"+deployment.port(control, portControl)+"/v1/instances/"+id, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// playGone has a leaf start again under the id that it had. Its first boot sends its pings to one control machine, the second one
// to another. Then the leaf leaves, with DELETE at the control machine that knows its first boot.
func playGone(trouble bool) verdict {
	const host = "desk.example"
	deployment := newDeployment([][2]string{{"nord-a", "nord"}, {"sud-a", "sud"}, {"ouest-a", "ouest"}}, []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places"},
		"contact-ms = 5000\ndrain-ms = 3000\ngrace-s = 6\nttl_max_s = 5\nconfig-apply-ms = 3000\nretry-budget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 52\n")
	defer deployment.stop()
	for zone := range 3 {
		deployment.add(true, zone)
	}
	for zone := range 3 {
		deployment.add(false, zone)
	}
	deployment.startAll()
	deployment.configure(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "lookup", "host": host, "path-prefix": "/slips/", "type": "safe", "timeout-ms": 3000, "target-latency-ms": 300, "priority": 1, "service": "atelier", "max-attempts": 2, "allowed-regions": []string{}}},
		"services": []map[string]any{{"name": "atelier", "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false, "warmup-s": 0, "warmup-per-s": 0}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	})
	fronts := deployment.fronts()
	var gone atomic.Int64
	var lock sync.Mutex
	late, last := 0, time.Duration(0)
	for index := range 6 {
		startLeaf(110+index, sprintf("i-stays-%d", index+1), "atelier", "sud-a").keepAnnouncing(deployment)
	}
	first, second := deployment.controls()[1], deployment.controls()[0]
	leaves := startLeaf(102, "i-leaves", "atelier", "nord-a")
	stopPinging := func() {}
	ping := func(leaf *leaf, control *machine) {
		go leaf.serve()
		ended, stopped := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(stopped)
			for {
				if !deployment.deliver(control, http.MethodPut, leaf.id, leaf.ping()) {
					record.line("leaf      a ping of %s (born %d) is not acknowledged by %s", leaf.id, leaf.born, control.name)
				}
				select {
				case <-ended:
					return
				case <-time.After(heartbeatInterval):
				}
			}
		}()
		stopPinging = func() { close(ended); <-stopped }
	}
	deployment.awaitReady(fronts...)
	if trouble {
		record.line("leaf      %s (born %d) starts, and sends its pings to %s", leaves.id, leaves.born, first.name)
		ping(leaves, first)
		time.Sleep(4 * time.Second)
		stopPinging()
		leaves.crash()
		record.line("leaf      %s (born %d) has crashed", leaves.id, leaves.born)
		time.Sleep(2 * time.Second)
		leaves = startLeaf(103, "i-leaves", "atelier", "nord-a")
	}
	leaves.onRun = func(_ net.Conn, request *http.Request, _ []byte) {
		acknowledged := gone.Load()
		if acknowledged == 0 {
			return
		}
		after := time.Since(time.Unix(0, acknowledged))
		record.line("leaf      %s (born %d) gets %s, %.3f s after its end was acknowledged", leaves.id, leaves.born, request.Header.Get("Request-Id"), after.Seconds())
		lock.Lock()
		defer lock.Unlock()
		if after > drainSpan {
			late++
			last = max(last, after)
		}
	}
	record.line("leaf      %s (born %d) starts, and sends its pings to %s", leaves.id, leaves.born, second.name)
	ping(leaves, second)
	time.Sleep(contactSpan + 3*time.Second)
	var done atomic.Bool
	var senders sync.WaitGroup
	for _, front := range fronts {
		senders.Go(func() {
			consumer := newConsumer()
			for !done.Load() {
				sent := send(consumer, deployment.port(front, portFrontend), host, http.MethodGet, "/slips/1", nil, 3*time.Second, nil)
				record.line("consumer  at %s: %s", front.name, sent.String())
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	stopPinging()
	deployment.deliver(second, http.MethodPut, leaves.id, leaves.ping())
	if !deployment.deliver(first, http.MethodDelete, leaves.id, nil) {
		unable("the leaf's end was not acknowledged")
	}
	gone.Store(time.Now().UnixNano())
	record.line("leaf      %s (born %d) has sent DELETE, which %s has acknowledged; it serves on for a while", leaves.id, leaves.born, first.name)
	time.Sleep(9 * time.Second)
	done.Store(true)
	senders.Wait()
	lock.Lock()
	defer lock.Unlock()
	return verdict{broken: late > 0, text: sprintf("DRAIN: %d requests reached the leaf later than %s after its end was acknowledged, the last one %.2f s after it", late, drainSpan, last.Seconds())}
}
