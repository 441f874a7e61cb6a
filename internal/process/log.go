// The log output of a process: JSON lines that are written in the background, so that logging
// never blocks.

package process

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/buffer"
	"go.uber.org/zap/zapcore"
)

const (
	// maximumQueuedLines bounds the lines queued for a slow reader. At about 400 bytes each, they
	// take well below a megabyte.
	maximumQueuedLines = 2048
	// flushTimeout bounds how long a process that exits waits for queued lines to be written.
	flushTimeout = 200 * time.Millisecond
)

type (
	// queuedSink writes lines in the background. If the reader doesn't keep up, lines are dropped
	// and counted, and a later line reports how many were dropped.
	queuedSink struct {
		writer       io.Writer
		droppedTotal atomic.Int64

		lock                sync.Mutex
		queued              [][]byte
		unreportedDropCount int64
		// drained is closed once all queued lines have been written. It is nil while drain isn't
		// running.
		drained chan struct{}
	}

	// briefEncoder writes errors without their stacks, which take most of a line's cost. An entry that is short of processor
	// time writes many lines with errors.
	briefEncoder struct {
		zapcore.Encoder
	}

	// queuedCore is a zapcore.Core that reports how many lines its sink has dropped.
	queuedCore struct {
		zapcore.Core
		sink *queuedSink
	}
)

func newEncoder() zapcore.Encoder {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	return &briefEncoder{Encoder: zapcore.NewJSONEncoder(config)}
}

// Clone implements zapcore.Encoder.
func (encoder *briefEncoder) Clone() zapcore.Encoder {
	return &briefEncoder{Encoder: encoder.Encoder.Clone()}
}

// EncodeEntry implements zapcore.Encoder.
func (encoder *briefEncoder) EncodeEntry(entry zapcore.Entry, fields []zapcore.Field) (*buffer.Buffer, error) {
	brief := fields
	for index, field := range fields {
		err, isError := field.Interface.(error)
		if field.Type != zapcore.ErrorType || !isError {
			continue
		}
		if &brief[0] == &fields[0] {
			brief = slices.Clone(fields)
		}
		brief[index] = zap.String(field.Key, err.Error())
	}
	return encoder.Encoder.EncodeEntry(entry, brief)
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
	return float64(core.sink.droppedTotal.Load())
}

// Write implements zapcore.WriteSyncer. It queues the line, or drops and counts it if the queue is
// full, and never blocks on the reader.
func (sink *queuedSink) Write(line []byte) (int, error) {
	sink.lock.Lock()
	defer sink.lock.Unlock()
	if len(sink.queued) >= maximumQueuedLines {
		sink.unreportedDropCount++
		sink.droppedTotal.Add(1)
		return len(line), nil
	}
	// The line is copied because the encoder reuses its buffer.
	sink.queued = append(sink.queued, append([]byte(nil), line...))
	if sink.drained == nil {
		sink.drained = make(chan struct{})
		go sink.drain()
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It waits up to flushTimeout for the queued lines to be
// written.
func (sink *queuedSink) Sync() error {
	sink.lock.Lock()
	drained := sink.drained
	sink.lock.Unlock()
	if drained == nil {
		return nil
	}
	timeout := time.NewTimer(flushTimeout)
	defer timeout.Stop()
	select {
	case <-drained:
	case <-timeout.C:
	}
	return nil
}

// drain writes queued lines, and lines that report dropped ones, until the queue is empty.
func (sink *queuedSink) drain() {
	for {
		lines, droppedCount := sink.dequeue()
		if len(lines) == 0 && droppedCount == 0 {
			return
		}
		if droppedCount > 0 {
			lines = append(lines, encodeDroppedLine(droppedCount))
		}
		for _, line := range lines {
			// A failed write of the log can't be reported anywhere else.
			_, _ = sink.writer.Write(line)
		}
	}
}

// dequeue returns the queued lines and the number of dropped lines not reported yet. If there are
// none of either, it marks drain as ended.
func (sink *queuedSink) dequeue() (queued [][]byte, unreportedDropCount int64) {
	sink.lock.Lock()
	defer sink.lock.Unlock()
	queued, unreportedDropCount = sink.queued, sink.unreportedDropCount
	sink.queued, sink.unreportedDropCount = nil, 0
	if len(queued) == 0 && unreportedDropCount == 0 {
		close(sink.drained)
		sink.drained = nil
	}
	return queued, unreportedDropCount
}

func encodeDroppedLine(droppedCount int64) []byte {
	entry := zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), Message: "log lines dropped"}
	encoded, err := newEncoder().EncodeEntry(entry, []zapcore.Field{zap.Int64("lines", droppedCount), zap.String("reason", "the reader of the log doesn't keep up")})
	if err != nil {
		return []byte(err.Error() + "\n") // an integer and a string always encode
	}
	defer encoded.Free()
	return append([]byte(nil), encoded.Bytes()...)
}

// registerDroppedMetric registers a counter of the dropped log lines. It does nothing for a logger
// that NewLogger didn't create, such as zap.NewNop.
func registerDroppedMetric(logger *zap.Logger, registry prometheus.Registerer) {
	core, isQueued := logger.Core().(interface{ dropped() float64 })
	if !isQueued {
		return
	}
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "comfreythread", Name: "log_lines_dropped_total", Help: "Log lines dropped because the reader of the log didn't keep up.",
	}, core.dropped))
}
