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
	// controls are three replicas on a network in memory.
	controls struct {
		network   standin.Network
		addresses []string
		replicas  []*replica.Replica
		services  []*Service
		servers   []*frame.Server
		clocks    []*vmClock
		cancel    context.CancelFunc
		carried   atomic.Int64
		between   atomic.Int64
		calls     atomic.Int64
	}

	// syncedLog takes as long as a disk does to sync each proposal, one after
	// the other.
	syncedLog struct {
		Log
		disk chan struct{}
		sync time.Duration
	}

	countedConnection struct {
		net.Conn
		carried *atomic.Int64
	}
)

func (log *syncedLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	log.disk <- struct{}{}
	time.Sleep(log.sync)
	<-log.disk
	return log.Log.Propose(ctx, command)
}

func (connection *countedConnection) Read(data []byte) (int, error) {
	count, err := connection.Conn.Read(data)
	connection.carried.Add(int64(count))
	return count, err
}

func (connection *countedConnection) Write(data []byte) (int, error) {
	connection.carried.Add(int64(len(data)))
	return connection.Conn.Write(data)
}

func startControls(latency, sync time.Duration) *controls {
	controls := &controls{}
	controls.network.SetLatency(func(from, to string) time.Duration {
		if from == to {
			return 0
		}
		return latency
	})
	ctx, cancel := context.WithCancel(context.Background())
	controls.cancel = cancel
	for number := range 3 {
		controls.addresses = append(controls.addresses, controls.ip(number)+":90")
	}
	for number, address := range controls.addresses {
		state, server, clock := &State{}, &frame.Server{}, &vmClock{}
		started := replica.New(replica.Options{
			Name: fmt.Sprintf("control-%d", number), Address: address, Peers: controls.addresses,
			Dial: controls.dialer(controls.ip(number), &controls.between), Now: clock.now,
		}, state)
		service := NewService(&syncedLog{Log: started, disk: make(chan struct{}, 1), sync: sync}, state)
		service.Register(server)
		started.Register(server)
		listener, _ := controls.network.Listen(address)
		go func() { _ = server.Serve(listener) }()
		go service.Run(ctx)
		_ = started.Start()
		controls.clocks = append(controls.clocks, clock)
		controls.replicas, controls.services, controls.servers = append(controls.replicas, started), append(controls.services, service), append(controls.servers, server)
	}
	return controls
}

func (controls *controls) ip(number int) string { return fmt.Sprintf("10.0.%d.1", number) }

func (controls *controls) stop() {
	controls.cancel()
	for _, started := range controls.replicas {
		_ = started.Stop(context.Background())
	}
	for _, server := range controls.servers {
		server.Stop()
	}
}

// client returns a client on a VM of its own, whose bytes are counted.
func (controls *controls) client(ip string) *Client {
	return NewClient(controls.addresses, controls.dialer(ip, &controls.carried))
}

func (controls *controls) dialer(ip string, carried *atomic.Int64) tcp.Dialer {
	dial := controls.network.Dialer(ip)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConnection{Conn: connection, carried: carried}, nil
	}
}

// entry renews as internal/entry does, and gives up targets at once.
func (controls *controls) entry(ctx context.Context, number int) {
	ip := fmt.Sprintf("10.%d.%d.%d", 1+number%3, number/250, 1+number%250)
	client := controls.client(ip)
	defer client.Close()
	member := membership.Member{
		ID: fmt.Sprintf("entry-domain-%d-%d", number%3, number), Incarnation: 1_700_000_000_000_000_000 + uint64(number),
		PeerAddress: ip + ":90", CallerAddress: ip + ":80", FailureDomain: fmt.Sprintf("domain-%d", number%3), Region: fmt.Sprintf("region-%d", number%3),
	}
	var view, version uint64
	for ctx.Err() == nil {
		lease, err := client.Renew(ctx, &Renewal{Member: member, Version: version, View: view, KnownView: view})
		controls.calls.Add(1)
		if err == nil && (lease.View != nil || lease.Tables != nil) {
			if lease.View != nil {
				view = lease.View.Number
			}
			version = lease.Version
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(RenewInterval):
		}
	}
}

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
	controls := startControls(latency, time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	for number := range entries {
		go controls.entry(ctx, number)
	}
	operators := controls.client("10.9.0.1")
	awaitInForce(operators, 0, entries)
	time.Sleep(2 * LeaseDuration)
	joined := controls.services[0].state.View().Number
	const steady = 20 * time.Second
	bytes, between, calls, processor := controls.carried.Load(), controls.between.Load(), controls.calls.Load(), processorTime()
	time.Sleep(steady)
	perEntry := float64(entries) * steady.Seconds()
	fmt.Printf("%4d entries, %v one way: %d views while joining; steady: %.1f renewals, %.0f bytes and %v of processor time an entry and second\n",
		entries, latency, joined, float64(controls.calls.Load()-calls)/perEntry, float64(controls.carried.Load()-bytes)/perEntry,
		time.Duration(float64(processorTime()-processor)/perEntry).Round(time.Microsecond))
	fmt.Printf("     %.0f bytes a second between replicas; a read of the tables takes %v (median of 20)\n",
		float64(controls.between.Load()-between)/steady.Seconds(), controls.readMedian(operators))
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
	start, made := time.Now(), 0
	for time.Since(start) < 5*time.Second {
		if _, err := operators.Change(context.Background(), &operator.Change{ID: fmt.Sprint("rate", made), Base: uint64(20 + made), Tables: tables}); err != nil {
			fmt.Println(err)
			break
		}
		made++
	}
	fmt.Printf("     %.0f changes a second one after the other\n", float64(made)/5)
	cancel()
	operators.Close()
	controls.stop()
}

