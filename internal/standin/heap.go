package standin

import (
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"time"
)

const (
	heapSampleInterval = 100 * time.Microsecond
)

// PeakMemory runs a function and returns by how many bytes the memory that the runtime holds from the operating system grew at most
// meanwhile.
func PeakMemory(run func()) int64 {
	debug.FreeOSMemory()
	before := heldMemory()
	peak, done := before, make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Go(func() {
		ticker := time.NewTicker(heapSampleInterval)
		defer ticker.Stop()
		for {
			peak = max(peak, heldMemory())
			select {
			case <-done:
				return
			case <-ticker.C:
			}
		}
	})
	run()
	close(done)
	sampling.Wait()
	return peak - before
}

func heldMemory() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64()) - int64(samples[1].Value.Uint64())
}
