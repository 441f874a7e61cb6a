// This file exists so that callers are sent to the entries that have the least
// to do.

package blackboard

import (
	"sync"
)

type (
	// Loads holds the number of requests in progress at this entry, and what
	// other entries have told of theirs. The zero value knows of none.
	Loads struct {
		lock  sync.RWMutex
		self  string
		own   int
		peers map[string]int
	}
)

// SetSelf names this entry.
func (loads *Loads) SetSelf(self string) {
	loads.lock.Lock()
	defer loads.lock.Unlock()
	loads.self = self
}

// Begin counts a request at this entry until the returned function is called.
func (loads *Loads) Begin() (end func()) {
	loads.add(1)
	return func() { loads.add(-1) }
}

func (loads *Loads) add(change int) {
	loads.lock.Lock()
	defer loads.lock.Unlock()
	loads.own += change
}

// Own returns the number of requests in progress at this entry.
func (loads *Loads) Own() int {
	loads.lock.RLock()
	defer loads.lock.RUnlock()
	return loads.own
}

// Tell records what another entry has told.
func (loads *Loads) Tell(entry string, load int) {
	loads.lock.Lock()
	defer loads.lock.Unlock()
	if loads.peers == nil {
		loads.peers = map[string]int{}
	}
	loads.peers[entry] = load
}

// Of returns what is known of an entry's load; an unknown one is zero.
func (loads *Loads) Of(entry string) int {
	loads.lock.RLock()
	defer loads.lock.RUnlock()
	if entry == loads.self {
		return loads.own
	}
	return loads.peers[entry]
}
