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
	// history holds the records of targets, callers and operators.
	history struct {
		targets      []standin.ObservedTarget
		sentRequests []standin.SentRequest
		outage       standin.DomainOutage
		stop         standin.Stop
		changes      []standin.ChangeRecord
	}
)

func after(span time.Duration) time.Time {
	return start.Add(span)
}

// newHistory returns a small history in which every promise holds.
func newHistory() *history {
	valid := &history{}
	request := caller.Request{ID: "a.1900000000", Kind: standin.ProbeKind, Idempotent: true, RunsPerShard: 2}
	answer := &caller.Answer{RequestID: request.ID, Snapshot: caller.Snapshot{IndexVersion: 7, Layout: "layout-1"}, Coverage: caller.Coverage{Known: true, Complete: true, Answered: 2, Total: 2}}
	for shard, id := range []string{"p-0", "p-1"} {
		payload, _ := json.Marshal(standin.ResultPayload{RequestID: string(request.ID), Target: id, Kind: request.Kind, Shard: shard, Shards: 2, IndexVersion: 7, Layout: "layout-1"})
		answer.Parts = append(answer.Parts, caller.Part{Shard: shard, Target: id, Payload: payload})
		valid.targets = append(valid.targets, standin.ObservedTarget{
			Announcement: target.Announcement{ID: id, Pool: "p", Shard: shard, FailureDomain: "nord"}, Slots: 2, Connections: 4,
			Cold: standin.Behaviour{ColdSlots: 1, ColdRunsPerSecond: 10},
			Record: standin.Record{Peak: 2, PeakCold: 1, PeakColdPerSecond: 10, PeakConnections: 4, Arrivals: []standin.Arrival{
				{At: after(time.Second), RequestID: string(request.ID), Shard: shard},
				{At: after(time.Second), RequestID: "c.1900000000", Shard: shard},
			}},
		})
	}
	valid.sentRequests = []standin.SentRequest{
		{Request: request, Entry: "e", Sent: after(0), Received: after(2 * time.Second), Answer: answer},
		{Request: caller.Request{ID: "b.1900000000", Kind: "file"}, Entry: "e", Sent: after(0), Received: after(time.Second), Err: &caller.Refusal{Run: caller.NotRun}},
		{Request: caller.Request{ID: "c.1900000000", Kind: "file"}, Entry: "f", Sent: after(0), Received: after(4 * time.Second), Err: errors.New("cut")},
	}
	valid.outage = standin.DomainOutage{FailureDomain: "nord", From: after(time.Minute), Until: after(2 * time.Minute)}
	valid.stop = standin.Stop{Entry: "e", From: after(3 * time.Second), Until: after(5 * time.Second)}
	valid.changes = []standin.ChangeRecord{{ID: "one", Version: 1, Accepted: after(-time.Minute), Pool: "p"}}
	return valid
}

func (history *history) violatedPromises() []standin.Promise {
	journal := new(standin.Journal)
	for _, sent := range history.sentRequests {
		journal.Record(sent)
	}
	journal.RecordDomainOutage(history.outage)
	journal.RecordStop(history.stop)
	for _, change := range history.changes {
		journal.RecordChange(change)
	}
	var promises []standin.Promise
	for _, violation := range (&standin.Evidence{Targets: history.targets, Journal: journal}).Violations() {
		promises = append(promises, violation.Promise)
	}
	return promises
}

func (history *history) addArrival(id string, at time.Duration) {
	record := &history.targets[0].Record
	record.Arrivals = append(record.Arrivals, standin.Arrival{At: after(at), RequestID: id})
}

