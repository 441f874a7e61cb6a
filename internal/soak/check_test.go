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

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// shortSpan is how long TestShortSoak, which CI runs, injects faults for each seed.
	shortSpan = 10 * time.Second
	firstSeed = 1
	// failedSeedsFile lists seeds that failed before, which CI runs again.
	failedSeedsFile = "testdata/failed_seeds.txt"
)

var (
	start = time.Unix(1_900_000_000, 0)
)

// validRecord returns a record without violations: a search, a read with a retry, a refused
// order, and two acknowledged versions.
func validRecord() *record {
	record := &record{}
	for shard := range shards {
		pool := shardPool(shard)
		record.runs = append(record.runs, targetRun{id: "search-1", pool: pool, proof: pool + "/t/1", at: start})
	}
	record.requests = append(record.requests,
		sentRequest{id: "search-1", route: routeSearch, started: start, ended: start.Add(time.Millisecond), status: statusOK, proofs: []string{"shard-0/t/1", "shard-1/t/1", "shard-2/t/1", "shard-3/t/1"}},
		sentRequest{id: "read-1", route: routeRead, started: start, ended: start.Add(time.Millisecond), status: statusOK, proofs: []string{"orders/t/1"}, body: "orders/t/1"},
		sentRequest{id: "order-1", route: routeOrder, started: start, ended: start.Add(time.Millisecond), status: 503, notRun: true},
	)
	record.requests[0].body = record.requests[0].expected()
	record.runs = append(record.runs, targetRun{id: "read-1", pool: orderPool, proof: "orders/t/0", at: start}, targetRun{id: "read-1", pool: orderPool, proof: "orders/t/1", at: start})
	record.acknowledgments = []acknowledgment{{1, start}, {2, start.Add(time.Second)}}
	record.versionReads = []versionRead{{1, start, start.Add(time.Second / 2)}, {2, start.Add(2 * time.Second), start.Add(3 * time.Second)}}
	return record
}

func TestValidRecordHasNoViolations(t *testing.T) {
	if found := validRecord().violations(); len(found) > 0 {
		t.Errorf("%v", found)
	}
}

// releaseRecord returns a valid record of a rollout of the release v2, to which every twentieth of 2000
// requests went, with the given fault.
func releaseRecord(fault releaseFault) *record {
	record := &record{rollouts: []rollout{{release: "v2", fault: fault, ordered: start, phase: operator.PhaseRolledBack}}}
	for number := range 2000 {
		run := targetRun{id: strconv.Itoa(number), pool: releasePool, release: "v1", at: start.Add(time.Duration(number) * time.Millisecond)}
		if number%20 == 0 {
			run.release, run.failed = "v2", fault.failureShare > 0
		}
		record.runs = append(record.runs, run)
	}
	return record
}

// Guards against a check of rollouts that finds nothing, and against one that reports good releases.
func TestRolloutChecks(t *testing.T) {
	lateRun := func(record *record) {
		record.runs = append(record.runs, targetRun{id: "late", pool: releasePool, release: "v2", at: start.Add(8 * time.Second)})
	}
	manyRuns := func(record *record) {
		for number := range record.runs[:400] {
			record.runs[number].release = "v2"
		}
	}
	complete := func(record *record) { record.rollouts[0].phase = operator.PhaseCompleted }
	bad := releaseFault{failureShare: 1}
	for name, test := range map[string]struct {
		fault   releaseFault
		change  func(record *record)
		message string
	}{
		"nothing":         {bad, func(*record) {}, ""},
		"late run":        {bad, lateRun, "after the 50. failure"},
		"many runs":       {releaseFault{slowFactor: 2}, manyRuns, "are allowed"},
		"completed":       {bad, complete, "was completed"},
		"good, late run":  {releaseFault{}, lateRun, ""},
		"good, many runs": {releaseFault{}, manyRuns, ""},
		"good, completed": {releaseFault{}, complete, ""},
	} {
		record := releaseRecord(test.fault)
		test.change(record)
		found := strings.Join(record.checkRollouts(), "; ")
		if (found == "") != (test.message == "") || !strings.Contains(found, test.message) {
			t.Errorf("%s: found %q, not %q", name, found, test.message)
		}
	}
}

