package main

import (
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["keys"] = playKeys
}

// playKeys takes the last tenant out of the manifest and sends requests with its key.
func playKeys(trouble bool) verdict {
	const host, key = "desk.example", "key-of-the-bindery"
	deployment := newDeployment([][2]string{{"nord-a", "nord"}, {"sud-a", "sud"}, {"ouest-a", "ouest"}}, []string{"base", "drain", "config", "retry", "keys"},
		"drain-ms = 3000\ngrace-s = 6\nttl_max_s = 5\nconfig-apply-ms = 3000\nretry-budget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 52\nstrict-revoke = false\nrevoke-ms = 5000\n")
	defer deployment.stop()
	for zone := range 3 {
		deployment.add(true, zone)
	}
	for zone := range 3 {
		deployment.add(false, zone)
	}
	deployment.startAll()
	manifest := func(version int, tenants []map[string]any) map[string]any {
		return map[string]any{
			"version": version, "tenants": tenants,
			"routes":   []map[string]any{{"name": "lookup", "host": host, "path-prefix": "/slips/", "type": "safe", "timeout-ms": 3000, "target-latency-ms": 300, "priority": 1, "service": "atelier", "max-attempts": 2, "allowed-regions": []string{}}},
			"services": []map[string]any{{"name": "atelier", "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false, "warmup-s": 0, "warmup-per-s": 0}},
			"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
		}
	}
	bindery := map[string]any{"name": "bindery", "api-keys": []string{key}, "rate-per-s": 0, "burst": 0, "priority": 1}
	other := map[string]any{"name": "saddlery", "api-keys": []string{"key-of-the-saddlery"}, "rate-per-s": 0, "burst": 0, "priority": 1}
	deployment.configure(manifest(1, []map[string]any{bindery}))
	var lock sync.Mutex
	ran := map[string]string{}
	for index, zone := range deployment.zones {
		leaf := startLeaf(101+index, "i-"+zone[0], "atelier", zone[0])
		leaf.onRun = recordRun(&lock, ran, leaf)
		leaf.keepAnnouncing(deployment)
	}
	deployment.awaitReady(deployment.fronts()...)
	time.Sleep(time.Second)
	consumer := newConsumer()
	for _, front := range deployment.fronts() {
		if sent := send(consumer, deployment.port(front, portFrontend), host, http.MethodGet, "/slips/1", nil, 3*time.Second, map[string]string{"Authorization": "Bearer " + key}); sent.status != 200 {
			unable("a request with the key isn't served at first: %s", sent.String())
		}
		if sent := send(consumer, deployment.port(front, portFrontend), host, http.MethodGet, "/slips/1", nil, 3*time.Second, nil); sent.status != 401 {
			unable("a request without a key isn't refused at first: %s", sent.String())
		}
	}
	// With the disruption the tenant goes, and with it its key; without it another tenant takes its place.
	remaining := []map[string]any{}
	if !trouble {
		remaining = append(remaining, other)
	}
	deployment.configure(manifest(2, remaining))
	time.Sleep(3*time.Second + 500*time.Millisecond)
	withKey, withoutKey, passedOn, total := 0, 0, 0, 0
	for round := range 10 {
		for _, front := range deployment.fronts() {
			for _, header := range []map[string]string{{"Authorization": "Bearer " + key}, {}} {
				sent := send(consumer, deployment.port(front, portFrontend), host, http.MethodGet, "/slips/2", nil, 3*time.Second, header)
				total++
				lock.Lock()
				credential, hasRun := ran[sent.id]
				lock.Unlock()
				record.line("consumer  round %d at %s, with the dropped key: %t: %s, has run: %t, key passed on to the leaf: %t", round, front.name, len(header) > 0, sent.String(), hasRun, credential != "")
				switch {
				case hasRun && len(header) > 0:
					withKey++
				case hasRun:
					withoutKey++
				}
				if credential != "" {
					passedOn++
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	text := "CONFIG, UNASKED: of %d requests sent more than config-apply-ms after the acknowledgement, %d ran with the dropped key, %d ran without any key, and the key was passed on to a leaf %d times"
	return verdict{broken: withKey > 0 || passedOn > 0, text: sprintf(text, total, withKey, withoutKey, passedOn)}
}
