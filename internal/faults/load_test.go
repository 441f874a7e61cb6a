package faults_test

import (
	"context"
	"fmt"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	searchInterval = 60 * time.Millisecond
	fileInterval   = 150 * time.Millisecond
	probeInterval  = 250 * time.Millisecond
	requestTimeout = 400 * time.Millisecond
	// loadSpan is how long searches and filings go on; probes go on to the
	// end.
	loadSpan = 11 * time.Second
)

// every does something at an interval for a span.
func (cell *cell) every(interval, span time.Duration, do func()) {
	cell.running.Go(func() {
		for end := time.Now().Add(span); time.Now().Before(end); {
			select {
			case <-cell.ended:
				return
			case <-time.After(interval):
				cell.running.Go(do)
			}
		}
	})
}

// load offers searches, filings and probes at every entry, and changes the
// tables and a target's state now and then.
func (cell *cell) load() {
	for number := range cell.clients {
		cell.every(searchInterval+time.Duration(number)*time.Millisecond, loadSpan, func() { cell.search(number, nil) })
		cell.every(fileInterval+time.Duration(number)*time.Millisecond, loadSpan, func() { cell.file(number) })
		cell.every(probeInterval+time.Duration(number)*time.Millisecond, afterFault, func() {
			cell.send(cell.ctx, number, &caller.Request{Kind: standin.ProbeKind, Idempotent: true, RunsPerShard: 2})
		})
	}
	cell.running.Go(func() {
		time.Sleep(armAt + 200*time.Millisecond)
		cell.change(cell.tier.Control(), "probe-1")
	})
}

func (cell *cell) search(number int, payload []byte) {
	cell.send(cell.ctx, number, &caller.Request{Kind: "bench.search", Payload: payload, Idempotent: true, RunsPerShard: 3})
}

// file sends a request that may not be repeated, and sends it again under the
// same ID at the next entry where it got no answer.
func (cell *cell) file(number int) {
	request := &caller.Request{Kind: "bench.file"}
	cell.during(filing, func() {
		for try := range 2 {
			if cell.send(cell.ctx, number+try, request).Answer != nil {
				return
			}
		}
	})
}

func (cell *cell) send(ctx context.Context, number int, request *caller.Request) *standin.Sending {
	if request.ID == "" {
		request.ID = caller.NewRequestID(time.Now().Add(time.Hour))
	}
	request.Timeout = duration.Of(requestTimeout)
	entry := cell.entry(number % callers)
	ctx, cancel := context.WithTimeout(ctx, 2*requestTimeout)
	defer cancel()
	return cell.journal.Send(ctx, cell.clientOf(entry), entry, request)
}

// entry returns an address that the caller may use. It asks for addresses
// anew once they are too old, and goes on with the old ones where nobody
// answers.
func (cell *cell) entry(number int) string {
	cell.lock.Lock()
	entries, fresh := cell.entries[number], time.Now().Before(cell.until[number])
	cell.lock.Unlock()
	if !fresh {
		entries = cell.lookUp(number, entries)
	}
	return entries[number%len(entries)]
}

func (cell *cell) lookUp(number int, known []string) []string {
	if len(known) == 0 {
		for _, entry := range cell.tier.Entries() {
			known = append(known, entry.Settings().HTTPAddress)
		}
	}
	cell.during(lookingUp, func() {
		for _, address := range known {
			cell.now("address lookup")
			asked := time.Now()
			ctx, cancel := context.WithTimeout(cell.ctx, time.Second)
			told, err := cell.clientOf(address).Addresses(ctx)
			cancel()
			if err == nil && len(told.Entries) > 0 {
				cell.lock.Lock()
				cell.entries[number], cell.until[number] = told.Entries, asked.Add(told.MaxAge.Std())
				cell.lock.Unlock()
				known = told.Entries
				return
			}
		}
	})
	return known
}

func (cell *cell) clientOf(address string) *caller.EntryClient {
	for number, entry := range cell.tier.Entries() {
		if entry.Settings().HTTPAddress == address {
			return cell.clients[number]
		}
	}
	return cell.clients[0]
}

// stop stops an entry as planned, and starts it again.
func (cell *cell) stop(number int) {
	stopped := cell.tier.Entries()[number]
	stop := standin.Stop{Entry: stopped.Settings().HTTPAddress, From: time.Now()}
	cell.during(stopping, func() { _ = cell.tier.StopProcess(cell.ctx, stopped) })
	stop.Until = time.Now()
	cell.journal.Stop(stop)
	time.Sleep(time.Second)
	_ = cell.tier.StartProcess(cell.ctx, stopped)
}

// leave lets a target announce that it takes no new work.
func (cell *cell) leave() {
	leaving := cell.tier.Targets()[4]
	leaving.Change(func(announcement *target.Announcement) { announcement.State = target.Leaving })
	cell.during(announcing, func() {
		_ = leaving.Announce(cell.ctx, cell.tier.Entries()[1].Settings().HTTPAddress)
		time.Sleep(50 * time.Millisecond)
	})
}

// repeatChange changes the tables and leaves the probes where they are.
func (cell *cell) repeatChange(number, routes int) {
	base, changes, changed := cell.proposal(0)
	changed.Pools[0].QueueLimit = 32 + number%2
	// Many routes make the log grow, so that it is compacted.
	for kind := range routes {
		changed.Routes = append([]operator.Route{{Kind: fmt.Sprintf("unused-%d", kind), Pool: "bench"}}, changed.Routes...)
	}
	cell.changeTo(cell.tier.Control(), fmt.Sprintf("repeat-%d", number), base, changes, changed)
}

// change moves the probes to the next pool.
func (cell *cell) change(client *control.Client, id string) {
	base, number, changed := cell.proposal(1)
	cell.changeTo(client, id, base, number, changed)
}

// proposal returns the newest version, and tables that move the probes by a
// number of pools and leave all else as it is.
func (cell *cell) proposal(moves int) (uint64, int, operator.Tables) {
	cell.lock.Lock()
	defer cell.lock.Unlock()
	number := cell.changes + moves
	changed := tables(number)
	changed.FailureDomainsOut = cell.out
	return cell.version, number, changed
}

func (cell *cell) changeTo(client *control.Client, id string, base uint64, number int, changed operator.Tables) bool {
	accepted := false
	cell.during(changing, func() {
		ctx, cancel := context.WithTimeout(cell.ctx, 8*time.Second)
		defer cancel()
		record := standin.ChangeRecord{ID: id, Base: base, Sent: time.Now(), Pool: changed.Routes[len(changed.Routes)-1].Pool}
		reply, err := client.Change(ctx, &operator.Change{ID: id, Base: base, Tables: changed})
		if err != nil {
			return
		}
		accepted = true
		record.Version, record.Accepted = reply.Version, time.Now()
		cell.journal.Change(record)
		cell.lock.Lock()
		defer cell.lock.Unlock()
		if reply.Version > cell.version {
			cell.version, cell.out = reply.Version, changed.FailureDomainsOut
		}
		cell.changes = max(cell.changes, number)
	})
	return accepted
}
