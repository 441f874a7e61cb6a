package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	resolveInterval = 100 * time.Millisecond
)

func init() {
	cases["directory"] = playDirectory
}

// resolve asks a front machine where to connect, as a consumer does.
func (deployment *deployment) resolve(front *machine, host, region, zone string) ([]string, bool) {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + deployment.port(front, portResolve) + "/v1/resolve?name=" + host + "&region=" + region + "&zone=" + zone)
	if err != nil {
		return nil, false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	var answer struct {
		Addrs []string `json:"addrs"`
	}
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(body, &answer) != nil || len(answer.Addrs) == 0 {
		return nil, false
	}
	return answer.Addrs, true
}

// playDirectory stops and starts one front machine as planned, and follows where the directory sends the consumers of its zone with
// requests on a route that is at home in their region. The region's other front machine runs all the while.
func playDirectory(trouble bool) verdict {
	const host = "desk.example"
	zones := [][2]string{{"nord-a", "nord"}, {"nord-b", "nord"}, {"sud-a", "sud"}, {"sud-b", "sud"}, {"ouest-a", "ouest"}, {"ouest-b", "ouest"}}
	deployment := newDeployment(zones, []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places"},
		"contact-ms = 5000\ndrain-ms = 3000\ngrace-s = 6\nttl_max_s = 5\nconfig-apply-ms = 3000\nretry-budget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 52\n")
	defer deployment.stop()
	for _, zone := range []int{0, 2, 4} {
		deployment.add(true, zone)
	}
	for zone := range zones {
		deployment.add(false, zone)
	}
	deployment.startAll()
	deployment.configure(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "card", "host": host, "path-prefix": "/cards/", "type": "safe", "timeout-ms": 3000, "target-latency-ms": 300, "priority": 1, "service": "atelier", "max-attempts": 2, "allowed-regions": []string{"nord"}}},
		"services": []map[string]any{{"name": "atelier", "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false, "warmup-s": 0, "warmup-per-s": 0}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	})
	for index, zone := range []string{"nord-a", "nord-b"} {
		leaf := startLeaf(101+index, "i-"+zone, "atelier", zone)
		leaf.run = func(_ net.Conn, request *http.Request, body []byte) (int, []byte) {
			record.line("leaf      %s runs %s with a body of %d bytes", leaf.id, request.Header.Get("Request-Id"), len(body))
			return http.StatusOK, []byte("card filed")
		}
		leaf.keepAnnouncing(deployment)
	}
	fronts := deployment.fronts()
	deployment.awaitReady(fronts...)
	time.Sleep(3 * time.Second)
	region := map[string]*machine{}
	for _, front := range fronts {
		region[deployment.port(front, portFrontend)] = front
	}
	stopped, other := fronts[0], fronts[1]
	consumer := newConsumer()
	var lock sync.Mutex
	var total, away, served int
	until := time.Now().Add(14 * time.Second)
	var planned sync.WaitGroup
	planned.Go(func() {
		time.Sleep(2 * time.Second)
		if !trouble {
			return
		}
		record.line("platform  stops %s with SIGTERM, as planned", stopped.name)
		stopped.signal(syscall.SIGTERM)
		<-stopped.exited
		record.line("platform  %s has ended and is started again", stopped.name)
		deployment.start(stopped)
	})
	for time.Now().Before(until) {
		// The consumer of nord-a asks the nearest node that answers: first those of its region.
		var addresses []string
		var asked *machine
		for _, node := range []*machine{stopped, other, fronts[2]} {
			if found, answered := deployment.resolve(node, host, "nord", "nord-a"); answered {
				addresses, asked = found, node
				break
			}
		}
		if asked == nil {
			time.Sleep(resolveInterval)
			continue
		}
		chosen := addresses[rand.IntN(len(addresses))]
		sent := send(consumer, chosen, host, http.MethodPost, "/cards/1", []byte("a card"), 3*time.Second, nil)
		named := []string{}
		for _, address := range addresses {
			named = append(named, region[address].name)
		}
		slices.Sort(named)
		record.line("consumer  in nord-a: the directory at %s names %v; sends to %s: %s", asked.name, named, region[chosen].name, sent.String())
		lock.Lock()
		total++
		if region[chosen].region != "nord" {
			away++
		}
		if sent.status == http.StatusOK {
			served++
		}
		lock.Unlock()
		time.Sleep(resolveInterval)
	}
	planned.Wait()
	record.line("platform  %s ran all the while", other.name)
	text := "HOME: of %d requests of a consumer in nord on a route at home in nord (%d served), %d were sent to machines in other regions, because the directory named them; more than 1 in 20 is too many"
	return verdict{broken: away*20 > total, text: sprintf(text, total, served, away)}
}
