// Package garbage frees memory that the collector would come to later.
package garbage

import (
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// interval is the least time between two collections, each of which takes processor time from requests.
	interval = 100 * time.Millisecond
)

type (
	// Collector runs the collector for those that wait for memory. The zero value is ready to use.
	Collector struct {
		// startedAt is when the last collection began, in nanoseconds.
		startedAt atomic.Int64
	}
)

// Collect runs the collector, unless it was called less than 100 ms ago.
func (collector *Collector) Collect() {
	last, now := collector.startedAt.Load(), time.Now().UnixNano()
	if now-last >= int64(interval) && collector.startedAt.CompareAndSwap(last, now) {
		runtime.GC()
	}
}
