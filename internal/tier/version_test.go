package tier_test

import (
	"context"
	"encoding/json"

	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// announcedChangeInterval is the interval between changes of targets that announce
	// them at once, and renewedChangeInterval that of targets that announce them with
	// their next renewal.
	announcedChangeInterval = 50 * time.Millisecond
	renewedChangeInterval   = time.Second
	// propagationSpan is the time after which all entries know of a change.
	propagationSpan = 2 * time.Second
	// slowShardRunDuration is the run duration at a shard that is slowed so that its runs wait for slots.
	slowShardRunDuration = 50 * time.Millisecond
	// secondLayoutShards is the number of shards after the repartitioning; before,
	// there are four.
	secondLayoutShards = 6
)

// targetsByReplica returns the targets ordered by replica number, so that each
// consecutive group covers all shards.
func (load *load) targetsByReplica() []*tier.Target {
	var ordered []*tier.Target
	for replica := range small.Pools[0].Targets / small.Pools[0].Shards {
		for shard := range small.Pools[0].Shards {
			ordered = append(ordered, load.targetsOfShard(shard)[replica])
		}
	}
	return ordered
}

// changeInTurn changes targets one after another. If announces is set, each announces
// its change at once, otherwise with its next renewal.
func (load *load) changeInTurn(targets []*tier.Target, announces bool, change func(index int, announcement *target.Announcement)) {
	entry := load.tier.Entries()[0].Settings().HTTPAddress
	for index, changed := range targets {
		changed.Change(func(announcement *target.Announcement) { change(index, announcement) })
		if !announces {
			time.Sleep(renewedChangeInterval)
			continue
		}
		_ = changed.Announce(context.Background(), entry)
		time.Sleep(announcedChangeInterval)
	}
}

// changeAllAtOnce changes all targets at the same time; each announces its change at once.
func (load *load) changeAllAtOnce(change func(index int, announcement *target.Announcement)) {
	entries := load.tier.Entries()
	for index, changed := range load.targetsByReplica() {
		changed.Change(func(announcement *target.Announcement) { change(index, announcement) })
		go func() {
			_ = changed.Announce(context.Background(), entries[index%len(entries)].Settings().HTTPAddress)
		}()
	}
}

// searchDuring sends searches until the body returns.
func (load *load) searchDuring(body func()) {
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		body()
	}()
	for done := false; !done; {
		load.sendSteadily(100, 100*time.Millisecond)
		select {
		case <-changed:
			done = true
		default:
		}
	}
}

// inconsistentAnswer returns an answer that contains a part of another snapshot,
// contains a shard twice, or has a total or coverage that doesn't fit its layout
// and parts. It returns nil if there is none.
func (load *load) inconsistentAnswer() *caller.Answer {
	for _, answer := range load.answers {
		seen := map[int]bool{}
		for _, part := range answer.Parts {
			var payload standin.ResultPayload
			err := json.Unmarshal(part.Payload, &payload)
			if err != nil || payload.IndexVersion != answer.Snapshot.IndexVersion || payload.Layout != answer.Snapshot.Layout ||
				payload.Shards != answer.Coverage.Total || payload.Shard != part.Shard || seen[part.Shard] {
				return answer
			}
			seen[part.Shard] = true
		}
		if answer.Coverage.Answered != len(answer.Parts) || answer.Coverage.Answered+len(answer.Coverage.Missing) != answer.Coverage.Total {
			return answer
		}
	}
	return nil
}

// expectCompleteAnswers checks that all answers are consistent and complete. They
// must be, because a complete snapshot exists at each moment.
func (load *load) expectCompleteAnswers(expect gomega.Gomega) {
	expect.Expect(load.inconsistentAnswer()).To(gomega.BeNil())
	expect.Expect(load.failures).To(gomega.BeEmpty())
	expect.Expect(load.refusals).To(gomega.BeEmpty())
	expect.Expect(load.completeAnswerCount()).To(gomega.Equal(len(load.answers)))
}

func (load *load) snapshotCounts() map[caller.Snapshot]int {
	counts := map[caller.Snapshot]int{}
	for _, answer := range load.answers {
		counts[answer.Snapshot]++
	}
	return counts
}

// missingCounts counts the missing shards of all answers by reason.
func (load *load) missingCounts() map[caller.MissingReason]int {
	counts := map[caller.MissingReason]int{}
	for _, answer := range load.answers {
		for _, missing := range answer.Coverage.Missing {
			counts[missing.Reason]++
		}
	}
	return counts
}

// repartition assigns a target its shard in the second layout.
func repartition(index int, announcement *target.Announcement) {
	announcement.Layout = "layout-2"
	announcement.Shards = secondLayoutShards
	announcement.Shard = index % secondLayoutShards
}

