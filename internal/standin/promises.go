// Checks of the system's promises. They use only the records of targets, callers and
// operators, and nothing that the product reports about itself.

package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// ProbeKind is the kind of request whose route each recorded change moves to
	// another pool, so that an answer shows which version of the tables the entry
	// served.
	ProbeKind = "probe"
	// reactionBound is the time after which no new work may arrive at a leaving
	// target, or in a failure domain that was taken out.
	reactionBound = 5 * time.Second
	// inForceBound is the time within which an accepted change must be in force at
	// every entry.
	inForceBound = 15 * time.Second
)

// The ten promises of the system, and the limits of warm targets.
const (
	// PromiseSnapshot is that all parts of an answer come from the one index version and layout
	// that the answer names.
	PromiseSnapshot Promise = "one snapshot"
	// PromiseCoverage is that an answer reports exactly which shards it covers, and covers at
	// least the caller's minimum.
	PromiseCoverage Promise = "accurate coverage"
	// PromiseColdLimits is that a target in cold start stays within its limits for cold start.
	PromiseColdLimits Promise = "cold start limits"
	// PromiseDomainOut is that a failure domain that was taken out gets no work once
	// reactionBound has passed.
	PromiseDomainOut Promise = "failure domain out"
	// PromiseMatchingParts is that answers and parts belong to their request and are undamaged.
	PromiseMatchingParts Promise = "matching parts"
	// PromiseNotRun is that a request that was reported as not run did not run.
	PromiseNotRun Promise = "accurate not run"
	// PromiseAtMostOnce is that no shard runs a request more often than allowed, which is once
	// if the request may not be repeated.
	PromiseAtMostOnce Promise = "at most once"
	// PromiseLeaving is that a leaving target gets no work once reactionBound has passed.
	PromiseLeaving Promise = "leaving target"
	// PromiseStop is that a planned stop of an entry cuts off no request.
	PromiseStop Promise = "graceful stop"
	// PromiseInForce is that an accepted change is in force at every entry within inForceBound and
	// isn't reverted, and that no two changes are accepted on the same base.
	PromiseInForce Promise = "in force, no revert"
	// PromiseWarmLimits is that a target gets no more concurrent runs and connections than its
	// slots and its limit of connections allow.
	PromiseWarmLimits Promise = "slots and connections"
)

var (
	// Promises lists the ten promises in the order of the project's requirements, and
	// then PromiseWarmLimits.
	Promises = []Promise{
		PromiseSnapshot, PromiseCoverage, PromiseColdLimits, PromiseDomainOut, PromiseMatchingParts, PromiseNotRun,
		PromiseAtMostOnce, PromiseLeaving, PromiseStop, PromiseInForce, PromiseWarmLimits,
	}
)

type (
	// Promise names a property that the system must always have.
	Promise string

	// Violation is one violation of a promise.
	Violation struct {
		Promise Promise
		Detail  string
	}

	// ObservedTarget is a target's announcement and limits, with the record of its load.
	ObservedTarget struct {
		Announcement target.Announcement
		Slots        int
		Connections  int
		// Cold holds the limits in cold start; the other fields of the Behaviour are not
		// used.
		Cold   Behaviour
		Record Record
	}

	// Evidence holds the records against which promises are checked.
	Evidence struct {
		Targets []ObservedTarget
		Journal *Journal
		// Now is the time of the check.
		Now time.Time

		violations []Violation
	}

	// probe is an answered request of ProbeKind, with the version of the tables that the
	// entry acted on.
	probe struct {
		entry          string
		version        uint64
		sent, received time.Time
	}

	// shardRun identifies the runs of one request on one shard.
	shardRun struct {
		requestID string
		shard     int
	}
)

// Violations checks every promise and returns the violations found.
func (evidence *Evidence) Violations() []Violation {
	evidence.violations = nil
	evidence.checkAnswers()
	evidence.checkLimits()
	evidence.checkRuns()
	evidence.checkArrivals()
	evidence.checkStops()
	evidence.checkChanges()
	return evidence.violations
}

func (evidence *Evidence) report(promise Promise, format string, arguments ...any) {
	evidence.violations = append(evidence.violations, Violation{Promise: promise, Detail: fmt.Sprintf(format, arguments...)})
}

func (evidence *Evidence) checkAnswers() {
	for _, sent := range evidence.Journal.SentRequests() {
		if sent.Answer == nil {
			continue
		}
		evidence.checkParts(&sent)
		evidence.checkSnapshot(&sent)
		evidence.checkCoverage(&sent)
	}
}

// checkParts finds answers to another request, and parts that are damaged or belong to another
// request, shard or target.
func (evidence *Evidence) checkParts(sent *SentRequest) {
	answer := sent.Answer
	if answer.RequestID != sent.Request.ID {
		evidence.report(PromiseMatchingParts, "request %s got the answer to %s", sent.Request.ID, answer.RequestID)
	}
	for _, part := range answer.Parts {
		payload, err := decodeResultPayload(&part)
		if err != nil || payload.RequestID != string(sent.Request.ID) || payload.Kind != sent.Request.Kind || payload.Shard != part.Shard || payload.Target != part.Target {
			evidence.report(PromiseMatchingParts, "request %s shard %d got %q", sent.Request.ID, part.Shard, part.Payload)
		}
	}
}

