// Checks of the promises against the record of a soak.

package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// maxAttempts is the max_attempts setting of the soak's routes.
	maxAttempts = 2
	// retryRatio, retrySlack and retryWindow are the entries' settings of the retry
	// budget, which all entries share for each pool.
	retryRatio  = 0.2
	retrySlack  = 50
	retryWindow = 10 * time.Second
	// outageGrace is the time after an entry's outage during which requests may
	// still fail because of it: they were queued in the entry's sockets.
	outageGrace = time.Second
	// maxHarmfulRuns is how many targets the harmful request may crash: two before
	// it is quarantined, that is, kept from targets by all entries, and two more at
	// each of two entries that have restarted and don't know of the quarantine yet.
	maxHarmfulRuns = 6
	// limitContact is the time from which a target's limit is checked, and limitFactor and limitSlack
	// are the bound in any limitSpan.
	limitContact = 5 * time.Second
	limitSpan    = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
)

type (
	// runIndex maps each request ID to its runs.
	runIndex struct {
		record *record
		runs   map[string][]targetRun
	}
)

// violations describes each violation of a promise in the record.
func (record *record) violations() []string {
	record.lock.Lock()
	defer record.lock.Unlock()
	runIndex := &runIndex{record: record, runs: map[string][]targetRun{}}
	for _, run := range record.runs {
		runIndex.runs[run.id] = append(runIndex.runs[run.id], run)
	}
	found := slices.Clone(record.failures)
	for position := range record.requests {
		found = append(found, runIndex.checkRequest(&record.requests[position])...)
	}
	found = append(found, runIndex.checkAttempts()...)
	found = append(found, record.checkHarmfulRuns()...)
	found = append(found, record.checkRetryBudgets()...)
	found = append(found, record.checkLimits()...)
	found = append(found, record.checkRollouts()...)
	return append(found, record.checkVersions()...)
}

func (runIndex *runIndex) checkRequest(sent *sentRequest) []string {
	var found []string
	report := func(format string, values ...any) {
		found = append(found, fmt.Sprintf("%s %s at entry %d: ", sent.route, sent.id, sent.entry)+fmt.Sprintf(format, values...))
	}
	runs := runIndex.runs[sent.id]
	switch {
	case sent.failure != "" && !runIndex.entryDisrupted(sent):
		report("no answer, although the entry had no fault: %s", sent.failure)
	case sent.failure != "" && len(runs) > 0 && runIndex.onlyPlannedStops(sent):
		report("cut off by a planned stop: %s", sent.failure)
	case sent.notRun && len(runs) > 0:
		report("reported as not run, but ran %d times", len(runs))
	}
	if sent.status != statusOK {
		return found
	}
	for _, proof := range sent.proofs {
		if !slices.ContainsFunc(runs, func(run targetRun) bool { return run.proof == proof }) {
			report("answered with proof %q, which no target returned for it", proof)
		}
	}
	if expected := sent.expected(); sent.body != expected {
		report("answered %q, not %q", sent.body, expected)
	}
	return found
}

// expected returns the body that the answer must have according to its proofs: for a search, the
// greatest records of the shards that answered; otherwise the proof itself. If the proofs and
// missing parts of a search don't add up to all shards, it returns a description of that, which
// no body equals.
func (sent *sentRequest) expected() string {
	if sent.route != routeSearch {
		return strings.Join(sent.proofs, "")
	}
	var records []string
	for _, proof := range sent.proofs {
		records = append(records, recordsOf(poolOf(proof))...)
	}
	slices.Sort(records)
	slices.Reverse(records)
	if len(sent.proofs)+sent.missingPartCount != shards {
		return fmt.Sprintf("%d proofs and %d missing parts of %d", len(sent.proofs), sent.missingPartCount, shards)
	}
	return strings.Join(records[:min(topRecords, len(records))], "")
}

// entryDisrupted reports whether the request overlaps an outage of its entry.
func (runIndex *runIndex) entryDisrupted(sent *sentRequest) bool {
	return slices.ContainsFunc(runIndex.record.outages, func(outage outage) bool { return outage.overlaps(sent) })
}

// onlyPlannedStops reports whether the request overlaps a planned stop of its entry and no
// other outage.
func (runIndex *runIndex) onlyPlannedStops(sent *sentRequest) bool {
	inPlannedStop := false
	for _, outage := range runIndex.record.outages {
		if outage.overlaps(sent) {
			if !outage.planned {
				return false
			}
			inPlannedStop = true
		}
	}
	return inPlannedStop
}

