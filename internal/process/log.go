// How processes log: JSON lines that never hold up what is logged.

package process

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maximumQueuedLines bounds the lines that wait for a reader that is slow,
	// at some 400 bytes each well below a megabyte.
	maximumQueuedLines = 2048
	// flushTimeout bounds how long the end of a process waits for the reader.
	flushTimeout = 200 * time.Millisecond
)

type (
	// queuedSink writes lines in the background. Where the reader doesn't keep
	// up, lines are dropped and counted, and the next line that is written says
	// how many.
	queuedSink struct {
		writer io.Writer
		total  atomic.Int64

		lock    sync.Mutex
		lines   [][]byte
		dropped int64
		// written is closed once the lines that wait have been written; nil
		// while nothing writes.
		written chan struct{}
	}

	// queuedCore is a core whose dropped lines can be counted.
	queuedCore struct {
		zapcore.Core
		sink *queuedSink
	}
)

func newEncoder() zapcore.Encoder {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	return zapcore.NewJSONEncoder(config)
}

func newCore(encoder zapcore.Encoder, sink io.Writer, level zapcore.LevelEnabler) zapcore.Core {
	queued := &queuedSink{writer: sink}
	return &queuedCore{Core: zapcore.NewCore(encoder, queued, level), sink: queued}
}

// With implements zapcore.Core.
func (core *queuedCore) With(fields []zapcore.Field) zapcore.Core {
	return &queuedCore{Core: core.Core.With(fields), sink: core.sink}
}

func (core *queuedCore) dropped() float64 {
	return float64(core.sink.total.Load())
}

// Write implements zapcore.WriteSyncer. It never waits for the reader.
func (sink *queuedSink) Write(line []byte) (int, error) {
	sink.lock.Lock()
	defer sink.lock.Unlock()
	if len(sink.lines) >= maximumQueuedLines {
		sink.dropped++
		sink.total.Add(1)
		return len(line), nil
	}
	// The encoder uses its buffer again.
	sink.lines = append(sink.lines, append([]byte(nil), line...))
	if sink.written == nil {
		sink.written = make(chan struct{})
		go sink.drain()
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It waits for the lines to be written, but
// not for long.
func (sink *queuedSink) Sync() error {
	sink.lock.Lock()
	written := sink.written
	sink.lock.Unlock()
	if written == nil {
		return nil
	}
	timeout := time.NewTimer(flushTimeout)
	defer timeout.Stop()
	select {
	case <-written:
	case <-timeout.C:
	}
	return nil
}

// drain writes until no line waits.
func (sink *queuedSink) drain() {
	for {
		lines, dropped := sink.take()
		if len(lines) == 0 && dropped == 0 {
			return
		}
		if dropped > 0 {
			lines = append(lines, droppedLine(dropped))
		}
		for _, line := range lines {
			// There is nowhere else to tell of a log that can't be written.
			_, _ = sink.writer.Write(line)
		}
	}
}

// take returns the lines that wait; where there are none, drain counts as ended.
func (sink *queuedSink) take() (lines [][]byte, dropped int64) {
	sink.lock.Lock()
	defer sink.lock.Unlock()
	lines, dropped = sink.lines, sink.dropped
	sink.lines, sink.dropped = nil, 0
	if len(lines) == 0 && dropped == 0 {
		close(sink.written)
		sink.written = nil
	}
	return lines, dropped
}

func droppedLine(dropped int64) []byte {
	entry := zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), Message: "log lines dropped"}
	encoded, err := newEncoder().EncodeEntry(entry, []zapcore.Field{zap.Int64("lines", dropped), zap.String("reason", "the reader of the log doesn't keep up")})
	if err != nil {
		return []byte(err.Error() + "\n") // a number and a text always encode
	}
	defer encoded.Free()
	return append([]byte(nil), encoded.Bytes()...)
}

// registerDropped offers the number of dropped lines as a metric.
func registerDropped(logger *zap.Logger, registry prometheus.Registerer) {
	core, isQueued := logger.Core().(interface{ dropped() float64 })
	if !isQueued {
		return
	}
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "comfreythread", Name: "log_lines_dropped_total", Help: "Log lines dropped because the reader of the log didn't keep up.",
	}, core.dropped))
}
