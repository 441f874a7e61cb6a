package tier_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/settings"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// slowRunDuration is longer than the timeout of the requests.
	slowRunDuration = time.Second
	// fenceSpan is long enough for an entry that can't reach control to fence itself.
	fenceSpan = 10 * time.Second
)

// setRunDuration sets the duration of runs at all targets.
func (load *load) setRunDuration(span time.Duration) {
	for _, changed := range load.tier.Targets() {
		changed.Behave(func(behaviour *standin.Behaviour) {
			behaviour.RunDuration = func(*target.Run) time.Duration { return span }
		})
	}
}

// change changes the announcements of all targets without sending them.
func (load *load) change(change func(announcement *target.Announcement)) {
	for _, changed := range load.tier.Targets() {
		changed.Change(change)
	}
}

func (load *load) loseControl() {
	for _, replica := range load.tier.Replicas() {
		load.network.Down(replica.IP())
	}
}

func (load *load) breakTargetConnections() {
	for _, broken := range load.tier.Targets() {
		load.network.Break(broken.IP())
	}
}

// cancel cancels a request at an entry, as its caller would.
func (load *load) cancel(entry int, id caller.RequestID) {
	url := "http://" + load.tier.Entries()[entry].Settings().HTTPAddress + "/v1/requests/" + string(id)
	request, _ := http.NewRequest(http.MethodDelete, url, http.NoBody)
	client := http.Client{Transport: &http.Transport{DialContext: load.network.Dialer("10.0.0.7"), DisableKeepAlives: true}}
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// expectTruthfulRefusals waits for the requests, checks the run outcome in each
// refusal against the targets' records, and checks that at least one refusal has
// the given kind and run outcome.
func (load *load) expectTruthfulRefusals(expect gomega.Gomega, kind caller.RefusalKind, run caller.RunOutcome) {
	load.running.Wait()
	expect.Expect(load.failures).To(gomega.BeEmpty())
	found := false
	for _, refusal := range load.refusals {
		runs := load.tier.Runs(refusal.RequestID)
		if refusal.Run == caller.NotRun {
			expect.Expect(runs).To(gomega.BeZero(), refusal.Error())
		}
		if refusal.Run == caller.DidRun {
			expect.Expect(runs).To(gomega.BeNumerically(">", 0), refusal.Error())
		}
		found = found || refusal.Kind == kind && refusal.Run == run
	}
	expect.Expect(found).To(gomega.BeTrue(), "%s (%s) is not among %v", kind, run, load.refusalSummaries())
}

// refusalSummaries returns the kind, run outcome and missing shards of each refusal.
func (load *load) refusalSummaries() []string {
	var lines []string
	for _, refusal := range load.refusals {
		line := string(refusal.Kind) + " " + string(refusal.Run)
		if refusal.Coverage != nil {
			line += fmt.Sprint(refusal.Coverage.Missing)
		}
		lines = append(lines, line)
	}
	return lines
}

var _ = ginkgo.Describe("a refusal states correctly whether the request ran", func() {
	ginkgo.DescribeTable("of the kind",
		func(kind caller.RefusalKind, run caller.RunOutcome, act func(load *load)) {
			withOneEntry(nil, func(expect gomega.Gomega, load *load) {
				act(load)
				load.expectTruthfulRefusals(expect, kind, run)
			})
		},
		ginkgo.Entry("bad request", caller.RefusedBadRequest, caller.NotRun, func(load *load) {
			request := newFiling("card")
			request.Timeout = 0
			load.send(0, request)
		}),
		ginkgo.Entry("unknown kind", caller.RefusedUnknownKind, caller.NotRun, func(load *load) {
			request := newFiling("card")
			request.Kind = "unknown"
			load.send(0, request)
		}),
		ginkgo.Entry("expired", caller.RefusedExpired, caller.NotRun, func(load *load) {
			request := newFiling("card")
			request.ID = caller.NewRequestID(time.Now().Add(-time.Minute))
			load.send(0, request)
		}),
		ginkgo.Entry("overloaded, while other requests run", caller.RefusedOverloaded, caller.NotRun, func(load *load) {
			load.setRunDuration(100 * time.Millisecond)
			for number := range 3 * operator.DefaultQueueLimit * 3 / 2 {
				load.send(number, newFiling("card"))
			}
		}),
		ginkgo.Entry("fenced", caller.RefusedFenced, caller.NotRun, func(load *load) {
			load.loseControl()
			time.Sleep(fenceSpan)
			load.send(0, newFiling("card"))
			load.send(1, newSearch("lookup"))
		}),
		ginkgo.Entry("stopping", caller.RefusedStopping, caller.NotRun, func(load *load) {
			tables := small.Tables()
			tables.FailureDomainsOut = []string{small.FailureDomains[0]}
			_, _ = load.tier.Control().Change(context.Background(), &operator.Change{ID: "out", Base: load.tier.TablesVersion(), Tables: tables})
			time.Sleep(settings.DefaultAddressMaxAge + fenceSpan)
			load.send(0, newFiling("card"))
			load.send(0, newSearch("lookup"))
		}),
		ginkgo.Entry("quarantined, for the request that crashed targets", caller.RefusedQuarantined, caller.MayHaveRun, func(load *load) {
			load.poison("poison")
			load.send(0, newSearch("poison"))
		}),
		ginkgo.Entry("quarantined, for a later request with the same content", caller.RefusedQuarantined, caller.NotRun, func(load *load) {
			load.poison("poison")
			load.send(0, newSearch("poison"))
			load.running.Wait()
			load.reset()
			load.send(1, newSearch("poison"))
		}),
		ginkgo.Entry("no replica, because all targets leave", caller.RefusedNoReplica, caller.NotRun, func(load *load) {
			load.change(func(announcement *target.Announcement) { announcement.State = target.Leaving })
			time.Sleep(2 * time.Second)
			load.send(0, newFiling("card"))
		}),
		ginkgo.Entry("no replica, because all targets shed runs as leaving", caller.RefusedNoReplica, caller.NotRun, func(load *load) {
			load.change(func(announcement *target.Announcement) { announcement.State = target.Leaving })
			load.send(0, newFiling("card"))
		}),
		ginkgo.Entry("no replica, because all targets hold another version", caller.RefusedNoReplica, caller.NotRun, func(load *load) {
			load.change(func(announcement *target.Announcement) { announcement.IndexVersions = []uint64{7} })
			load.send(0, newFiling("card"))
		}),
		ginkgo.Entry("no replica, because no target accepts a connection", caller.RefusedNoReplica, caller.NotRun, func(load *load) {
			for _, lost := range load.tier.Targets() {
				load.network.Down(lost.IP())
			}
			load.send(0, newFiling("card"))
		}),
		ginkgo.Entry("deadline, while the run is in progress", caller.RefusedDeadline, caller.MayHaveRun, func(load *load) {
			load.setRunDuration(slowRunDuration)
			load.send(0, newFiling("card"))
			load.send(1, newSearch("lookup"))
		}),
		ginkgo.Entry("deadline, while no slot is free", caller.RefusedDeadline, caller.NotRun, func(load *load) {
			load.setRunDuration(2 * slowRunDuration)
			for number := range 3 * small.Pools[0].Targets * small.Pools[0].Slots {
				long := newFiling("card")
				long.Timeout = duration.Of(slowRunDuration)
				load.send(number, long)
			}
			time.Sleep(slowRunDuration / 2)
			for number := range 20 {
				load.send(number, newFiling("card"))
			}
		}),
		ginkgo.Entry("no replica, because connections open too slowly", caller.RefusedNoReplica, caller.NotRun, func(load *load) {
			load.breakTargetConnections()
			load.network.SetConnectTime(func(_, to string) time.Duration {
				for _, slow := range load.tier.Targets() {
					if slow.IP() == to {
						return 2 * operator.DefaultConnectTimeout
					}
				}
				return 0
			})
			request := newFiling("card")
			request.Timeout = duration.Of(10 * operator.DefaultConnectTimeout)
			load.send(0, request)
		}),
		ginkgo.Entry("coverage below the minimum, once a shard has no replica", caller.RefusedCoverage, caller.MayHaveRun, func(load *load) {
			for _, lost := range load.targetsOfShard(0) {
				load.network.Down(lost.IP())
			}
			request := newSearch("lookup")
			request.MinimumCoverage = 1
			load.send(0, request)
		}),
		ginkgo.Entry("coverage below the minimum, once the time has run out", caller.RefusedCoverage, caller.MayHaveRun, func(load *load) {
			for _, slowed := range load.targetsOfShard(0) {
				slowed.Behave(func(behaviour *standin.Behaviour) {
					behaviour.RunDuration = func(*target.Run) time.Duration { return slowRunDuration }
				})
			}
			request := newSearch("lookup")
			request.MinimumCoverage = 1
			load.send(0, request)
		}),
		ginkgo.Entry("already sent, and ran", caller.RefusedAlreadySent, caller.DidRun, func(load *load) {
			request := newFiling("card")
			load.send(0, request)
			load.running.Wait()
			load.send(1, request)
		}),
		ginkgo.Entry("already sent, and still running", caller.RefusedAlreadySent, caller.MayHaveRun, func(load *load) {
			load.setRunDuration(100 * time.Millisecond)
			request := newFiling("card")
			load.send(0, request)
			time.Sleep(20 * time.Millisecond)
			load.send(0, request)
			load.send(1, request)
		}),
		ginkgo.Entry("cancelled", caller.RefusedCancelled, caller.MayHaveRun, func(load *load) {
			load.setRunDuration(200 * time.Millisecond)
			request := newFiling("card")
			load.send(0, request)
			time.Sleep(50 * time.Millisecond)
			load.cancel(0, request.ID)
		}),
		ginkgo.Entry("control unavailable", caller.RefusedControlUnavailable, caller.NotRun, func(load *load) {
			load.loseControl()
			load.send(0, newFiling("card"))
		}),
		ginkgo.Entry("answer lost, because the connection broke", caller.RefusedAnswerLost, caller.MayHaveRun, func(load *load) {
			load.setRunDuration(100 * time.Millisecond)
			load.send(0, newFiling("card"))
			time.Sleep(50 * time.Millisecond)
			load.breakTargetConnections()
		}),
		ginkgo.Entry("answer lost, because it was damaged", caller.RefusedAnswerLost, caller.MayHaveRun, func(load *load) {
			for _, damaging := range load.tier.Targets() {
				damaging.Behave(func(behaviour *standin.Behaviour) {
					behaviour.Corrupt = func(result *target.Result) { result.Checksum++ }
				})
			}
			load.send(0, newFiling("card"))
		}),
	)
})

// A run right is control's permission for an entry to run a request that may not be repeated.
var _ = ginkgo.Describe("a request that needs a run right", func() {
	ginkgo.It("is refused as not run before its deadline when control doesn't answer", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			for _, replica := range load.tier.Replicas() {
				load.network.Down(replica.IP())
			}
			request := newFiling("card")
			load.send(0, request)
			load.running.Wait()
			expect.Expect(load.refusals).To(gomega.HaveLen(1))
			expect.Expect(load.refusals[0].Kind).To(gomega.Equal(caller.RefusedControlUnavailable))
			expect.Expect(load.refusals[0].Run).To(gomega.Equal(caller.NotRun))
			expect.Expect(load.latencyQuantile(1)).To(gomega.BeNumerically("<", request.Timeout.Std()))
			expect.Expect(load.tier.Runs(request.ID)).To(gomega.BeZero())
		})
	})
})
