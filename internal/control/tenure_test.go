package control

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

// A process that comes back between the commit of its removal and the next
// look for expired leases must not be put back in the view while it still
// counts as expelled: it would get no lease for as long as it is in the view.
func TestAnExpelledProcessThatComesBackGetsALease(t *testing.T) {
	expect := gomega.NewWithT(t)
	member := membership.Member{ID: "entry", Incarnation: 1}
	with, without := &membership.View{Number: 1, Members: []membership.Member{member}}, &membership.View{Number: 2}
	now := time.Now()
	tenure := newTenure(1, now.Add(-leaseSpan))
	tenure.grant(now, &Renewal{Member: member}, with, 1)
	now = now.Add(leaseSpan)
	expect.Expect(tenure.removable(now, with)).To(gomega.HaveLen(1))
	expect.Expect(tenure.admit(now, &member, with)).To(gomega.Equal(waits))
	expect.Expect(tenure.admit(now, &member, without)).To(gomega.Equal(waits))
	tenure.forget(now, without)
	expect.Expect(tenure.admit(now, &member, without)).To(gomega.Equal(edits))
	expect.Expect(tenure.admit(now, &member, with)).To(gomega.Equal(admitted))
}
