// What callers and operators do while faults come.

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
	shards      = 4
	topRecords  = 4
	shardPrefix = "shard-"
	orderPool   = "orders"
	host        = "soak.example"

	routeSearch = "search"
	routeOrder  = "order"
	routeRead   = "read"
	// routeHarmful crashes each target that runs a request of it.
	routeHarmful = "harmful"

	routeTimeout  = 2 * time.Second
	targetLatency = 500 * time.Millisecond
	// callerTimeout is longer than any request may take, so that a request
	// without an answer until then was held back.
	callerTimeout = 20 * time.Second
	callerPause   = 20 * time.Millisecond
	callersOfOne  = 2
	readPause     = 200 * time.Millisecond
	operatorLimit = 4 * time.Second
)

// tables returns the tables of a declared version. Each has a route of its own.
func tables(declared uint64) operator.Tables {
	single := func(kind string, never bool) operator.Route {
		return operator.Route{Kind: kind, Pool: orderPool, NeverRepeat: never, HTTP: &operator.HTTPRoute{
			Host: host, PathPrefix: "/" + kind + "/", Timeout: duration.Of(routeTimeout), TargetLatency: duration.Of(targetLatency), MaxAttempts: attemptsAllowed,
		}}
	}
	search := single(routeSearch, false)
	search.Pool, search.HTTP.Gather = "", &operator.Gather{Top: topRecords, MinimumCoverage: 0.5}
	made := operator.Tables{Routes: []operator.Route{search, single(routeOrder, true), single(routeRead, false), single(routeHarmful, false), single(versionRoute(declared), false)}}
	for shard := range shards {
		made.Routes[0].HTTP.Gather.Pools = append(made.Routes[0].HTTP.Gather.Pools, shardPool(shard))
	}
	for _, name := range append([]string{orderPool}, made.Routes[0].HTTP.Gather.Pools...) {
		made.Pools = append(made.Pools, operator.Pool{Name: name, Connections: 60, HTTP: &operator.HTTPPool{}})
	}
	return made
}

func shardPool(shard int) string {
	return fmt.Sprint(shardPrefix, shard)
}

func versionRoute(declared uint64) string {
	return fmt.Sprint("version-", declared)
}

// call sends requests to one entry over connections that stay open, until ctx
// ends.
func (soak *soak) call(ctx context.Context, entry, caller int) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	routes := []string{routeSearch, routeOrder, routeRead}
	for number := 0; ctx.Err() == nil; number++ {
		route := routes[number%len(routes)]
		sent := soak.send(client, entry, route, fmt.Sprintf("%s-%d-%d-%d", route, entry, caller, number))
		soak.record.send(sent)
		sleep(ctx, callerPause)
	}
}

func (soak *soak) send(client *http.Client, entry int, route, id string) sending {
	headers := dialect.Default()
	sent := sending{id: id, route: route, entry: entry, begun: time.Now()}
	defer func() { sent.ended = time.Now() }()
	method := http.MethodGet
	if route == routeOrder {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+soak.entries[entry].settings.Gateway.Address+"/"+route+"/1", nil)
	if err != nil {
		sent.failed = err.Error()
		return sent
	}
	request.Host = host
	request.Header.Set(headers.RequestID, id)
	response, err := client.Do(request)
	if err != nil {
		sent.failed = err.Error()
		sent.ended = time.Now()
		return sent
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		sent.failed = err.Error()
		sent.ended = time.Now()
		return sent
	}
	sent.status, sent.body = response.StatusCode, string(body)
	if sent.status == statusOK {
		sent.proofs = proofsOf(response.Header, route)
		sent.missing, _ = strconv.Atoi(response.Header.Get(headers.MissingParts)) // none where the header is absent
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

func proofsOf(header http.Header, route string) []string {
	if route != routeSearch {
		return header.Values(dialect.Default().Proof)
	}
	return strings.Split(header.Get(dialect.Default().PartProofs), ", ")
}

// change declares the next version through a process, and again through others
// until one acknowledges it.
func (soak *soak) change(ctx context.Context, random *rand.Rand) {
	declared := soak.declared.Add(1)
	change := &operator.Change{ID: versionRoute(declared), Declared: declared, Tables: tables(declared)}
	if soak.persist(ctx, func(ctx context.Context) error {
		_, err := soak.operator(random).Change(ctx, change)
		return err
	}) {
		soak.record.acknowledge(declared)
	} else if ctx.Err() == nil {
		soak.record.fail(fmt.Sprintf("no process acknowledged version %d within %s", declared, recoverLimit))
	}
}

// persist tries a call until it succeeds, and reports whether it did in time.
func (soak *soak) persist(ctx context.Context, try func(ctx context.Context) error) bool {
	return eventually(ctx, recoverLimit, func() bool {
		limited, cancel := context.WithTimeout(ctx, operatorLimit)
		defer cancel()
		return try(limited) == nil
	})
}

// readVersions reads the newest version through one process after the other.
func (soak *soak) readVersions(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		begun := time.Now()
		limited, cancel := context.WithTimeout(ctx, operatorLimit)
		newest, err := soak.operator(random).Tables(limited, 0)
		cancel()
		if err == nil {
			soak.record.read(newest.Declared, begun)
		}
		sleep(ctx, readPause)
	}
}

func (soak *soak) operator(random *rand.Rand) *operator.Client {
	all := soak.processes()
	return operator.NewClient(all[random.IntN(len(all))].settings.HTTPAddress)
}
