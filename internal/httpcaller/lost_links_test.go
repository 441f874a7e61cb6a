package httpcaller_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// linkContact is the time from the loss of its links until an entry has to serve again.
	linkContact = 5 * time.Second
)

// expectServed fails if more first tries failed than 10 and one in 50.
func expectServed(t *testing.T, when string, statuses map[int]int) {
	t.Helper()
	asked := 0
	for _, count := range statuses {
		asked += count
	}
	if failed := asked - statuses[200]; failed > 10+asked/50 {
		t.Errorf("%s: %d of %d requests failed: %v", when, failed, asked, statuses)
	}
}

// Guards against entries that refuse or lose requests because their own links to all targets are
// lost, while entries beside them have links. The links are lost in three ways.
func TestEntryWithoutLinksServesThroughOthers(t *testing.T) {
	ways := map[string]func(*fleet, *fleetEntry, bool){
		"connections hang": func(fleet *fleet, entry *fleetEntry, up bool) { fleet.setLinks(entry, up) },
		"connections are reset and refused": func(fleet *fleet, entry *fleetEntry, up bool) {
			if entry.refused.Store(!up); !up {
				fleet.network.Break(entry.ip)
			}
		},
		"new connections are refused": func(_ *fleet, entry *fleetEntry, up bool) { entry.refused.Store(!up) },
	}
	for way, setLinks := range ways {
		for _, lost := range []int{1, 4} {
			t.Run(fmt.Sprintf("%s, at %d of 6", way, lost), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					fleet := newFleet(t, 6, 4)
					rates := []float64{20, 20, 20, 20, 0, 0}
					fleet.loadAll(1, time.Second, rates...)
					for round := range 2 {
						for _, entry := range fleet.entries[:lost] {
							setLinks(fleet, entry, false)
						}
						fleet.loadAll(2, linkContact, rates...)
						expectServed(t, fmt.Sprintf("round %d, without links", round), fleet.loadAll(3, 5*time.Second, rates...))
						for _, entry := range fleet.entries[:lost] {
							setLinks(fleet, entry, true)
						}
						fleet.loadAll(4, linkContact, rates...)
						expectServed(t, fmt.Sprintf("round %d, with links again", round), fleet.loadAll(5, 2*time.Second, rates...))
					}
				})
			})
		}
	}
}

// Guards against spare entries that have links but lend no connection, while all active entries have lost theirs.
func TestSpareEntriesServeThoseWithoutLinks(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 6, 4)
		gathered := ordersRoute()
		gathered.Kind, gathered.Pool, gathered.HTTP.PathPrefix = "sweep", "", "/sweep/"
		gathered.HTTP.Gather = &operator.Gather{Pools: []string{"p"}, Top: 1, MinimumCoverage: 1}
		tables := &operator.Tables{Routes: append(slices.Clone(fleet.tables.Routes), gathered), Pools: slices.Clone(fleet.tables.Pools)}
		tables.Pools[0].Connections = 12
		rates := make([]float64, len(fleet.entries))
		spares := 0
		for index, entry := range fleet.entries {
			entry.board.InForce().Replace(2, tables)
			if entry.server.IsSpare(entry.member.ID) {
				spares++
				continue
			}
			rates[index] = 20
		}
		if spares == 0 || spares == len(fleet.entries) {
			t.Fatalf("%d of %d entries are spare", spares, len(fleet.entries))
		}
		fleet.loadAll(1, time.Second, rates...)
		setLinks := func(up bool) {
			for index, entry := range fleet.entries {
				if rates[index] > 0 {
					fleet.setLinks(entry, up)
				}
			}
		}
		setLinks(false)
		fleet.loadAll(2, linkContact, rates...)
		expectServed(t, "without links", fleet.loadAll(3, 5*time.Second, rates...))
		setLinks(true)
		fleet.loadAll(4, linkContact, rates...)
	})
}

// Guards against requests that are held, or said to have possibly run, where no entry has a link.
func TestRequestWithoutAnyLinkIsRefusedAtOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 3, 4)
		rates := []float64{30, 30, 30}
		fleet.loadAll(1, time.Second, rates...)
		for _, entry := range fleet.entries {
			entry.refused.Store(true)
			fleet.network.Break(entry.ip)
		}
		fleet.loadAll(2, 2*time.Second, rates...)
		for range 50 {
			sentAt := time.Now()
			recorder := fleet.entries[0].send("/orders/7")
			if recorder.Code != http.StatusServiceUnavailable || !strings.Contains(recorder.Body.String(), `"not_run":true`) || recorder.Header().Get("Retry-After") < "0.300" {
				t.Fatalf("status %d: %s", recorder.Code, recorder.Body)
			}
			if elapsed := time.Since(sentAt); elapsed > 100*time.Millisecond {
				t.Fatalf("refused after %s", elapsed)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// Guards against targets that are blamed, and requests that are kept from all targets, because an
// entry's own links were reset while it waited for answers.
func TestLostLinksAreNoCrashes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 3, 4)
		rates := []float64{60, 60, 0}
		fleet.loadAll(1, time.Second, rates...)
		var running sync.WaitGroup
		running.Go(func() { fleet.loadAll(2, 4*time.Second, rates...) })
		for range 10 {
			time.Sleep(300 * time.Millisecond)
			for _, entry := range fleet.entries[:2] {
				entry.refused.Store(true)
				fleet.network.Break(entry.ip)
			}
			time.Sleep(50 * time.Millisecond)
			for _, entry := range fleet.entries[:2] {
				entry.refused.Store(false)
			}
		}
		running.Wait()
		if quarantines := fleet.entries[0].board.Verdicts().Quarantines(); len(quarantines) > 0 {
			t.Errorf("%d requests are kept from all targets", len(quarantines))
		}
	})
}

// Guards against requests that wait for one entry after the other to find that a target is down.
func TestTargetThatIsDownDelaysFewRequests(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 6, 3)
		rates := []float64{20, 20, 20, 20, 20, 20}
		fleet.loadAll(1, time.Second, rates...)
		fleet.network.Down(fleet.targets[0].ip)
		fleet.loadAll(2, time.Second, rates...)
		late := 0
		const requests = 300
		for number := range requests {
			sentAt := time.Now()
			if recorder := fleet.entries[number%len(fleet.entries)].send("/orders/7"); recorder.Code != http.StatusOK {
				t.Fatalf("status %d: %s", recorder.Code, recorder.Body)
			}
			if time.Since(sentAt) > 60*time.Millisecond {
				late++
			}
			time.Sleep(20 * time.Millisecond)
		}
		if late > requests/50 {
			t.Errorf("%d of %d requests took over 60 ms", late, requests)
		}
	})
}
