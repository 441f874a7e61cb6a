package control

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

// TestRemovedProcessThatRenewsGetsALease covers a process that renews after the removal of its
// entry is committed and before the next check for expired leases. It must not be added to the
// view again while it is still recorded as being removed, because it would then get no lease for
// as long as it stays in the view.
func TestRemovedProcessThatRenewsGetsALease(t *testing.T) {
	expect := gomega.NewWithT(t)
	member := membership.Member{ID: "entry", Incarnation: 1}
	with, without := &membership.View{Number: 1, Members: []membership.Member{member}}, &membership.View{Number: 2}
	now := time.Now()
	tenure := newTenure(1, now.Add(-safeLeaseDuration))
	tenure.grant(now, &Renewal{Member: member}, with, 1)
	now = now.Add(safeLeaseDuration)
	expect.Expect(tenure.removable(now, with)).To(gomega.HaveLen(1))
	expect.Expect(tenure.admit(now, &member, with)).To(gomega.Equal(mustWait))
	expect.Expect(tenure.admit(now, &member, without)).To(gomega.Equal(mustWait))
	tenure.prune(now, without)
	expect.Expect(tenure.admit(now, &member, without)).To(gomega.Equal(mustJoin))
	expect.Expect(tenure.admit(now, &member, with)).To(gomega.Equal(admitted))
}
