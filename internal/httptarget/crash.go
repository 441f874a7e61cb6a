// Detection of crashed targets after a broken connection. A request may crash each
// target that runs it, and be sent again through any entry. A broken connection
// alone doesn't prove a crash, because healthy targets break connections too.

package httptarget

import (
	"context"
	"time"
)

const (
	// crashProbeDelay is the delay between a broken connection and the attempt to
	// open another one: a crashed target is down for seconds.
	crashProbeDelay = 20 * time.Millisecond
)

// Crashed reports whether a target that broke a connection is down: no idle
// connection is healthy, and no new one can be opened. It is false if ctx ends
// before the probe.
func (sender *Sender) Crashed(ctx context.Context, target *Target) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(crashProbeDelay):
	}
	if sender.Connects(ctx, target) {
		return false
	}
	// This entry may have lost its link.
	return sender.relay == nil || !sender.relay.Reaches(ctx, target)
}

// Connects reports whether a healthy connection to the target is open or can be opened.
func (sender *Sender) Connects(ctx context.Context, target *Target) bool {
	if target.connections.anyHealthy() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	opened, err := sender.dial(ctx, "tcp", target.Address())
	if err != nil {
		return false
	}
	_ = opened.Close()
	return true
}

// anyHealthy reports whether any idle connection is healthy.
func (connections *targetConnections) anyHealthy() bool {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	for _, candidate := range connections.idle {
		if candidate.isHealthy() {
			return true
		}
	}
	return false
}
