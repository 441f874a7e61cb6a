package tier_test

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// usableBound is the required maximum time from a target's announcement until
	// every entry can use it, and from the start of its leaving until it gets no new
	// work.
	usableBound = 2 * time.Second
	lateTTL     = 3 * time.Second
)

// addPools adds pools without targets to the tables, and waits until the change is in force.
// startLateTarget starts their targets. Each of the pools has a single shard.
func (load *load) addPools(expect gomega.Gomega, count int) {
	changeTables(expect, load.tier, "more pools", func(tables *operator.Tables) {
		for number := range count {
			name := fmt.Sprintf("late-%d", number)
			tables.Pools = append(tables.Pools, operator.Pool{Name: name, Slots: 2, Connections: 6, Cold: operator.Cold{Slots: 1, RunsPerSecond: 200, WarmAfterRuns: 20}})
			tables.Routes = append(tables.Routes, operator.Route{Kind: name + ".search", Pool: name})
		}
	})
	time.Sleep(inForceBound)
}

// startLateTarget starts a target of a pool that addPools added. It doesn't
// announce the target.
func (load *load) startLateTarget(expect gomega.Gomega, pool, replica int) *standin.Target {
	ip := fmt.Sprintf("10.%d.9.%d", 1+replica%3, 1+10*pool+replica)
	listener, err := load.network.Listen(ip + ":80")
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	started := standin.NewTarget(target.Announcement{
		ID: fmt.Sprintf("late-%d-%d", pool, replica), Address: ip + ":80", Pool: fmt.Sprintf("late-%d", pool),
		FailureDomain: small.FailureDomains[replica%3], Layout: "layout-1", Shards: 1, Incarnation: 2, Revision: 1,
		State: target.Warm, IndexVersions: []uint64{1}, TTL: duration.Of(lateTTL),
	}, standin.Behaviour{}, load.network.Dialer(ip))
	go func() { _ = started.Serve(listener) }()
	return started
}

// renew keeps renewing a target's announcement at an entry until the returned
// function is called.
func (load *load) renew(renewed *standin.Target, entry int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go renewed.Renew(ctx, load.tier.Entries()[entry].Settings().HTTPAddress)
	return cancel
}

// lateSearch returns a search of a pool that addPools added.
func lateSearch(pool int) *caller.Request {
	request := newSearch(time.Now().String())
	request.Kind = fmt.Sprintf("late-%d.search", pool)
	return request
}

// servesPool reports whether an entry answers a search of an added pool with complete coverage.
func (load *load) servesPool(entry, pool int) bool {
	client := load.tier.Client(load.tier.Entries()[entry])
	defer client.Close()
	answer, err := client.Send(context.Background(), lateSearch(pool))
	return err == nil && answer.Coverage.Complete
}

func expectFault(expect gomega.Gomega, err error, kind fault.Kind, description string) {
	var typed *fault.Error
	expect.Expect(errors.As(err, &typed)).To(gomega.BeTrue(), "%s: %v", description, err)
	expect.Expect(typed.Kind).To(gomega.Equal(kind), description)
	expect.Expect(typed.Remedy).NotTo(gomega.BeEmpty(), description)
}

