// This file exists so that each promise of the brief is checked from records
// of targets, callers and operators, and from nothing that the product says of
// itself.

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
	// ProbeKind is the kind whose pool every recorded change moves.
	ProbeKind = "probe"
	// soonBound is the bound of what holds a few seconds after a change.
	soonBound = 5 * time.Second
	// inForceBound is the time in which a change is in force everywhere.
	inForceBound = 15 * time.Second
)

// The ten promises, and the limits on warm targets.
const (
	PromiseSnapshot   Promise = "one snapshot"
	PromiseCoverage   Promise = "true coverage"
	PromiseCold       Promise = "cold start spared"
	PromiseOut        Promise = "failure domain out"
	PromiseWhole      Promise = "whole answer"
	PromiseNotRun     Promise = "true not run"
	PromiseOnce       Promise = "at most once"
	PromiseLeaving    Promise = "leaving target"
	PromiseStop       Promise = "graceful stop"
	PromiseInForce    Promise = "in force, no revert"
	PromiseWarmLimits Promise = "slots and connections"
)

var (
	// Promises lists all in the order of the brief.
	Promises = []Promise{
		PromiseSnapshot, PromiseCoverage, PromiseCold, PromiseOut, PromiseWhole, PromiseNotRun,
		PromiseOnce, PromiseLeaving, PromiseStop, PromiseInForce, PromiseWarmLimits,
	}
)

type (
	// Promise names what must always hold.
	Promise string

	// Violation is one breach of a promise.
	Violation struct {
		Promise Promise
		Detail  string
	}

	// Observed is one target's description and record.
	Observed struct {
		Announcement target.Announcement
		Slots        int
		Connections  int
		Cold         Behaviour
		Record       Record
	}

	// Evidence is all that promises are checked against.
	Evidence struct {
		Targets []Observed
		Journal *Journal
		// Now is the time of the check.
		Now time.Time

		violations []Violation
	}

	// probe is an answered sending of ProbeKind and the version of the tables
	// that it was served by.
	probe struct {
		entry          string
		version        uint64
		sent, received time.Time
	}

	shardRun struct {
		requestID string
		shard     int
	}
)

// Violations checks every promise.
func (evidence *Evidence) Violations() []Violation {
	evidence.violations = nil
	evidence.checkAnswers()
	evidence.checkLimits()
	evidence.checkRuns()
	evidence.checkNewWork()
	evidence.checkStops()
	evidence.checkChanges()
	return evidence.violations
}

func (evidence *Evidence) add(promise Promise, format string, arguments ...any) {
	evidence.violations = append(evidence.violations, Violation{Promise: promise, Detail: fmt.Sprintf(format, arguments...)})
}

func (evidence *Evidence) checkAnswers() {
	for _, sending := range evidence.Journal.Sendings() {
		if sending.Answer == nil {
			continue
		}
		evidence.checkWhole(&sending)
		evidence.checkSnapshot(&sending)
		evidence.checkCoverage(&sending)
	}
}

// checkWhole looks for parts that belong to another request or shard.
func (evidence *Evidence) checkWhole(sending *Sending) {
	answer := sending.Answer
	if answer.RequestID != sending.Request.ID {
		evidence.add(PromiseWhole, "request %s got the answer to %s", sending.Request.ID, answer.RequestID)
	}
	for _, part := range answer.Parts {
		lines, err := linesOf(&part)
		if err != nil || lines.RequestID != string(sending.Request.ID) || lines.Kind != sending.Request.Kind || lines.Shard != part.Shard || lines.Target != part.Target {
			evidence.add(PromiseWhole, "request %s shard %d got %q", sending.Request.ID, part.Shard, part.Payload)
		}
	}
}

func (evidence *Evidence) checkSnapshot(sending *Sending) {
	for _, part := range sending.Answer.Parts {
		lines, err := linesOf(&part)
		if err != nil {
			continue
		}
		snapshot := caller.Snapshot{IndexVersion: lines.IndexVersion, Layout: lines.Layout}
		if snapshot != sending.Answer.Snapshot {
			evidence.add(PromiseSnapshot, "request %s shard %d is from %v in an answer of %v", sending.Request.ID, part.Shard, snapshot, sending.Answer.Snapshot)
		}
	}
}

