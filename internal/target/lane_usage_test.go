package target

import (
	"context"
	"testing"

	"github.com/onsi/gomega"
)

// TestDrainCancelsWaitingAttempts drains a lane and then cancels all of its
// attempts, as when the lease runs out.
func TestDrainCancelsWaitingAttempts(t *testing.T) {
	expect := gomega.NewWithT(t)
	var usage usage
	waiting, running := usage.begin(context.Background()), usage.begin(context.Background())
	expect.Expect(running.start()).To(gomega.BeTrue())
	idle := usage.drain()
	expect.Expect(waiting.start()).To(gomega.BeFalse())
	expect.Expect(running.ctx.Err()).NotTo(gomega.HaveOccurred())
	expect.Expect(running.isCancelled()).To(gomega.BeFalse())
	usage.cancelAll()
	expect.Expect(running.ctx.Err()).To(gomega.MatchError(context.Canceled))
	expect.Expect(running.isCancelled()).To(gomega.BeTrue())
	expect.Expect(usage.begin(context.Background()).start()).To(gomega.BeFalse())
	waiting.finish()
	waiting.finish()
	expect.Expect(idle).NotTo(gomega.BeClosed())
	running.finish()
	expect.Expect(idle).NotTo(gomega.BeClosed(), "the attempt begun after cancelAll has not finished")
}
