package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// shortSpan is how long faults come in the run of CI.
	shortSpan = 10 * time.Second
	firstSeed = 1
	// failedSeedsFile lists seeds that failed once, which CI runs again.
	failedSeedsFile = "testdata/failed_seeds.txt"
)

var (
	start = time.Unix(1_900_000_000, 0)
)

// sound returns a record that breaks no promise: a query, a read with a retry, an
// order, and two versions.
func sound() *record {
	record := &record{}
	for shard := range shards {
		pool := shardPool(shard)
		record.runs = append(record.runs, run{id: "search-1", pool: pool, proof: pool + "/t/1", at: start})
	}
	record.sendings = append(record.sendings,
		sending{id: "search-1", route: routeSearch, begun: start, ended: start.Add(time.Millisecond), status: statusOK, proofs: []string{"shard-0/t/1", "shard-1/t/1", "shard-2/t/1", "shard-3/t/1"}},
		sending{id: "read-1", route: routeRead, begun: start, ended: start.Add(time.Millisecond), status: statusOK, proofs: []string{"orders/t/1"}, body: "orders/t/1"},
		sending{id: "order-1", route: routeOrder, begun: start, ended: start.Add(time.Millisecond), status: 503, notRun: true},
	)
	record.sendings[0].body = record.sendings[0].expected()
	record.runs = append(record.runs, run{id: "read-1", pool: orderPool, proof: "orders/t/0", at: start}, run{id: "read-1", pool: orderPool, proof: "orders/t/1", at: start})
	record.acks = []acknowledged{{1, start}, {2, start.Add(time.Second)}}
	record.readings = []reading{{1, start, start.Add(time.Second / 2)}, {2, start.Add(2 * time.Second), start.Add(3 * time.Second)}}
	return record
}

func TestSoundRecordBreaksNoPromise(t *testing.T) {
	if found := sound().violations(); len(found) > 0 {
		t.Errorf("%v", found)
	}
}

// TestEachCheckFailsOnABrokenRecord changes one thing of a sound record at a time.
func TestEachCheckFailsOnABrokenRecord(t *testing.T) {
	for name, broken := range map[string]struct {
		change func(record *record)
		tells  string
	}{
		"an answer of nobody":       {func(record *record) { record.sendings[1].proofs[0], record.sendings[1].body = "x", "x" }, "which no target gave"},
		"another body":              {func(record *record) { record.sendings[1].body = "other" }, "not"},
		"a query with wrong parts":  {func(record *record) { record.sendings[0].body = "wrong" }, "not"},
		"a part that isn't counted": {func(record *record) { record.sendings[0].proofs = record.sendings[0].proofs[1:] }, "missing parts"},
		"not run, and ran": {func(record *record) {
			record.runs = append(record.runs, run{id: "order-1", pool: orderPool, at: start})
		}, "said not to have run"},
		"an order run twice": {func(record *record) {
			record.runs = append(record.runs, run{id: "order-2", pool: orderPool, at: start}, run{id: "order-2", pool: orderPool, at: start})
		}, "ran 2 times"},
		"a read run three times":      {func(record *record) { record.runs = append(record.runs, run{id: "read-1", pool: orderPool, at: start}) }, "ran 3 times"},
		"no answer without any fault": {func(record *record) { record.sendings[1].failed = "timeout" }, "had no fault"},
		"cut in a planned stop": {func(record *record) {
			record.sendings[1].failed = "reset"
			record.spans = []span{{planned: true, from: start, until: start.Add(time.Second)}}
		}, "cut in a planned stop"},
		"a budget that is overdrawn": {func(record *record) {
			for number := range 60 {
				id := fmt.Sprint("read-", 2+number)
				record.runs = append(record.runs, run{id: id, pool: "p", at: start}, run{id: id, pool: "p", at: start.Add(time.Second)})
			}
			for number := range 10 {
				record.runs = append(record.runs, run{id: fmt.Sprint("read-", 2+number), pool: "p", at: start.Add(time.Second)})
			}
		}, "extra arrivals"},
		"a harmful request that comes through": {func(record *record) {
			for number := range 7 {
				record.runs = append(record.runs, run{id: fmt.Sprint("harmful-", number), pool: orderPool, at: start})
			}
		}, "crashed 7 targets"},
		"an acknowledged version lost": {func(record *record) { record.readings[1].declared = 1 }, "a later read showed 1"},
		"versions that go back": {func(record *record) {
			record.acks = nil
			record.readings[1].declared = 0
		}, "and a later one 0"},
		"a system that isn't well at the end": {func(record *record) { record.fail("entry 1 isn't well") }, "isn't well"},
	} {
		record := sound()
		broken.change(record)
		if found := strings.Join(record.violations(), "\n"); !strings.Contains(found, broken.tells) {
			t.Errorf("%s: %q", name, found)
		}
	}
}

// TestFaultsExcuseWhatTheyCause checks that a killed entry may leave requests
// without an answer.
func TestFaultsExcuseWhatTheyCause(t *testing.T) {
	record := sound()
	record.sendings[1].failed, record.sendings[1].status = "reset", 0
	record.spans = []span{{from: start, until: start.Add(time.Second)}}
	if found := record.violations(); len(found) > 0 {
		t.Errorf("%v", found)
	}
}

// TestProxyBringsFaultsAbout sends a line through the proxy to an echo under each
// fault.
func TestProxyBringsFaultsAbout(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = echo.Close() }()
	go func() {
		for {
			connection, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				piece := make([]byte, 16)
				for {
					count, err := connection.Read(piece)
					if err != nil {
						return
					}
					_, _ = connection.Write(piece[:count])
				}
			}()
		}
	}()
	proxy := &proxy{address: "127.0.0.1:0", to: echo.Addr().String()}
	if err := proxy.open(); err != nil {
		t.Fatal(err)
	}
	defer proxy.close()
	for fault, answers := range map[wayFault]bool{pass: true, delay: true, reset: false, oneWay: false, silent: false} {
		proxy.set(fault)
		connection, err := net.Dial("tcp", proxy.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = connection.Write([]byte("line"))
		// Only the faults that answer nothing run into the deadline.
		wait := time.Minute
		if !answers {
			wait = time.Second / 4
		}
		_ = connection.SetReadDeadline(time.Now().Add(wait))
		piece := make([]byte, 16)
		count, err := connection.Read(piece)
		if answered := err == nil && string(piece[:count]) == "line"; answered != answers {
			t.Errorf("fault %d: answered %t (%v)", fault, answered, err)
		}
		_ = connection.Close()
	}
}

// TestShortSoak runs the first seed and those that failed once.
func TestShortSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "comfreythread")
	if output, err := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "gitlab.com/comfreythread/comfreythread/cmd/comfreythread").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	for _, seed := range append([]uint64{firstSeed}, failedSeeds(t)...) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			var notes strings.Builder
			soak := newSoak(seed, binary, t.TempDir(), &notes)
			for _, violation := range soak.run(context.Background(), shortSpan) {
				t.Error(violation)
			}
			if t.Failed() {
				t.Log(notes.String())
			}
			t.Log(soak.summary())
		})
	}
}

func failedSeeds(t *testing.T) []uint64 {
	data, err := os.ReadFile(failedSeedsFile)
	if err != nil {
		t.Fatal(err)
	}
	var seeds []uint64
	for line := range strings.Lines(string(data)) {
		text, _, _ := strings.Cut(line, "#")
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatalf("%s: %q is no seed", failedSeedsFile, text)
		}
		seeds = append(seeds, seed)
	}
	return seeds
}
