package pause

import (
	"context"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
)

// Guards against calls that are taken for fresh although they waited while the process was frozen.
func TestCallsAfterAPauseAreRefused(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var monitor Monitor
		monitor.Tick()
		time.Sleep(2 * gapLimit)
		if monitor.Check() == nil {
			t.Error("accepted by the first goroutine that runs after the pause")
		}
		for range settleSpan/tickInterval - 1 {
			monitor.Tick()
			time.Sleep(tickInterval)
		}
		if monitor.Check() == nil {
			t.Error("accepted while calls may be read that waited")
		}
		monitor.Tick()
		time.Sleep(tickInterval)
		if err := monitor.Check(); err != nil {
			t.Errorf("refused long after the pause: %v", err)
		}
	})
}

// Guards against calls that are refused although the process runs, or isn't watched.
func TestCallsWithoutAPauseAreAccepted(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var monitor Monitor
		ctx, cancel := context.WithCancel(context.Background())
		go monitor.Run(ctx)
		for range 50 {
			time.Sleep(70 * time.Millisecond)
			if err := monitor.Check(); err != nil {
				t.Fatal(err)
			}
		}
		cancel()
		time.Sleep(2 * gapLimit)
		var unused *Monitor
		if monitor.Check() != nil || unused.Check() != nil {
			t.Error("refused without a monitor that runs")
		}
	})
}
