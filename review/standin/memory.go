package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is memory-mb of the core machines.
	memoryLimit = 280
	// bigConfigs and routesEach are the additions of routes.
	bigConfigs = 9
	routesEach = 416
	// stormChanges and changeGap make up a storm of 3 s, and stormPause is the pause between two.
	stormChanges = 15
	changeGap    = 200 * time.Millisecond
	stormPause   = time.Second
	changeSpan   = 85 * time.Second
)

// largeManifest returns a manifest with one route to a leaf's service and a number of further routes to it, one of
// which has another timeout in each version.
func largeManifest(version, further int) []byte {
	routes := []any{map[string]any{
		"name": "r-one", "host": "one.example", "path-prefix": "/one/", "type": "safe", "timeout-ms": 3000, "target-latency-ms": 300,
		"priority": 1, "service": "ledger", "max-attempts": 2, "allowed-regions": []string{},
	}}
	for number := range further {
		timeout := 3000
		if number == version%max(1, further) {
			timeout += version
		}
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-added%04d", number), "host": fmt.Sprintf("host%d.example", number%7), "path-prefix": fmt.Sprintf("/added%04d/", number), "type": "safe",
			"timeout-ms": timeout, "target-latency-ms": 300, "priority": 2, "service": "ledger", "max-attempts": 2, "allowed-regions": []string{},
		})
	}
	return encode(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "ledger", "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false, "warmup-s": 3.0, "warmup-per-s": 0.0}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

// memory lets the manifest grow by many routes and sends some hundred changes of it, as the platform watches the memory
// of each process.
func memory(record *record, trouble bool) (int, error) {
	system, leafs, err := begin(record, "safe", 3*time.Second, 2, 5*time.Millisecond)
	if system != nil {
		defer system.end()
	}
	if err != nil {
		return couldNot, err
	}
	_ = leafs
	stop := make(chan struct{})
	ends := map[string]int{}
	peaks := map[string]int{}
	var lock sync.Mutex
	var background sync.WaitGroup
	for _, watched := range system.machines() {
		limit := 284
		if watched.class == "core" {
			limit = memoryLimit
		}
		background.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				used := residentMegabytes(watched.command.Process.Pid)
				lock.Lock()
				peaks[watched.name] = max(peaks[watched.name], used)
				lock.Unlock()
				if used <= limit {
					continue
				}
				record.note("%s uses %d MB, more than its %d MB: the platform kills and restarts it", watched.name, used, limit)
				lock.Lock()
				ends[watched.name]++
				lock.Unlock()
				system.signal(watched, syscall.SIGKILL)
				<-watched.done
				time.Sleep(500 * time.Millisecond)
				if err := system.start(watched); err != nil {
					record.note("could not restart %s: %v", watched.name, err)
					return
				}
			}
		})
	}
	version, further, acknowledged, changes := 10, 0, 0, 0
	var orders sync.WaitGroup
	inProgress := make(chan struct{}, 8)
	send := func(sent int, body []byte) {
		inProgress <- struct{}{}
		orders.Go(func() {
			defer func() { <-inProgress }()
			status, _, err := system.order(http.MethodPut, "/v1/config", body, append(system.cores[sent%5:5:5], system.cores[:sent%5]...), 20*time.Second)
			if err == nil && status == http.StatusOK {
				lock.Lock()
				acknowledged++
				lock.Unlock()
			}
		})
	}
	until := time.Now().Add(changeSpan)
	for time.Now().Before(until) {
		if trouble && changes < bigConfigs {
			further += routesEach
		}
		changes++
		version += 3
		send(changes, largeManifest(version, further))
		time.Sleep(changeGap)
		if changes%stormChanges == 0 {
			time.Sleep(stormPause)
		}
	}
	orders.Wait()
	close(stop)
	background.Wait()
	machines := 0
	for name, count := range ends {
		if count >= 3 {
			machines++
		}
		record.note("%s was ended %d times for its memory", name, count)
	}
	for _, watched := range system.machines() {
		record.note("%s used %d MB at its peak", watched.name, peaks[watched.name])
	}
	summary := fmt.Sprintf("%d changes, %d acknowledged; %d machines ended three times or more: %v", changes, acknowledged, machines, ends)
	record.note("%s", summary)
	fmt.Println(summary)
	if acknowledged == 0 {
		return couldNot, fmt.Errorf("no change was acknowledged")
	}
	if machines >= 2 {
		return broken, nil
	}
	return held, nil
}

// residentMegabytes returns the memory of a process in megabytes, as the platform sees it.
func residentMegabytes(process int) int {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if fields := strings.Fields(lines.Text()); len(fields) >= 2 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes / 1000
		}
	}
	return 0
}
