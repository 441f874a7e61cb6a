package process

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

type (
	// stalledWriter blocks every write until it is released.
	stalledWriter struct {
		released chan struct{}
		lock     sync.Mutex
		output   bytes.Buffer
	}
)

func (writer *stalledWriter) Write(data []byte) (int, error) {
	<-writer.released
	writer.lock.Lock()
	defer writer.lock.Unlock()
	return writer.output.Write(data)
}

// TestLogDoesNotBlock logs far more lines than the queue holds while the writer is blocked. No call
// may block, and the dropped lines must be reported in the log and counted.
func TestLogDoesNotBlock(t *testing.T) {
	writer := &stalledWriter{released: make(chan struct{})}
	logger := zap.New(newCore(newEncoder(), writer, zapcore.InfoLevel))
	const lineCount = 3 * maximumQueuedLines
	for range lineCount {
		logger.Info("line")
	}
	close(writer.released)
	for writtenCount := 0; writtenCount+int(logger.Core().(*queuedCore).dropped()) < lineCount; {
		if err := logger.Sync(); err != nil {
			t.Fatal(err)
		}
		writer.lock.Lock()
		writtenCount = strings.Count(writer.output.String(), `"msg":"line"`)
		writer.lock.Unlock()
	}
	writer.lock.Lock()
	defer writer.lock.Unlock()
	if !strings.Contains(writer.output.String(), `"log lines dropped"`) {
		t.Error("the log doesn't report the dropped lines")
	}
	if dropped := logger.Core().(*queuedCore).dropped(); dropped < lineCount-2*maximumQueuedLines {
		t.Errorf("%v lines counted as dropped, want at least all but two full queues", dropped)
	}
}

// Guards against lines with stacks, which cost an entry short of processor time more than the decisions that they report.
func TestLinesHaveNoStacks(t *testing.T) {
	encoder := newEncoder()
	fields := []zap.Field{zap.Error(errors.Wrap(errors.New("broken pipe"), "send")), zap.Int("attempt", 2)}
	for _, encoder := range []zapcore.Encoder{encoder, encoder.Clone()} {
		line, err := encoder.EncodeEntry(zapcore.Entry{Message: "attempt failed"}, fields)
		if err != nil {
			t.Fatal(err)
		}
		if text := line.String(); !strings.Contains(text, `"error":"send: broken pipe"`) || strings.Contains(text, "log_test.go") || !strings.Contains(text, `"attempt":2`) {
			t.Errorf("line %s", text)
		}
	}
}
