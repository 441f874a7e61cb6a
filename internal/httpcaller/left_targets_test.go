package httpcaller_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// usualRunTime is after how long the targets of these tests usually answer, and so when hedges are sent.
	usualRunTime = time.Second
	// leftDomain is the failure domain of the target that leaves.
	leftDomain = "sud-a"
)

// Guards against hedges and retries that are sent to a target which left, ended or was taken out of service while the
// request waited for another one. Targets were ranked once, when the request began.
func TestWaitingRequestIsNotSentToATargetThatLeft(t *testing.T) {
	for name, leave := range map[string]func(fleet *fleet, record httptarget.Record) error{
		"leaving": func(fleet *fleet, record httptarget.Record) error {
			record.State, record.Revision = httptarget.StateLeaving, 2
			return fleet.registry.Announce(record)
		},
		"ended": func(fleet *fleet, record httptarget.Record) error {
			return fleet.endTarget(record.ID)
		},
		"out of service": func(fleet *fleet, _ httptarget.Record) error {
			fleet.tables.FailureDomainsOut = []string{leftDomain}
			fleet.setRoute(func(*operator.Route) {})
			return nil
		},
		"no longer allowed": func(fleet *fleet, _ httptarget.Record) error {
			fleet.setRoute(func(route *operator.Route) { route.HTTP.Regions = []string{"nord"} })
			return nil
		},
	} {
		for _, isMute := range []bool{true, false} {
			t.Run(name+" mute "+strconv.FormatBool(isMute), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) { expectNoRequestAfterLeaving(t, isMute, leave) })
			})
		}
	}
}

// expectNoRequestAfterLeaving sends requests to three targets that don't answer, or fail after a while, and fails the test if
// one of them gets any after it has left.
func expectNoRequestAfterLeaving(t *testing.T, isMute bool, leave func(fleet *fleet, record httptarget.Record) error) {
	t.Helper()
	fleet := newFleet(t, 1, 3)
	left := httptarget.Record{
		ID: "target-1", Pool: "p", Address: fleet.targets[0].ip + ":80", FailureDomain: leftDomain,
		Slots: fleetSlots, State: httptarget.StateReady, StartedAt: 2, Revision: 1,
	}
	if err := fleet.registry.Announce(left); err != nil {
		t.Fatal(err)
	}
	fleet.setRoute(func(route *operator.Route) { route.HTTP.Timeout, route.HTTP.MaxAttempts = duration.Of(patience), 3 })
	for _, target := range fleet.targets {
		target.slowness.Store(int64(usualRunTime))
	}
	for range 10 {
		fleet.sendAll(6)
	}
	for _, target := range fleet.targets {
		target.setFailure(isMute)
	}
	var running sync.WaitGroup
	running.Go(func() { fleet.sendAll(20) })
	time.Sleep(100 * time.Millisecond)
	if err := leave(fleet, left); err != nil {
		t.Fatal(err)
	}
	leftAt := time.Now()
	running.Wait()
	if got := fleet.targets[0].arrivalsBetween(leftAt.Add(learnSpan), time.Now()); got > 0 {
		t.Errorf("%d requests reached the target more than %s after it left", got, learnSpan)
	}
	if others := fleet.arrivals(leftAt.Add(learnSpan)); others[1]+others[2] == 0 {
		t.Error("no request reached the others later; the test shows nothing")
	}
	time.Sleep(patience)
}

// sendAll sends requests at the same time and waits for their responses.
func (fleet *fleet) sendAll(count int) {
	var running sync.WaitGroup
	for range count {
		running.Go(func() { fleet.entries[0].sendWithin("/orders/7", patience) })
	}
	running.Wait()
}

// setFailure makes the target give no answer until its caller leaves, or close the connection after usualRunTime.
func (target *fleetTarget) setFailure(isMute bool) {
	var failure http.Handler = http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if isMute {
			<-request.Context().Done()
		} else {
			time.Sleep(usualRunTime)
		}
		panic(http.ErrAbortHandler)
	})
	target.bad.Store(&failure)
}

// Guards against attempts that an entry makes for another one at a target which it knows to be out of service.
func TestEntryMakesNoAttemptAtATargetOutOfService(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 2, 2)
		if err := fleet.registry.Announce(httptarget.Record{
			ID: "target-1", Pool: "p", Address: fleet.targets[0].ip + ":80", FailureDomain: leftDomain,
			Slots: fleetSlots, State: httptarget.StateReady, StartedAt: 2, Revision: 1,
		}); err != nil {
			t.Fatal(err)
		}
		unlinked, linked := fleet.entries[0], fleet.entries[1]
		unlinked.refused.Store(true)
		time.Sleep(learnSpan)
		tables := *fleet.tables
		tables.FailureDomainsOut = []string{leftDomain}
		linked.board.InForce().Replace(2, &tables)
		outAt := time.Now()
		for range 20 {
			if code := unlinked.send("/orders/7").Code; code != http.StatusOK {
				t.Errorf("status %d", code)
			}
		}
		if got := fleet.targets[0].arrivalsBetween(outAt, time.Now()); got > 0 {
			t.Errorf("%d requests reached the target that is out of service", got)
		}
	})
}
