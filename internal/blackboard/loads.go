// Callers are preferably directed to the entries with the fewest requests in
// progress.

package blackboard

import (
	"sync"
)

type (
	// Loads holds the number of requests in progress at this entry, and the
	// numbers that other entries have reported. The zero value has none.
	Loads struct {
		lock  sync.RWMutex
		self  string
		own   int
		peers map[string]int
	}
)

// SetSelf sets the ID of this entry.
func (loads *Loads) SetSelf(self string) {
	loads.lock.Lock()
	defer loads.lock.Unlock()
	loads.self = self
}

// Begin counts a request as in progress at this entry until the returned
// function is called.
func (loads *Loads) Begin() (end func()) {
	loads.add(1)
	return func() { loads.add(-1) }
}

func (loads *Loads) add(delta int) {
	loads.lock.Lock()
	defer loads.lock.Unlock()
	loads.own += delta
}

// Own returns the number of requests in progress at this entry.
func (loads *Loads) Own() int {
	loads.lock.RLock()
	defer loads.lock.RUnlock()
	return loads.own
}

// Set records the load that another entry has reported.
func (loads *Loads) Set(entry string, load int) {
	loads.lock.Lock()
	defer loads.lock.Unlock()
	if loads.peers == nil {
		loads.peers = map[string]int{}
	}
	loads.peers[entry] = load
}

// Of returns an entry's load; it is zero if the entry has reported none.
func (loads *Loads) Of(entry string) int {
	loads.lock.RLock()
	defer loads.lock.RUnlock()
	if entry == loads.self {
		return loads.own
	}
	return loads.peers[entry]
}
