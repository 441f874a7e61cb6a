package metrics

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// linesPerSecond is the number of lines with the same message that a sampled logger writes in a
	// second; beyond that only every sampleEvery-th line is written.
	linesPerSecond = 50
	sampleEvery    = 50
)

// Sample returns a logger for lines that come with requests, whose number is bounded under load. It counts the lines that are
// left out. Changes of a process's state are logged without it, so that none is dropped.
func (metrics *Metrics) Sample(logger *zap.Logger) *zap.Logger {
	return logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, sampleEvery, zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				metrics.LogLinesLeftOut().Inc()
			}
		}))
	}))
}
