package target

import (
	"context"
	"testing"

	"github.com/onsi/gomega"
)

// TestDrainEndsWhatWaits gives a lane up, then lets the lease run out.
func TestDrainEndsWhatWaits(t *testing.T) {
	expect := gomega.NewWithT(t)
	var usage usage
	waiting, running := usage.begin(context.Background()), usage.begin(context.Background())
	expect.Expect(running.start()).To(gomega.BeTrue())
	idle := usage.drain()
	expect.Expect(waiting.start()).To(gomega.BeFalse())
	expect.Expect(running.running.Err()).NotTo(gomega.HaveOccurred())
	expect.Expect(running.isCut()).To(gomega.BeFalse())
	usage.cut()
	expect.Expect(running.running.Err()).To(gomega.MatchError(context.Canceled))
	expect.Expect(running.isCut()).To(gomega.BeTrue())
	expect.Expect(usage.begin(context.Background()).start()).To(gomega.BeFalse())
	waiting.leave()
	waiting.leave()
	expect.Expect(idle).NotTo(gomega.BeClosed())
	running.leave()
	expect.Expect(idle).NotTo(gomega.BeClosed(), "the attempt begun after the cut hasn't left")
}
