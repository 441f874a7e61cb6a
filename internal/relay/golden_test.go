package relay

import (
	"testing"

	"gitlab.com/comfreythread/comfreythread/internal/golden"
)

// TestEncodingOf96531af guards against a change after which this build and 96531af, running beside each
// other or one after the other, don't understand each other's messages or stored data.
func TestEncodingOf96531af(t *testing.T) {
	golden.Check(t, "96531af",
		Attempt{}, Reply{}, Question{}, Link{},
	)
}
