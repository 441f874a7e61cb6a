// Requests at an entry that has received no tables yet. The load that it answers: everything restarts at once, and
// callers whose connections broke reach the entries before control has a leader. They try again only once or twice,
// each time on a new connection.

package policy

import (
	"time"
)

const (
	// silentStartup, leaderlessStartup and ledStartup are the expected times until the tables arrive: an election
	// among control replicas that are still starting, the rest of an election, and the first lease from a leader.
	silentStartup     = 600 * time.Millisecond
	leaderlessStartup = 300 * time.Millisecond
	ledStartup        = 100 * time.Millisecond
	// maximumStartup is the time after the start of an entry from which on its control replicas count as out of reach.
	maximumStartup = 5 * time.Second
	// holdShare is the share of a request's time for which it may be held. After that its caller is better off with
	// most of the time left for another attempt.
	holdShare = 1.0 / 6
	// maximumHold keeps a request from being held until its caller takes the entry for dead.
	maximumHold = 750 * time.Millisecond
)

const (
	// ControlSilent means that no control replica has replied since the start of the process.
	ControlSilent ControlContact = iota
	// ControlLeaderless means that control replicas reply but know no leader.
	ControlLeaderless
	// ControlLed means that the control replicas have a leader.
	ControlLed
)

type (
	// ControlContact is what an entry last heard from control replicas.
	ControlContact uint8

	// Startup is the state of an entry without tables when a request arrives.
	Startup struct {
		Contact ControlContact
		// Uptime is the time since the start of the process, and Remaining the time left to the request's deadline.
		Uptime    time.Duration
		Remaining time.Duration
	}
)

// Hold returns how long to hold the request for the tables, or zero if it has to be refused at once, because they
// aren't expected soon enough.
func (startup *Startup) Hold() time.Duration {
	limit := min(maximumHold, time.Duration(holdShare*float64(startup.Remaining)))
	if startup.Uptime >= maximumStartup || startup.expected() > limit {
		return 0
	}
	return limit
}

// RetryAfter returns the delay after which the caller of a refused request may retry. Random, a number in [0, 1),
// spreads callers that were refused together.
func (startup *Startup) RetryAfter(random float64) time.Duration {
	if startup.Uptime >= maximumStartup {
		return RetryAfter(NoTables, random)
	}
	return startup.expected() + time.Duration(random*float64(shortRetryDelay))
}

// expected returns the expected time until the tables arrive.
func (startup *Startup) expected() time.Duration {
	switch startup.Contact {
	case ControlSilent:
		return silentStartup
	case ControlLeaderless:
		return leaderlessStartup
	case ControlLed:
	}
	return ledStartup
}
