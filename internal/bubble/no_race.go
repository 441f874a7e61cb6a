//go:build !race

package bubble

const (
	raceEnabled = false
)
