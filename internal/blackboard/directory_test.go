package blackboard_test

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

func announcementOf(id string) target.Announcement {
	return target.Announcement{
		ID: id, Address: "10.1.2.1:80", Pool: "bay-log", FailureDomain: "luzon", Layout: "layout-1", Shards: 3,
		Incarnation: 2, Revision: 1, State: target.Warm, TTL: duration.Of(3 * time.Second),
	}
}

var _ = ginkgo.DescribeTable("an announcement that conflicts with the target's record is refused", func(change func(announcement *target.Announcement)) {
	directory := new(blackboard.Directory)
	announcement := announcementOf("target-1")
	_, err := directory.Put(announcement)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	change(&announcement)
	changed, err := directory.Put(announcement)
	var refusal *fault.Error
	gomega.Expect(errors.As(err, &refusal)).To(gomega.BeTrue())
	gomega.Expect(refusal.Kind).To(gomega.Equal(fault.Conflict))
	gomega.Expect(changed).To(gomega.BeFalse())
	current, _ := directory.Get("target-1")
	gomega.Expect(current).To(gomega.Equal(announcementOf("target-1")))
},
	ginkgo.Entry("an announcement of an older incarnation arrives late", func(announcement *target.Announcement) { announcement.Incarnation = 1 }),
	ginkgo.Entry("two processes share an ID", func(announcement *target.Announcement) { announcement.Address = "10.1.2.2:80" }),
	ginkgo.Entry("a target changes its pool", func(announcement *target.Announcement) { announcement.Pool, announcement.Incarnation = "x", 3 }),
	ginkgo.Entry("a target changes its failure domain", func(announcement *target.Announcement) { announcement.FailureDomain, announcement.Incarnation = "x", 3 }),
)

var _ = ginkgo.Describe("the directories of entries", func() {
	ginkgo.It("refuse new targets beyond the rate limit, and still accept renewals", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			directory := new(blackboard.Directory)
			refused := 0
			for number := range 2000 {
				if _, err := directory.Put(announcementOf(fmt.Sprintf("target-%d", number))); err != nil {
					refused++
				}
			}
			// All but the first changeBurst of 400 are refused.
			expect.Expect(refused).To(gomega.Equal(1600))
			_, err := directory.Put(announcementOf("target-0"))
			expect.Expect(err).NotTo(gomega.HaveOccurred())
		})
	})

	ginkgo.It("keep a target while it renews at its keeper, and expire it when it stops renewing, whether or not the keeper survives", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			keeper, other := new(blackboard.Directory), new(blackboard.Directory)
			keeper.SetSelf("keeper")
			other.SetSelf("other")
			_, _ = keeper.Put(announcementOf("target-1"))
			other.Merge(keeper.Records())
			keeperIsMember := true
			step := func() {
				time.Sleep(time.Second)
				for _, directory := range []*blackboard.Directory{keeper, other} {
					directory.Expire(func(entry string) bool { return entry == "other" || keeperIsMember })
				}
			}
			for range 10 {
				_, _ = keeper.Put(announcementOf("target-1"))
				step()
			}
			_, known := other.Get("target-1")
			expect.Expect(known).To(gomega.BeTrue(), "renewals aren't replicated, but the record must remain valid")
			for range 4 {
				step()
			}
			other.Merge(keeper.Records())
			_, known = other.Get("target-1")
			expect.Expect(known).To(gomega.BeFalse(), "the keeper's record must state that the target is gone")

			_, _ = keeper.Put(announcementOf("target-2"))
			other.Merge(keeper.Records())
			keeperIsMember = false
			step()
			_, known = other.Get("target-2")
			expect.Expect(known).To(gomega.BeTrue(), "the target has one TTL to renew at another entry")
			for range 4 {
				step()
			}
			_, known = other.Get("target-2")
			expect.Expect(known).To(gomega.BeFalse())
		})
	})

	ginkgo.It("converge by the change log if it contains the peer's digest, and by buckets otherwise", func() {
		left, right := new(blackboard.Directory), new(blackboard.Directory)
		left.SetSelf("left")
		right.SetSelf("right")
		for number := range 100 {
			_, _ = left.Put(announcementOf(fmt.Sprintf("target-%d", number)))
		}
		records, found := left.Since(right.Digest())
		gomega.Expect(found).To(gomega.BeTrue())
		gomega.Expect(records).To(gomega.HaveLen(100))
		right.Merge(records)
		gomega.Expect(right.Digest()).To(gomega.Equal(left.Digest()))
		// Both change concurrently, so that neither log contains the other's digest.
		_, _ = left.Put(announcementOf("target-left"))
		_, _ = right.Put(announcementOf("target-right"))
		left.MarkLeaving("target-3", 2)
		_, found = left.Since(right.Digest())
		gomega.Expect(found).To(gomega.BeFalse())
		records, buckets := left.Differing(right.Summary())
		gomega.Expect(len(records)).To(gomega.BeNumerically("<", 20))
		left.Merge(right.Buckets(buckets))
		right.Merge(records)
		gomega.Expect(right.Digest()).To(gomega.Equal(left.Digest()))
		current, _ := right.Get("target-3")
		gomega.Expect(current.State).To(gomega.Equal(target.Leaving))
	})

	ginkgo.It("report local changes even if many records of other entries are merged first", func() {
		here := new(blackboard.Directory)
		here.SetSelf("here")
		_, _ = here.Put(announcementOf("target-here"))
		var records []blackboard.Record
		for number := range 12000 {
			records = append(records, blackboard.Record{Announcement: announcementOf(fmt.Sprintf("target-%d", number)), Keeper: "there"})
		}
		before := here.Digest()
		gomega.Expect(here.Merge(records)).To(gomega.Equal(12000))
		changed := here.DrainLocalChanges()
		gomega.Expect(changed).To(gomega.HaveLen(1))
		gomega.Expect(changed[0].Announcement.ID).To(gomega.Equal("target-here"))
		gomega.Expect(here.DrainLocalChanges()).To(gomega.BeEmpty())
		// A peer that has none of the merged records receives exactly those.
		recordsSince, found := here.Since(before)
		gomega.Expect(found).To(gomega.BeTrue())
		gomega.Expect(recordsSince).To(gomega.HaveLen(12000))
	})
})
