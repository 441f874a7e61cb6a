// The promises that a soak checks, as functions of its record.

package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// attemptsAllowed is the max_attempts of the soak's routes.
	attemptsAllowed = 2
	retryRatio      = 0.2
	retrySlack      = 50
	retryWindow     = 10 * time.Second
	// faultTail is the time after a fault of an entry in which requests may still
	// suffer from it: those that waited in its sockets.
	faultTail = time.Second
	// harmfulRuns is how many targets a request may crash that crashes each: two
	// before it is kept from them, and two each at two entries that have started
	// and not been told yet.
	harmfulRuns = 6
)

type (
	// index holds the runs by request.
	index struct {
		record *record
		runs   map[string][]run
	}
)

// violations returns each promise that the record breaks.
func (record *record) violations() []string {
	record.lock.Lock()
	defer record.lock.Unlock()
	index := &index{record: record, runs: map[string][]run{}}
	for _, began := range record.runs {
		index.runs[began.id] = append(index.runs[began.id], began)
	}
	found := slices.Clone(record.failures)
	for position := range record.sendings {
		found = append(found, index.checkSending(&record.sendings[position])...)
	}
	found = append(found, index.checkAttempts()...)
	found = append(found, record.checkHarm()...)
	found = append(found, record.checkBudgets()...)
	return append(found, record.checkVersions()...)
}

func (index *index) checkSending(sent *sending) []string {
	var found []string
	tell := func(format string, values ...any) {
		found = append(found, fmt.Sprintf("%s %s at entry %d: ", sent.route, sent.id, sent.entry)+fmt.Sprintf(format, values...))
	}
	runs := index.runs[sent.id]
	switch {
	case sent.failed != "" && !index.faulty(sent):
		tell("no answer, and the entry had no fault: %s", sent.failed)
	case sent.failed != "" && len(runs) > 0 && index.onlyStopping(sent):
		tell("cut in a planned stop: %s", sent.failed)
	case sent.notRun && len(runs) > 0:
		tell("said not to have run, and ran %d times", len(runs))
	}
	if sent.status != statusOK {
		return found
	}
	for _, proof := range sent.proofs {
		if !slices.ContainsFunc(runs, func(began run) bool { return began.proof == proof }) {
			tell("answered with proof %q, which no target gave for it", proof)
		}
	}
	if expected := sent.expected(); sent.body != expected {
		tell("answered %q, not %q", sent.body, expected)
	}
	return found
}

// expected returns the body that the targets with the answer's proofs gave.
func (sent *sending) expected() string {
	if sent.route != routeSearch {
		return strings.Join(sent.proofs, "")
	}
	var records []string
	for _, proof := range sent.proofs {
		records = append(records, recordsOf(poolOf(proof))...)
	}
	slices.Sort(records)
	slices.Reverse(records)
	if len(sent.proofs)+sent.missing != shards {
		return fmt.Sprintf("%d proofs and %d missing parts of %d", len(sent.proofs), sent.missing, shards)
	}
	return strings.Join(records[:min(topRecords, len(records))], "")
}

// faulty reports whether the entry had a fault while the request was there.
func (index *index) faulty(sent *sending) bool {
	return slices.ContainsFunc(index.record.spans, func(span span) bool { return span.touches(sent) })
}

// onlyStopping reports whether the entry was in a planned stop and had no fault.
func (index *index) onlyStopping(sent *sending) bool {
	stopping := false
	for _, span := range index.record.spans {
		if span.touches(sent) {
			if !span.planned {
				return false
			}
			stopping = true
		}
	}
	return stopping
}

func (span *span) touches(sent *sending) bool {
	return span.entry == sent.entry && sent.begun.Before(span.until.Add(faultTail)) && sent.ended.After(span.from)
}

// checkAttempts looks for requests that ran more often than allowed.
func (index *index) checkAttempts() []string {
	var found []string
	for id, runs := range index.runs {
		counts := map[string]int{}
		for _, began := range runs {
			counts[began.pool]++
		}
		allowed := attemptsAllowed
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

// checkHarm counts the targets that the harmful request has crashed.
func (record *record) checkHarm() []string {
	count := 0
	for _, began := range record.runs {
		if strings.HasPrefix(began.id, routeHarmful) {
			count++
		}
	}
	if count > harmfulRuns {
		return []string{fmt.Sprintf("the harmful request crashed %d targets, %d allowed", count, harmfulRuns)}
	}
	return nil
}

// checkBudgets looks for windows with more extra arrivals at a pool than the
// budget of all entries allows.
func (record *record) checkBudgets() []string {
	var found []string
	pools := map[string][]run{}
	for _, began := range record.runs {
		pools[began.pool] = append(pools[began.pool], began)
	}
	for pool, runs := range pools {
		slices.SortFunc(runs, func(left, right run) int { return left.at.Compare(right.at) })
		seen, first, extra := map[string]bool{}, []time.Time{}, []time.Time{}
		for _, began := range runs {
			if seen[began.id] {
				extra = append(extra, began.at)
			} else {
				first = append(first, began.at)
			}
			seen[began.id] = true
		}
		for position, from := range extra {
			spent := within(extra[position:], from, retryWindow)
			allowed := retryRatio*float64(within(first, from.Add(-retryWindow), 2*retryWindow)) + retrySlack
			if float64(spent) > allowed {
				found = append(found, fmt.Sprintf("pool %s: %d extra arrivals in a window, %.1f allowed", pool, spent, allowed))
				break
			}
		}
	}
	return found
}

func within(times []time.Time, from time.Time, length time.Duration) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(length)) {
			count++
		}
	}
	return count
}

// checkVersions looks for acknowledged versions that a later read didn't show,
// and for reads that went back.
func (record *record) checkVersions() []string {
	var found []string
	for _, read := range record.readings {
		for _, ack := range record.acks {
			if ack.at.Before(read.begun) && read.declared < ack.declared {
				found = append(found, fmt.Sprintf("version %d was acknowledged, and a later read showed %d", ack.declared, read.declared))
			}
		}
		for _, earlier := range record.readings {
			if earlier.ended.Before(read.begun) && read.declared < earlier.declared {
				found = append(found, fmt.Sprintf("a read showed version %d, and a later one %d", earlier.declared, read.declared))
			}
		}
	}
	return found
}
