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
	// stalledReader takes nothing until it is released.
	stalledReader struct {
		released chan struct{}
		lock     sync.Mutex
		read     bytes.Buffer
	}
)

func (reader *stalledReader) Write(data []byte) (int, error) {
	<-reader.released
	reader.lock.Lock()
	defer reader.lock.Unlock()
	return reader.read.Write(data)
}

// TestLogNeverWaits writes far more lines than fit while nobody reads. Each is
// taken at once, and what was dropped is said and counted.
func TestLogNeverWaits(t *testing.T) {
	reader := &stalledReader{released: make(chan struct{})}
	logger := zap.New(newCore(newEncoder(), reader, zapcore.InfoLevel))
	const lines = 3 * maximumQueuedLines
	for range lines {
		logger.Info("line")
	}
	close(reader.released)
	for written := 0; written+int(logger.Core().(*queuedCore).dropped()) < lines; {
		if err := logger.Sync(); err != nil {
			t.Fatal(err)
		}
		reader.lock.Lock()
		written = strings.Count(reader.read.String(), `"msg":"line"`)
		reader.lock.Unlock()
	}
	reader.lock.Lock()
	defer reader.lock.Unlock()
	if !strings.Contains(reader.read.String(), `"log lines dropped"`) {
		t.Error("the log doesn't say that lines were dropped")
	}
	if dropped := logger.Core().(*queuedCore).dropped(); dropped < lines-2*maximumQueuedLines {
		t.Errorf("%v lines counted as dropped", dropped)
	}
}
