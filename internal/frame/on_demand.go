// Heartbeats on demand. An idle link sends nothing, and a dead link is still detected
// within the silence limit once a call uses it.

package frame

import (
	"net"
	"sync"
	"time"
)

const (
	// clientIdleLimit is the time without a call after which the client closes an
	// on-demand link.
	clientIdleLimit = time.Minute
	// serverIdleLimit is the time without a call after which the server closes an on-demand
	// link. It is longer than the client's limit, so that the client closes first.
	serverIdleLimit = 2 * clientIdleLimit
	// frameLimit is the time after which a frame that has begun must be whole. Its sender gives up after writeTimeout.
	frameLimit = 2 * silenceLimit
)

type (
	// onDemandMonitor tracks the calls on a link with heartbeats on demand, and sets
	// a read deadline while the peer is expected to send something. The client sends
	// pings while a call is in flight. If a call is abandoned before the peer has sent
	// anything, the pings continue until a message arrives or the read deadline passes.
	// The server answers each ping.
	onDemandMonitor struct {
		connection net.Conn
		// wake signals to the client's heartbeat goroutine that a call has begun.
		wake chan struct{}

		lock     sync.Mutex
		inFlight int
		// silentSinceCall is true if nothing was received since the client's last call began.
		silentSinceCall bool
		// receiving is true while a frame has arrived in part.
		receiving  bool
		lastReadAt time.Time
		lastUsedAt time.Time
		retired    bool
	}
)

// newOnDemandMonitor also disables TCP keepalive on the connection, because its probes
// would continue while the link is idle.
func newOnDemandMonitor(connection net.Conn) *onDemandMonitor {
	if keepAliveSetter, supported := connection.(interface{ SetKeepAlive(on bool) error }); supported {
		_ = keepAliveSetter.SetKeepAlive(false)
	}
	return &onDemandMonitor{connection: connection, wake: make(chan struct{}, 1), lastReadAt: time.Now(), lastUsedAt: time.Now()}
}

// beginClientCall registers a call that the client makes. It returns false if the link
// was retired.
func (onDemandMonitor *onDemandMonitor) beginClientCall() bool {
	onDemandMonitor.lock.Lock()
	defer onDemandMonitor.lock.Unlock()
	if onDemandMonitor.retired {
		return false
	}
	onDemandMonitor.addCall()
	onDemandMonitor.silentSinceCall = true
	select {
	case onDemandMonitor.wake <- struct{}{}:
	default:
	}
	return true
}

// beginServerCall registers a call that the server has accepted.
func (onDemandMonitor *onDemandMonitor) beginServerCall() {
	onDemandMonitor.lock.Lock()
	defer onDemandMonitor.lock.Unlock()
	onDemandMonitor.addCall()
}

// addCall counts a call in flight. It doesn't extend a read deadline that is already
// set, so that a series of calls abandoned early can't keep a dead link open. The lock
// must be held.
func (onDemandMonitor *onDemandMonitor) addCall() {
	onDemandMonitor.lastUsedAt = time.Now()
	if !onDemandMonitor.expectsMessage() {
		_ = onDemandMonitor.connection.SetReadDeadline(onDemandMonitor.lastUsedAt.Add(silenceLimit))
	}
	onDemandMonitor.inFlight++
}

// endCall counts a call as ended, and removes the read deadline if no message is
// expected any more.
func (onDemandMonitor *onDemandMonitor) endCall() {
	onDemandMonitor.lock.Lock()
	defer onDemandMonitor.lock.Unlock()
	onDemandMonitor.lastUsedAt = time.Now()
	onDemandMonitor.inFlight--
	if !onDemandMonitor.expectsMessage() {
		_ = onDemandMonitor.connection.SetReadDeadline(time.Time{})
	}
}

// beginFrame records that a frame has arrived in part. It sets a read deadline, unless one is set already.
func (onDemandMonitor *onDemandMonitor) beginFrame() {
	onDemandMonitor.lock.Lock()
	defer onDemandMonitor.lock.Unlock()
	if !onDemandMonitor.expectsMessage() {
		_ = onDemandMonitor.connection.SetReadDeadline(time.Now().Add(frameLimit))
	}
	onDemandMonitor.receiving = true
}

