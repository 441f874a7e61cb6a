// Admission at an entry that performs a planned stop.

package policy

import "time"

const (
	// stopLatencyFactor is the multiple of its usual latency that a request must have left before the end of a planned
	// stop. Callers that are refused find another entry at once; those that are cut off may have to give up.
	stopLatencyFactor = 2
)

// EndsBeforeStop reports whether a request is expected to end within left, the time for which a stopping entry still
// serves. Usual is the time within which most such requests end, and known is false if it was never measured.
func EndsBeforeStop(usual time.Duration, known bool, left time.Duration) bool {
	return known && stopLatencyFactor*usual <= left
}
