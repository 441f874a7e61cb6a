package control

import (
	"context"
	"flag"
	"fmt"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/replica"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
)

var measure = flag.String("measure", "", "measure entries, grants or ledger; the figures are printed")

type (
	// cluster is a group of three control replicas on an in-memory network.
	cluster struct {
		network      standin.Network
		addresses    []string
		replicas     []*replica.Replica
		services     []*Service
		servers      []*frame.Server
		clocks       []*vmClock
		cancel       context.CancelFunc
		clientBytes  atomic.Int64
		replicaBytes atomic.Int64
		renewals     atomic.Int64
	}

	// syncedLog delays each proposal by the time of a disk sync, one proposal at a time: the one
	// that has put a token into disk.
	syncedLog struct {
		Log
		disk     chan struct{}
		syncTime time.Duration
	}

	countedConnection struct {
		net.Conn
		counter *atomic.Int64
	}
)

func (log *syncedLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	log.disk <- struct{}{}
	time.Sleep(log.syncTime)
	<-log.disk
	return log.Log.Propose(ctx, command)
}

func (connection *countedConnection) Read(data []byte) (int, error) {
	count, err := connection.Conn.Read(data)
	connection.counter.Add(int64(count))
	return count, err
}

func (connection *countedConnection) Write(data []byte) (int, error) {
	connection.counter.Add(int64(len(data)))
	return connection.Conn.Write(data)
}

func startControlCluster(latency, syncTime time.Duration) *cluster {
	cluster := &cluster{}
	cluster.network.SetLatency(func(from, to string) time.Duration {
		if from == to {
			return 0
		}
		return latency
	})
	ctx, cancel := context.WithCancel(context.Background())
	cluster.cancel = cancel
	for number := range 3 {
		cluster.addresses = append(cluster.addresses, cluster.ip(number)+":90")
	}
	for number, address := range cluster.addresses {
		state, server, clock := &State{}, &frame.Server{}, &vmClock{}
		newReplica := replica.New(replica.Options{
			Name: fmt.Sprintf("control-%d", number), Address: address, Peers: cluster.addresses,
			Dial: cluster.dialer(cluster.ip(number), &cluster.replicaBytes), Now: clock.now,
		}, state)
		service := NewService(&syncedLog{Log: newReplica, disk: make(chan struct{}, 1), syncTime: syncTime}, state)
		service.Register(server)
		newReplica.Register(server)
		listener, _ := cluster.network.Listen(address)
		go func() { _ = server.Serve(listener) }()
		go service.Run(ctx)
		_ = newReplica.Start()
		cluster.clocks = append(cluster.clocks, clock)
		cluster.replicas, cluster.services, cluster.servers = append(cluster.replicas, newReplica), append(cluster.services, service), append(cluster.servers, server)
	}
	return cluster
}

func (cluster *cluster) ip(number int) string { return fmt.Sprintf("10.0.%d.1", number) }

func (cluster *cluster) stop() {
	cluster.cancel()
	for _, replica := range cluster.replicas {
		_ = replica.Stop(context.Background())
	}
	for _, server := range cluster.servers {
		server.Stop()
	}
}

// client returns a client on its own VM. The bytes it transfers are counted.
func (cluster *cluster) client(ip string) *Client {
	return NewClient(cluster.addresses, cluster.dialer(ip, &cluster.clientBytes))
}

func (cluster *cluster) dialer(ip string, counter *atomic.Int64) tcp.Dialer {
	dial := cluster.network.Dialer(ip)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConnection{Conn: connection, counter: counter}, nil
	}
}

