package process

import (
	"bytes"
	"strings"
	"sync"
	"testing"

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
