package httpcaller_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/dialect"
)

const (
	// leaveSpan is how long a caller waits before it leaves, and leaveContact the time after that in which requests may
	// still reach targets.
	leaveSpan    = 50 * time.Millisecond
	leaveContact = 500 * time.Millisecond
	// peerStall is how long the links between entries stand still. It is less than the silence after which they are given up.
	peerStall = 900 * time.Millisecond
)

// sendAndLeave sends a request and closes the caller's connection after a while, if the response hasn't come by then.
func (entry *fleetEntry) sendAndLeave(id string, patience time.Duration) {
	ctx, leave := context.WithTimeout(context.Background(), patience)
	defer leave()
	request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/orders/7?"+id, http.NoBody)
	request.Host = "a.example"
	request.Header.Set(dialect.Default().RequestID, id)
	request.Header.Set(dialect.Default().Deadline, strconv.FormatInt(longTimeout.Milliseconds(), 10))
	defer func() {
		if recovered := recover(); recovered != nil && recovered != http.ErrAbortHandler { //nolint:errorlint // net/http compares in the same way
			panic(recovered)
		}
	}()
	entry.server.ServeHTTP(httptest.NewRecorder(), request)
}

// Guards against requests that reach targets long after their callers have left, because they waited on the way to an
// entry that lends its connections, which sends them before it reads that they were given up.
func TestLendingEntrySendsNothingForCallersThatHaveLeft(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 3, 4)
		unlinked := fleet.entries[0]
		unlinked.refused.Store(true)
		// The first requests open the sessions with the other entries.
		fleet.loadAll(1, 3*time.Second, 20, 0, 0)
		for _, lender := range fleet.entries[1:] {
			fleet.network.Cut(unlinked.ip, lender.ip)
		}
		var callers sync.WaitGroup
		for number := range 40 {
			callers.Go(func() { unlinked.sendAndLeave(fmt.Sprint("left-", number), leaveSpan) })
		}
		callers.Wait()
		leftAt := time.Now()
		time.Sleep(peerStall)
		for _, lender := range fleet.entries[1:] {
			fleet.network.Heal(unlinked.ip, lender.ip)
		}
		time.Sleep(2 * time.Second)
		if late := fleet.requestsSince(leftAt.Add(leaveContact)); late > 0 {
			t.Errorf("%d requests reached a target more than %s after their callers had left", late, leaveContact)
		}
		expectServed(t, "afterwards", fleet.loadAll(2, 3*time.Second, 20, 20, 20))
	})
}

// Guards against an entry that can't be asked, because a call was given up while its session was being opened, and is
// taken for one without links.
func TestLendingEntryIsNotBlamedForCallersThatLeave(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 2, 4)
		unlinked := fleet.entries[0]
		unlinked.refused.Store(true)
		fleet.network.SetConnectTime(func(string, string) time.Duration { return 2 * leaveSpan })
		for number := range 4 {
			unlinked.sendAndLeave(fmt.Sprint("left-", number), leaveSpan)
		}
		time.Sleep(2 * leaveSpan)
		if recorder := unlinked.send("/orders/7"); recorder.Code != http.StatusOK {
			t.Errorf("status %d, although another entry has links: %s", recorder.Code, recorder.Body)
		}
	})
}