// recordMessage records a message from the peer. It extends the read deadline if another
// message is expected, and removes it otherwise.
func (onDemandMonitor *onDemandMonitor) recordMessage() {
	onDemandMonitor.lock.Lock()
	defer onDemandMonitor.lock.Unlock()
	onDemandMonitor.silentSinceCall, onDemandMonitor.receiving = false, false
	onDemandMonitor.lastReadAt = time.Now()
	if onDemandMonitor.expectsMessage() {
		_ = onDemandMonitor.connection.SetReadDeadline(onDemandMonitor.lastReadAt.Add(silenceLimit))
	} else {
		_ = onDemandMonitor.connection.SetReadDeadline(time.Time{})
	}
}

// expectsMessage reports whether the peer must send something within the silence
// limit. The lock must be held.
func (onDemandMonitor *onDemandMonitor) expectsMessage() bool {
	return onDemandMonitor.inFlight > 0 || onDemandMonitor.silentSinceCall || onDemandMonitor.receiving
}

// pingState reports whether a message from the peer is expected, and whether nothing was
// read or nothing was written for one heartbeat interval. A ping is sent only if both are true.
func (onDemandMonitor *onDemandMonitor) pingState(writeIdle bool) (expectsMessage, pingDue bool) {
	onDemandMonitor.lock.Lock()
	defer onDemandMonitor.lock.Unlock()
	return onDemandMonitor.expectsMessage(), writeIdle || time.Since(onDemandMonitor.lastReadAt) >= heartbeatInterval
}

// retireIfIdle retires the link if no message from the peer is expected and no call has
// used the link for the limit. It reports whether the link is retired, now or earlier. A
// retired link accepts no more calls.
func (onDemandMonitor *onDemandMonitor) retireIfIdle(limit time.Duration) bool {
	onDemandMonitor.lock.Lock()
	defer onDemandMonitor.lock.Unlock()
	onDemandMonitor.retired = onDemandMonitor.retired || !onDemandMonitor.expectsMessage() && time.Since(onDemandMonitor.lastUsedAt) >= limit
	return onDemandMonitor.retired
}

func (onDemandMonitor *onDemandMonitor) isRetired() bool {
	onDemandMonitor.lock.Lock()
	defer onDemandMonitor.lock.Unlock()
	return onDemandMonitor.retired
}

// sendHeartbeatsOnDemand is the client's heartbeat loop of an on-demand link. It also
// closes the link once it is idle.
func (link *link) sendHeartbeatsOnDemand() {
	for {
		expectsMessage, pingDue := link.onDemandMonitor.pingState(link.isWriteIdle())
		if expectsMessage && pingDue && link.write(&message{Type: typePing}) != nil {
			return
		}
		delay, wake := clientIdleLimit, link.onDemandMonitor.wake
		if expectsMessage {
			delay, wake = heartbeatInterval, nil
		}
		select {
		case <-link.closed:
			return
		case <-wake:
			if !link.delayHeartbeat() {
				return
			}
		case <-time.After(delay):
			if link.onDemandMonitor.retireIfIdle(clientIdleLimit) {
				link.close()
				return
			}
		}
	}
}

// delayHeartbeat waits one heartbeat interval, so that a short call needs no ping. It
// returns false if the link was closed.
func (link *link) delayHeartbeat() bool {
	select {
	case <-link.closed:
		return false
	case <-time.After(heartbeatInterval):
		return true
	}
}

// answerPing sends a pong on an on-demand link, on which the server sends no heartbeats
// of its own.
func (link *link) answerPing() {
	if link.onDemandMonitor != nil {
		_ = link.write(&message{Type: typePong})
	}
}

// closeWhenIdle waits until the link has been idle for serverIdleLimit and then closes it, for a
// client that is gone and didn't close its end. It returns if the link is closed earlier.
func (link *link) closeWhenIdle() {
	for !link.onDemandMonitor.retireIfIdle(serverIdleLimit) {
		select {
		case <-link.closed:
			return
		case <-time.After(serverIdleLimit):
		}
	}
	link.close()
}
