// What callers, targets and operators saw, on which the checks rest.

package main

import (
	"sync"
	"time"
)

type (
	// sending is one request that a caller sent to one entry.
	sending struct {
		id           string
		route        string
		entry        int
		begun, ended time.Time
		status       int
		body         string
		proofs       []string
		missing      int
		notRun       bool
		// failed says why there was no answer.
		failed string
	}

	// run is one request that a target began to run.
	run struct {
		id, pool, target, proof string
		at                      time.Time
	}

	// span is a time in which an entry was stopped, or had a fault.
	span struct {
		entry       int
		planned     bool
		from, until time.Time
	}

	// acknowledged is a declared version that control has taken.
	acknowledged struct {
		declared uint64
		at       time.Time
	}

	// reading is what control said that the newest version is.
	reading struct {
		declared     uint64
		begun, ended time.Time
	}

	// record is the history of one soak.
	record struct {
		lock     sync.Mutex
		sendings []sending
		runs     []run
		spans    []span
		acks     []acknowledged
		readings []reading
		failures []string
	}
)

func (record *record) send(sent sending) {
	record.lock.Lock()
	defer record.lock.Unlock()
	record.sendings = append(record.sendings, sent)
}

func (record *record) ran(began run) {
	record.lock.Lock()
	defer record.lock.Unlock()
	record.runs = append(record.runs, began)
}

// during notes that an entry was stopped as planned, or had a fault, while act ran.
func (record *record) during(entry int, planned bool, act func()) {
	from := time.Now()
	act()
	record.lock.Lock()
	defer record.lock.Unlock()
	record.spans = append(record.spans, span{entry: entry, planned: planned, from: from, until: time.Now()})
}

func (record *record) acknowledge(declared uint64) {
	record.lock.Lock()
	defer record.lock.Unlock()
	record.acks = append(record.acks, acknowledged{declared: declared, at: time.Now()})
}

func (record *record) read(declared uint64, begun time.Time) {
	record.lock.Lock()
	defer record.lock.Unlock()
	record.readings = append(record.readings, reading{declared: declared, begun: begun, ended: time.Now()})
}

// fail notes that the system didn't do what it should in time.
func (record *record) fail(problem string) {
	record.lock.Lock()
	defer record.lock.Unlock()
	record.failures = append(record.failures, problem)
}

// newest returns the highest version that was acknowledged.
func (record *record) newest() uint64 {
	record.lock.Lock()
	defer record.lock.Unlock()
	newest := uint64(0)
	for _, ack := range record.acks {
		newest = max(newest, ack.declared)
	}
	return newest
}
