package standin_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

var start = time.Unix(1_800_000_000, 0)

func TestStandin(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "stand-ins")
}

type (
	// story is a small history in which every promise holds.
	story struct {
		targets  []standin.Observed
		sendings []standin.Sending
		out      standin.Out
		stop     standin.Stop
		changes  []standin.ChangeRecord
	}
)

func after(span time.Duration) time.Time {
	return start.Add(span)
}

func newStory() *story {
	told := &story{}
	request := caller.Request{ID: "a.1900000000", Kind: standin.ProbeKind, Idempotent: true, RunsPerShard: 2}
	answer := &caller.Answer{RequestID: request.ID, Snapshot: caller.Snapshot{IndexVersion: 7, Layout: "layout-1"}, Coverage: caller.Coverage{Known: true, Complete: true, Answered: 2, Total: 2}}
	for shard, id := range []string{"p-0", "p-1"} {
		payload, _ := json.Marshal(standin.Lines{RequestID: string(request.ID), Target: id, Kind: request.Kind, Shard: shard, Shards: 2, IndexVersion: 7, Layout: "layout-1"})
		answer.Parts = append(answer.Parts, caller.Part{Shard: shard, Target: id, Payload: payload})
		told.targets = append(told.targets, standin.Observed{
			Announcement: target.Announcement{ID: id, Pool: "p", Shard: shard, FailureDomain: "nord"}, Slots: 2, Connections: 4,
			Cold: standin.Behaviour{ColdSlots: 1, ColdRunsPerSecond: 10},
			Record: standin.Record{Peak: 2, PeakCold: 1, PeakColdPerSecond: 10, PeakConnections: 4, Arrivals: []standin.Arrival{
				{At: after(time.Second), RequestID: string(request.ID), Shard: shard},
				{At: after(time.Second), RequestID: "c.1900000000", Shard: shard},
			}},
		})
	}
	told.sendings = []standin.Sending{
		{Request: request, Entry: "e", Sent: after(0), Received: after(2 * time.Second), Answer: answer},
		{Request: caller.Request{ID: "b.1900000000", Kind: "file"}, Entry: "e", Sent: after(0), Received: after(time.Second), Err: &caller.Refusal{Run: caller.NotRun}},
		{Request: caller.Request{ID: "c.1900000000", Kind: "file"}, Entry: "f", Sent: after(0), Received: after(4 * time.Second), Err: errors.New("cut")},
	}
	told.out = standin.Out{FailureDomain: "nord", From: after(time.Minute), Until: after(2 * time.Minute)}
	told.stop = standin.Stop{Entry: "e", From: after(3 * time.Second), Until: after(5 * time.Second)}
	told.changes = []standin.ChangeRecord{{ID: "one", Version: 1, Accepted: after(-time.Minute), Pool: "p"}}
	return told
}

func (story *story) violated() []standin.Promise {
	journal := new(standin.Journal)
	for _, sending := range story.sendings {
		journal.Record(sending)
	}
	journal.TakeOut(story.out)
	journal.Stop(story.stop)
	for _, change := range story.changes {
		journal.Change(change)
	}
	var promises []standin.Promise
	for _, violation := range (&standin.Evidence{Targets: story.targets, Journal: journal}).Violations() {
		promises = append(promises, violation.Promise)
	}
	return promises
}

func (story *story) arrive(id string, at time.Duration) {
	record := &story.targets[0].Record
	record.Arrivals = append(record.Arrivals, standin.Arrival{At: after(at), RequestID: id})
}