// checkSnapshot finds parts that come from another snapshot than the answer names.
func (evidence *Evidence) checkSnapshot(sent *SentRequest) {
	for _, part := range sent.Answer.Parts {
		payload, err := decodeResultPayload(&part)
		if err != nil {
			continue
		}
		snapshot := caller.Snapshot{IndexVersion: payload.IndexVersion, Layout: payload.Layout}
		if snapshot != sent.Answer.Snapshot {
			evidence.report(PromiseSnapshot, "request %s shard %d is from %v in an answer of %v", sent.Request.ID, part.Shard, snapshot, sent.Answer.Snapshot)
		}
	}
}

// checkCoverage compares the reported coverage with the parts of the answer. It doesn't compare
// the total with the layout's shards for requests with a shard key, which address one shard.
func (evidence *Evidence) checkCoverage(sent *SentRequest) {
	coverage := sent.Answer.Coverage
	answered := map[int]bool{}
	for _, part := range sent.Answer.Parts {
		answered[part.Shard] = true
		payload, err := decodeResultPayload(&part)
		if err == nil && sent.Request.ShardKey == "" && coverage.Known && coverage.Total != payload.Shards {
			evidence.report(PromiseCoverage, "request %s: reported %d shards in total, the layout has %d", sent.Request.ID, coverage.Total, payload.Shards)
		}
	}
	missing := map[int]bool{}
	for _, shard := range coverage.Missing {
		missing[shard.Shard] = true
		if answered[shard.Shard] {
			evidence.report(PromiseCoverage, "request %s: shard %d is both answered and reported missing", sent.Request.ID, shard.Shard)
		}
	}
	complete := coverage.Known && len(answered) == coverage.Total
	if coverage.Answered != len(answered) || coverage.Complete != complete || coverage.Known && len(answered)+len(missing) != coverage.Total {
		evidence.report(PromiseCoverage, "request %s: reported coverage %+v, but answered %d shards", sent.Request.ID, coverage, len(answered))
	}
	if coverage.Share() < sent.Request.MinimumCoverage {
		evidence.report(PromiseCoverage, "request %s: coverage %.2f is below the caller's minimum", sent.Request.ID, coverage.Share())
	}
}

// checkLimits finds targets whose limits were exceeded, cold or warm.
func (evidence *Evidence) checkLimits() {
	for index := range evidence.Targets {
		observed := &evidence.Targets[index]
		record, cold, id := &observed.Record, &observed.Cold, observed.Announcement.ID
		if cold.ColdSlots > 0 && record.PeakCold > cold.ColdSlots {
			evidence.report(PromiseColdLimits, "%s had %d concurrent runs in cold start, limit %d", id, record.PeakCold, cold.ColdSlots)
		}
		if cold.ColdRunsPerSecond > 0 && record.PeakColdPerSecond > cold.ColdRunsPerSecond {
			evidence.report(PromiseColdLimits, "%s got %d runs a second in cold start, limit %d", id, record.PeakColdPerSecond, cold.ColdRunsPerSecond)
		}
		if record.Peak > observed.Slots {
			evidence.report(PromiseWarmLimits, "%s had %d concurrent runs, limit %d slots", id, record.Peak, observed.Slots)
		}
		if record.PeakConnections > observed.Connections {
			evidence.report(PromiseWarmLimits, "%s had %d connections, limit %d", id, record.PeakConnections, observed.Connections)
		}
	}
}

// checkRuns finds requests that ran on a shard more often than allowed, and runs of requests
// that the entries had reported to their caller as not run.
func (evidence *Evidence) checkRuns() {
	sentByID := map[string][]SentRequest{}
	for _, sent := range evidence.Journal.SentRequests() {
		id := string(sent.Request.ID)
		sentByID[id] = append(sentByID[id], sent)
	}
	runs := map[shardRun]int{}
	for index := range evidence.Targets {
		for _, arrival := range evidence.Targets[index].Record.Arrivals {
			sent, exists := sentByID[arrival.RequestID]
			if !exists || arrival.Shed {
				continue
			}
			runs[shardRun{arrival.RequestID, arrival.Shard}]++
			if !possiblyRun(sent, arrival.At) {
				evidence.report(PromiseNotRun, "request %s ran at %s, although its caller was told that it did not run", arrival.RequestID, evidence.Targets[index].Announcement.ID)
			}
		}
	}
	for run, count := range runs {
		sent := sentByID[run.requestID]
		allowed := 0
		for index := range sent {
			allowed += sent[index].Request.AllowedRuns()
		}
		if sent[0].AtMostOnce() {
			allowed = 1
		}
		if count > allowed {
			evidence.report(PromiseAtMostOnce, "request %s ran %d times on shard %d, allowed %d", run.requestID, count, run.shard, allowed)
		}
	}
}