// checkCoverage counts the shards itself. Requests with a shard key ask for
// one shard.
func (evidence *Evidence) checkCoverage(sending *Sending) {
	coverage := sending.Answer.Coverage
	answered := map[int]bool{}
	for _, part := range sending.Answer.Parts {
		answered[part.Shard] = true
		lines, err := linesOf(&part)
		if err == nil && sending.Request.ShardKey == "" && coverage.Known && coverage.Total != lines.Shards {
			evidence.add(PromiseCoverage, "request %s: total %d, the layout has %d", sending.Request.ID, coverage.Total, lines.Shards)
		}
	}
	missing := map[int]bool{}
	for _, shard := range coverage.Missing {
		missing[shard.Shard] = true
		if answered[shard.Shard] {
			evidence.add(PromiseCoverage, "request %s: shard %d is answered and missing", sending.Request.ID, shard.Shard)
		}
	}
	complete := coverage.Known && len(answered) == coverage.Total
	if coverage.Answered != len(answered) || coverage.Complete != complete || coverage.Known && len(answered)+len(missing) != coverage.Total {
		evidence.add(PromiseCoverage, "request %s: says %+v, has %d parts", sending.Request.ID, coverage, len(answered))
	}
	if coverage.Share() < sending.Request.MinimumCoverage {
		evidence.add(PromiseCoverage, "request %s: coverage %.2f is under the caller's minimum", sending.Request.ID, coverage.Share())
	}
}

func (evidence *Evidence) checkLimits() {
	for index := range evidence.Targets {
		observed := &evidence.Targets[index]
		record, cold, id := &observed.Record, &observed.Cold, observed.Announcement.ID
		if cold.ColdSlots > 0 && record.PeakCold > cold.ColdSlots {
			evidence.add(PromiseCold, "%s bore %d runs at a time in cold start, bears %d", id, record.PeakCold, cold.ColdSlots)
		}
		if cold.ColdRunsPerSecond > 0 && record.PeakColdPerSecond > cold.ColdRunsPerSecond {
			evidence.add(PromiseCold, "%s got %d runs a second in cold start, bears %d", id, record.PeakColdPerSecond, cold.ColdRunsPerSecond)
		}
		if record.Peak > observed.Slots {
			evidence.add(PromiseWarmLimits, "%s bore %d runs at a time, has %d slots", id, record.Peak, observed.Slots)
		}
		if record.PeakConnections > observed.Connections {
			evidence.add(PromiseWarmLimits, "%s bore %d connections, bears %d", id, record.PeakConnections, observed.Connections)
		}
	}
}

// checkRuns counts runs by request and shard, and looks for runs that no
// sending explains but ones that were told "not run".
func (evidence *Evidence) checkRuns() {
	sendings := map[string][]Sending{}
	for _, sending := range evidence.Journal.Sendings() {
		id := string(sending.Request.ID)
		sendings[id] = append(sendings[id], sending)
	}
	runs := map[shardRun]int{}
	for index := range evidence.Targets {
		for _, arrival := range evidence.Targets[index].Record.Arrivals {
			of, known := sendings[arrival.RequestID]
			if !known || arrival.Shed {
				continue
			}
			runs[shardRun{arrival.RequestID, arrival.Shard}]++
			if !explained(of, arrival.At) {
				evidence.add(PromiseNotRun, "request %s ran at %s, its caller was told that it didn't", arrival.RequestID, evidence.Targets[index].Announcement.ID)
			}
		}
	}
	for run, count := range runs {
		of := sendings[run.requestID]
		allowed := 0
		for index := range of {
			allowed += of[index].Request.AllowedRuns()
		}
		if of[0].Once() {
			allowed = 1
		}
		if count > allowed {
			evidence.add(PromiseOnce, "request %s ran %d times on shard %d, its caller allows %d", run.requestID, count, run.shard, allowed)
		}
	}
}

