package control

import (
	"encoding/hex"
	"testing"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// TestDigestOf96531af checks that the digest of a change is the one that 96531af computes. A change that is
// sent again during or after an upgrade would otherwise be refused as another one under the same ID.
func TestDigestOf96531af(t *testing.T) {
	change := operator.Change{ID: "a", Base: 3, Tables: operator.Tables{
		Pools:  []operator.Pool{{Name: "p", Slots: 2, Connections: 1}, {Name: "q", Connections: 60, HTTP: &operator.HTTPPool{}}},
		Routes: []operator.Route{{Kind: "k", Pool: "q", HTTP: &operator.HTTPRoute{Host: "a.example", PathPrefix: "/", MaxAttempts: 2}}},
	}}
	const expected = "98fc8ec3a5a84e01e83478da469d24f35832e3b703f7ffc6cef73445e62bedb7"
	computed := digest(&change)
	if actual := hex.EncodeToString(computed[:]); actual != expected {
		t.Errorf("digest %s, expected %s", actual, expected)
	}
}
