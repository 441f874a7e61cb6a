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
	// longRun outlasts any lease, and longTimeout any such run.
	longRun     = 15 * time.Second
	longTimeout = 20 * time.Second
	longText    = `"long"`
	// fillers are more runs than a target has slots, and warmers more than
	// end cold start.
	fillers = 3
	warmers = 25
)

// press sends so many runs for each target to each entry, of which its home
// takes them. It doesn't wait for the runs.
func (load *load) press(entries []*tier.Process, text string, runs int, spare bool) {
	batch := &entry.Batch{Kind: "desk.search", Payload: []byte(text), Timeout: longTimeout, Layout: "layout-1"}
	batch.RequestID = string(caller.NewRequestID(time.Now().Add(time.Minute)))
	for _, pressed := range load.tier.Targets() {
		for number := range runs {
			announcement := pressed.Announcement()
			id := fmt.Sprintf("%s-%s-%d", batch.RequestID, announcement.ID, number)
			batch.Attempts = append(batch.Attempts, entry.BatchItem{AttemptID: id, TargetID: announcement.ID, Shard: announcement.Shard, IndexVersion: 1, Why: "first", Spare: spare})
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

// fill lets the homes among some entries warm their targets up, and then fill
// them with long runs.
func (load *load) fill(entries []*tier.Process, spare bool) {
	load.press(entries, `"short"`, warmers, true)
	time.Sleep(fillSpan)
	load.press(entries, longText, fillers, spare)
	time.Sleep(fillSpan)
}

// fence cuts an entry off from control until its lease has run out, and no
// longer. Cancels of its runs don't get through either.
func (load *load) fence(fenced *tier.Process) {
	cut := func(do func(from, to string)) {
		for _, replica := range load.tier.Replicas() {
			do(fenced.IP(), replica.IP())
		}
	}
	client := http.Client{Transport: &http.Transport{DialContext: load.network.Dialer("10.0.0.6"), DisableKeepAlives: true}}
	cut(load.network.Cut)
	time.Sleep(control.LeaseDuration / 2)
	for _, target := range load.tier.Targets() {
		load.network.Cut(fenced.IP(), target.IP())
	}
	for {
		response, err := client.Get("http://" + fenced.Settings().HTTPAddress + "/v1/entries")
		if err == nil && response.Body.Close() == nil && response.StatusCode != http.StatusOK {
			break
		}
		time.Sleep(work)
	}
	time.Sleep(10 * work)
	cut(load.network.Heal)
	time.Sleep(operator.DefaultConnectTimeout)
	for _, target := range load.tier.Targets() {
		load.network.Heal(fenced.IP(), target.IP())
	}
}

// lose ends an entry as the loss of its VM does, and goes on once others may
// be home in its place.
func (load *load) lose(lost *tier.Process) {
	load.running.Go(func() { load.tier.Kill(lost) })
	time.Sleep(recovery)
}

var _ = ginkgo.Describe("a home that is lost while runs outlast its lease", func() {
	ginkgo.DescribeTable("leaves its targets within their slots, and short runs with long deadlines are served",
		func(spare bool, lose func(load *load)) {
			withTier(func(expect gomega.Gomega, load *load) {
				for _, target := range load.tier.Targets() {
					target.Behave(func(behaviour *standin.Behaviour) { behaviour.Work = longTextWork })
				}
				load.fill(load.tier.Entries(), spare)
				lose(load)
				load.fill(load.tier.Entries(), spare)
				load.running.Wait()
				load.bears(expect)
				for number := range 100 {
					short := search(fmt.Sprintf("short %d", number))
					short.Timeout, short.RunsPerShard = duration.Of(longTimeout), 1
					load.send(2+number%4, short)
					time.Sleep(10 * time.Millisecond)
				}
				load.running.Wait()
				expect.Expect(load.complete()).To(gomega.Equal(100))
				load.bears(expect)
			})
		},
		ginkgo.Entry("its VM, with runs that may be repeated", true, func(load *load) {
			load.lose(load.tier.Entries()[0])
		}),
		ginkgo.Entry("its VM, with runs that may not", false, func(load *load) {
			load.lose(load.tier.Entries()[0])
		}),
		ginkgo.Entry("two VMs of a failure domain, one after the other", true, func(load *load) {
			load.lose(load.tier.Entries()[0])
			load.fill(load.tier.Entries(), true)
			load.lose(load.tier.Entries()[1])
		}),
		ginkgo.Entry("cut off", false, func(load *load) {
			load.isolate(load.tier.Entries()[0].IP(), load.network.Cut)
			time.Sleep(recovery)
		}),
		ginkgo.Entry("its lease alone, which it regains at once", false, func(load *load) {
			load.fence(load.tier.Entries()[0])
			time.Sleep(recovery)
		}),
	)
})

func longTextWork(run *target.Run) time.Duration {
	if string(run.Payload) == longText {
		return longRun
	}
	return work
}
