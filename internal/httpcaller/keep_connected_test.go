package httpcaller_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
)

const (
	// connectTime is how long a target takes to accept a connection, and maximumOpenings how many may be opened at a time.
	connectTime     = 100 * time.Millisecond
	maximumOpenings = 16
)

// countOpenings notes when connections to targets begin to be opened.
func (fleet *fleet) countOpenings() func() []time.Time {
	var lock sync.Mutex
	var openings []time.Time
	fleet.network.Watch(func(traffic standin.Traffic) {
		if traffic.Opening && strings.HasPrefix(traffic.To, targetNetwork) {
			lock.Lock()
			defer lock.Unlock()
			openings = append(openings, time.Now())
		}
	})
	return func() []time.Time {
		lock.Lock()
		defer lock.Unlock()
		return openings
	}
}

// Guards against hundreds of connections that an entry opens at once after a change of the tables, for which its
// requests wait.
func TestConnectionsAreOpenedInAdvanceAFewAtATime(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 1, 100)
		openings := fleet.countOpenings()
		fleet.network.SetConnectTime(func(string, string) time.Duration { return connectTime })
		go fleet.entries[0].server.KeepConnected(t.Context())
		time.Sleep(3 * time.Second)
		opened := openings()
		if len(opened) != len(fleet.targets) {
			t.Errorf("%d connections are opened to %d targets", len(opened), len(fleet.targets))
		}
		for index := maximumOpenings; index < len(opened); index++ {
			if span := opened[index].Sub(opened[index-maximumOpenings]); span < connectTime {
				t.Fatalf("%d connections are being opened within %s", maximumOpenings+1, span)
			}
		}
	})
}

// Guards against targets that accept no connections and get a new try from every entry twice a second.
func TestTargetWithoutConnectionsIsTriedLessOften(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 1, 1)
		openings := fleet.countOpenings()
		fleet.network.Down(fleet.targets[0].ip)
		go fleet.entries[0].server.KeepConnected(t.Context())
		time.Sleep(20 * time.Second)
		if tries := len(openings()); tries < 4 || tries > 8 {
			t.Errorf("%d tries in 20 s", tries)
		}
		fleet.network.Up(fleet.targets[0].ip)
		upAt := time.Now()
		time.Sleep(5 * time.Second)
		if opened := openings(); !opened[len(opened)-1].After(upAt) {
			t.Error("not tried again within 5 s")
		}
	})
}
