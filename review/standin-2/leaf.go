// The leafs: small HTTP servers that announce themselves, echo the request's id and stamp their answers, as PROTOCOL.md says.

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
)

type (
	// leaf is one boot of a leaf.
	leaf struct {
		id, service, zone string
		born              int64
		capacity          int
		listener          net.Listener
		sequence          atomic.Int64
		// run handles a request; nil answers at once.
		run func(connection net.Conn, request *http.Request, body []byte) (status int, answer []byte)
		// accept is asked for each new connection, and before each request on it; false makes the connection silent.
		accept func(connection net.Conn, openedAt time.Time) bool
		// onRun is told of each request that it runs.
		onRun func(connection net.Conn, request *http.Request, body []byte)
		// coldUntil is the end of its cold start, in Unix nanoseconds.
		coldUntil atomic.Int64
		stopped   atomic.Bool
		lock      sync.Mutex
		open      map[net.Conn]bool
	}
)

// startLeaf starts a leaf at a free port of an address of its own.
func startLeaf(number int, id, service, zone string) *leaf {
	listener, err := net.Listen("tcp", address(number)+":0")
	if err != nil {
		unable("leaf: %v", err)
	}
	started := &leaf{id: id, service: service, zone: zone, born: time.Now().UnixMilli(), capacity: 50, listener: listener, open: map[net.Conn]bool{}}
	return started
}

func (leaf *leaf) serve() {
	for {
		connection, err := leaf.listener.Accept()
		if err != nil {
			return
		}
		leaf.lock.Lock()
		leaf.open[connection] = true
		leaf.lock.Unlock()
		go leaf.handle(connection)
	}
}

func (leaf *leaf) handle(connection net.Conn) {
	defer func() {
		_ = connection.Close()
		leaf.lock.Lock()
		delete(leaf.open, connection)
		leaf.lock.Unlock()
	}()
	openedAt := time.Now()
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
		if leaf.accept != nil && !leaf.accept(connection, openedAt) {
			// The connection has gone silent: nothing arrives any more, and nothing is sent.
			_, _ = io.Copy(io.Discard, reader)
			return
		}
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != leaf.id {
			leaf.answer(connection, request, http.StatusMisdirectedRequest, "Not-Executed: 1\r\n", nil)
			continue
		}
		if request.URL.Path == "/health" {
			leaf.answer(connection, request, http.StatusOK, "Instance-Id: "+leaf.id+"\r\n", nil)
			continue
		}
		if leaf.onRun != nil {
			leaf.onRun(connection, request, body)
		}
		status, answer := http.StatusOK, []byte("run by "+leaf.id)
		if leaf.run != nil {
			status, answer = leaf.run(connection, request, body)
		}
		leaf.answer(connection, request, status, fmt.Sprintf("Server-Stamp: %s.%s.%d\r\n", leaf.id, request.Header.Get("Request-Id"), status), answer)
	}
}

func (leaf *leaf) answer(connection net.Conn, request *http.Request, status int, header string, body []byte) {
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), request.Header.Get("Request-Id"), header, len(body))
	buffer.Write(body)
	_, _ = connection.Write(buffer.Bytes())
}

// announce sends one heartbeat to the first control machine that acknowledges it.
func (leaf *leaf) announce(deployment *deployment, state string) bool {
	body, _ := json.Marshal(map[string]any{
		"service": leaf.service, "address": leaf.listener.Addr().String(), "zone": leaf.zone, "version": "v1", "capacity": leaf.capacity,
		"state": state, "warmup-left-ms": max(0, time.Until(time.Unix(0, leaf.coldUntil.Load())).Milliseconds()), "sequence": leaf.sequence.Add(1), "born": leaf.born,
	})
	client := &http.Client{Timeout: time.Second}
	for _, control := range deployment.controls() {
		request, _ := http.NewRequest(http.MethodPut, "http://"+deployment.port(control, portControl)+"/v1/instances/"+leaf.id, bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// keepAnnouncing starts the leaf's server and its heartbeats, which last until it stops.
func (leaf *leaf) keepAnnouncing(deployment *deployment) {
	go leaf.serve()
	go func() {
		for !leaf.stopped.Load() {
			leaf.announce(deployment, "ready")
			time.Sleep(heartbeatInterval)
		}
	}()
}

// crash ends a leaf as a killed process does: its listener and its connections are closed, and it says nothing.
func (leaf *leaf) crash() {
	leaf.stopped.Store(true)
	_ = leaf.listener.Close()
	leaf.lock.Lock()
	defer leaf.lock.Unlock()
	for connection := range leaf.open {
		_ = connection.(*net.TCPConn).SetLinger(0)
		_ = connection.Close()
	}
}

// sender returns the machine whose process holds the other end of a connection, by the kernel's list of sockets.
func (deployment *deployment) sender(connection net.Conn) *machine {
	remote, local := hexAddress(connection.RemoteAddr()), hexAddress(connection.LocalAddr())
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	inode := ""
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1] == remote && fields[2] == local {
			inode = fields[9]
		}
	}
	for _, machine := range deployment.machines {
		folder := fmt.Sprintf("/proc/%d/fd", machine.command.Process.Pid)
		entries, _ := os.ReadDir(folder)
		for _, entry := range entries {
			if link, err := os.Readlink(filepath.Join(folder, entry.Name())); err == nil && link == "socket:["+inode+"]" {
				return machine
			}
		}
	}
	return nil
}

func hexAddress(address net.Addr) string {
	tcp := address.(*net.TCPAddr)
	ip := tcp.IP.To4()
	return strings.ToUpper(fmt.Sprintf("%02x%02x%02x%02x:%04x", ip[3], ip[2], ip[1], ip[0], tcp.Port))
}

// warmup makes a leaf say that it is cold for a time.
func (leaf *leaf) warmup(span time.Duration) {
	leaf.coldUntil.Store(time.Now().Add(span).UnixNano())
}