// TestEachCheckDetectsItsViolation puts one violation at a time into a valid record.
func TestEachCheckDetectsItsViolation(t *testing.T) {
	for name, test := range map[string]struct {
		change  func(record *record)
		message string
	}{
		"an answer without a run":   {func(record *record) { record.requests[1].proofs[0], record.requests[1].body = "x", "x" }, "which no target returned"},
		"a wrong body":              {func(record *record) { record.requests[1].body = "other" }, "not"},
		"a search with wrong parts": {func(record *record) { record.requests[0].body = "wrong" }, "not"},
		"a part that isn't counted": {func(record *record) { record.requests[0].proofs = record.requests[0].proofs[1:] }, "missing parts"},
		"reported as not run, but ran": {func(record *record) {
			record.runs = append(record.runs, targetRun{id: "order-1", pool: orderPool, at: start})
		}, "reported as not run"},
		"an order run twice": {func(record *record) {
			record.runs = append(record.runs, targetRun{id: "order-2", pool: orderPool, at: start}, targetRun{id: "order-2", pool: orderPool, at: start})
		}, "ran 2 times"},
		"a read run three times": {func(record *record) {
			record.runs = append(record.runs, targetRun{id: "read-1", pool: orderPool, at: start})
		}, "ran 3 times"},
		"no answer without any fault": {func(record *record) { record.requests[1].failure = "timeout" }, "had no fault"},
		"a request cut off by a planned stop": {func(record *record) {
			record.requests[1].failure = "reset"
			record.outages = []outage{{planned: true, from: start, until: start.Add(time.Second)}}
		}, "cut off by a planned stop"},
		"a retry budget exceeded": {func(record *record) {
			for number := range 60 {
				id := fmt.Sprint("read-", 2+number)
				record.runs = append(record.runs, targetRun{id: id, pool: "p", at: start}, targetRun{id: id, pool: "p", at: start.Add(time.Second)})
			}
			for number := range 10 {
				record.runs = append(record.runs, targetRun{id: fmt.Sprint("read-", 2+number), pool: "p", at: start.Add(time.Second)})
			}
		}, "repeated runs"},
		"a harmful request not quarantined": {func(record *record) {
			for number := range 7 {
				record.runs = append(record.runs, targetRun{id: fmt.Sprint("harmful-", number), pool: orderPool, at: start})
			}
		}, "crashed 7 targets"},
		"a limit of a target exceeded": {func(record *record) {
			from := time.Now()
			record.limits = []targetLimit{{target: "t", perSecond: 1, from: from, until: from.Add(time.Minute)}}
			for number := range 12 {
				record.runs = append(record.runs, targetRun{id: "limited", pool: "limited", target: "t", at: from.Add(limitContact + time.Duration(number+1)*300*time.Millisecond)})
			}
		}, "for a limit of 1.0"},
		"an acknowledged version lost": {func(record *record) { record.versionReads[1].declaredVersion = 1 }, "a later read returned 1"},
		"a version that reverts": {func(record *record) {
			record.acknowledgments = nil
			record.versionReads[1].declaredVersion = 0
		}, "and a later one 0"},
		"a system that doesn't recover": {func(record *record) { record.addFailure("entry 1 has not recovered") }, "entry 1 has not recovered"},
	} {
		record := validRecord()
		test.change(record)
		if found := strings.Join(record.violations(), "\n"); !strings.Contains(found, test.message) {
			t.Errorf("%s: the expected violation is not among %q", name, found)
		}
	}
}

// TestOutageExcusesFailedRequests checks that requests to an entry in an unplanned outage may
// fail.
func TestOutageExcusesFailedRequests(t *testing.T) {
	record := validRecord()
	record.requests[1].failure, record.requests[1].status = "reset", 0
	record.outages = []outage{{from: start, until: start.Add(time.Second)}}
	if found := record.violations(); len(found) > 0 {
		t.Errorf("%v", found)
	}
}

// TestProxyInjectsFaults sends a line through the proxy to an echo server under each fault.
func TestProxyInjectsFaults(t *testing.T) {
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
				buffer := make([]byte, 16)
				for {
					count, err := connection.Read(buffer)
					if err != nil {
						return
					}
					_, _ = connection.Write(buffer[:count])
				}
			}()
		}
	}()
	proxy := &proxy{address: "127.0.0.1:0", upstreamAddress: echo.Addr().String()}
	if err := proxy.open(); err != nil {
		t.Fatal(err)
	}
	defer proxy.close()
	for fault, answers := range map[linkFault]bool{forward: true, delay: true, reset: false, dropAnswers: false, dropAll: false} {
		proxy.setFault(fault)
		connection, err := net.Dial("tcp", proxy.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = connection.Write([]byte("line"))
		// Faults that drop the answer run into this deadline, so it is short for them.
		wait := time.Minute
		if !answers {
			wait = time.Second / 4
		}
		_ = connection.SetReadDeadline(time.Now().Add(wait))
		buffer := make([]byte, 16)
		count, err := connection.Read(buffer)
		if answered := err == nil && string(buffer[:count]) == "line"; answered != answers {
			t.Errorf("fault %d: answered %t, want the opposite (error %v)", fault, answered, err)
		}
		_ = connection.Close()
	}
}

// TestShortSoak runs the first seed and the seeds that failed before.
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
			t.Fatalf("%s: %q is not a seed", failedSeedsFile, text)
		}
		seeds = append(seeds, seed)
	}
	return seeds
}
