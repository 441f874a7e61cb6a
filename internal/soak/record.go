// The record of what callers, targets and operators observed, on which the checks run.

package main

import (
	"sync"
	"time"
)

type (
	// sentRequest is one request that a caller sent to one entry, with its outcome.
	sentRequest struct {
		id             string
		route          string
		entry          int
		started, ended time.Time
		status         int
		body           string
		// proofs are the proofs in the answer's headers, of the runs that produced the
		// answer. A search has one for each part.
		proofs []string
		// missingPartCount is the number of parts that a search's answer lacks.
		missingPartCount int
		// notRun is true if the entry refused the request and stated that no target ran it.
		notRun bool
		// failure is the error if there was no answer.
		failure string
	}

	// targetRun is one run of a request that a target started. The proof is a text
	// unique to the run, which the target sends with its answer.
	targetRun struct {
		id, pool, target, proof string
		at                      time.Time
		// failed is true if the target answered with an error, and release is the target's.
		failed  bool
		release string
	}

	// outage is a period in which an entry was stopping as planned, or had a fault.
	outage struct {
		entry       int
		planned     bool
		from, until time.Time
	}

	// acknowledgment is the acceptance by control of a declared version, which is a version
	// of the tables that the soak numbers itself.
	acknowledgment struct {
		declaredVersion uint64
		at              time.Time
	}

	// versionRead is a read of the newest declared version from a process.
	versionRead struct {
		declaredVersion uint64
		started, ended  time.Time
	}

	// targetLimit is a period in which a target named a limit, in requests a second.
	targetLimit struct {
		target      string
		perSecond   float64
		from, until time.Time
	}

	// record holds the events of one soak.
	record struct {
		lock            sync.Mutex
		requests        []sentRequest
		runs            []targetRun
		outages         []outage
		limits          []targetLimit
		acknowledgments []acknowledgment
		versionReads    []versionRead
		rollouts        []rollout
		failures        []string
	}
)

// addRequest records a request that a caller sent.
func (record *record) addRequest(sent sentRequest) {
	record.lock.Lock()
	defer record.lock.Unlock()
	record.requests = append(record.requests, sent)
}

func (record *record) addRun(run targetRun) {
	record.lock.Lock()
	defer record.lock.Unlock()
	record.runs = append(record.runs, run)
}

// recordOutage runs act and records an outage of the entry for its duration.
func (record *record) recordOutage(entry int, planned bool, act func()) {
	from := time.Now()
	act()
	record.lock.Lock()
	defer record.lock.Unlock()
	record.outages = append(record.outages, outage{entry: entry, planned: planned, from: from, until: time.Now()})
}

func (record *record) addLimit(limit targetLimit) {
	record.lock.Lock()
	defer record.lock.Unlock()
	record.limits = append(record.limits, limit)
}

func (record *record) addAcknowledgment(declared uint64) {
	record.lock.Lock()
	defer record.lock.Unlock()
	record.acknowledgments = append(record.acknowledgments, acknowledgment{declaredVersion: declared, at: time.Now()})
}

func (record *record) addVersionRead(declared uint64, started time.Time) {
	record.lock.Lock()
	defer record.lock.Unlock()
	record.versionReads = append(record.versionReads, versionRead{declaredVersion: declared, started: started, ended: time.Now()})
}

// addFailure records that the system missed a deadline or a process failed to start.
func (record *record) addFailure(problem string) {
	record.lock.Lock()
	defer record.lock.Unlock()
	record.failures = append(record.failures, problem)
}

// newestVersion returns the highest acknowledged version.
func (record *record) newestVersion() uint64 {
	record.lock.Lock()
	defer record.lock.Unlock()
	newestVersion := uint64(0)
	for _, ack := range record.acknowledgments {
		newestVersion = max(newestVersion, ack.declaredVersion)
	}
	return newestVersion
}
