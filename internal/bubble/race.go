//go:build race

package bubble

const (
	raceEnabled = true
)
