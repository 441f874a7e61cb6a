package httptarget

import (
	"context"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
)

func announcedRecord(id, address string, startedAt int64, revision uint64, state State) Record {
	return Record{ID: id, Pool: "pool", Address: address, FailureDomain: "nord", Slots: 2, State: state, StartedAt: startedAt, Revision: revision}
}

func usableIDs(directory *Directory) []string {
	var ids []string
	for _, target := range directory.Pool("pool") {
		ids = append(ids, target.ID())
	}
	slices.Sort(ids)
	return ids
}

// endAt records the end of the start of a target that another registry knows, or the same one.
func endAt(registry, known *Registry, id string) error {
	start := known.startReply(id).Start
	return registry.takeEnd(&Record{ID: id, Pool: start.Pool, StartedAt: start.At, State: StateGone}, true)
}

// applyChanges applies a registry's changes after a revision to a directory, and
// advances the revision.
func applyChanges(directory *Directory, name string, registry *Registry, sinceRevision *uint64) {
	records, revision, _ := registry.changesSince(*sinceRevision)
	directory.apply(name, &WatchReply{Session: registry.session, Revision: revision, Full: *sinceRevision == 0, Records: records})
	*sinceRevision = revision
}

// applySnapshot applies all records of a registry to a directory.
func applySnapshot(directory *Directory, name string, registry *Registry) {
	records, revision, _ := registry.changesSince(0)
	directory.apply(name, &WatchReply{Session: registry.session, Revision: revision, Full: true, Records: records})
}

var _ = ginkgo.Describe("a registry", func() {
	ginkgo.It("ignores an announcement that is older than the stored one", func() {
		registry := NewRegistry(1, zap.NewNop())
		gomega.Expect(registry.Announce(announcedRecord("t", "10.0.0.1:80", 5, 3, StateLeaving))).To(gomega.Succeed())
		gomega.Expect(registry.Announce(announcedRecord("t", "10.0.0.1:80", 5, 2, StateReady))).To(gomega.Succeed())
		gomega.Expect(registry.Announce(announcedRecord("t", "10.0.0.1:80", 4, 9, StateReady))).To(gomega.Succeed())
		records, _, _ := registry.changesSince(0)
		gomega.Expect(records).To(gomega.HaveLen(1))
		gomega.Expect(records[0].State).To(gomega.Equal(StateLeaving))
	})

	ginkgo.It("accepts an ended target again from its next start, but not from the start that ended", func() {
		registry := NewRegistry(1, zap.NewNop())
		gomega.Expect(registry.Announce(announcedRecord("t", "10.0.0.1:80", 5, 3, StateReady))).To(gomega.Succeed())
		gomega.Expect(endAt(registry, registry, "t")).To(gomega.Succeed())
		gomega.Expect(registry.Announce(announcedRecord("t", "10.0.0.1:80", 5, 4, StateReady))).To(gomega.Succeed())
		records, _, _ := registry.changesSince(0)
		gomega.Expect(records[0].State).To(gomega.Equal(StateGone))
		gomega.Expect(registry.Announce(announcedRecord("t", "10.0.0.1:80", 6, 1, StateReady))).To(gomega.Succeed())
		records, _, _ = registry.changesSince(0)
		gomega.Expect(records[0].State).To(gomega.Equal(StateReady))
	})

	ginkgo.It("marks a target as silent until its next announcement, also after a pause of the process", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			registry := NewRegistry(1, zap.NewNop())
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			gomega.Expect(registry.Announce(announcedRecord("t", "10.0.0.1:80", 5, 3, StateReady))).To(gomega.Succeed())
			go registry.Run(ctx)
			time.Sleep(SilenceSpan - time.Second)
			records, _, _ := registry.changesSince(0)
			expect.Expect(records[0].Silent).To(gomega.BeFalse())
			time.Sleep(2 * time.Second)
			records, _, _ = registry.changesSince(0)
			expect.Expect(records[0].Silent).To(gomega.BeTrue())
			registry.resetSilence(time.Now())
			gomega.Expect(registry.Announce(announcedRecord("t", "10.0.0.1:80", 5, 4, StateReady))).To(gomega.Succeed())
			records, _, _ = registry.changesSince(0)
			expect.Expect(records[0].Silent).To(gomega.BeFalse())
		})
	})

	ginkgo.It("answers a watcher at once after a change, and at the timeout without one", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			registry := NewRegistry(7, zap.NewNop())
			reply, err := registry.watch(context.Background(), &WatchRequest{})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(reply.Full).To(gomega.BeTrue())
			startedAt := time.Now()
			go func() {
				time.Sleep(100 * time.Millisecond)
				gomega.Expect(registry.Announce(announcedRecord("t", "10.0.0.1:80", 5, 3, StateReady))).To(gomega.Succeed())
			}()
			reply, err = registry.watch(context.Background(), &WatchRequest{Session: 7, Revision: reply.Revision})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(reply.Records).To(gomega.HaveLen(1))
			expect.Expect(time.Since(startedAt)).To(gomega.Equal(100 * time.Millisecond))
			reply, err = registry.watch(context.Background(), &WatchRequest{Session: 7, Revision: reply.Revision})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(reply.Records).To(gomega.BeEmpty())
			expect.Expect(time.Since(startedAt)).To(gomega.Equal(100*time.Millisecond + longPollTimeout))
		})
	})

	ginkgo.It("loads its targets after a restart, and starts empty if the file is damaged", func() {
		folder := ginkgo.GinkgoT().TempDir()
		store := NewStore(folder, nil)
		gomega.Expect(store.write([]Record{announcedRecord("t", "10.0.0.1:80", 5, 3, StateReady)}, time.Now())).To(gomega.Succeed())
		registry := NewRegistry(1, zap.NewNop())
		registry.Load(store)
		records, _, _ := registry.changesSince(0)
		gomega.Expect(records).To(gomega.HaveLen(1))
		file, err := store.fileSystem.Open(folder + "/" + storeName)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = file.Write([]byte("x"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(file.Close()).To(gomega.Succeed())
		empty := NewRegistry(1, zap.NewNop())
		empty.Load(store)
		records, _, _ = empty.changesSince(0)
		gomega.Expect(records).To(gomega.BeEmpty())
	})
})

