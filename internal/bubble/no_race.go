//go:build !race

package bubble

const (
	// raceEnabled states whether the race detector is compiled in.
	raceEnabled = false
)