func (outage *outage) overlaps(sent *sentRequest) bool {
	return outage.entry == sent.entry && sent.started.Before(outage.until.Add(outageGrace)) && sent.ended.After(outage.from)
}

// checkAttempts finds requests that ran more often in a pool than their route allows.
func (runIndex *runIndex) checkAttempts() []string {
	var found []string
	for id, runs := range runIndex.runs {
		counts := map[string]int{}
		for _, run := range runs {
			counts[run.pool]++
		}
		allowed := maxAttempts
		if strings.HasPrefix(id, routeOrder) {
			allowed = 1
		}
		for pool, count := range counts {
			if count > allowed {
				found = append(found, fmt.Sprintf("%s ran %d times in pool %s, %d allowed", id, count, pool, allowed))
			}
		}
	}
	return found
}

// checkHarmfulRuns reports a violation if harmful requests crashed more than maxHarmfulRuns
// targets.
func (record *record) checkHarmfulRuns() []string {
	count := 0
	for _, run := range record.runs {
		if strings.HasPrefix(run.id, routeHarmful) {
			count++
		}
	}
	if count > maxHarmfulRuns {
		return []string{fmt.Sprintf("the harmful request crashed %d targets, %d allowed", count, maxHarmfulRuns)}
	}
	return nil
}

// checkRetryBudgets finds pools that received more repeated runs within a retry window than
// their retry budget allows.
func (record *record) checkRetryBudgets() []string {
	var found []string
	pools := map[string][]targetRun{}
	for _, run := range record.runs {
		pools[run.pool] = append(pools[run.pool], run)
	}
	for pool, runs := range pools {
		slices.SortFunc(runs, func(left, right targetRun) int { return left.at.Compare(right.at) })
		seen, firstRunTimes, repeatedRunTimes := map[string]bool{}, []time.Time{}, []time.Time{}
		for _, run := range runs {
			if seen[run.id] {
				repeatedRunTimes = append(repeatedRunTimes, run.at)
			} else {
				firstRunTimes = append(firstRunTimes, run.at)
			}
			seen[run.id] = true
		}
		for position, from := range repeatedRunTimes {
			spent := countWithin(repeatedRunTimes[position:], from, retryWindow)
			allowed := retryRatio*float64(countWithin(firstRunTimes, from.Add(-retryWindow), 2*retryWindow)) + retrySlack
			if float64(spent) > allowed {
				found = append(found, fmt.Sprintf("pool %s: %d repeated runs within a retry window, %.1f allowed", pool, spent, allowed))
				break
			}
		}
	}
	return found
}

func countWithin(times []time.Time, from time.Time, length time.Duration) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(length)) {
			count++
		}
	}
	return count
}

// checkVersions finds reads that returned a version older than one acknowledged or read
// before they started.
func (record *record) checkVersions() []string {
	var found []string
	for _, read := range record.versionReads {
		for _, ack := range record.acknowledgments {
			if ack.at.Before(read.started) && read.declaredVersion < ack.declaredVersion {
				found = append(found, fmt.Sprintf("version %d was acknowledged, but a later read returned %d", ack.declaredVersion, read.declaredVersion))
			}
		}
		for _, earlier := range record.versionReads {
			if earlier.ended.Before(read.started) && read.declaredVersion < earlier.declaredVersion {
				found = append(found, fmt.Sprintf("a read returned version %d, and a later one %d", earlier.declaredVersion, read.declaredVersion))
			}
		}
	}
	return found
}

// checkLimits reports each limit of a target that the entries together exceeded.
func (record *record) checkLimits() []string {
	var found []string
	for _, limit := range record.limits {
		var arrivals []time.Time
		for _, run := range record.runs {
			if run.target == limit.target && run.at.After(limit.from.Add(limitContact)) && run.at.Before(limit.until) {
				arrivals = append(arrivals, run.at)
			}
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		allowed := int(limitFactor*limit.perSecond*limitSpan.Seconds()) + limitSlack
		for first := range arrivals {
			if last := first + allowed; last < len(arrivals) && arrivals[last].Sub(arrivals[first]) < limitSpan {
				found = append(found, fmt.Sprintf("target %s got more than %d requests in %s for a limit of %.1f a second", limit.target, allowed, limitSpan, limit.perSecond))
				break
			}
		}
	}
	return found
}
