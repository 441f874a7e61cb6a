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

func announced(id, address string, startedAt int64, revision uint64, state State) Record {
	return Record{ID: id, Pool: "pool", Address: address, FailureDomain: "nord", Slots: 2, State: state, StartedAt: startedAt, Revision: revision}
}

func usable(directory *Directory) []string {
	var ids []string
	for _, target := range directory.Pool("pool") {
		ids = append(ids, target.ID())
	}
	slices.Sort(ids)
	return ids
}

// follow hands what changed in a registry after a revision to a directory.
func follow(directory *Directory, name string, registry *Registry, known *uint64) {
	records, revision, _ := registry.since(*known)
	directory.take(name, &WatchReply{Session: registry.session, Revision: revision, Whole: *known == 0, Records: records})
	*known = revision
}

// tell hands a registry's newest changes to a directory.
func tell(directory *Directory, name string, registry *Registry) {
	records, revision, _ := registry.since(0)
	directory.take(name, &WatchReply{Session: registry.session, Revision: revision, Whole: true, Records: records})
}

var _ = ginkgo.Describe("a registry", func() {
	ginkgo.It("ignores an announcement that comes late", func() {
		registry := NewRegistry(1, zap.NewNop())
		gomega.Expect(registry.Announce(announced("t", "10.0.0.1:80", 5, 3, StateLeaving))).To(gomega.Succeed())
		gomega.Expect(registry.Announce(announced("t", "10.0.0.1:80", 5, 2, StateReady))).To(gomega.Succeed())
		gomega.Expect(registry.Announce(announced("t", "10.0.0.1:80", 4, 9, StateReady))).To(gomega.Succeed())
		records, _, _ := registry.since(0)
		gomega.Expect(records).To(gomega.HaveLen(1))
		gomega.Expect(records[0].State).To(gomega.Equal(StateLeaving))
	})

	ginkgo.It("takes a target back that starts again under its ID, but not by an announcement from before its end", func() {
		registry := NewRegistry(1, zap.NewNop())
		gomega.Expect(registry.Announce(announced("t", "10.0.0.1:80", 5, 3, StateReady))).To(gomega.Succeed())
		gomega.Expect(registry.End("t")).To(gomega.Succeed())
		gomega.Expect(registry.Announce(announced("t", "10.0.0.1:80", 5, 4, StateReady))).To(gomega.Succeed())
		records, _, _ := registry.since(0)
		gomega.Expect(records[0].State).To(gomega.Equal(StateGone))
		gomega.Expect(registry.Announce(announced("t", "10.0.0.1:80", 6, 1, StateReady))).To(gomega.Succeed())
		records, _, _ = registry.since(0)
		gomega.Expect(records[0].State).To(gomega.Equal(StateReady))
	})

	ginkgo.It("tells of targets that fall silent, and not after its own process was paused", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			registry := NewRegistry(1, zap.NewNop())
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			gomega.Expect(registry.Announce(announced("t", "10.0.0.1:80", 5, 3, StateReady))).To(gomega.Succeed())
			go registry.Run(ctx)
			time.Sleep(SilenceSpan - time.Second)
			records, _, _ := registry.since(0)
			expect.Expect(records[0].Silent).To(gomega.BeFalse())
			time.Sleep(2 * time.Second)
			records, _, _ = registry.since(0)
			expect.Expect(records[0].Silent).To(gomega.BeTrue())
			registry.forgive(time.Now())
			gomega.Expect(registry.Announce(announced("t", "10.0.0.1:80", 5, 4, StateReady))).To(gomega.Succeed())
			records, _, _ = registry.since(0)
			expect.Expect(records[0].Silent).To(gomega.BeFalse())
		})
	})

	ginkgo.It("answers a watcher at once when something changes, and in time when nothing does", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			registry := NewRegistry(7, zap.NewNop())
			reply, err := registry.watch(context.Background(), &WatchRequest{})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(reply.Whole).To(gomega.BeTrue())
			begun := time.Now()
			go func() {
				time.Sleep(100 * time.Millisecond)
				gomega.Expect(registry.Announce(announced("t", "10.0.0.1:80", 5, 3, StateReady))).To(gomega.Succeed())
			}()
			reply, err = registry.watch(context.Background(), &WatchRequest{Session: 7, Revision: reply.Revision})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(reply.Records).To(gomega.HaveLen(1))
			expect.Expect(time.Since(begun)).To(gomega.Equal(100 * time.Millisecond))
			reply, err = registry.watch(context.Background(), &WatchRequest{Session: 7, Revision: reply.Revision})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(reply.Records).To(gomega.BeEmpty())
			expect.Expect(time.Since(begun)).To(gomega.Equal(100*time.Millisecond + watchHold))
		})
	})

	ginkgo.It("finds its targets again after a restart, and starts empty where the file is damaged", func() {
		folder := ginkgo.GinkgoT().TempDir()
		store := NewStore(folder, nil)
		gomega.Expect(store.write([]Record{announced("t", "10.0.0.1:80", 5, 3, StateReady)})).To(gomega.Succeed())
		registry := NewRegistry(1, zap.NewNop())
		registry.Load(store)
		records, _, _ := registry.since(0)
		gomega.Expect(records).To(gomega.HaveLen(1))
		file, err := store.fileSystem.Open(folder + "/" + storeName)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = file.Write([]byte("x"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(file.Close()).To(gomega.Succeed())
		empty := NewRegistry(1, zap.NewNop())
		empty.Load(store)
		records, _, _ = empty.since(0)
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

	ginkgo.It("uses a target as long as one registry hears from it", func() {
		gomega.Expect(first.Announce(announced("t", "10.0.0.1:80", 5, 3, StateReady))).To(gomega.Succeed())
		gomega.Expect(second.Announce(announced("t", "10.0.0.1:80", 5, 2, StateReady))).To(gomega.Succeed())
		first.targets["t"].record.Silent = true
		tell(directory, "first", first)
		gomega.Expect(usable(directory)).To(gomega.BeEmpty())
		tell(directory, "second", second)
		gomega.Expect(usable(directory)).To(gomega.Equal([]string{"t"}))
	})

	ginkgo.It("goes on using a target that announces itself to another registry than before, however long", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go first.Run(ctx)
			go second.Run(ctx)
			chosen := first
			var known [2]uint64
			for revision := range uint64(150) {
				if revision == 5 {
					chosen = second
				}
				expect.Expect(chosen.Announce(announced("t", "10.0.0.1:80", 5, 3+revision, StateReady))).To(gomega.Succeed())
				time.Sleep(time.Second)
				follow(directory, "first", first, &known[0])
				follow(directory, "second", second, &known[1])
				expect.Expect(usable(directory)).To(gomega.Equal([]string{"t"}), "after %d s", revision)
			}
			expect.Expect(first.targets).To(gomega.BeEmpty(), "the first one forgets it")
			time.Sleep(goneSpan + SilenceSpan)
			before := known[1]
			follow(directory, "second", second, &known[1])
			expect.Expect(usable(directory)).To(gomega.BeEmpty(), "it announces itself nowhere")
			expect.Expect(directory.targets).To(gomega.BeEmpty())
			time.Sleep(goneSpan)
			reply, err := second.watch(ctx, &WatchRequest{Session: second.session, Revision: before})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(reply.Whole).To(gomega.BeTrue(), "an entry that missed the end gets all there is")
			expect.Expect(reply.Records).To(gomega.BeEmpty())
		})
	})

	ginkgo.It("stops using a target once any registry hears that it leaves", func() {
		gomega.Expect(first.Announce(announced("t", "10.0.0.1:80", 5, 3, StateReady))).To(gomega.Succeed())
		gomega.Expect(second.Announce(announced("t", "10.0.0.1:80", 5, 4, StateLeaving))).To(gomega.Succeed())
		tell(directory, "second", second)
		tell(directory, "first", first)
		gomega.Expect(usable(directory)).To(gomega.BeEmpty())
	})

	ginkgo.It("takes the end of a target from a registry that didn't know it, until its next start", func() {
		gomega.Expect(first.Announce(announced("t", "10.0.0.1:80", 5, 3, StateReady))).To(gomega.Succeed())
		tell(directory, "first", first)
		gomega.Expect(second.End("t")).To(gomega.Succeed())
		tell(directory, "second", second)
		gomega.Expect(usable(directory)).To(gomega.BeEmpty())
		gomega.Expect(second.Announce(announced("t", "10.0.0.1:80", 6, 1, StateReady))).To(gomega.Succeed())
		tell(directory, "second", second)
		gomega.Expect(usable(directory)).To(gomega.Equal([]string{"t"}))
	})

	ginkgo.It("gives an address to the target that started there last", func() {
		gomega.Expect(first.Announce(announced("old", "10.0.0.1:80", 5, 30, StateReady))).To(gomega.Succeed())
		gomega.Expect(first.Announce(announced("new", "10.0.0.1:80", 9, 1, StateReady))).To(gomega.Succeed())
		tell(directory, "first", first)
		gomega.Expect(usable(directory)).To(gomega.Equal([]string{"new"}))
		gomega.Expect(first.Announce(announced("old", "10.0.0.1:80", 5, 31, StateReady))).To(gomega.Succeed())
		tell(directory, "first", first)
		gomega.Expect(usable(directory)).To(gomega.Equal([]string{"new"}))
	})

	ginkgo.It("believes on while no registry can be reached, and not one that alone can't be", func() {
		gomega.Expect(first.Announce(announced("t", "10.0.0.1:80", 5, 3, StateReady))).To(gomega.Succeed())
		gomega.Expect(second.Announce(announced("u", "10.0.0.2:80", 5, 3, StateReady))).To(gomega.Succeed())
		tell(directory, "first", first)
		tell(directory, "second", second)
		directory.doubt("first")
		gomega.Expect(usable(directory)).To(gomega.Equal([]string{"u"}))
		directory.doubt("second")
		gomega.Expect(usable(directory)).To(gomega.ContainElement("u"))
		tell(directory, "first", first)
		gomega.Expect(usable(directory)).To(gomega.ContainElement("t"))
	})

	ginkgo.It("lets nothing change that names a target while requests read it", func() {
		gomega.Expect(first.Announce(announced("t", "10.0.0.1:80", 5, 3, StateReady))).To(gomega.Succeed())
		tell(directory, "first", first)
		before := directory.Pool("pool")[0]
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 1000 {
				_ = before.FailureDomain() + before.Address() + before.ID()
			}
		}()
		for revision := range uint64(50) {
			moved := announced("t", "10.0.0.1:80", 5, 4+revision, StateReady)
			moved.FailureDomain = []string{"nord", "sud"}[revision%2]
			gomega.Expect(first.Announce(moved)).To(gomega.Succeed())
			tell(directory, "first", first)
		}
		<-done
		gomega.Expect(before.FailureDomain()).To(gomega.Equal("nord"))
		gomega.Expect(directory.Pool("pool")[0].FailureDomain()).To(gomega.Equal("sud"))
	})

	ginkgo.It("disowns a target at whose address another one answers", func() {
		gomega.Expect(first.Announce(announced("t", "10.0.0.1:80", 5, 3, StateReady))).To(gomega.Succeed())
		tell(directory, "first", first)
		directory.Disown(directory.Pool("pool")[0])
		gomega.Expect(usable(directory)).To(gomega.BeEmpty())
		gomega.Expect(first.Announce(announced("t", "10.0.0.1:80", 5, 4, StateReady))).To(gomega.Succeed())
		tell(directory, "first", first)
		gomega.Expect(usable(directory)).To(gomega.BeEmpty())
	})
})

var _ = ginkgo.Describe("a cold target", func() {
	ginkgo.It("gets one request in a span until it is warm, whatever the load", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			record := announced("t", "10.0.0.1:80", 5, 3, StateReady)
			record.ColdFor = 3 * time.Second
			target := newTarget(&record)
			target.update(&record, false)
			admitted := 0
			for begun := time.Now(); time.Since(begun) < record.ColdFor; time.Sleep(time.Millisecond) {
				if target.Admit(time.Now(), 400*time.Millisecond) {
					admitted++
				}
			}
			expect.Expect(admitted).To(gomega.Equal(8))
			expect.Expect(target.Admit(time.Now(), 400*time.Millisecond)).To(gomega.BeTrue())
			expect.Expect(target.Admit(time.Now(), 400*time.Millisecond)).To(gomega.BeTrue())
		})
	})
})

var _ = ginkgo.Describe("estimates", func() {
	ginkgo.It("hold through one pause and follow a target that has turned slow", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			record := announced("t", "10.0.0.1:80", 5, 3, StateReady)
			target := newTarget(&record)
			answer := func(took time.Duration) {
				begun := time.Now()
				target.begin(begun)
				time.Sleep(took)
				target.answered(begun, time.Now())
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