var _ = ginkgo.Describe("one snapshot in each answer", func() {
	for _, announces := range []bool{true, false} {
		name := "with their next renewal"
		if announces {
			name = "at once"
		}
		ginkgo.It("keeps answers complete while the shards are repartitioned and targets announce it "+name, func() {
			withTier(func(expect gomega.Gomega, load *load) {
				load.sendSteadily(100, time.Second)
				load.reset()
				load.searchDuring(func() { load.changeInTurn(load.targetsByReplica(), announces, repartition) })
				load.expectCompleteAnswers(expect)
				expect.Expect(load.snapshotCounts()).To(gomega.HaveLen(2))
			})
		})

		ginkgo.It("keeps answers complete while index versions are rolled out to targets that hold one each and announce it "+name, func() {
			withTier(func(expect gomega.Gomega, load *load) {
				load.sendSteadily(100, time.Second)
				load.reset()
				load.searchDuring(func() {
					for version := uint64(2); version <= 4; version++ {
						load.changeInTurn(load.targetsByReplica(), announces, func(_ int, announcement *target.Announcement) {
							announcement.IndexVersions = []uint64{version}
						})
					}
				})
				load.expectCompleteAnswers(expect)
				expect.Expect(len(load.snapshotCounts())).To(gomega.BeNumerically(">=", 3))
			})
		})
	}

	ginkgo.It("keeps answers complete while index versions are rolled out shard by shard and targets temporarily hold two", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.sendSteadily(100, time.Second)
			load.reset()
			load.searchDuring(func() {
				for version := uint64(2); version <= 4; version++ {
					load.changeInTurn(load.tier.Targets(), true, func(_ int, announcement *target.Announcement) {
						announcement.IndexVersions = append(slices.Clone(announcement.IndexVersions), version)
					})
					load.changeInTurn(load.tier.Targets(), true, func(_ int, announcement *target.Announcement) {
						announcement.IndexVersions = announcement.IndexVersions[1:]
					})
				}
			})
			load.expectCompleteAnswers(expect)
		})
	})

	ginkgo.It("keeps answers complete while one replica of each shard skips a version", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.sendSteadily(100, time.Second)
			load.reset()
			load.searchDuring(func() {
				for version := uint64(2); version <= 4; version++ {
					load.changeInTurn(load.targetsByReplica(), true, func(index int, announcement *target.Announcement) {
						if skips := index%3 == 1 && version == 3; !skips {
							announcement.IndexVersions = []uint64{version}
						}
					})
				}
			})
			load.expectCompleteAnswers(expect)
		})
	})

	ginkgo.DescribeTable("moves requests in progress to the new snapshot as a whole if all targets change at once and announce it",
		func(change func(index int, announcement *target.Announcement)) {
			withTier(func(expect gomega.Gomega, load *load) {
				load.sendSteadily(100, time.Second)
				load.reset()
				// Runs of one shard wait for slots while the other shards answer.
				for _, slowed := range load.targetsOfShard(0) {
					slowed.Behave(func(behaviour *standin.Behaviour) {
						behaviour.RunDuration = func(*target.Run) time.Duration { return slowShardRunDuration }
					})
				}
				time.AfterFunc(time.Second/2, func() { load.changeAllAtOnce(change) })
				load.sendSteadily(100, time.Second)
				expect.Expect(load.failures).To(gomega.BeEmpty())
				expect.Expect(load.inconsistentAnswer()).To(gomega.BeNil())
				// A shard may be missing because it has no run or slot left for the
				// second snapshot, but never for lack of a replica with that snapshot.
				expect.Expect(load.missingCounts()).NotTo(gomega.Or(gomega.HaveKey(caller.MissingVersion), gomega.HaveKey(caller.MissingNoReplica)))
				expect.Expect(load.snapshotCounts()).To(gomega.HaveLen(2))
				// With this many attempts, shards of the answer ran in both snapshots.
				moved := 0
				for _, answer := range load.answers {
					if answer.Coverage.Complete && answer.Attempts >= 2*answer.Coverage.Total {
						moved++
					}
				}
				expect.Expect(moved).To(gomega.BeNumerically(">", 0))
				load.setRunDuration(runDuration)
				time.Sleep(propagationSpan)
				load.reset()
				load.sendSteadily(100, time.Second)
				load.expectCompleteAnswers(expect)
			})
		},
		ginkgo.Entry("a new index version", func(_ int, announcement *target.Announcement) { announcement.IndexVersions = []uint64{2} }),
		ginkgo.Entry("a new layout", repartition),
	)

	ginkgo.It("reports the total of the layout that answered while only some shards of a new layout exist", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.sendSteadily(100, time.Second)
			load.reset()
			// The replicas of each shard move to the second layout one after another, of
			// whose eight shards four never exist. The first layout stays complete until
			// the last replica of each shard moves.
			moved := load.targetsByReplica()
			load.searchDuring(func() {
				load.changeInTurn(moved, true, func(index int, announcement *target.Announcement) {
					announcement.Layout, announcement.Shards, announcement.Shard = "layout-2", 2*small.Pools[0].Shards, index%small.Pools[0].Shards
				})
			})
			expect.Expect(load.inconsistentAnswer()).To(gomega.BeNil())
			load.reset()
			load.sendSteadily(100, time.Second)
			expect.Expect(load.inconsistentAnswer()).To(gomega.BeNil())
			expect.Expect(load.completeAnswerCount()).To(gomega.BeZero())
			expect.Expect(load.answers).To(gomega.HaveLen(100))
			for _, answer := range load.answers {
				expect.Expect(answer.Coverage.Total).To(gomega.Equal(2 * small.Pools[0].Shards))
				expect.Expect(answer.Coverage.Answered).To(gomega.Equal(small.Pools[0].Shards))
			}
		})
	})
})
