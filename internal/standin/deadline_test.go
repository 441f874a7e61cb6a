package standin

import (
	"errors"
	"os"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
)

// TestReadUsesLatestDeadline changes the deadline of a blocked read one second after the read
// started.
func TestReadUsesLatestDeadline(t *testing.T) {
	for name, test := range map[string]struct{ initial, changed, expected time.Duration }{
		"later":       {2 * time.Second, 5 * time.Second, 5 * time.Second},
		"earlier":     {time.Minute, 3 * time.Second, 3 * time.Second},
		"to the past": {time.Minute, 0, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				connection, peer := new(Network).pair("10.0.0.1:0", "10.0.0.2:80", direction{"10.0.0.1", "10.0.0.2"}, direction{"10.0.0.2", "10.0.0.1"})
				start := time.Now()
				_ = connection.SetReadDeadline(start.Add(test.initial))
				time.AfterFunc(time.Second, func() { _ = connection.SetReadDeadline(start.Add(test.changed)) })
				// Ends the read if its deadline doesn't take effect.
				time.AfterFunc(time.Hour, func() { _ = peer.Close() })
				_, err := connection.Read(make([]byte, 1))
				if took := time.Since(start); !errors.Is(err, os.ErrDeadlineExceeded) || took != test.expected {
					t.Errorf("the read ended after %v with %v, want a deadline error after %v", took, err, test.expected)
				}
			})
		})
	}
}
