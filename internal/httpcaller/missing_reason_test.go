package httpcaller

import (
	"context"
	"io"
	"net/http"
	"os"
	"testing"

	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
)

// TestAttemptThatTimesOutIsLate guards against a reason that depends on which of two timers fires
// first: an attempt ends at the moment at which its query is given up.
func TestAttemptThatTimesOutIsLate(t *testing.T) {
	for _, row := range []struct {
		outcome httptarget.Outcome
		reason  string
	}{
		{&httptarget.Lost{Sent: true, Cause: os.ErrDeadlineExceeded}, "late"},
		{&httptarget.Lost{Sent: true, Cause: context.DeadlineExceeded}, "late"},
		{&httptarget.Lost{Sent: true, Cause: io.ErrUnexpectedEOF}, "lost"},
		{&httptarget.Refused{Reason: httptarget.Shed}, "shed"},
		{&httptarget.Answered{Status: http.StatusInternalServerError}, "failure"},
	} {
		if reason := failureReason(row.outcome); reason != row.reason {
			t.Errorf("outcome %#v: reason %q, expected %q", row.outcome, reason, row.reason)
		}
	}
}
