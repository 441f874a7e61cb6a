package tier_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/entry"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// outlastingRunDuration is longer than any lease, and longTimeout longer than such a run.
	outlastingRunDuration = 15 * time.Second
	longTimeout           = 20 * time.Second
	longPayload           = `"long"`
	// slotFillingRuns is more than a target's slots, and warmUpRuns more than the
	// number of runs that ends cold start.
	slotFillingRuns = 3
	warmUpRuns      = 25
)

// sendBatches sends each entry a batch with the given number of runs for each
// target; only the target's home runs them. It doesn't wait for the runs.
func (load *load) sendBatches(entries []*tier.Process, payload string, runs int, repeatable bool) {
	batch := &entry.Batch{Kind: "desk.search", Payload: []byte(payload), Timeout: longTimeout, Layout: "layout-1"}
	batch.RequestID = string(caller.NewRequestID(time.Now().Add(time.Minute)))
	for _, loaded := range load.tier.Targets() {
		for number := range runs {
			announcement := loaded.Announcement()
			id := fmt.Sprintf("%s-%s-%d", batch.RequestID, announcement.ID, number)
			batch.Attempts = append(batch.Attempts, entry.BatchItem{AttemptID: id, TargetID: announcement.ID, Shard: announcement.Shard, IndexVersion: 1, Reason: "first", MayRepeat: repeatable})
		}
	}
	for _, home := range entries {
		load.running.Go(func() {
			client := frame.NewClient(home.Settings().PeerAddress, load.network.Dialer("10.0.0.1"))
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), batch.Timeout)
			defer cancel()
			_ = frame.Stream(ctx, client, entry.MethodRun, batch, func(*entry.Report) {})
		})
	}
}

// fillSlots warms up the targets whose homes are among the entries, and then fills
// the slots with long runs.
func (load *load) fillSlots(entries []*tier.Process, repeatable bool) {
	load.sendBatches(entries, `"short"`, warmUpRuns, true)
	time.Sleep(fillSpan)
	load.sendBatches(entries, longPayload, slotFillingRuns, repeatable)
	time.Sleep(fillSpan)
}

// fence cuts an entry off from control just until its lease has expired.
// Meanwhile it is cut off from the targets too, so that it can't cancel its runs.
func (load *load) fence(fenced *tier.Process) {
	forEachControlLink := func(apply func(from, to string)) {
		for _, replica := range load.tier.Replicas() {
			apply(fenced.IP(), replica.IP())
		}
	}
	client := http.Client{Transport: &http.Transport{DialContext: load.network.Dialer("10.0.0.6"), DisableKeepAlives: true}}
	forEachControlLink(load.network.Cut)
	time.Sleep(control.LeaseDuration / 2)
	for _, target := range load.tier.Targets() {
		load.network.Cut(fenced.IP(), target.IP())
	}
	for {
		response, err := client.Get("http://" + fenced.Settings().HTTPAddress + "/v1/entries")
		if err == nil && response.Body.Close() == nil && response.StatusCode != http.StatusOK {
			break
		}
		time.Sleep(runDuration)
	}
	time.Sleep(10 * runDuration)
	forEachControlLink(load.network.Heal)
	time.Sleep(operator.DefaultConnectTimeout)
	for _, target := range load.tier.Targets() {
		load.network.Heal(fenced.IP(), target.IP())
	}
}

// failEntry kills an entry, as the loss of its VM would, and returns when other
// entries may have become the homes of its targets.
func (load *load) failEntry(lost *tier.Process) {
	load.running.Go(func() { load.tier.Kill(lost) })
	time.Sleep(recoverySpan)
}

var _ = ginkgo.Describe("a home that is lost while runs outlast its lease", func() {
	ginkgo.DescribeTable("doesn't cause its targets to exceed their slots, and short runs with long deadlines are served",
		func(repeatable bool, failEntry func(load *load)) {
			withTier(func(expect gomega.Gomega, load *load) {
				for _, target := range load.tier.Targets() {
					target.Behave(func(behaviour *standin.Behaviour) { behaviour.RunDuration = runDurationByPayload })
				}
				load.fillSlots(load.tier.Entries(), repeatable)
				failEntry(load)
				load.fillSlots(load.tier.Entries(), repeatable)
				load.running.Wait()
				load.expectWithinLimits(expect)
				for number := range 100 {
					short := newSearch(fmt.Sprintf("short %d", number))
					short.Timeout, short.RunsPerShard = duration.Of(longTimeout), 1
					load.send(2+number%4, short)
					time.Sleep(10 * time.Millisecond)
				}
				load.running.Wait()
				expect.Expect(load.completeAnswerCount()).To(gomega.Equal(100))
				load.expectWithinLimits(expect)
			})
		},
		ginkgo.Entry("when its VM is lost, with runs that may be repeated", true, func(load *load) {
			load.failEntry(load.tier.Entries()[0])
		}),
		ginkgo.Entry("when its VM is lost, with runs that may not be repeated", false, func(load *load) {
			load.failEntry(load.tier.Entries()[0])
		}),
		ginkgo.Entry("when two VMs of a failure domain are lost, one after the other", true, func(load *load) {
			load.failEntry(load.tier.Entries()[0])
			load.fillSlots(load.tier.Entries(), true)
			load.failEntry(load.tier.Entries()[1])
		}),
		ginkgo.Entry("when it is cut off from all other processes", false, func(load *load) {
			load.isolate(load.tier.Entries()[0].IP(), load.network.Cut)
			time.Sleep(recoverySpan)
		}),
		ginkgo.Entry("when it loses only its lease and regains it at once", false, func(load *load) {
			load.fence(load.tier.Entries()[0])
			time.Sleep(recoverySpan)
		}),
	)
})

// runDurationByPayload makes runs with longPayload outlast a lease.
func runDurationByPayload(run *target.Run) time.Duration {
	if string(run.Payload) == longPayload {
		return outlastingRunDuration
	}
	return runDuration
}
