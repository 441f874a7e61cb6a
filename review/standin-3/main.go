// Command standin-3 runs one case of the review against the project's own programs. It starts the system, leafs, consumers and
// the operator, judges one rule, and ends all that it started.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

var cases = map[string]func(record *record, folder string, trouble bool) bool{
	"recover": runRecover,
	"drain":   runDrain,
	"path":    runPath,
	"cold":    runCold,
	"quota":   runQuota,
}

func main() {
	os.Exit(run())
}

// run returns 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
func run() (code int) {
	// A process dies with the thread that started it.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		return 2
	}
	record := newRecord(filepath.Join(os.Args[2], "record.txt"))
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.write("case %s, trouble %t", os.Args[1], trouble)
	defer func() {
		if recovered := recover(); recovered != nil {
			record.write("couldn't run: %v", recovered)
			fmt.Fprintln(os.Stderr, "couldn't run:", recovered)
			code = 2
		}
	}()
	finished := make(chan struct{})
	defer close(finished)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-finished:
		case <-interrupted:
			os.Exit(2)
		case <-time.After(115 * time.Second):
			record.write("couldn't run: out of time")
			os.Exit(2)
		}
	}()
	if cases[os.Args[1]](record, folder, trouble) {
		record.write("verdict: the rule is broken")
		fmt.Println("broken")
		return 1
	}
	record.write("verdict: the rule held")
	fmt.Println("held")
	return 0
}

// manifest returns a manifest with one route to one service.
func manifest(version int, service, kind string) []byte {
	return manifestWith(version, service, kind, 0, []string{})
}

// manifestWithWarmup is manifest with a rate for cold leafs.
func manifestWithWarmup(version int, service, kind string, warmupPerSecond float64) []byte {
	return manifestWith(version, service, kind, warmupPerSecond, []string{})
}

// manifestWithTenants is manifest with tenants that have an allotment each.
func manifestWithTenants(version int, service string) []byte {
	var document map[string]any
	if err := json.Unmarshal(manifest(version, service, "safe"), &document); err != nil {
		cannotRun("decode: %v", err)
	}
	var tenants []any
	for number := range tenantCount {
		tenants = append(tenants, map[string]any{"name": tenantName(number), "api-keys": []string{tenantKey(number)}, "rate-per-s": tenantRate, "burst": tenantBurst})
	}
	document["tenants"] = tenants
	return encode(document)
}

// manifestWithAll is manifest with a second route for all other paths of the host.
func manifestWithAll(version int, service string) []byte {
	return manifestWith(version, service, "unsafe", 0, []string{}, "/")
}

func manifestWith(version int, service, kind string, warmupPerSecond float64, homes []string, morePrefixes ...string) []byte {
	var routes []any
	for index, prefix := range append([]string{"/goka902/"}, morePrefixes...) {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-xmibw6k%d", index), "host": host, "path-prefix": prefix, "type": kind, "timeout-ms": 3000, "target-latency-ms": 300, "priority": 2, "service": service, "max-attempts": 2, "allowed-regions": homes,
		})
	}
	return encode(map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []any{map[string]any{"name": service, "health-path": "/health", "max-connections": 40, "protocol": "h1", "tls": false, "warmup-s": 3.0, "warmup-per-s": warmupPerSecond}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}