var _ = ginkgo.Describe("a directory", func() {
	var directory *Directory
	var first, second *Registry

	ginkgo.BeforeEach(func() {
		directory = NewDirectory(zap.NewNop())
		first, second = NewRegistry(1, zap.NewNop()), NewRegistry(2, zap.NewNop())
	})

	ginkgo.It("uses a target as long as it announces itself to one registry", func() {
		gomega.Expect(first.Announce(announcedRecord("t", "10.0.0.1:80", 5, 3, StateReady))).To(gomega.Succeed())
		gomega.Expect(second.Announce(announcedRecord("t", "10.0.0.1:80", 5, 2, StateReady))).To(gomega.Succeed())
		first.targets["t"].record.Silent = true
		applySnapshot(directory, "first", first)
		gomega.Expect(usableIDs(directory)).To(gomega.BeEmpty())
		applySnapshot(directory, "second", second)
		gomega.Expect(usableIDs(directory)).To(gomega.Equal([]string{"t"}))
	})

	ginkgo.It("keeps using a target that has moved to another registry, after the first one drops it", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go first.Run(ctx)
			go second.Run(ctx)
			current := first
			var revisions [2]uint64
			for revision := range uint64(150) {
				if revision == 5 {
					current = second
				}
				expect.Expect(current.Announce(announcedRecord("t", "10.0.0.1:80", 5, 3+revision, StateReady))).To(gomega.Succeed())
				time.Sleep(time.Second)
				applyChanges(directory, "first", first, &revisions[0])
				applyChanges(directory, "second", second, &revisions[1])
				expect.Expect(usableIDs(directory)).To(gomega.Equal([]string{"t"}), "after %d s", revision)
			}
			expect.Expect(first.targets).To(gomega.BeEmpty(), "the first registry must drop the target")
			time.Sleep(retentionSpan + SilenceSpan)
			before := revisions[1]
			applyChanges(directory, "second", second, &revisions[1])
			expect.Expect(usableIDs(directory)).To(gomega.BeEmpty(), "the target announces itself nowhere")
			expect.Expect(directory.targets).To(gomega.BeEmpty())
			time.Sleep(retentionSpan)
			reply, err := second.watch(ctx, &WatchRequest{Session: second.session, Revision: before})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(reply.Full).To(gomega.BeTrue(), "a watcher that missed the removal gets a full reply")
			expect.Expect(reply.Records).To(gomega.BeEmpty())
		})
	})

	ginkgo.It("stops using a target once any registry reports it as leaving", func() {
		gomega.Expect(first.Announce(announcedRecord("t", "10.0.0.1:80", 5, 3, StateReady))).To(gomega.Succeed())
		gomega.Expect(second.Announce(announcedRecord("t", "10.0.0.1:80", 5, 4, StateLeaving))).To(gomega.Succeed())
		applySnapshot(directory, "second", second)
		applySnapshot(directory, "first", first)
		gomega.Expect(usableIDs(directory)).To(gomega.BeEmpty())
	})

	ginkgo.It("applies the end of a target from a registry that hasn't its record, until its next start", func() {
		gomega.Expect(first.Announce(announcedRecord("t", "10.0.0.1:80", 5, 3, StateReady))).To(gomega.Succeed())
		applySnapshot(directory, "first", first)
		gomega.Expect(endAt(second, first, "t")).To(gomega.Succeed())
		applySnapshot(directory, "second", second)
		gomega.Expect(usableIDs(directory)).To(gomega.BeEmpty())
		gomega.Expect(second.Announce(announcedRecord("t", "10.0.0.1:80", 6, 1, StateReady))).To(gomega.Succeed())
		applySnapshot(directory, "second", second)
		gomega.Expect(usableIDs(directory)).To(gomega.Equal([]string{"t"}))
	})

	ginkgo.It("applies the end of an unknown start, as a registry of an older build sends it, to the start that it holds", func() {
		gomega.Expect(first.Announce(announcedRecord("t", "10.0.0.1:80", 5, 3, StateReady))).To(gomega.Succeed())
		applySnapshot(directory, "first", first)
		directory.apply("second", &WatchReply{Session: 2, Revision: 1, Records: []Record{{ID: "t", State: StateGone}}})
		gomega.Expect(usableIDs(directory)).To(gomega.BeEmpty())
		gomega.Expect(first.Announce(announcedRecord("t", "10.0.0.1:80", 6, 1, StateReady))).To(gomega.Succeed())
		applySnapshot(directory, "first", first)
		gomega.Expect(usableIDs(directory)).To(gomega.Equal([]string{"t"}))
	})

	ginkgo.It("uses only the target that started last at an address", func() {
		gomega.Expect(first.Announce(announcedRecord("old", "10.0.0.1:80", 5, 30, StateReady))).To(gomega.Succeed())
		gomega.Expect(first.Announce(announcedRecord("new", "10.0.0.1:80", 9, 1, StateReady))).To(gomega.Succeed())
		applySnapshot(directory, "first", first)
		gomega.Expect(usableIDs(directory)).To(gomega.Equal([]string{"new"}))
		gomega.Expect(first.Announce(announcedRecord("old", "10.0.0.1:80", 5, 31, StateReady))).To(gomega.Succeed())
		applySnapshot(directory, "first", first)
		gomega.Expect(usableIDs(directory)).To(gomega.Equal([]string{"new"}))
	})

	ginkgo.It("ignores a registry that is unreachable, unless all are", func() {
		gomega.Expect(first.Announce(announcedRecord("t", "10.0.0.1:80", 5, 3, StateReady))).To(gomega.Succeed())
		gomega.Expect(second.Announce(announcedRecord("u", "10.0.0.2:80", 5, 3, StateReady))).To(gomega.Succeed())
		applySnapshot(directory, "first", first)
		applySnapshot(directory, "second", second)
		directory.markStale("first")
		gomega.Expect(usableIDs(directory)).To(gomega.Equal([]string{"u"}))
		directory.markStale("second")
		gomega.Expect(usableIDs(directory)).To(gomega.ContainElement("u"))
		applySnapshot(directory, "first", first)
		gomega.Expect(usableIDs(directory)).To(gomega.ContainElement("t"))
	})

	ginkgo.It("replaces a target whose failure domain changes instead of modifying it while requests read it", func() {
		gomega.Expect(first.Announce(announcedRecord("t", "10.0.0.1:80", 5, 3, StateReady))).To(gomega.Succeed())
		applySnapshot(directory, "first", first)
		before := directory.Pool("pool")[0]
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 1000 {
				_ = before.FailureDomain() + before.Address() + before.ID()
			}
		}()
		for revision := range uint64(50) {
			moved := announcedRecord("t", "10.0.0.1:80", 5, 4+revision, StateReady)
			moved.FailureDomain = []string{"nord", "sud"}[revision%2]
			gomega.Expect(first.Announce(moved)).To(gomega.Succeed())
			applySnapshot(directory, "first", first)
		}
		<-done
		gomega.Expect(before.FailureDomain()).To(gomega.Equal("nord"))
		gomega.Expect(directory.Pool("pool")[0].FailureDomain()).To(gomega.Equal("sud"))
	})

	ginkgo.It("stops using a target when another one answers at its address", func() {
		gomega.Expect(first.Announce(announcedRecord("t", "10.0.0.1:80", 5, 3, StateReady))).To(gomega.Succeed())
		applySnapshot(directory, "first", first)
		directory.Exclude(directory.Pool("pool")[0])
		gomega.Expect(usableIDs(directory)).To(gomega.BeEmpty())
		gomega.Expect(first.Announce(announcedRecord("t", "10.0.0.1:80", 5, 4, StateReady))).To(gomega.Succeed())
		applySnapshot(directory, "first", first)
		gomega.Expect(usableIDs(directory)).To(gomega.BeEmpty())
	})
})

