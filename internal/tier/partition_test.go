package tier_test

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
)

const (
	// victim is the IP address of the entry that is cut off.
	victim = "10.1.1.1"
	// recoverySpan is the time within which the other entries return complete
	// answers again: the lease, the removal from the view and two renewals.
	recoverySpan = control.LeaseDuration + 2*time.Second
)

type (
	// linkFilter reports whether messages from one IP address to another are lost.
	linkFilter func(from, to string) bool
)

var (
	controlIPs = []string{"10.1.0.1", "10.2.0.1", "10.3.0.1"}
	entryIPs   = []string{"10.1.1.1", "10.1.1.2", "10.2.1.1", "10.2.1.2", "10.3.1.1", "10.3.1.2"}
)

// The entries of this table correspond to the rows of docs/design/partitions.md.
var _ = ginkgo.DescribeTable("in a partition", func(isCut linkFilter, victimIsFenced bool) {
	bubble.Run(suite, func(expect gomega.Gomega) {
		started, network := startAtelier(expect, nil)
		defer func() { _ = started.Stop(context.Background()) }()
		all := append(append([]string{}, controlIPs...), entryIPs...)
		for _, target := range started.Targets() {
			all = append(all, target.IP())
		}
		forEachCutLink := func(apply func(from, to string)) {
			for _, from := range all {
				for _, to := range all {
					if from != to && isCut(from, to) {
						apply(from, to)
					}
				}
			}
		}
		forEachCutLink(network.Cut)
		defer forEachCutLink(network.Heal)
		time.Sleep(recoverySpan)
		answer, err := query(started, 0)
		if victimIsFenced {
			var refusal *caller.Refusal
			expect.Expect(errors.As(err, &refusal)).To(gomega.BeTrue(), "answer %v, error %v", answer, err)
			expect.Expect(refusal.Kind).To(gomega.Equal(caller.RefusedFenced))
			expect.Expect(refusal.Run).To(gomega.Equal(caller.NotRun))
			expect.Expect(refusal.Entries).NotTo(gomega.ContainElement(victim + ":80"))
			expect.Expect(refusal.Entries).NotTo(gomega.BeEmpty())
		} else {
			expect.Expect(err).NotTo(gomega.HaveOccurred())
		}
		for entry := 2; entry < len(entryIPs); entry++ {
			answer, err := query(started, entry)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(answer.Coverage.Complete).To(gomega.BeTrue(), "entry %s: %v", entryIPs[entry], answer.Coverage)
		}
		forEachCutLink(network.Heal)
		time.Sleep(recoverySpan)
		for entry := range entryIPs {
			answer, err := query(started, entry)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(answer.Coverage.Complete).To(gomega.BeTrue(), "entry %s: %v", entryIPs[entry], answer.Coverage)
		}
	})
},
	ginkgo.Entry("an entry cut off from control", linkFilter(func(from, to string) bool {
		return from == victim && isControl(to) || isControl(from) && to == victim
	}), true),
	ginkgo.Entry("an entry whose messages to control are lost", linkFilter(func(from, to string) bool {
		return from == victim && isControl(to)
	}), true),
	ginkgo.Entry("an entry that control's replies don't reach", linkFilter(func(from, to string) bool {
		return isControl(from) && to == victim
	}), true),
	ginkgo.Entry("an entry cut off from the other entries", linkFilter(func(from, to string) bool {
		return from == victim && isEntry(to) || isEntry(from) && to == victim
	}), false),
	ginkgo.Entry("an entry cut off from its targets", linkFilter(func(from, to string) bool {
		return from == victim && !isEntry(to) && !isControl(to) || !isEntry(from) && !isControl(from) && to == victim
	}), false),
	ginkgo.Entry("a region cut off from the others", linkFilter(func(from, to string) bool {
		return strings.HasPrefix(from, "10.1.") != strings.HasPrefix(to, "10.1.")
	}), true),
)

func query(started *tier.Tier, entry int) (*caller.Answer, error) {
	client := started.Client(started.Entries()[entry])
	defer client.Close()
	return client.Send(context.Background(), &caller.Request{
		ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: "buyer-desk.search", Idempotent: true, RunsPerShard: 3, Timeout: duration.Of(time.Second),
	})
}

func isControl(ip string) bool {
	return strings.HasSuffix(ip, ".0.1") && net.ParseIP(ip) != nil
}

func isEntry(ip string) bool {
	return strings.Contains(ip, ".1.") && strings.Split(ip, ".")[2] == "1"
}
