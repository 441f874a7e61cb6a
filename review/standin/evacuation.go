package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// freezeSpan is how long the core machine is frozen. It is longer than the second for which the operator waits, and
// shorter than the two seconds after which the machines close a silent connection.
const freezeSpan = 1350 * time.Millisecond

// manifest returns a manifest with one route to a service.
func manifest(version int, kind string, timeout time.Duration, attempts int, service string) []byte {
	return encode(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-one", "host": "one.example", "path-prefix": "/one/", "type": kind, "timeout-ms": timeout.Milliseconds(), "target-latency-ms": 300,
			"priority": 1, "service": service, "max-attempts": attempts, "allowed-regions": []string{},
		}},
		"services": []any{map[string]any{"name": service, "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false, "warmup-s": 3.0, "warmup-per-s": 0.0}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

// evacuation takes back an evacuation while one core machine is frozen, orders it again, and lets the machine wake.
func evacuation(record *record, trouble bool) (int, error) {
	system, leafs, err := begin(record, "safe", 3*time.Second, 2, 10*time.Millisecond)
	if system != nil {
		defer system.end()
	}
	if err != nil {
		return couldNot, err
	}

	stop := make(chan struct{})
	var consumers sync.WaitGroup
	for _, frontend := range system.frontends {
		consumers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				system.send(frontend, http.MethodGet, "one.example", "/one/7", 3*time.Second, nil, newID())
			}
		})
	}
	defer consumers.Wait()
	defer close(stop)
	time.Sleep(time.Second)

	cores := append([]*machine{}, system.cores...)
	rand.Shuffle(len(cores), func(left, right int) { cores[left], cores[right] = cores[right], cores[left] })
	if leader := system.leader(); leader == cores[0] {
		// A leader that freezes loses its lead, and takes part in no order that comes late.
		cores[0], cores[1] = cores[1], cores[0]
	}
	frozen, others := cores[0], cores[1:]
	const path = "/v1/evacuation/nord-a"
	if _, _, err := system.order(http.MethodPost, path, nil, others, 6*time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(6 * time.Second)
	for _, core := range cores {
		status, err := system.call(http.MethodGet, "http://"+core.address(controlPort)+"/v1/config", nil, time.Second)
		record.note("operator reads the manifest at %s: %d %v", core.name, status, err)
	}
	frozenAt := time.Now()
	if trouble {
		system.signal(frozen, syscall.SIGSTOP)
	}
	time.Sleep(20 * time.Millisecond)
	if _, _, err := system.order(http.MethodDelete, path, nil, cores, 6*time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(50 * time.Millisecond)
	_, acknowledgedAt, err := system.order(http.MethodPost, path, nil, others, 6*time.Second)
	if err != nil {
		return couldNot, err
	}
	time.Sleep(time.Until(frozenAt.Add(freezeSpan)))
	if trouble {
		system.signal(frozen, syscall.SIGCONT)
	}
	// All machines are in touch again, and the bound of the evacuation is over.
	from := acknowledgedAt.Add(evacuateMax)
	if stable := time.Now().Add(contactSpan); trouble && stable.After(from) {
		from = stable
	}
	from = from.Add(500 * time.Millisecond)
	time.Sleep(time.Until(from.Add(5 * time.Second)))
	late, served := 0, 0
	for _, leaf := range leafs {
		for _, run := range leaf.takenRuns() {
			if run.at.Before(from) {
				continue
			}
			served++
			if leaf.zone == "nord-a" {
				late++
			}
		}
	}
	record.note("%d of %d requests reached the evacuated zone later than the bound", late, served)
	fmt.Printf("%d of %d requests reached the evacuated zone later than the bound\n", late, served)
	if served == 0 {
		return couldNot, fmt.Errorf("no request was served")
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
