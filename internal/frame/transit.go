// Estimation of how long messages were on their way. The clocks of two VMs differ, so only the time beyond that of the
// fastest message is known.

package frame

import (
	"time"
)

const (
	// transitWindow is the time of receipt over which the fastest message is remembered, in the last two windows that have
	// messages. Messages that a link has held arrive together, within one. The clock of a VM that was suspended stands still
	// meanwhile, after which all of its messages seem late by that: until two windows have passed.
	transitWindow = 250 * time.Millisecond
)

type (
	// transit estimates the delays of the messages of one link. The zero value works.
	transit struct {
		// fastest is the least difference between the clocks at a receipt since windowStart, and fastestBefore that of the
		// window before, which counts from the second window on.
		fastest, fastestBefore time.Duration
		windowStart            time.Duration
		windows                int
	}
)

// observe returns how much longer a message was on its way than the fastest one lately. Both times are those since the
// link was opened, by the sender's and by the receiver's clock.
func (transit *transit) observe(sentAt, receivedAt time.Duration) time.Duration {
	difference := receivedAt - sentAt
	switch {
	case transit.windows == 0:
		transit.fastest, transit.windowStart, transit.windows = difference, receivedAt, 1
	case receivedAt-transit.windowStart >= transitWindow:
		transit.fastestBefore, transit.fastest, transit.windowStart, transit.windows = transit.fastest, difference, receivedAt, 2
	default:
		transit.fastest = min(transit.fastest, difference)
	}
	fastest := transit.fastest
	if transit.windows > 1 {
		fastest = min(fastest, transit.fastestBefore)
	}
	return difference - fastest
}
