// The log of clients that were dropped. A crowd of them must not fill the log.

package inbound

import (
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// dropLogInterval is the least time between two lines for a listener and a reason.
	dropLogInterval = time.Second
	// maximumDropAddresses bounds the addresses that are told apart for a line.
	maximumDropAddresses = 256
)

type (
	// dropLog writes a line for many clients that were dropped. It keeps one entry for each listener and reason.
	dropLog struct {
		logger *zap.Logger

		lock    sync.Mutex
		entries map[dropKey]*dropEntry
	}

	dropKey struct {
		listener, reason string
	}

	// dropEntry collects what the next line says.
	dropEntry struct {
		loggedAt  time.Time
		count     int
		addresses map[string]bool
	}
)

// dropped counts and logs a client whose connection was closed.
func (gate *Gate) dropped(listener *listener, reason string, client net.Addr) {
	gate.metrics.ClientsDropped().WithLabelValues(listener.name, reason).Inc()
	gate.drops.add(dropKey{listener: listener.name, reason: reason}, client, time.Now())
}

// add logs a client, together with those since the last line, or keeps it for the next line.
func (dropLog *dropLog) add(key dropKey, client net.Addr, now time.Time) {
	dropLog.lock.Lock()
	defer dropLog.lock.Unlock()
	if dropLog.entries == nil {
		dropLog.entries = map[dropKey]*dropEntry{}
	}
	entry, found := dropLog.entries[key]
	if !found {
		entry = &dropEntry{addresses: map[string]bool{}}
		dropLog.entries[key] = entry
	}
	entry.count++
	if host, _, err := net.SplitHostPort(client.String()); err == nil && len(entry.addresses) < maximumDropAddresses {
		entry.addresses[host] = true
	}
	if now.Sub(entry.loggedAt) < dropLogInterval {
		return
	}
	dropLog.logger.Warn("clients dropped", zap.String("listener", key.listener), zap.String("reason", key.reason), zap.Int("count", entry.count),
		zap.Int("addresses", len(entry.addresses)), zap.Stringer("latest", client))
	*entry = dropEntry{loggedAt: now, addresses: map[string]bool{}}
}