var _ = ginkgo.Describe("the directory of targets", func() {
	ginkgo.It("makes a target usable at every entry within 2 s of its announcement to any entry, and drops a crashed target within its TTL", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			entries := load.tier.Entries()
			load.addPools(expect, len(entries))
			for entryIndex, entry := range entries {
				late := load.startLateTarget(expect, entryIndex, entryIndex)
				defer late.Stop()
				start := time.Now()
				expect.Expect(late.Announce(context.Background(), entry.Settings().HTTPAddress)).To(gomega.Succeed())
				for asked := range entries {
					for !load.servesPool(asked, entryIndex) {
						expect.Expect(time.Since(start)).To(gomega.BeNumerically("<=", usableBound), "announced at %d, asked at %d", entryIndex, asked)
						time.Sleep(20 * time.Millisecond)
					}
				}
				// The target crashes, so its announcement isn't renewed.
				load.network.Down(fmt.Sprintf("10.%d.9.%d", 1+entryIndex%3, 1+11*entryIndex))
				time.Sleep(lateTTL + usableBound)
				for asked := range entries {
					client := load.tier.Client(entries[asked])
					_, err := client.Send(context.Background(), lateSearch(entryIndex))
					client.Close()
					var refusal *caller.Refusal
					expect.Expect(errors.As(err, &refusal)).To(gomega.BeTrue())
					expect.Expect(refusal.Kind).To(gomega.Equal(caller.RefusedNoReplica))
					expect.Expect(refusal.Run).To(gomega.Equal(caller.NotRun))
					// The entries no longer know the number of shards.
					expect.Expect(refusal.Coverage == nil || !refusal.Coverage.Known).To(gomega.BeTrue(), "at %d: %v", asked, refusal)
				}
			}
		})
	})

	ginkgo.It("stops new work from all entries for a leaving target, however they learn that it leaves", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			waysToLeave := []func(leaving *standin.Target){
				func(leaving *standin.Target) {
					leaving.Change(func(announcement *target.Announcement) { announcement.State = target.Leaving })
					_ = leaving.Announce(context.Background(), load.tier.Entries()[5].Settings().HTTPAddress)
				},
				func(leaving *standin.Target) {
					leaving.Behave(func(behaviour *standin.Behaviour) {
						behaviour.Corrupt = func(result *target.Result) { result.Leaving = true }
					})
				},
				func(leaving *standin.Target) {
					// Without an announcement, entries learn it only from the runs that the target sheds.
					leaving.Change(func(announcement *target.Announcement) { announcement.State = target.Leaving })
				},
			}
			load.addPools(expect, len(waysToLeave))
			for pool, leave := range waysToLeave {
				leaving, staying := load.startLateTarget(expect, pool, 0), load.startLateTarget(expect, pool, 1)
				defer leaving.Stop()
				defer staying.Stop()
				leaving.Change(func(announcement *target.Announcement) { announcement.TTL = duration.Of(target.MaximumTTL) })
				expect.Expect(leaving.Announce(context.Background(), load.tier.Entries()[0].Settings().HTTPAddress)).To(gomega.Succeed())
				defer load.renew(staying, 1)()
				time.Sleep(usableBound)
				leftAt := time.Time{}
				for number := range 800 {
					if number == 200 {
						leave(leaving)
						leftAt = time.Now()
					}
					load.send(number, lateSearch(pool))
					time.Sleep(5 * time.Millisecond)
				}
				load.running.Wait()
				before, after := 0, 0
				for _, arrival := range leaving.Record().Arrivals {
					if arrival.At.Before(leftAt) {
						before++
					} else if arrival.At.After(leftAt.Add(usableBound)) {
						after++
					}
				}
				expect.Expect(before).To(gomega.BeNumerically(">", 0), "way to leave %d", pool)
				expect.Expect(after).To(gomega.BeZero(), "way to leave %d", pool)
				expect.Expect(load.completeAnswerCount()).To(gomega.Equal(800), "way to leave %d", pool)
				load.reset()
			}
		})
	})

	ginkgo.It("refuses contradictory and excessive announcements with a typed fault at every entry, and still accepts renewals", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.addPools(expect, 2)
			late := load.startLateTarget(expect, 0, 0)
			defer late.Stop()
			defer load.renew(late, 0)()
			time.Sleep(usableBound)
			announcer := target.NewAnnouncer(load.network.Dialer("10.1.9.200"))
			for entryIndex, entry := range load.tier.Entries() {
				announce := func(edit func(announcement *target.Announcement)) error {
					announcement := late.Announcement()
					edit(&announcement)
					_, err := announcer.Announce(context.Background(), entry.Settings().HTTPAddress, &announcement)
					return err
				}
				at := fmt.Sprintf("at entry %d: ", entryIndex)
				expectFault(expect, announce(func(late *target.Announcement) { late.Incarnation = 1 }), fault.Conflict, at+"an old incarnation")
				expectFault(expect, announce(func(late *target.Announcement) { late.Address = "10.1.9.201:80" }), fault.Conflict, at+"a second process of one ID")
				expectFault(expect, announce(func(late *target.Announcement) { late.Pool, late.Incarnation = "late-1", 3 }), fault.Conflict, at+"another pool")
				expectFault(expect, announce(func(late *target.Announcement) { late.Pool = "unknown" }), fault.NotFound, at+"an unknown pool")
				expectFault(expect, announce(func(late *target.Announcement) { late.ID, late.Shards = "other", 2 }), fault.Conflict, at+"another number of shards")
				expectFault(expect, announce(func(late *target.Announcement) { late.Address = "nowhere" }), fault.BadRequest, at+"a bad address")
				var refused error
				for flood := range 1000 {
					refused = announce(func(late *target.Announcement) { late.ID = fmt.Sprintf("flood-%d-%d", entryIndex, flood) })
					if refused != nil {
						break
					}
				}
				expectFault(expect, refused, fault.Unavailable, at+"a flood")
				expect.Expect(announce(func(*target.Announcement) {})).To(gomega.Succeed(), at+"a renewal in a flood")
			}
		})
	})
})
