// Stand-in targets. They announce themselves to control, derive their answers from their
// pool and the request ID, and record each run.

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/dialect"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	runDuration      = 4 * time.Millisecond
	announceInterval = time.Second
	// crashDowntime is how long a target is down after a request that crashes it.
	crashDowntime = 1500 * time.Millisecond
	statusOK      = http.StatusOK
	// recordFormat formats the pool and the record's number as a record of 16 bytes.
	recordFormat    = "%-14s%02d"
	recordsPerShard = 2
	// firstRelease is the release of all targets at the start.
	firstRelease = "v1"
)

type (
	// standIn is one target behind a proxy.
	standIn struct {
		id, pool, domain string
		proxy            *proxy
		record           *record
		// controlAddresses are the HTTP addresses of the control processes.
		controlAddresses []string

		// restartLock is held from a crash to the next start. It is acquired before lock.
		restartLock sync.Mutex

		lock      sync.Mutex
		server    *http.Server
		startedAt int64
		revision  uint64
		state     target.HTTPState
		// failing makes the target answer each run with an error.
		failing bool
		// release is the release of the target, and fault what is wrong with it.
		release string
		fault   releaseFault
		// limit is the number of requests a second that the target names as its limit, or 0.
		limit float64
		// runCount is the number of runs so far, which makes each proof unique.
		runCount int
	}
)

func (standIn *standIn) start() error {
	listener, err := tcp.Listen(context.Background(), standIn.proxy.upstreamAddress)
	if err != nil {
		return err
	}
	if err := standIn.proxy.open(); err != nil {
		return err
	}
	standIn.lock.Lock()
	defer standIn.lock.Unlock()
	standIn.startedAt, standIn.revision, standIn.state = time.Now().UnixMilli(), 0, target.HTTPReady
	standIn.server = &http.Server{Handler: standIn, ReadHeaderTimeout: time.Minute}
	go func(server *http.Server) { _ = server.Serve(listener) }(standIn.server)
	return nil
}

// restart crashes the target, and starts it again after the given downtime.
func (standIn *standIn) restart(down time.Duration) {
	standIn.restartLock.Lock()
	defer standIn.restartLock.Unlock()
	standIn.crash()
	time.Sleep(down)
	if err := standIn.start(); err != nil {
		standIn.record.addFailure("start target " + standIn.id + ": " + err.Error())
	}
}

// crash closes the target's proxy and server without a graceful stop.
func (standIn *standIn) crash() {
	standIn.proxy.close()
	standIn.lock.Lock()
	defer standIn.lock.Unlock()
	_ = standIn.server.Close()
}

// update changes the target's fields: it calls the function while it holds the lock.
func (standIn *standIn) update(change func()) {
	standIn.lock.Lock()
	defer standIn.lock.Unlock()
	change()
}

// announce announces the target to a control process at intervals until ctx ends. It changes to
// the next process when an announcement fails.
func (standIn *standIn) announce(ctx context.Context) {
	announcer := target.NewAnnouncer(nil)
	control := 0
	for ctx.Err() == nil {
		standIn.lock.Lock()
		standIn.revision++
		announcement := &target.HTTPAnnouncement{
			Address: standIn.proxy.address, Pool: standIn.pool, FailureDomain: standIn.domain, Release: standIn.release, Slots: 4,
			State: standIn.state, StartedAt: standIn.startedAt, Revision: standIn.revision,
		}
		standIn.lock.Unlock()
		if err := announcer.AnnounceHTTP(ctx, standIn.controlAddresses[control%len(standIn.controlAddresses)], standIn.id, announcement); err != nil {
			control++
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
	standIn.runCount++
	proof := fmt.Sprintf("%s/%s/%s/%d/%d", standIn.pool, standIn.id, id, standIn.startedAt, standIn.runCount)
	failing := standIn.failing || rand.Float64() < standIn.fault.failureShare
	span := time.Duration(max(1, standIn.fault.slowFactor)) * runDuration
	if standIn.limit > 0 {
		writer.Header().Set(headers.Limit, strconv.FormatFloat(standIn.limit, 'f', 1, 64))
	}
	standIn.lock.Unlock()
	standIn.record.addRun(targetRun{id: id, pool: standIn.pool, target: standIn.id, proof: proof, at: time.Now(), failed: failing, release: standIn.release})
	if strings.HasPrefix(id, routeHarmful) {
		go standIn.restart(crashDowntime)
		panic(http.ErrAbortHandler) // a crash closes the connection without an answer
	}
	time.Sleep(span)
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

// recordsOf returns the records with which the targets of a shard's pool answer.
func recordsOf(pool string) []string {
	var records []string
	for number := range recordsPerShard {
		records = append(records, fmt.Sprintf(recordFormat, pool, number))
	}
	return records
}

// poolOf returns the pool of the target that sent a proof.
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
