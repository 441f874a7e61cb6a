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
	// rollGap is the span between the changes of two targets that announce
	// them at once, and renewalGap that of two which don't.
	rollGap    = 50 * time.Millisecond
	renewalGap = time.Second
	// knownSpan is the span after which a change is known at all entries.
	knownSpan = 2 * time.Second
	// slowWork is the span of a run of a shard whose runs wait for slots.
	slowWork = 50 * time.Millisecond
	// secondLayoutShards is the number of shards after the repartition; before
	// it there are four.
	secondLayoutShards = 6
)

// byReplica returns the targets so that those of one replica number, which
// hold all shards together, come one after another.
func (load *load) byReplica() []*tier.Target {
	var ordered []*tier.Target
	for replica := range small.Pools[0].Targets / small.Pools[0].Shards {
		for shard := range small.Pools[0].Shards {
			ordered = append(ordered, load.byShard(shard)[replica])
		}
	}
	return ordered
}

// roll changes targets one after another; each announces its change at once
// where announces is set, and otherwise with its next renewal.
func (load *load) roll(targets []*tier.Target, announces bool, change func(number int, announcement *target.Announcement)) {
	entry := load.tier.Entries()[0].Settings().HTTPAddress
	for number, changed := range targets {
		changed.Change(func(announcement *target.Announcement) { change(number, announcement) })
		if !announces {
			time.Sleep(renewalGap)
			continue
		}
		_ = changed.Announce(context.Background(), entry)
		time.Sleep(rollGap)
	}
}

// changeAll changes all targets at once; each announces it at once.
func (load *load) changeAll(change func(number int, announcement *target.Announcement)) {
	entries := load.tier.Entries()
	for number, changed := range load.byReplica() {
		changed.Change(func(announcement *target.Announcement) { change(number, announcement) })
		go func() {
			_ = changed.Announce(context.Background(), entries[number%len(entries)].Settings().HTTPAddress)
		}()
	}
}

// during sends searches while the body changes targets.
func (load *load) during(body func()) {
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		body()
	}()
	for done := false; !done; {
		load.steady(100, 100*time.Millisecond)
		select {
		case <-changed:
			done = true
		default:
		}
	}
}