var _ = ginkgo.DescribeTable("a checker of a promise finds its breach and no other",
	func(promise standin.Promise, breach func(story *story)) {
		told := newStory()
		gomega.Expect(told.violated()).To(gomega.BeEmpty())
		breach(told)
		gomega.Expect(told.violated()).To(gomega.HaveEach(promise))
		gomega.Expect(told.violated()).NotTo(gomega.BeEmpty())
	},
	ginkgo.Entry("two index versions mixed", standin.PromiseSnapshot, func(story *story) {
		story.sendings[0].Answer.Snapshot.IndexVersion = 6
	}),
	ginkgo.Entry("a missing shard not told", standin.PromiseCoverage, func(story *story) {
		story.sendings[0].Answer.Parts = story.sendings[0].Answer.Parts[:1]
	}),
	ginkgo.Entry("a total other than the layout's", standin.PromiseCoverage, func(story *story) {
		coverage := &story.sendings[0].Answer.Coverage
		coverage.Total, coverage.Complete, coverage.Missing = 3, false, []caller.MissingShard{{Shard: 2}}
	}),
	ginkgo.Entry("less than the caller's minimum", standin.PromiseCoverage, func(story *story) {
		answer := story.sendings[0].Answer
		story.sendings[0].Request.MinimumCoverage = 1
		answer.Parts = answer.Parts[:1]
		answer.Coverage = caller.Coverage{Known: true, Answered: 1, Total: 2, Missing: []caller.MissingShard{{Shard: 1}}}
	}),
	ginkgo.Entry("two runs at a time in cold start", standin.PromiseCold, func(story *story) { story.targets[0].Record.PeakCold = 2 }),
	ginkgo.Entry("too many runs a second in cold start", standin.PromiseCold, func(story *story) { story.targets[0].Record.PeakColdPerSecond = 11 }),
	ginkgo.Entry("a run above the slots", standin.PromiseWarmLimits, func(story *story) { story.targets[0].Record.Peak = 3 }),
	ginkgo.Entry("a connection above the limit", standin.PromiseWarmLimits, func(story *story) { story.targets[0].Record.PeakConnections = 5 }),
	ginkgo.Entry("work in a failure domain that is out", standin.PromiseOut, func(story *story) { story.arrive("d.1900000000", time.Minute+6*time.Second) }),
	ginkgo.Entry("the answer to another request", standin.PromiseWhole, func(story *story) { story.sendings[0].Answer.RequestID = "z.1900000000" }),
	ginkgo.Entry("a truncated part", standin.PromiseWhole, func(story *story) {
		part := &story.sendings[0].Answer.Parts[0]
		part.Payload = part.Payload[:len(part.Payload)-1]
	}),
	ginkgo.Entry("a run of what was told not to have run", standin.PromiseNotRun, func(story *story) { story.arrive("b.1900000000", time.Second) }),
	ginkgo.Entry("a second run of what may not be repeated", standin.PromiseOnce, func(story *story) { story.arrive("c.1900000000", time.Second) }),
	ginkgo.Entry("more runs than the caller allows", standin.PromiseOnce, func(story *story) {
		story.arrive("a.1900000000", time.Second)
		story.arrive("a.1900000000", time.Second)
	}),
	ginkgo.Entry("work at a target that leaves", standin.PromiseLeaving, func(story *story) {
		story.targets[0].Record.LeavingSince = after(time.Second)
		story.arrive("d.1900000000", 7*time.Second)
	}),
	ginkgo.Entry("a request cut by a planned stop", standin.PromiseStop, func(story *story) { story.stop.Entry = "f" }),
	ginkgo.Entry("two changes accepted on one base", standin.PromiseInForce, func(story *story) {
		story.changes = append(story.changes, standin.ChangeRecord{ID: "two", Version: 2, Accepted: after(0), Pool: "q"})
	}),
	ginkgo.Entry("an old version served too late", standin.PromiseInForce, func(story *story) {
		story.changes = append(story.changes, standin.ChangeRecord{ID: "two", Base: 1, Version: 2, Accepted: after(-20 * time.Second), Pool: "q"})
	}),
	ginkgo.Entry("a version that reverts", standin.PromiseInForce, func(story *story) {
		story.changes = append(story.changes, standin.ChangeRecord{ID: "two", Base: 1, Version: 2, Accepted: after(0), Pool: "q"})
		story.targets = append(story.targets, standin.Observed{Announcement: target.Announcement{ID: "q-0", Pool: "q"}})
		newer := story.sendings[0]
		payload, _ := json.Marshal(standin.Lines{RequestID: "n.1900000000", Target: "q-0", Kind: standin.ProbeKind, Shards: 1})
		newer.Request.ID, newer.Sent, newer.Received = "n.1900000000", after(-3*time.Second), after(-time.Second)
		newer.Answer = &caller.Answer{RequestID: "n.1900000000", Parts: []caller.Part{{Target: "q-0", Payload: payload}}, Coverage: caller.Coverage{Known: true, Complete: true, Answered: 1, Total: 1}}
		story.sendings = append(story.sendings, newer)
	}),
)
