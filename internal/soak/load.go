// The load during a soak: requests of callers, and table changes and reads of operators.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/dialect"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	shards = 4
	// topRecords is the number of records in the answer to a search.
	topRecords  = 4
	shardPrefix = "shard-"
	orderPool   = "orders"
	host        = "soak.example"

	routeSearch = "search"
	routeOrder  = "order"
	routeRead   = "read"
	// routeRelease is the route of the pool whose releases change.
	routeRelease = "release"
	// routeHarmful is the route whose requests crash every target that runs them.
	routeHarmful = "harmful"

	routeTimeout  = 2 * time.Second
	targetLatency = 500 * time.Millisecond
	// callerTimeout is longer than any request may take, so a request that times
	// out was stuck in the system.
	callerTimeout = 20 * time.Second
	// callerPause and readPause are the pauses between a caller's requests and between
	// reads of the tables' version.
	callerPause     = 20 * time.Millisecond
	callersPerEntry = 2
	readPause       = 200 * time.Millisecond
	operatorTimeout = 4 * time.Second
)

// tables returns the tables of a declared version. Each version has a route named after it,
// which shows whether an entry serves that version.
func tables(declared uint64) operator.Tables {
	newRoute := func(kind string, neverRepeat bool) operator.Route {
		return operator.Route{Kind: kind, Pool: orderPool, NeverRepeat: neverRepeat, HTTP: &operator.HTTPRoute{
			Host: host, PathPrefix: "/" + kind + "/", Timeout: duration.Of(routeTimeout), TargetLatency: duration.Of(targetLatency), MaxAttempts: maxAttempts,
		}}
	}
	search := newRoute(routeSearch, false)
	search.Pool, search.HTTP.Gather = "", &operator.Gather{Top: topRecords, MinimumCoverage: 0.5}
	result := operator.Tables{Routes: []operator.Route{search, newRoute(routeOrder, true), newRoute(routeRead, false), newRoute(routeHarmful, false), newRoute(versionRoute(declared), false), newRoute(routeRelease, false)}}
	result.Routes[len(result.Routes)-1].Pool = releasePool
	for shard := range shards {
		result.Routes[0].HTTP.Gather.Pools = append(result.Routes[0].HTTP.Gather.Pools, shardPool(shard))
	}
	for _, name := range append([]string{orderPool, releasePool}, result.Routes[0].HTTP.Gather.Pools...) {
		result.Pools = append(result.Pools, operator.Pool{Name: name, Connections: 60, HTTP: &operator.HTTPPool{}})
	}
	return result
}

func shardPool(shard int) string {
	return fmt.Sprint(shardPrefix, shard)
}

func versionRoute(declared uint64) string {
	return fmt.Sprint("version-", declared)
}

// runCaller sends requests to one entry over keep-alive connections until ctx ends.
func (soak *soak) runCaller(ctx context.Context, entry, caller int) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	routes := []string{routeSearch, routeOrder, routeRead, routeRelease}
	for number := 0; ctx.Err() == nil; number++ {
		route := routes[number%len(routes)]
		sent := soak.sendRequest(client, entry, route, fmt.Sprintf("%s-%d-%d-%d", route, entry, caller, number))
		soak.record.addRequest(sent)
		sleep(ctx, callerPause)
	}
}

// sendRequest sends one request to an entry and returns it with its outcome.
func (soak *soak) sendRequest(client *http.Client, entry int, route, id string) sentRequest {
	headers := dialect.Default()
	sent := sentRequest{id: id, route: route, entry: entry, started: time.Now()}
	defer func() { sent.ended = time.Now() }()
	method := http.MethodGet
	if route == routeOrder {
		method = http.MethodPost
	}
	httpRequest, err := http.NewRequestWithContext(context.Background(), method, "http://"+soak.entries[entry].settings.Gateway.Address+"/"+route+"/1", nil)
	if err != nil {
		sent.failure = err.Error()
		return sent
	}
	httpRequest.Host = host
	httpRequest.Header.Set(headers.RequestID, id)
	response, err := client.Do(httpRequest)
	if err != nil {
		sent.failure = err.Error()
		sent.ended = time.Now()
		return sent
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		sent.failure = err.Error()
		sent.ended = time.Now()
		return sent
	}
	sent.status, sent.body = response.StatusCode, string(body)
	if sent.status == statusOK {
		sent.proofs = proofsOf(response.Header, route)
		sent.missingPartCount, _ = strconv.Atoi(response.Header.Get(headers.MissingParts)) // zero if the header is absent
		return sent
	}
	var refusal struct {
		NotRun bool `json:"not_run"`
	}
	if json.Unmarshal(body, &refusal) == nil {
		sent.notRun = refusal.NotRun
	}
	return sent
}

// proofsOf returns the proofs in the headers of an answer.
func proofsOf(header http.Header, route string) []string {
	if route != routeSearch {
		return header.Values(dialect.Default().Proof)
	}
	return strings.Split(header.Get(dialect.Default().PartProofs), ", ")
}

// change declares the next version of the tables, that is, sends tables with a version number
// chosen here. It retries through random processes until one acknowledges the version, and records
// the acknowledgment, or a failure if none came within recoverLimit. It records nothing if ctx
// ended first.
func (soak *soak) change(ctx context.Context, random *rand.Rand) {
	declared := soak.newestDeclared.Add(1)
	change := &operator.Change{ID: versionRoute(declared), Declared: declared, Tables: tables(declared)}
	if soak.retry(ctx, func(ctx context.Context) error {
		_, err := soak.operator(random).Change(ctx, change)
		return err
	}) {
		soak.record.addAcknowledgment(declared)
	} else if ctx.Err() == nil {
		soak.record.addFailure(fmt.Sprintf("no process acknowledged version %d within %s", declared, recoverLimit))
	}
}

// retry repeats a call until it succeeds, and reports whether it did within recoverLimit.
func (soak *soak) retry(ctx context.Context, try func(ctx context.Context) error) bool {
	return eventually(ctx, recoverLimit, func() bool {
		limited, cancel := context.WithTimeout(ctx, operatorTimeout)
		defer cancel()
		return try(limited) == nil
	})
}

// readVersions reads the newest version repeatedly, each time through a random process, until
// ctx ends.
func (soak *soak) readVersions(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		started := time.Now()
		limited, cancel := context.WithTimeout(ctx, operatorTimeout)
		newest, err := soak.operator(random).Tables(limited, 0)
		cancel()
		if err == nil {
			soak.record.addVersionRead(newest.Declared, started)
		}
		sleep(ctx, readPause)
	}
}

// operator returns a client of a random process.
func (soak *soak) operator(random *rand.Rand) *operator.Client {
	all := soak.processes()
	return operator.NewClient(all[random.IntN(len(all))].settings.HTTPAddress)
}
