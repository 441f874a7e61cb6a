package main

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	quotaRate    = 2.0
	quotaBurst   = 4.0
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0

	// restartDelay is how long the platform takes to restart a process that was killed, and killInterval the time between two kills.
	restartDelay  = 200 * time.Millisecond
	killInterval  = 1200 * time.Millisecond
	killsOfAFront = 6
)

type (
	// quotaRun is a run of a request: when the consumer sent it, and when it arrived at the leaf.
	quotaRun struct {
		sentAt, ranAt time.Time
	}
)

func init() {
	cases["quota"] = playQuota
}

// playQuota has a tenant ask for more than its allotment at all machines, while the process of one front machine is killed some
// times and restarted, each front machine in turn.
func playQuota(trouble bool) verdict {
	const host, key = "desk.example", "key-of-the-bindery"
	deployment := newDeployment([][2]string{{"nord-a", "nord"}, {"sud-a", "sud"}, {"ouest-a", "ouest"}}, []string{"base", "drain", "config", "retry", "keys", "quota"},
		"drain-ms = 3000\ngrace-s = 6\nttl_max_s = 5\nconfig-apply-ms = 3000\nretry-budget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 52\nstrict-revoke = false\nrevoke-ms = 5000\nquota-window-s = 5\nquota-overage = 0.1\nquota-slack = 20\n")
	defer deployment.stop()
	for zone := range 3 {
		deployment.add(true, zone)
	}
	for zone := range 3 {
		deployment.add(false, zone)
	}
	deployment.startAll()
	deployment.configure(map[string]any{
		"version": 1, "tenants": []map[string]any{{"name": "bindery", "api-keys": []string{key}, "rate-per-s": quotaRate, "burst": quotaBurst, "priority": 1}},
		"routes":   []map[string]any{{"name": "lookup", "host": host, "path-prefix": "/slips/", "type": "safe", "timeout-ms": 3000, "target-latency-ms": 300, "priority": 1, "service": "atelier", "max-attempts": 1, "allowed-regions": []string{}}},
		"services": []map[string]any{{"name": "atelier", "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false, "warmup-s": 0, "warmup-per-s": 0}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	})
	var lock sync.Mutex
	sentAt := map[string]time.Time{}
	runs := map[string]quotaRun{}
	for index, zone := range deployment.zones {
		leaf := startLeaf(101+index, "i-"+zone[0], "atelier", zone[0])
		leaf.onRun = func(_ net.Conn, request *http.Request, _ []byte) {
			id := request.Header.Get("Request-Id")
			lock.Lock()
			if _, known := runs[id]; !known {
				runs[id] = quotaRun{sentAt: sentAt[id], ranAt: time.Now()}
			}
			lock.Unlock()
			record.line("leaf      %s runs %s", leaf.id, id)
		}
		leaf.keepAnnouncing(deployment)
	}
	fronts := deployment.fronts()
	deployment.awaitReady(fronts...)
	time.Sleep(3 * time.Second)
	var done atomic.Bool
	var senders sync.WaitGroup
	for _, front := range fronts {
		senders.Go(func() {
			consumer := newConsumer()
			for !done.Load() {
				sent := sendNoted(consumer, deployment.port(front, portFrontend), host, key, &lock, sentAt)
				if sent.err == nil && sent.status == http.StatusOK {
					record.line("consumer  %s at %s", sent.String(), front.name)
				}
				time.Sleep(25 * time.Millisecond)
			}
		})
	}
	time.Sleep(8 * time.Second)
	for _, front := range fronts {
		for kill := range killsOfAFront {
			if trouble {
				record.line("platform  kills the process of %s (%d)", front.name, kill+1)
				front.kill()
				time.Sleep(restartDelay)
				deployment.start(front)
			}
			time.Sleep(killInterval - restartDelay)
		}
		time.Sleep(8 * time.Second)
	}
	done.Store(true)
	senders.Wait()
	lock.Lock()
	defer lock.Unlock()
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	most, at := mostIn(quotaWindow, slices.Collect(maps.Values(runs)))
	text := "QUOTA: at most %d requests of the tenant were both sent and run in some %s (from %.1f s on); allowed are %.1f; %d ran in all"
	return verdict{broken: float64(most) > bound, text: sprintf(text, most, quotaWindow, at.Sub(record.started).Seconds(), bound, len(runs))}
}

// sendNoted sends a request and notes when, before it goes out.
func sendNoted(consumer *http.Client, address, host, key string, lock *sync.Mutex, sentAt map[string]time.Time) attempt {
	id := newID()
	lock.Lock()
	sentAt[id] = time.Now()
	lock.Unlock()
	return send(consumer, address, host, http.MethodGet, "/slips/1", nil, 3*time.Second, map[string]string{"Authorization": "Bearer " + key, "Request-Id": id})
}