var _ = ginkgo.Describe("a target in cold start", func() {
	ginkgo.It("is limited to the rate of cold targets, or to a lower one that it names, until it is warm", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			record := announcedRecord("t", "10.0.0.1:80", 5, 3, StateReady)
			record.ColdFor = 3 * time.Second
			target := newTarget(&record)
			target.update(&receivedRecord{Record: record, coldUntil: time.Now().Add(record.ColdFor)}, false)
			expect.Expect(target.Limit(2.5, time.Now()).PerSecond()).To(gomega.Equal(2.5))
			expect.Expect(target.Limit(0, time.Now()).Named()).To(gomega.BeFalse())
			target.setLimit(1.5, time.Now())
			expect.Expect(target.Limit(2.5, time.Now()).PerSecond()).To(gomega.Equal(1.5))
			target.setLimit(4, time.Now())
			expect.Expect(target.Limit(2.5, time.Now()).PerSecond()).To(gomega.Equal(2.5))
			time.Sleep(record.ColdFor)
			expect.Expect(target.Limit(2.5, time.Now()).PerSecond()).To(gomega.Equal(4.0))
			target.liftLimit(time.Now())
			expect.Expect(target.Limit(2.5, time.Now()).Named()).To(gomega.BeFalse())
		})
	})

	ginkgo.It("gets no request until its limit has room, or until it is lifted", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			record := announcedRecord("t", "10.0.0.1:80", 5, 3, StateReady)
			target := newTarget(&record)
			target.setLimit(1, time.Now())
			target.Defer(time.Now().Add(time.Minute))
			expect.Expect(target.Admits(time.Now())).To(gomega.BeFalse())
			expect.Expect(target.Condition(time.Now()).AvailableAt).To(gomega.BeTemporally(">", time.Now()))
			time.Sleep(limitHoldSpan)
			expect.Expect(target.liftLimit(time.Now())).To(gomega.BeTrue())
			expect.Expect(target.Admits(time.Now())).To(gomega.BeTrue())
		})
	})
})

var _ = ginkgo.Describe("estimates", func() {
	ginkgo.It("stay stable through one pause and follow a target that becomes slow", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			record := announcedRecord("t", "10.0.0.1:80", 5, 3, StateReady)
			target := newTarget(&record)
			answer := func(latency time.Duration) {
				startedAt := time.Now()
				target.beginAttempt(startedAt)
				time.Sleep(latency)
				target.recordAnswer(startedAt, time.Now())
			}
			for range 50 {
				answer(10 * time.Millisecond)
			}
			answer(150 * time.Millisecond)
			answer(10 * time.Millisecond)
			expect.Expect(target.Condition(time.Now()).Latency).To(gomega.BeNumerically("<", 15*time.Millisecond))
			for range 6 {
				answer(80 * time.Millisecond)
			}
			expect.Expect(target.Condition(time.Now()).Latency).To(gomega.BeNumerically(">", 60*time.Millisecond))
		})
	})
})
