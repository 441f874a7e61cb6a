// Package pause detects that this process did not run for a while, for example because its machine was frozen. What reached
// the process meanwhile may be outdated: its sender has given up, and may have sent something newer elsewhere.
package pause

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// tickInterval is the interval at which Run notes that the process runs.
	tickInterval = 100 * time.Millisecond
	// gapLimit is the time without a tick that counts as a pause. Senders wait for a second, so what waited for less than
	// that is still awaited.
	gapLimit = 500 * time.Millisecond
	// settleSpan is how long after a pause something that is read may have waited for its end.
	settleSpan = time.Second
)

type (
	// Monitor detects pauses while Run runs. The zero value works, and never reports one without Run.
	Monitor struct {
		lock      sync.Mutex
		tickedAt  time.Time
		resumedAt time.Time
		gap       time.Duration
		logger    *zap.Logger
	}
)

// NewMonitor returns a monitor that logs each pause.
func NewMonitor(logger *zap.Logger) *Monitor {
	return &Monitor{logger: logger}
}

// Run notes at short intervals that the process runs, until ctx ends.
func (monitor *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	monitor.Tick()
	for {
		select {
		case <-ctx.Done():
			monitor.stop()
			return
		case <-ticker.C:
			monitor.Tick()
		}
	}
}

// Check returns a fault.Error if what the process reads now may have waited for the end of a pause.
func (monitor *Monitor) Check() error {
	if monitor == nil {
		return nil
	}
	now := time.Now()
	monitor.lock.Lock()
	defer monitor.lock.Unlock()
	monitor.detect(now)
	if monitor.resumedAt.IsZero() || now.Sub(monitor.resumedAt) >= settleSpan {
		return nil
	}
	return fault.New(fault.Unavailable, "this process did not run for "+monitor.gap.Round(time.Millisecond).String()+", so the call may be outdated", "send it again")
}

// Tick notes that the process runs at this moment. Run calls it.
func (monitor *Monitor) Tick() {
	now := time.Now()
	monitor.lock.Lock()
	defer monitor.lock.Unlock()
	monitor.detect(now)
	monitor.tickedAt = now
}

func (monitor *Monitor) stop() {
	monitor.lock.Lock()
	defer monitor.lock.Unlock()
	monitor.tickedAt = time.Time{}
}

// detect records a pause that has just ended. The lock must be held.
func (monitor *Monitor) detect(now time.Time) {
	if monitor.tickedAt.IsZero() || now.Sub(monitor.tickedAt) < gapLimit {
		return
	}
	monitor.resumedAt, monitor.gap, monitor.tickedAt = now, now.Sub(monitor.tickedAt), now
	if monitor.logger != nil {
		monitor.logger.Warn("process did not run", zap.Duration("for", monitor.gap))
	}
}
