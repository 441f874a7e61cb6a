// Number of idle connections that an entry keeps. Many entries share the few
// connections that a target accepts, and all entries may restart at once.

package policy

import (
	"time"
)

const (
	// idleShare is the share of a pool's connections that all entries together may
	// keep idle. The rest is reserved for requests.
	idleShare = 0.75
	// restartSpan is the time after the start of a process during which it keeps
	// only half as many idle connections. Targets still count those of the previous
	// process until their idle timeout, usually 15 s, part of which has passed
	// while the process was down.
	restartSpan = 12 * time.Second
)

// IdleConnections returns the number of a pool's targets to which an entry keeps an
// idle connection. Connections is the number that each target accepts from all
// entries together.
func IdleConnections(connections, targets, entries int, sinceStart time.Duration) int {
	share := idleShare
	if sinceStart < restartSpan {
		share /= 2
	}
	return min(targets, int(share*float64(connections*targets)/float64(max(1, entries))))
}