// runEntry renews leases as internal/entry does, and releases targets at once.
func (cluster *cluster) runEntry(ctx context.Context, number int) {
	ip := fmt.Sprintf("10.%d.%d.%d", 1+number%3, number/250, 1+number%250)
	client := cluster.client(ip)
	defer client.Close()
	member := membership.Member{
		ID: fmt.Sprintf("entry-domain-%d-%d", number%3, number), Incarnation: 1_700_000_000_000_000_000 + uint64(number),
		PeerAddress: ip + ":90", CallerAddress: ip + ":80", FailureDomain: fmt.Sprintf("domain-%d", number%3), Region: fmt.Sprintf("region-%d", number%3),
	}
	var view, version uint64
	for ctx.Err() == nil {
		lease, err := client.Renew(ctx, &Renewal{Member: member, TablesVersion: version, ReleasedView: view, KnownView: view})
		cluster.renewals.Add(1)
		if err == nil && (lease.View != nil || lease.Tables != nil) {
			if lease.View != nil {
				view = lease.View.Number
			}
			version = lease.TablesVersion
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(RenewInterval):
		}
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// awaitInForce polls the status as apply --wait does.
func awaitInForce(client *Client, version uint64, entries int) {
	for {
		status, err := client.Status(context.Background())
		if err == nil && status.InForceVersion >= version && len(status.Entries) == entries {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func measureEntries(entries int, latency time.Duration, tables operator.Tables) {
	cluster := startControlCluster(latency, time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	for number := range entries {
		go cluster.runEntry(ctx, number)
	}
	operators := cluster.client("10.9.0.1")
	awaitInForce(operators, 0, entries)
	time.Sleep(2 * LeaseDuration)
	viewsWhileJoining := cluster.services[0].state.View().Number
	const steadySpan = 20 * time.Second
	clientBytesBefore, replicaBytesBefore, renewalsBefore, processorBefore := cluster.clientBytes.Load(), cluster.replicaBytes.Load(), cluster.renewals.Load(), processorTime()
	time.Sleep(steadySpan)
	entrySeconds := float64(entries) * steadySpan.Seconds()
	fmt.Printf("%4d entries, %v one way: %d views while joining; steady: %.1f renewals, %.0f bytes and %v of processor time per entry and second\n",
		entries, latency, viewsWhileJoining, float64(cluster.renewals.Load()-renewalsBefore)/entrySeconds, float64(cluster.clientBytes.Load()-clientBytesBefore)/entrySeconds,
		time.Duration(float64(processorTime()-processorBefore)/entrySeconds).Round(time.Microsecond))
	fmt.Printf("     %.0f bytes a second between replicas; a read of the tables takes %v (median of 20)\n",
		float64(cluster.replicaBytes.Load()-replicaBytesBefore)/steadySpan.Seconds(), cluster.medianReadLatency(operators))
	var spans []time.Duration
	for number := range 20 {
		start := time.Now()
		accepted, err := operators.Change(context.Background(), &operator.Change{ID: fmt.Sprint(number), Base: uint64(number), Tables: tables})
		if err != nil {
			fmt.Println(err)
			break
		}
		acceptedAfter := time.Since(start)
		awaitInForce(operators, accepted.Version, entries)
		spans = append(spans, time.Since(start))
		if number == 0 {
			fmt.Printf("     accepted after %v\n", acceptedAfter)
		}
		time.Sleep(time.Duration(number*37) * time.Millisecond)
	}
	slices.Sort(spans)
	fmt.Printf("     in force everywhere after %v (median), %v (worst of %d)\n", spans[len(spans)/2], spans[len(spans)-1], len(spans))
	start, changes := time.Now(), 0
	for time.Since(start) < 5*time.Second {
		if _, err := operators.Change(context.Background(), &operator.Change{ID: fmt.Sprint("rate", changes), Base: uint64(20 + changes), Tables: tables}); err != nil {
			fmt.Println(err)
			break
		}
		changes++
	}
	fmt.Printf("     %.0f sequential changes a second\n", float64(changes)/5)
	cancel()
	operators.Close()
	cluster.stop()
}

// medianReadLatency returns the median latency of sequential reads of the tables.
func (cluster *cluster) medianReadLatency(client *Client) time.Duration {
	var spans []time.Duration
	for range 20 {
		sentAt := time.Now()
		if _, err := client.Tables(context.Background(), 0); err != nil {
			fmt.Println(err)
		}
		spans = append(spans, time.Since(sentAt))
		time.Sleep(37 * time.Millisecond)
	}
	slices.Sort(spans)
	return spans[len(spans)/2]
}

// measureGrants prints the rate and the latency of grants to callers that each request run
// rights sequentially.
func measureGrants(name string, callers int, latency, syncTime time.Duration, configure func(*batcher)) {
	cluster := startControlCluster(latency, syncTime)
	for _, service := range cluster.services {
		configure(&service.ledgerBatcher)
	}
	time.Sleep(3 * time.Second)
	clients := []*Client{cluster.client("10.1.0.1"), cluster.client("10.2.0.1"), cluster.client("10.3.0.1")}
	for _, client := range clients {
		_, _ = client.Status(context.Background())
	}
	var recorder latencyRecorder
	start := time.Now()
	const span = time.Second
	for number := range callers {
		recorder.Go(func() {
			client := clients[number%len(clients)]
			for time.Since(start) < span {
				sentAt := time.Now()
				grant, err := client.Grant(context.Background(), &GrantRequest{RequestID: caller.NewRequestID(time.Now().Add(time.Hour)), Nonce: uint64(number)})
				if err == nil && grant.Granted {
					recorder.add(time.Since(sentAt))
				}
			}
		})
	}
	recorder.Wait()
	slices.Sort(recorder.spans)
	count := len(recorder.spans)
	if count > 0 {
		fmt.Printf("%5d callers, %6v one way, sync %v, %-28s %7.0f grants a second, latency p50 %v, p99 %v\n", callers, latency, syncTime, name,
			float64(count)/span.Seconds(), recorder.spans[count/2].Round(100*time.Microsecond), recorder.spans[count*99/100].Round(100*time.Microsecond))
	}
	for _, client := range clients {
		client.Close()
	}
	cluster.stop()
}

type (
	latencyRecorder struct {
		sync.WaitGroup
		lock  sync.Mutex
		spans []time.Duration
	}
)

func (recorder *latencyRecorder) add(span time.Duration) {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	recorder.spans = append(recorder.spans, span)
}

// measureLedger fills a ledger and prints the memory, snapshot size and time per ID.
func measureLedger(ids int) {
	var before, after runtime.MemStats
	state, now := &State{}, time.Now()
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := time.Now()
	for number := range ids {
		request := GrantRequest{RequestID: caller.NewRequestID(now.Add(time.Duration(number%3600) * time.Second)), Nonce: uint64(number)}
		state.data.apply(&envelope{GrantRun: &grantRun{Request: request, Now: now.Add(-time.Minute)}}, 0)
	}
	elapsed := time.Since(start)
	runtime.GC()
	runtime.ReadMemStats(&after)
	start = time.Now()
	snapshot, _ := state.Snapshot()
	fmt.Printf("%7d IDs: %.0f bytes of memory, %.0f bytes in a snapshot and %v to grant per ID; a snapshot takes %v\n", ids,
		float64(after.HeapAlloc-before.HeapAlloc)/float64(ids), float64(len(snapshot))/float64(ids), elapsed/time.Duration(ids), time.Since(start))
}

func TestMeasure(t *testing.T) {
	if *measure == "" {
		t.Log("run with -measure=entries, grants or ledger for the figures of docs/design/membership.md and run_ledger.md")
		return
	}
	var pool operator.Pool
	tables := operator.Tables{}
	for number := range 8 {
		pool.Name, pool.Slots, pool.Connections = fmt.Sprint("pool-", number), 2, 25
		tables.Pools = append(tables.Pools, pool)
		tables.Routes = append(tables.Routes, operator.Route{Kind: pool.Name + ".search", Pool: pool.Name})
	}
	if *measure == "ledger" {
		measureLedger(10_000)
		measureLedger(1_000_000)
	}
	for _, entries := range []int{6, 60, 600} {
		if *measure != "entries" {
			break
		}
		bubble.Test(t, func(*testing.T) {
			measureEntries(entries, 12*time.Millisecond, tables)
			time.Sleep(time.Minute)
		})
	}
	settings := []struct {
		name      string
		configure func(*batcher)
	}{
		{"one write a request", func(batcher *batcher) { batcher.maximumBatchSize, batcher.maximumInFlight = 1, maximumQueue }},
		{"batches, depth 1", func(batcher *batcher) { batcher.maximumInFlight = 1 }},
		{"batches, depth 2", func(batcher *batcher) { batcher.maximumInFlight = 2 }},
		{"batches, depth 8", func(batcher *batcher) { batcher.maximumInFlight = 8 }},
		{"batches, depth 2, window 2ms", func(batcher *batcher) { batcher.window = 2 * time.Millisecond }},
		{"batches, depth 2, window 5ms", func(batcher *batcher) { batcher.window = 5 * time.Millisecond }},
	}
	for _, latency := range []time.Duration{100 * time.Microsecond, 12 * time.Millisecond} {
		if *measure != "grants" {
			break
		}
		for _, callers := range []int{1, 64, 256} {
			for _, setting := range settings {
				bubble.Test(t, func(*testing.T) {
					measureGrants(setting.name, callers, latency, time.Millisecond, setting.configure)
					time.Sleep(time.Minute)
				})
			}
		}
	}
}