// readMedian returns how long one read after the other takes.
func (controls *controls) readMedian(client *Client) time.Duration {
	var spans []time.Duration
	for range 20 {
		asked := time.Now()
		if _, err := client.Tables(context.Background(), 0); err != nil {
			fmt.Println(err)
		}
		spans = append(spans, time.Since(asked))
		time.Sleep(37 * time.Millisecond)
	}
	slices.Sort(spans)
	return spans[len(spans)/2]
}

// measureGrants lets callers ask for run rights one after the other.
func measureGrants(name string, callers int, latency, sync time.Duration, configure func(*batcher)) {
	controls := startControls(latency, sync)
	for _, service := range controls.services {
		configure(&service.ledger)
	}
	time.Sleep(3 * time.Second)
	clients := []*Client{controls.client("10.1.0.1"), controls.client("10.2.0.1"), controls.client("10.3.0.1")}
	for _, client := range clients {
		_, _ = client.Status(context.Background())
	}
	var done sync2
	start := time.Now()
	const span = time.Second
	for number := range callers {
		done.Go(func() {
			client := clients[number%len(clients)]
			for time.Since(start) < span {
				asked := time.Now()
				grant, err := client.Grant(context.Background(), &GrantRequest{RequestID: caller.NewRequestID(time.Now().Add(time.Hour)), Nonce: uint64(number)})
				if err == nil && grant.Granted {
					done.add(time.Since(asked))
				}
			}
		})
	}
	done.Wait()
	slices.Sort(done.spans)
	count := len(done.spans)
	if count > 0 {
		fmt.Printf("%5d callers, %6v one way, sync %v, %-28s %7.0f grants a second, latency p50 %v, p99 %v\n", callers, latency, sync, name,
			float64(count)/span.Seconds(), done.spans[count/2].Round(100*time.Microsecond), done.spans[count*99/100].Round(100*time.Microsecond))
	}
	for _, client := range clients {
		client.Close()
	}
	controls.stop()
}

type (
	sync2 struct {
		sync.WaitGroup
		lock  sync.Mutex
		spans []time.Duration
	}
)

func (done *sync2) add(span time.Duration) {
	done.lock.Lock()
	defer done.lock.Unlock()
	done.spans = append(done.spans, span)
}

// measureLedger fills a ledger and prints what an ID costs.
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
	spent := time.Since(start)
	runtime.GC()
	runtime.ReadMemStats(&after)
	start = time.Now()
	snapshot, _ := state.Snapshot()
	fmt.Printf("%7d IDs: %.0f bytes of memory, %.0f bytes of a snapshot and %v to grant, each; a snapshot takes %v\n", ids,
		float64(after.HeapAlloc-before.HeapAlloc)/float64(ids), float64(len(snapshot))/float64(ids), spent/time.Duration(ids), time.Since(start))
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
		name  string
		apply func(*batcher)
	}{
		{"one write a request", func(batcher *batcher) { batcher.limit, batcher.depth = 1, maximumQueue }},
		{"batches, depth 1", func(batcher *batcher) { batcher.depth = 1 }},
		{"batches, depth 2", func(batcher *batcher) { batcher.depth = 2 }},
		{"batches, depth 8", func(batcher *batcher) { batcher.depth = 8 }},
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
					measureGrants(setting.name, callers, latency, time.Millisecond, setting.apply)
					time.Sleep(time.Minute)
				})
			}
		}
	}
}