// mixed returns an answer that holds a part of another snapshot than its own,
// a shard twice, or another total than its layout's; nil where there is none.
func (load *load) mixed() *caller.Answer {
	for _, answer := range load.answers {
		seen := map[int]bool{}
		for _, part := range answer.Parts {
			var lines standin.Lines
			err := json.Unmarshal(part.Payload, &lines)
			if err != nil || lines.IndexVersion != answer.Snapshot.IndexVersion || lines.Layout != answer.Snapshot.Layout ||
				lines.Shards != answer.Coverage.Total || lines.Shard != part.Shard || seen[part.Shard] {
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

// expectWhole checks that no answer is mixed and that each is complete,
// because a whole snapshot exists at each instant.
func (load *load) expectWhole(expect gomega.Gomega) {
	expect.Expect(load.mixed()).To(gomega.BeNil())
	expect.Expect(load.failures).To(gomega.BeEmpty())
	expect.Expect(load.refusals).To(gomega.BeEmpty())
	expect.Expect(load.complete()).To(gomega.Equal(len(load.answers)))
}

func (load *load) snapshots() map[caller.Snapshot]int {
	counts := map[caller.Snapshot]int{}
	for _, answer := range load.answers {
		counts[answer.Snapshot]++
	}
	return counts
}

// missing counts the missing shards by reason.
func (load *load) missing() map[caller.MissingReason]int {
	counts := map[caller.MissingReason]int{}
	for _, answer := range load.answers {
		for _, missing := range answer.Coverage.Missing {
			counts[missing.Reason]++
		}
	}
	return counts
}

// repartition gives a target its place in the second layout.
func repartition(number int, announcement *target.Announcement) {
	announcement.Layout = "layout-2"
	announcement.Shards = secondLayoutShards
	announcement.Shard = number % secondLayoutShards
}

var _ = ginkgo.Describe("one snapshot in each answer", func() {
	for _, announces := range []bool{true, false} {
		name := "with their next renewal"
		if announces {
			name = "at once"
		}
		ginkgo.It("answers whole while the shards are repartitioned and targets announce it "+name, func() {
			withTier(func(expect gomega.Gomega, load *load) {
				load.steady(100, time.Second)
				load.reset()
				load.during(func() { load.roll(load.byReplica(), announces, repartition) })
				load.expectWhole(expect)
				expect.Expect(load.snapshots()).To(gomega.HaveLen(2))
			})
		})

		ginkgo.It("answers whole while index versions roll from target to target, which hold one each and announce it "+name, func() {
			withTier(func(expect gomega.Gomega, load *load) {
				load.steady(100, time.Second)
				load.reset()
				load.during(func() {
					for version := uint64(2); version <= 4; version++ {
						load.roll(load.byReplica(), announces, func(_ int, announcement *target.Announcement) {
							announcement.IndexVersions = []uint64{version}
						})
					}
				})
				load.expectWhole(expect)
				expect.Expect(len(load.snapshots())).To(gomega.BeNumerically(">=", 3))
			})
		})
	}

	ginkgo.It("answers whole while index versions roll shard by shard, each target holding two for a while", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.steady(100, time.Second)
			load.reset()
			load.during(func() {
				for version := uint64(2); version <= 4; version++ {
					load.roll(load.tier.Targets(), true, func(_ int, announcement *target.Announcement) {
						announcement.IndexVersions = append(slices.Clone(announcement.IndexVersions), version)
					})
					load.roll(load.tier.Targets(), true, func(_ int, announcement *target.Announcement) {
						announcement.IndexVersions = announcement.IndexVersions[1:]
					})
				}
			})
			load.expectWhole(expect)
		})
	})

	ginkgo.It("answers whole while one replica of each shard skips a version", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.steady(100, time.Second)
			load.reset()
			load.during(func() {
				for version := uint64(2); version <= 4; version++ {
					load.roll(load.byReplica(), true, func(number int, announcement *target.Announcement) {
						if skips := number%3 == 1 && version == 3; !skips {
							announcement.IndexVersions = []uint64{version}
						}
					})
				}
			})
			load.expectWhole(expect)
		})
	})

	ginkgo.DescribeTable("moves the requests in progress whole where all targets change at once and announce it",
		func(change func(number int, announcement *target.Announcement)) {
			withTier(func(expect gomega.Gomega, load *load) {
				load.steady(100, time.Second)
				load.reset()
				// The runs of one shard wait for slots while the others answer.
				for _, slowed := range load.byShard(0) {
					slowed.Behave(func(behaviour *standin.Behaviour) {
						behaviour.Work = func(*target.Run) time.Duration { return slowWork }
					})
				}
				time.AfterFunc(time.Second/2, func() { load.changeAll(change) })
				load.steady(100, time.Second)
				expect.Expect(load.failures).To(gomega.BeEmpty())
				expect.Expect(load.mixed()).To(gomega.BeNil())
				// A shard may lack a run or a slot for the second snapshot, but
				// none is given up for want of it.
				expect.Expect(load.missing()).NotTo(gomega.Or(gomega.HaveKey(caller.MissingVersion), gomega.HaveKey(caller.MissingNoReplica)))
				expect.Expect(load.snapshots()).To(gomega.HaveLen(2))
				// Some shards of these answers ran in both snapshots.
				moved := 0
				for _, answer := range load.answers {
					if answer.Coverage.Complete && answer.Attempts >= 2*answer.Coverage.Total {
						moved++
					}
				}
				expect.Expect(moved).To(gomega.BeNumerically(">", 0))
				load.work(work)
				time.Sleep(knownSpan)
				load.reset()
				load.steady(100, time.Second)
				load.expectWhole(expect)
			})
		},
		ginkgo.Entry("a new index version", func(_ int, announcement *target.Announcement) { announcement.IndexVersions = []uint64{2} }),
		ginkgo.Entry("a new layout", repartition),
	)

	ginkgo.It("tells the total of the layout that answered while only a part of a new layout's shards exists", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			load.steady(100, time.Second)
			load.reset()
			// Two replicas of each shard move, so that four of eight shards of
			// the second layout are never there and the first stays whole; then
			// the last replica goes too.
			moved := load.byReplica()
			load.during(func() {
				load.roll(moved, true, func(number int, announcement *target.Announcement) {
					announcement.Layout, announcement.Shards, announcement.Shard = "layout-2", 2*small.Pools[0].Shards, number%small.Pools[0].Shards
				})
			})
			expect.Expect(load.mixed()).To(gomega.BeNil())
			load.reset()
			load.steady(100, time.Second)
			expect.Expect(load.mixed()).To(gomega.BeNil())
			expect.Expect(load.complete()).To(gomega.BeZero())
			expect.Expect(load.answers).To(gomega.HaveLen(100))
			for _, answer := range load.answers {
				expect.Expect(answer.Coverage.Total).To(gomega.Equal(2 * small.Pools[0].Shards))
				expect.Expect(answer.Coverage.Answered).To(gomega.Equal(small.Pools[0].Shards))
			}
		})
	})
})