// explained reports whether a run can belong to a sending that wasn't told
// "not run".
func explained(sendings []Sending, at time.Time) bool {
	for index := range sendings {
		refusal := sendings[index].Refusal()
		if !at.Before(sendings[index].Sent) && (refusal == nil || refusal.Run != caller.NotRun) {
			return true
		}
	}
	return false
}

// checkNewWork looks for work that arrived at targets that should get none.
func (evidence *Evidence) checkNewWork() {
	for index := range evidence.Targets {
		observed := &evidence.Targets[index]
		leaving := observed.Record.LeavingSince
		for _, arrival := range observed.Record.Arrivals {
			if !leaving.IsZero() && arrival.At.After(leaving.Add(soonBound)) {
				evidence.add(PromiseLeaving, "%s got work %v after it began to leave", observed.Announcement.ID, arrival.At.Sub(leaving))
			}
			for _, out := range evidence.Journal.outs {
				if out.FailureDomain == observed.Announcement.FailureDomain && arrival.At.After(out.From.Add(soonBound)) && arrival.At.Before(out.Until) {
					evidence.add(PromiseOut, "%s got work %v after its failure domain was taken out", observed.Announcement.ID, arrival.At.Sub(out.From))
				}
			}
		}
	}
}

// checkStops looks for requests that a planned stop cut: those that got
// neither an answer nor a refusal from an entry that was stopping. A caller
// that cancelled cut its request itself.
func (evidence *Evidence) checkStops() {
	for _, sending := range evidence.Journal.Sendings() {
		if sending.Err == nil || sending.Refusal() != nil || errors.Is(sending.Err, context.Canceled) {
			continue
		}
		for _, stop := range evidence.Journal.stops {
			if stop.Entry == sending.Entry && !sending.Received.Before(stop.From) && !sending.Sent.After(stop.Until) {
				evidence.add(PromiseStop, "request %s was cut at %s: %v", sending.Request.ID, sending.Entry, sending.Err)
			}
		}
	}
}

// checkChanges compares what the probes saw with the accepted changes.
func (evidence *Evidence) checkChanges() {
	changes := evidence.Journal.changes
	bases, pools := map[uint64]string{}, map[string]*ChangeRecord{}
	for index := range changes {
		change := &changes[index]
		if other, taken := bases[change.Base]; taken && other != change.ID {
			evidence.add(PromiseInForce, "changes %s and %s were both accepted on base %d", other, change.ID, change.Base)
		}
		bases[change.Base] = change.ID
		pools[change.Pool] = change
	}
	evidence.checkProbes(pools)
}

// checkProbes looks for entries that serve a version too late, or after a
// newer one.
func (evidence *Evidence) checkProbes(pools map[string]*ChangeRecord) {
	probes := evidence.probes(pools)
	for _, probe := range probes {
		for _, other := range probes {
			if other.entry == probe.entry && other.version > probe.version && probe.sent.After(other.received) {
				evidence.add(PromiseInForce, "%s served version %d after %d", probe.entry, probe.version, other.version)
			}
		}
		for _, change := range pools {
			if late := probe.sent.Sub(change.Accepted); change.Version > probe.version && late > inForceBound {
				evidence.add(PromiseInForce, "%s served version %d %v after version %d was accepted", probe.entry, probe.version, late, change.Version)
			}
		}
	}
}

// probes returns the answered sendings of ProbeKind.
func (evidence *Evidence) probes(pools map[string]*ChangeRecord) []probe {
	var probes []probe
	for _, sending := range evidence.Journal.Sendings() {
		if sending.Request.Kind != ProbeKind || sending.Answer == nil || len(sending.Answer.Parts) == 0 {
			continue
		}
		if change, known := pools[evidence.poolOf(sending.Answer.Parts[0].Target)]; known {
			probes = append(probes, probe{entry: sending.Entry, version: change.Version, sent: sending.Sent, received: sending.Received})
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

func linesOf(part *caller.Part) (*Lines, error) {
	lines := new(Lines)
	return lines, json.Unmarshal(part.Payload, lines)
}
