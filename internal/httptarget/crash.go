// Whether a target has crashed, or only lost an answer. Load: a request crashes
// each target that runs it, and comes again at any entry; at other times targets
// break connections off and are well.

package httptarget

import (
	"context"
	"time"
)

const (
	// crashLook is the time after a broken connection at which a target is asked
	// for another one: one that crashes is gone for seconds.
	crashLook = 20 * time.Millisecond
)

// Crashed reports whether a target that broke a connection off is gone: none of
// the connections that wait for use is sound, and it refuses another one.
func (sender *Sender) Crashed(ctx context.Context, target *Target) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(crashLook):
	}
	if target.connections.sound() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	opened, err := sender.dial(ctx, "tcp", target.Address())
	if err != nil {
		return true
	}
	_ = opened.Close()
	return false
}

// sound reports whether any waiting connection is open.
func (connections *idleConnections) sound() bool {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	for _, waiting := range connections.idle {
		if waiting.sound() {
			return true
		}
	}
	return false
}
