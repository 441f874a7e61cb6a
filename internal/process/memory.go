// The limits of a process for memory and descriptors.

package process

import (
	"math"
	"runtime/debug"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"gitlab.com/comfreythread/comfreythread/internal/answer"
	"gitlab.com/comfreythread/comfreythread/internal/inbound"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/settings"
)

const (
	// softLimitPercent is the part of the memory limit from which on the collector works harder. The rest is for what is allocated
	// while it works, and for bytes that wait in sockets.
	softLimitPercent = 80
	// programBytes is the memory of the program itself, which the runtime doesn't count.
	programBytes = 16 << 20
)

// limitMemory makes the collector keep the process below its memory limit. Without it the heap may grow to twice what is in use.
func limitMemory(settings *settings.Settings) {
	if settings.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(max(settings.MemoryLimitBytes/2, settings.MemoryLimitBytes/100*softLimitPercent-programBytes))
	}
}

// newGate returns the gate for the clients of all listeners.
func newGate(settings *settings.Settings, logger *zap.Logger, metrics *metrics.Metrics) *inbound.Gate {
	descriptors := settings.DescriptorLimit
	var limit unix.Rlimit
	if descriptors == 0 && unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
		descriptors = int(min(limit.Cur, math.MaxInt32))
	}
	return inbound.NewGate(inbound.Limits{MemoryBytes: settings.MemoryLimitBytes, Descriptors: descriptors}, logger, metrics)
}

// newAnswerBudget returns the budget for the answers of targets of all kinds.
func newAnswerBudget(settings *settings.Settings, metrics *metrics.Metrics) *answer.Budget {
	budget := answer.NewBudget(settings.MemoryLimitBytes)
	metrics.GaugeFunc("answer_bytes_held", "Bytes of targets' answers that count toward the budget.", func() float64 { return float64(budget.Held()) })
	return budget
}