var _ = ginkgo.DescribeTable("a violation of a promise is detected, and no other is reported",
	func(promise standin.Promise, violate func(history *history)) {
		checked := newHistory()
		gomega.Expect(checked.violatedPromises()).To(gomega.BeEmpty())
		violate(checked)
		gomega.Expect(checked.violatedPromises()).To(gomega.HaveEach(promise))
		gomega.Expect(checked.violatedPromises()).NotTo(gomega.BeEmpty())
	},
	ginkgo.Entry("two index versions mixed", standin.PromiseSnapshot, func(history *history) {
		history.sentRequests[0].Answer.Snapshot.IndexVersion = 6
	}),
	ginkgo.Entry("a missing shard not reported", standin.PromiseCoverage, func(history *history) {
		history.sentRequests[0].Answer.Parts = history.sentRequests[0].Answer.Parts[:1]
	}),
	ginkgo.Entry("a total that differs from the layout's", standin.PromiseCoverage, func(history *history) {
		coverage := &history.sentRequests[0].Answer.Coverage
		coverage.Total, coverage.Complete, coverage.Missing = 3, false, []caller.MissingShard{{Shard: 2}}
	}),
	ginkgo.Entry("coverage below the caller's minimum", standin.PromiseCoverage, func(history *history) {
		answer := history.sentRequests[0].Answer
		history.sentRequests[0].Request.MinimumCoverage = 1
		answer.Parts = answer.Parts[:1]
		answer.Coverage = caller.Coverage{Known: true, Answered: 1, Total: 2, Missing: []caller.MissingShard{{Shard: 1}}}
	}),
	ginkgo.Entry("two concurrent runs in cold start", standin.PromiseColdLimits, func(history *history) { history.targets[0].Record.PeakCold = 2 }),
	ginkgo.Entry("too many runs a second in cold start", standin.PromiseColdLimits, func(history *history) { history.targets[0].Record.PeakColdPerSecond = 11 }),
	ginkgo.Entry("more concurrent runs than slots", standin.PromiseWarmLimits, func(history *history) { history.targets[0].Record.Peak = 3 }),
	ginkgo.Entry("more connections than allowed", standin.PromiseWarmLimits, func(history *history) { history.targets[0].Record.PeakConnections = 5 }),
	ginkgo.Entry("work in a failure domain that is out", standin.PromiseDomainOut, func(history *history) { history.addArrival("d.1900000000", time.Minute+6*time.Second) }),
	ginkgo.Entry("the answer to another request", standin.PromiseMatchingParts, func(history *history) { history.sentRequests[0].Answer.RequestID = "z.1900000000" }),
	ginkgo.Entry("a truncated part", standin.PromiseMatchingParts, func(history *history) {
		part := &history.sentRequests[0].Answer.Parts[0]
		part.Payload = part.Payload[:len(part.Payload)-1]
	}),
	ginkgo.Entry("a run of a request reported as not run", standin.PromiseNotRun, func(history *history) { history.addArrival("b.1900000000", time.Second) }),
	ginkgo.Entry("a second run of a request that may not be repeated", standin.PromiseAtMostOnce, func(history *history) { history.addArrival("c.1900000000", time.Second) }),
	ginkgo.Entry("more runs than the caller allows", standin.PromiseAtMostOnce, func(history *history) {
		history.addArrival("a.1900000000", time.Second)
		history.addArrival("a.1900000000", time.Second)
	}),
	ginkgo.Entry("work at a leaving target", standin.PromiseLeaving, func(history *history) {
		history.targets[0].Record.LeavingSince = after(time.Second)
		history.addArrival("d.1900000000", 7*time.Second)
	}),
	ginkgo.Entry("a request cut off by a planned stop", standin.PromiseStop, func(history *history) { history.stop.Entry = "f" }),
	ginkgo.Entry("two changes accepted on one base", standin.PromiseInForce, func(history *history) {
		history.changes = append(history.changes, standin.ChangeRecord{ID: "two", Version: 2, Accepted: after(0), Pool: "q"})
	}),
	ginkgo.Entry("an old version served too late", standin.PromiseInForce, func(history *history) {
		history.changes = append(history.changes, standin.ChangeRecord{ID: "two", Base: 1, Version: 2, Accepted: after(-20 * time.Second), Pool: "q"})
	}),
	ginkgo.Entry("a version that reverts", standin.PromiseInForce, func(history *history) {
		history.changes = append(history.changes, standin.ChangeRecord{ID: "two", Base: 1, Version: 2, Accepted: after(0), Pool: "q"})
		history.targets = append(history.targets, standin.ObservedTarget{Announcement: target.Announcement{ID: "q-0", Pool: "q"}})
		newer := history.sentRequests[0]
		payload, _ := json.Marshal(standin.ResultPayload{RequestID: "n.1900000000", Target: "q-0", Kind: standin.ProbeKind, Shards: 1})
		newer.Request.ID, newer.Sent, newer.Received = "n.1900000000", after(-3*time.Second), after(-time.Second)
		newer.Answer = &caller.Answer{RequestID: "n.1900000000", Parts: []caller.Part{{Target: "q-0", Payload: payload}}, Coverage: caller.Coverage{Known: true, Complete: true, Answered: 1, Total: 1}}
		history.sentRequests = append(history.sentRequests, newer)
	}),
)
