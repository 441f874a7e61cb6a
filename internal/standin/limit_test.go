package standin

import (
	"errors"
	"os"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
)

// TestReadEndsAtItsNewestLimit moves the limit of a read that waits, one
// second after it began.
func TestReadEndsAtItsNewestLimit(t *testing.T) {
	for name, test := range map[string]struct{ first, moved, ends time.Duration }{
		"later":       {2 * time.Second, 5 * time.Second, 5 * time.Second},
		"earlier":     {time.Minute, 3 * time.Second, 3 * time.Second},
		"to the past": {time.Minute, 0, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				here, far := new(Network).pair("10.0.0.1:0", "10.0.0.2:80", direction{"10.0.0.1", "10.0.0.2"}, direction{"10.0.0.2", "10.0.0.1"})
				begun := time.Now()
				_ = here.SetReadDeadline(begun.Add(test.first))
				time.AfterFunc(time.Second, func() { _ = here.SetReadDeadline(begun.Add(test.moved)) })
				// A read without a limit of its own would wait for ever.
				time.AfterFunc(time.Hour, func() { _ = far.Close() })
				_, err := here.Read(make([]byte, 1))
				if took := time.Since(begun); !errors.Is(err, os.ErrDeadlineExceeded) || took != test.ends {
					t.Errorf("the read ended after %v with %v, want %v", took, err, test.ends)
				}
			})
		})
	}
}
