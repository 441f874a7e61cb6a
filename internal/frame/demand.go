// This file exists so that a link on which nothing is awaited sends nothing,
// and one that has died is still noticed within the silence limit of its use.

package frame

import (
	"net"
	"sync"
	"time"
)

const (
	// idleLimit is the span without a call after which the client closes a
	// link that beats on demand.
	idleLimit = time.Minute
	// abandonedLimit is the server's, so that the client closes first.
	abandonedLimit = 2 * idleLimit
)

type (
	// demand is what a link that beats on demand awaits of its peer. The
	// client sends pings while a call is in flight, or while an abandoned one
	// left open whether the peer is alive, and the server answers each.
	demand struct {
		connection net.Conn
		// wake tells the client's beat that a call has begun.
		wake chan struct{}

		lock     sync.Mutex
		inFlight int
		// unheard states that nothing has come since the last call was sent.
		unheard bool
		readAt  time.Time
		usedAt  time.Time
		retired bool
	}
)

// newDemand also takes the kernel's probes off the connection, which would go
// on while the link is idle.
func newDemand(connection net.Conn) *demand {
	if probed, is := connection.(interface{ SetKeepAlive(on bool) error }); is {
		_ = probed.SetKeepAlive(false)
	}
	return &demand{connection: connection, wake: make(chan struct{}, 1), readAt: time.Now(), usedAt: time.Now()}
}

// call counts a call of the client, or reports that the link was given up.
func (demand *demand) call() bool {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	if demand.retired {
		return false
	}
	demand.begin()
	demand.unheard = true
	select {
	case demand.wake <- struct{}{}:
	default:
	}
	return true
}

// serve counts a call that the server has taken.
func (demand *demand) serve() {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	demand.begin()
}

// begin counts a call. A span that already runs isn't begun anew, so that calls
// which are given up early don't keep a dead link. The lock is held.
func (demand *demand) begin() {
	demand.usedAt = time.Now()
	if !demand.awaits() {
		_ = demand.connection.SetReadDeadline(demand.usedAt.Add(silenceLimit))
	}
	demand.inFlight++
}

func (demand *demand) end() {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	demand.usedAt = time.Now()
	demand.inFlight--
	if !demand.awaits() {
		_ = demand.connection.SetReadDeadline(time.Time{})
	}
}

// heard records that the peer has sent something.
func (demand *demand) heard() {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	demand.unheard = false
	demand.readAt = time.Now()
	if demand.awaits() {
		_ = demand.connection.SetReadDeadline(demand.readAt.Add(silenceLimit))
	} else {
		_ = demand.connection.SetReadDeadline(time.Time{})
	}
}

// awaits reports whether the peer must send something within the silence
// limit. The lock is held.
func (demand *demand) awaits() bool {
	return demand.inFlight > 0 || demand.unheard
}

// pings reports whether the peer must be asked for a sign, because nothing
// else brings one or nothing was written for the span between heartbeats.
func (demand *demand) pings(quiet bool) (awaits, pings bool) {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	return demand.awaits(), quiet || time.Since(demand.readAt) >= heartbeatInterval
}

// retire gives the link up where no call has used it for the limit.
func (demand *demand) retire(limit time.Duration) bool {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	demand.retired = demand.retired || !demand.awaits() && time.Since(demand.usedAt) >= limit
	return demand.retired
}

func (demand *demand) isRetired() bool {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	return demand.retired
}

// beatOnDemand is the client's beat on a link that beats on demand.
func (link *link) beatOnDemand() {
	for {
		awaits, pings := link.demand.pings(link.quiet())
		if awaits && pings && link.write(&message{Type: typePing}) != nil {
			return
		}
		span, wake := idleLimit, link.demand.wake
		if awaits {
			span, wake = heartbeatInterval, nil
		}
		select {
		case <-link.closed:
			return
		case <-wake:
			if !link.pauseBeat() {
				return
			}
		case <-time.After(span):
			if link.demand.retire(idleLimit) {
				link.close()
				return
			}
		}
	}
}

// pauseBeat spares a call that ends soon from a ping.
func (link *link) pauseBeat() bool {
	select {
	case <-link.closed:
		return false
	case <-time.After(heartbeatInterval):
		return true
	}
}

// answerPing is the server's only sign of life on a link that beats on demand.
func (link *link) answerPing() {
	if link.demand != nil {
		_ = link.write(&message{Type: typePong})
	}
}

// reclaim closes a server's link whose client is gone without a word.
func (link *link) reclaim() {
	for !link.demand.retire(abandonedLimit) {
		select {
		case <-link.closed:
			return
		case <-time.After(abandonedLimit):
		}
	}
	link.close()
}
