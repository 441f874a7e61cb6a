package main

import (
	crand "crypto/rand"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	cardBytes = 200_000
	// One leaf of so many crashes at a time.
	homeLeafs   = 7
	homeCrashes = 4
)

func init() {
	cases["home"] = playHome
}

// playHome sends requests with large random bodies on a route that is at home in one region, while leafs there crash one after the
// other. Machines in other regions have no consumers and no leafs in this case, so that what they read shows whether they get the
// bodies.
func playHome(trouble bool) verdict {
	const host = "desk.example"
	deployment := newDeployment([][2]string{{"nord-a", "nord"}, {"sud-a", "sud"}, {"ouest-a", "ouest"}}, []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places"},
		"contact-ms = 5000\ndrain-ms = 3000\ngrace-s = 6\nttl_max_s = 5\nconfig-apply-ms = 3000\nretry-budget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 52\n")
	defer deployment.stop()
	for zone := range 3 {
		deployment.add(true, zone)
	}
	for range 2 {
		for zone := range 3 {
			deployment.add(false, zone)
		}
	}
	deployment.startAll()
	deployment.configure(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "card", "host": host, "path-prefix": "/cards/", "type": "unsafe", "timeout-ms": 3000, "target-latency-ms": 300, "priority": 1, "service": "atelier", "max-attempts": 2, "allowed-regions": []string{"nord"}}},
		"services": []map[string]any{{"name": "atelier", "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false, "warmup-s": 0, "warmup-per-s": 0}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	})
	newLeaf := func(index, boot int) *leaf {
		leaf := startLeaf(101+index, sprintf("i-nord-a-%d-%d", index+1, boot), "atelier", "nord-a")
		leaf.run = func(_ net.Conn, request *http.Request, body []byte) (int, []byte) {
			record.line("leaf      %s runs %s with a body of %d bytes", leaf.id, request.Header.Get("Request-Id"), len(body))
			time.Sleep(20 * time.Millisecond)
			return http.StatusOK, []byte("card filed")
		}
		leaf.keepAnnouncing(deployment)
		return leaf
	}
	var leafs []*leaf
	for index := range homeLeafs {
		leafs = append(leafs, newLeaf(index, 1))
	}
	deployment.awaitReady(deployment.fronts()...)
	time.Sleep(3 * time.Second)
	var nord, others []*machine
	for _, front := range deployment.fronts() {
		if front.region == "nord" {
			nord = append(nord, front)
		} else {
			others = append(others, front)
		}
	}
	var done atomic.Bool
	var senders sync.WaitGroup
	var asked atomic.Int64
	for index := range 6 {
		senders.Go(func() {
			consumer := newConsumer()
			front := nord[index%len(nord)]
			for !done.Load() {
				body := make([]byte, cardBytes)
				_, _ = crand.Read(body)
				asked.Add(1)
				sent := send(consumer, deployment.port(front, portFrontend), host, http.MethodPost, "/cards/1", body, 3*time.Second, nil)
				record.line("consumer  in nord at %s: %s", front.name, sent.String())
				time.Sleep(time.Duration(100+rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	before := map[string]int64{}
	for _, front := range others {
		before[front.name] = bytesRead(front)
	}
	for index := range homeCrashes {
		if trouble {
			record.line("leaf      %s crashes", leafs[index].id)
			leafs[index].crash()
		}
		time.Sleep(4 * time.Second)
		if trouble {
			leafs[index] = newLeaf(index, 2)
			record.line("leaf      %s is back", leafs[index].id)
		}
		time.Sleep(5 * time.Second)
	}
	most, name := int64(0), ""
	for _, front := range others {
		count := bytesRead(front) - before[front.name]
		record.line("platform  %s in %s has read %d bytes meanwhile", front.name, front.region, count)
		if count > most {
			most, name = count, front.name
		}
	}
	done.Store(true)
	senders.Wait()
	text := "HOME: %d requests with bodies of %d bytes, by consumers in nord, on a route at home in nord; a machine in another region (%s) has read %d bytes, the bodies of %d of them at least"
	return verdict{broken: most >= cardBytes, text: sprintf(text, asked.Load(), cardBytes, name, most, most/cardBytes)}
}

// bytesRead returns the number of bytes that the process of a machine has read so far, from its sockets and files.
func bytesRead(machine *machine) int64 {
	data, err := os.ReadFile(sprintf("/proc/%d/io", machine.command.Process.Pid))
	if err != nil {
		unable("bytes read: %v", err)
	}
	text, _, _ := strings.Cut(string(data), "\n")
	count, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimPrefix(text, "rchar:")), 10, 64)
	return count
}
