//go:build race

package bubble

const (
	// raceEnabled is true if the race detector is compiled in.
	raceEnabled = true
)
