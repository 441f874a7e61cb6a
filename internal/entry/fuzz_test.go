package entry

import (
	"bytes"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
)

// FuzzMessages decodes arbitrary bytes as messages of another entry. Each decoded
// batch must give attempts, and each decoded report an outcome.
func FuzzMessages(f *testing.F) {
	batch, _ := msgpack.Marshal(&Batch{RequestID: "q", Attempts: []BatchItem{{AttemptID: "a", TargetID: "t"}}})
	report, _ := msgpack.Marshal(&Report{AttemptID: "a", Kind: reportAnswered})
	f.Add(batch)
	f.Add(report)
	f.Add(bytes.Repeat([]byte{0x91}, 1000))
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var batch Batch
		if frame.Unmarshal(data, &batch) == nil {
			for index := range batch.Attempts {
				if batch.attempt(&batch.Attempts[index], time.Now()) == nil {
					t.Fatal("batch gave no attempt")
				}
			}
		}
		var report Report
		if frame.Unmarshal(data, &report) == nil && report.outcome() == nil {
			t.Fatal("report gave no outcome")
		}
	})
}
