package main

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	coldLeafs      = 9
	coldPerSecond  = 40.0
	coldMultiplier = 1.5
	coldSlack      = 5.0
	coldSpan       = 8 * time.Second

	// lossSpan is how long all front machines are lost, and startSpacing the time between their starts afterwards.
	lossSpan     = 5 * time.Second
	startSpacing = 35 * time.Millisecond
)

type (
	// timedRun is a run of a request: when the consumer sent it, and when it arrived at the leaf.
	timedRun struct {
		sentAt, ranAt time.Time
	}
)

func init() {
	cases["cold"] = playCold
}

// playCold has all front machines lost for some seconds and come back together, while the only leaf of a service is cold, and
// counts how many requests the leaf gets in a second.
func playCold(trouble bool) verdict {
	const host = "desk.example"
	deployment := newDeployment([][2]string{{"nord-a", "nord"}, {"sud-a", "sud"}, {"ouest-a", "ouest"}}, []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places"},
		"contact-ms = 5000\ndrain-ms = 3000\ngrace-s = 6\nttl_max_s = 5\nconfig-apply-ms = 3000\nretry-budget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 52\nwarmup-multiplier = 1.5\nwarmup-slack = 5\n")
	defer deployment.stop()
	for zone := range 3 {
		deployment.add(true, zone)
	}
	for index := range 8 {
		deployment.add(false, index%3)
	}
	deployment.startAll()
	deployment.configure(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "lookup", "host": host, "path-prefix": "/slips/", "type": "safe", "timeout-ms": 3000, "target-latency-ms": 300, "priority": 1, "service": "atelier", "max-attempts": 1, "allowed-regions": []string{}}},
		"services": []map[string]any{{"name": "atelier", "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false, "warmup-s": coldSpan.Seconds(), "warmup-per-s": coldPerSecond}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	})
	var lock sync.Mutex
	sentAt := map[string]time.Time{}
	arrivals := map[string][]timedRun{}
	var coldUntil atomic.Int64
	var leafs []*leaf
	for index := range coldLeafs {
		leaf := startLeaf(101+index, "i-"+newID()[:8], "atelier", deployment.zones[index%3][0])
		leaf.onRun = func(_ net.Conn, request *http.Request, _ []byte) {
			now, id := time.Now(), request.Header.Get("Request-Id")
			if now.UnixNano() >= coldUntil.Load() {
				return
			}
			lock.Lock()
			arrivals[leaf.id] = append(arrivals[leaf.id], timedRun{sentAt: sentAt[id], ranAt: now})
			lock.Unlock()
			record.line("leaf      %s is cold and gets %s", leaf.id, id)
		}
		leaf.keepAnnouncing(deployment)
		leafs = append(leafs, leaf)
	}
	fronts := deployment.fronts()
	deployment.awaitReady(fronts...)
	time.Sleep(3 * time.Second)
	var done atomic.Bool
	var senders sync.WaitGroup
	for _, front := range fronts {
		for range 8 {
			senders.Go(func() {
				consumer := newConsumer()
				for !done.Load() {
					id := newID()
					lock.Lock()
					sentAt[id] = time.Now()
					lock.Unlock()
					sent := send(consumer, deployment.port(front, portFrontend), host, http.MethodGet, "/slips/1", nil, 3*time.Second, map[string]string{"Request-Id": id})
					if sent.err == nil && sent.status == http.StatusOK {
						record.line("consumer  %s at %s", sent.String(), front.name)
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		record.line("platform  all front machines lose power")
		for _, front := range fronts {
			front.signal(syscall.SIGKILL)
		}
		for _, front := range fronts {
			<-front.exited
		}
	}
	time.Sleep(lossSpan - time.Second)
	for _, leaf := range leafs {
		leaf.warmup(coldSpan)
		if !leaf.announce(deployment, "ready") {
			unable("the leaf's ping was not acknowledged")
		}
	}
	coldUntil.Store(time.Now().Add(coldSpan).UnixNano())
	record.line("leafs     all are cold again for %s, as their pings say, which are acknowledged", coldSpan)
	time.Sleep(time.Second)
	for _, front := range fronts {
		if trouble {
			record.line("platform  %s is back", front.name)
			deployment.start(front)
		}
		time.Sleep(startSpacing)
	}
	time.Sleep(coldSpan)
	done.Store(true)
	senders.Wait()
	lock.Lock()
	defer lock.Unlock()
	bound := coldPerSecond*coldMultiplier + coldSlack
	most, id, from := 0, "", time.Time{}
	for leafID, got := range arrivals {
		count, at := mostIn(time.Second, got)
		record.line("leaf      %s got at most %d requests in one second while it was cold", leafID, count)
		if count > most {
			most, id, from = count, leafID, at
		}
	}
	text := "FAILBACK: the cold leaf %s got %d requests in one second (from %.2f s on), that were sent and arrived in it; %.0f are allowed"
	return verdict{broken: float64(most) > bound, text: sprintf(text, id, most, from.Sub(record.started).Seconds(), bound)}
}

// mostIn returns the most requests that were both sent and arrived within one span, and its start.
func mostIn(span time.Duration, all []timedRun) (most int, from time.Time) {
	slices.SortFunc(all, func(left, right timedRun) int { return left.sentAt.Compare(right.sentAt) })
	for first := range all {
		count := 0
		for _, run := range all[first:] {
			if run.ranAt.Sub(all[first].sentAt) < span {
				count++
			}
		}
		if count > most {
			most, from = count, all[first].sentAt
		}
	}
	return most, from
}
