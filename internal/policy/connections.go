// To how many targets a connection waits. Load: many entries share the few
// connections that a target accepts, and all of them may come back at once.

package policy

import (
	"time"
)

const (
	// waitingShare is the share of the connections that a pool's targets accept
	// together which all entries may keep waiting; the rest is for use.
	waitingShare = 0.75
	// settleSpan is the time after the start within which half as many wait:
	// targets still count those of the process before until their idle timeout,
	// usually 15 s, of which the process was down for some.
	settleSpan = 12 * time.Second
)

// WaitingTargets returns to how many of a pool's targets an entry keeps a
// connection. Connections is what each target accepts from all entries.
func WaitingTargets(connections, targets, entries int, sinceStart time.Duration) int {
	share := waitingShare
	if sinceStart < settleSpan {
		share /= 2
	}
	return min(targets, int(share*float64(connections*targets)/float64(max(1, entries))))
}
