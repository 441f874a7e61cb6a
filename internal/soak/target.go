// Stand-ins for targets: they announce themselves, answer by their pool and the
// request's ID, and record each run.

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/dialect"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	workSpan         = 4 * time.Millisecond
	announceInterval = time.Second
	// crashSpan is how long a target is gone after a request that crashes it.
	crashSpan = 1500 * time.Millisecond
	statusOK  = http.StatusOK
	// recordFormat makes a record of 16 bytes.
	recordFormat    = "%-14s%02d"
	recordsPerShard = 2
)

type (
	// standIn is one target behind a proxy.
	standIn struct {
		id, pool, domain string
		proxy            *proxy
		record           *record
		// controls are the HTTP addresses of the control processes.
		controls []string

		// cycle is held from an end to the next start, and taken before lock.
		cycle sync.Mutex

		lock     sync.Mutex
		server   *http.Server
		started  int64
		revision uint64
		state    target.HTTPState
		failing  bool
		runs     int
	}
)

func (standIn *standIn) start() error {
	listener, err := tcp.Listen(context.Background(), standIn.proxy.to)
	if err != nil {
		return err
	}
	if err := standIn.proxy.open(); err != nil {
		return err
	}
	standIn.lock.Lock()
	defer standIn.lock.Unlock()
	standIn.started, standIn.revision, standIn.state = time.Now().UnixMilli(), 0, target.HTTPReady
	standIn.server = &http.Server{Handler: standIn, ReadHeaderTimeout: time.Minute}
	go func(server *http.Server) { _ = server.Serve(listener) }(standIn.server)
	return nil
}

// replace ends the target, and starts it again after a span.
func (standIn *standIn) replace(down time.Duration) {
	standIn.cycle.Lock()
	defer standIn.cycle.Unlock()
	standIn.crash()
	time.Sleep(down)
	if err := standIn.start(); err != nil {
		standIn.record.fail("start target " + standIn.id + ": " + err.Error())
	}
}

// crash ends the target at once.
func (standIn *standIn) crash() {
	standIn.proxy.close()
	standIn.lock.Lock()
	defer standIn.lock.Unlock()
	_ = standIn.server.Close()
}

func (standIn *standIn) set(change func()) {
	standIn.lock.Lock()
	defer standIn.lock.Unlock()
	change()
}

// announce tells control about the target until ctx ends, another process where
// one doesn't answer.
func (standIn *standIn) announce(ctx context.Context) {
	announcer := target.NewAnnouncer(nil)
	chosen := 0
	for ctx.Err() == nil {
		standIn.lock.Lock()
		standIn.revision++
		announcement := &target.HTTPAnnouncement{
			Address: standIn.proxy.address, Pool: standIn.pool, FailureDomain: standIn.domain, Slots: 4,
			State: standIn.state, StartedAt: standIn.started, Revision: standIn.revision,
		}
		standIn.lock.Unlock()
		if err := announcer.AnnounceHTTP(ctx, standIn.controls[chosen%len(standIn.controls)], standIn.id, announcement); err != nil {
			chosen++
			sleep(ctx, announceInterval/4)
			continue
		}
		sleep(ctx, announceInterval)
	}
}

// ServeHTTP implements http.Handler.
func (standIn *standIn) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	headers := dialect.Default()
	id := request.Header.Get(headers.RequestID)
	writer.Header().Set(headers.RequestID, id)
	if request.Header.Get(headers.Target) != standIn.id {
		writer.Header().Set(headers.NotRun, "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	standIn.lock.Lock()
	standIn.runs++
	proof := fmt.Sprintf("%s/%s/%s/%d/%d", standIn.pool, standIn.id, id, standIn.started, standIn.runs)
	failing := standIn.failing
	standIn.lock.Unlock()
	standIn.record.ran(run{id: id, pool: standIn.pool, target: standIn.id, proof: proof, at: time.Now()})
	if strings.HasPrefix(id, routeHarmful) {
		go standIn.replace(crashSpan)
		panic(http.ErrAbortHandler) // no answer comes of a crash
	}
	time.Sleep(workSpan)
	if failing {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	writer.Header().Set(headers.Proof, proof)
	if strings.HasPrefix(standIn.pool, shardPrefix) {
		_, _ = io.WriteString(writer, strings.Join(recordsOf(standIn.pool), ""))
		return
	}
	_, _ = io.WriteString(writer, proof) //nolint:gosec // read by the soak's callers alone
}

// recordsOf returns the records that a shard's targets answer with.
func recordsOf(pool string) []string {
	var records []string
	for number := range recordsPerShard {
		records = append(records, fmt.Sprintf(recordFormat, pool, number))
	}
	return records
}

func poolOf(proof string) string {
	pool, _, _ := strings.Cut(proof, "/")
	return pool
}

func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
