package httptarget

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

// startRegistry returns a registry that was loaded from a store and is saved to it until ctx ends.
func startRegistry(ctx context.Context, session uint64, store *Store) (*Registry, *AnnouncementAPI) {
	registry := NewRegistry(session, zap.NewNop())
	registry.Load(store)
	go registry.Save(ctx, store)
	return registry, NewAnnouncementAPI(registry, NewGroup(registry, func() []string { return nil }, nil, zap.NewNop()), func() bool { return true }, nil)
}

// restartedState returns the state of target t in a registry that is loaded from a store.
func restartedState(store *Store) State {
	restarted := NewRegistry(9, zap.NewNop())
	restarted.Load(store)
	records, _, _ := restarted.changesSince(0)
	for index := range records {
		if records[index].ID == "t" {
			return records[index].State
		}
	}
	return 0
}

// A control process that crashes just after it has acknowledged a withdrawal must not offer the
// target again after its restart: the target has left, and another may have its address.
var _ = ginkgo.Describe("a withdrawal", func() {
	ready, leaving := announcedRecord("t", "10.0.0.1:80", 5, 1, StateReady), announcedRecord("t", "10.0.0.1:80", 5, 2, StateLeaving)

	ginkgo.It("outlasts a crash right after its acknowledgement", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			for _, withdraw := range []func(ctx context.Context, announcementAPI *AnnouncementAPI) error{
				func(ctx context.Context, announcementAPI *AnnouncementAPI) error {
					return announcementAPI.Announce(ctx, &leaving)
				},
				func(ctx context.Context, announcementAPI *AnnouncementAPI) error {
					return announcementAPI.Remove(ctx, "t")
				},
			} {
				ctx, crash := context.WithCancel(context.Background())
				store := NewStore("registry", &standin.Disk{})
				_, announcementAPI := startRegistry(ctx, 1, store)
				expect.Expect(announcementAPI.Announce(ctx, &ready)).To(gomega.Succeed())
				time.Sleep(2 * saveInterval)
				expect.Expect(restartedState(store)).To(gomega.Equal(StateReady))
				expect.Expect(announcementAPI.Announce(ctx, &Record{ID: "u", Pool: "pool", Address: "10.0.0.2:80", Slots: 2, State: StateReady, StartedAt: 5, Revision: 1})).To(gomega.Succeed())
				expect.Expect(withdraw(ctx, announcementAPI)).To(gomega.Succeed())
				crash()
				expect.Expect(restartedState(store)).To(gomega.BeNumerically(">=", StateLeaving))
			}
		})
	})

	ginkgo.It("is not acknowledged while the disk doesn't take it", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			registry := NewRegistry(1, zap.NewNop())
			registry.Load(NewStore("registry", &standin.Disk{}))
			announcementAPI := NewAnnouncementAPI(registry, NewGroup(registry, func() []string { return nil }, nil, zap.NewNop()), func() bool { return true }, nil)
			expect.Expect(announcementAPI.Announce(context.Background(), &ready)).To(gomega.Succeed())
			started := time.Now()
			var typed *fault.Error
			expect.Expect(announcementAPI.Announce(context.Background(), &leaving)).To(gomega.BeAssignableToTypeOf(typed))
			expect.Expect(time.Since(started)).To(gomega.Equal(withdrawalTimeout))
			records, _, _ := registry.changesSince(0)
			expect.Expect(records[0].State).To(gomega.Equal(StateLeaving))
		})
	})
})

// A control process that was down for longer than the others keep records of ended targets must
// not bring such targets back.
var _ = ginkgo.Describe("the targets file", func() {
	ginkgo.It("is ignored if it is older than the records of ended targets are kept", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			ctx, crash := context.WithCancel(context.Background())
			store := NewStore("registry", &standin.Disk{})
			registry, _ := startRegistry(ctx, 1, store)
			expect.Expect(registry.Announce(announcedRecord("t", "10.0.0.1:80", 5, 1, StateReady))).To(gomega.Succeed())
			time.Sleep(2 * retentionSpan)
			crash()
			expect.Expect(restartedState(store)).To(gomega.Equal(StateReady), "a process that runs renews the file without changes")
			time.Sleep(retentionSpan)
			expect.Expect(restartedState(store)).To(gomega.BeZero())
		})
	})
})