// possiblyRun reports whether a run at the given time can come from one of the sent requests: one
// that was sent by then and not refused as not run.
func possiblyRun(sentRequests []SentRequest, at time.Time) bool {
	for index := range sentRequests {
		refusal := sentRequests[index].Refusal()
		if !at.Before(sentRequests[index].Sent) && (refusal == nil || refusal.Run != caller.NotRun) {
			return true
		}
	}
	return false
}

// checkArrivals finds runs that arrived at targets that should get no new work.
func (evidence *Evidence) checkArrivals() {
	for index := range evidence.Targets {
		observed := &evidence.Targets[index]
		leaving := observed.Record.LeavingSince
		for _, arrival := range observed.Record.Arrivals {
			if !leaving.IsZero() && arrival.At.After(leaving.Add(reactionBound)) {
				evidence.report(PromiseLeaving, "%s got work %v after it began to leave", observed.Announcement.ID, arrival.At.Sub(leaving))
			}
			for _, out := range evidence.Journal.domainOutages {
				if out.FailureDomain == observed.Announcement.FailureDomain && arrival.At.After(out.From.Add(reactionBound)) && arrival.At.Before(out.Until) {
					evidence.report(PromiseDomainOut, "%s got work %v after its failure domain was taken out", observed.Announcement.ID, arrival.At.Sub(out.From))
				}
			}
		}
	}
}

// checkStops finds requests that a planned stop cut off: they got neither an answer nor a
// refusal from an entry that was stopping. Requests cancelled by their caller don't count.
func (evidence *Evidence) checkStops() {
	for _, sent := range evidence.Journal.SentRequests() {
		if sent.Err == nil || sent.Refusal() != nil || errors.Is(sent.Err, context.Canceled) {
			continue
		}
		for _, stop := range evidence.Journal.stops {
			if stop.Entry == sent.Entry && !sent.Received.Before(stop.From) && !sent.Sent.After(stop.Until) {
				evidence.report(PromiseStop, "request %s was cut off by the stop of %s: %v", sent.Request.ID, sent.Entry, sent.Err)
			}
		}
	}
}

// checkChanges finds changes accepted on the same base, and compares the probes with the
// accepted changes.
func (evidence *Evidence) checkChanges() {
	changes := evidence.Journal.changes
	changeByBase, changeByPool := map[uint64]string{}, map[string]*ChangeRecord{}
	for index := range changes {
		change := &changes[index]
		if other, exists := changeByBase[change.Base]; exists && other != change.ID {
			evidence.report(PromiseInForce, "changes %s and %s were both accepted on base %d", other, change.ID, change.Base)
		}
		changeByBase[change.Base] = change.ID
		changeByPool[change.Pool] = change
	}
	evidence.checkProbes(changeByPool)
}

// checkProbes finds entries that served an old version too late, or after a newer one.
// changeByPool holds the change that routed probes to each pool.
func (evidence *Evidence) checkProbes(changeByPool map[string]*ChangeRecord) {
	probes := evidence.probes(changeByPool)
	for _, probe := range probes {
		for _, other := range probes {
			if other.entry == probe.entry && other.version > probe.version && probe.sent.After(other.received) {
				evidence.report(PromiseInForce, "%s served version %d after %d", probe.entry, probe.version, other.version)
			}
		}
		for _, change := range changeByPool {
			if delay := probe.sent.Sub(change.Accepted); change.Version > probe.version && delay > inForceBound {
				evidence.report(PromiseInForce, "%s served version %d %v after version %d was accepted", probe.entry, probe.version, delay, change.Version)
			}
		}
	}
}

// probes returns the answered requests of ProbeKind whose tables version is known, because a
// recorded change routed probes to the pool that answered.
func (evidence *Evidence) probes(changeByPool map[string]*ChangeRecord) []probe {
	var probes []probe
	for _, sent := range evidence.Journal.SentRequests() {
		if sent.Request.Kind != ProbeKind || sent.Answer == nil || len(sent.Answer.Parts) == 0 {
			continue
		}
		if change, exists := changeByPool[evidence.poolOf(sent.Answer.Parts[0].Target)]; exists {
			probes = append(probes, probe{entry: sent.Entry, version: change.Version, sent: sent.Sent, received: sent.Received})
		}
	}
	return probes
}

func (evidence *Evidence) poolOf(targetID string) string {
	for index := range evidence.Targets {
		if evidence.Targets[index].Announcement.ID == targetID {
			return evidence.Targets[index].Announcement.Pool
		}
	}
	return ""
}

func decodeResultPayload(part *caller.Part) (*ResultPayload, error) {
	payload := new(ResultPayload)
	return payload, json.Unmarshal(part.Payload, payload)
}
