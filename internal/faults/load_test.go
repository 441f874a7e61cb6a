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
	filingInterval = 150 * time.Millisecond
	probeInterval  = 250 * time.Millisecond
	requestTimeout = 400 * time.Millisecond
	// loadSpan is how long searches and filings are sent. Probes are sent for
	// observationSpan.
	loadSpan = 11 * time.Second
)

// repeat calls do at an interval for a span, each time in a new goroutine.
func (cell *cell) repeat(interval, span time.Duration, do func()) {
	cell.running.Go(func() {
		for end := time.Now().Add(span); time.Now().Before(end); {
			select {
			case <-cell.done:
				return
			case <-time.After(interval):
				cell.running.Go(do)
			}
		}
	})
}

// load sends searches, filings and probes to every entry, and changes the
// tables once.
func (cell *cell) load() {
	for number := range cell.clients {
		cell.repeat(searchInterval+time.Duration(number)*time.Millisecond, loadSpan, func() { cell.sendSearch(number, nil) })
		cell.repeat(filingInterval+time.Duration(number)*time.Millisecond, loadSpan, func() { cell.sendFiling(number) })
		cell.repeat(probeInterval+time.Duration(number)*time.Millisecond, observationSpan, func() {
			cell.send(cell.ctx, number, &caller.Request{Kind: standin.ProbeKind, Idempotent: true, RunsPerShard: 2})
		})
	}
	cell.running.Go(func() {
		time.Sleep(armDelay + 200*time.Millisecond)
		cell.moveProbes(cell.tier.Control(), "probe-1")
	})
}

func (cell *cell) sendSearch(callerIndex int, payload []byte) {
	cell.send(cell.ctx, callerIndex, &caller.Request{Kind: "bench.search", Payload: payload, Idempotent: true, RunsPerShard: 3})
}

// sendFiling sends a request that isn't idempotent. Without an answer it sends
// it again to the next entry under the same ID.
func (cell *cell) sendFiling(callerIndex int) {
	request := &caller.Request{Kind: "bench.file"}
	cell.track(filing, func() {
		for attempt := range 2 {
			if cell.send(cell.ctx, callerIndex+attempt, request).Answer != nil {
				return
			}
		}
	})
}

func (cell *cell) send(ctx context.Context, callerIndex int, request *caller.Request) *standin.SentRequest {
	if request.ID == "" {
		request.ID = caller.NewRequestID(time.Now().Add(time.Hour))
	}
	request.Timeout = duration.Of(requestTimeout)
	entryAddress := cell.entryAddress(callerIndex % callerCount)
	ctx, cancel := context.WithTimeout(ctx, 2*requestTimeout)
	defer cancel()
	return cell.journal.Send(ctx, cell.clientOf(entryAddress), entryAddress, request)
}

// entryAddress returns the address of an entry for a caller to use. It looks
// the addresses up again once they have expired, and keeps using the old ones
// if no entry answers.
func (cell *cell) entryAddress(callerIndex int) string {
	cell.lock.Lock()
	entryAddresses, fresh := cell.entryAddresses[callerIndex], time.Now().Before(cell.addressesExpireAt[callerIndex])
	cell.lock.Unlock()
	if !fresh {
		entryAddresses = cell.lookUpEntries(callerIndex, entryAddresses)
	}
	return entryAddresses[callerIndex%len(entryAddresses)]
}

// lookUpEntries asks the given addresses in turn for the addresses of entries,
// or all entries if none is given, and returns those that the caller uses next.
func (cell *cell) lookUpEntries(number int, addresses []string) []string {
	if len(addresses) == 0 {
		for _, entry := range cell.tier.Entries() {
			addresses = append(addresses, entry.Settings().HTTPAddress)
		}
	}
	cell.track(lookingUp, func() {
		for _, address := range addresses {
			cell.triggerStep("address lookup")
			requestedAt := time.Now()
			ctx, cancel := context.WithTimeout(cell.ctx, time.Second)
			reply, err := cell.clientOf(address).Addresses(ctx)
			cancel()
			if err == nil && len(reply.Entries) > 0 {
				cell.lock.Lock()
				cell.entryAddresses[number], cell.addressesExpireAt[number] = reply.Entries, requestedAt.Add(reply.MaxAge.Std())
				cell.lock.Unlock()
				addresses = reply.Entries
				return
			}
		}
	})
	return addresses
}

func (cell *cell) clientOf(address string) *caller.EntryClient {
	for number, entry := range cell.tier.Entries() {
		if entry.Settings().HTTPAddress == address {
			return cell.clients[number]
		}
	}
	return cell.clients[0]
}

// plannedStop performs a planned stop of an entry and starts it again.
func (cell *cell) plannedStop(entryIndex int) {
	stopped := cell.tier.Entries()[entryIndex]
	plannedStop := standin.Stop{Entry: stopped.Settings().HTTPAddress, From: time.Now()}
	cell.track(stopping, func() { _ = cell.tier.StopProcess(cell.ctx, stopped) })
	plannedStop.Until = time.Now()
	cell.journal.RecordStop(plannedStop)
	time.Sleep(time.Second)
	_ = cell.tier.StartProcess(cell.ctx, stopped)
}

// announceLeaving makes a target announce that it takes no new work.
func (cell *cell) announceLeaving() {
	leaving := cell.tier.Targets()[4]
	leaving.Change(func(announcement *target.Announcement) { announcement.State = target.Leaving })
	cell.track(announcing, func() {
		_ = leaving.Announce(cell.ctx, cell.tier.Entries()[1].Settings().HTTPAddress)
		time.Sleep(50 * time.Millisecond)
	})
}

// changeQueueLimit changes the first pool's queue limit, adds a number of unused
// routes, and leaves the probes in their pool.
func (cell *cell) changeQueueLimit(number, routes int) {
	base, probeMoves, changed := cell.proposal(0)
	changed.Pools[0].QueueLimit = 32 + number%2
	// Many routes make the log grow, so that it is compacted.
	for kind := range routes {
		changed.Routes = append([]operator.Route{{Kind: fmt.Sprintf("unused-%d", kind), Pool: "bench"}}, changed.Routes...)
	}
	cell.sendChange(cell.tier.Control(), fmt.Sprintf("repeat-%d", number), base, probeMoves, changed)
}

// moveProbes moves the probes to the next pool.
func (cell *cell) moveProbes(client *control.Client, id string) {
	base, probeMoves, changed := cell.proposal(1)
	cell.sendChange(client, id, base, probeMoves, changed)
}

// proposal returns the parts of a change that moves the probes on by the given
// number of pools: its base, which is the newest version; the total number of moves
// once it is accepted; and its tables, which keep the failure domains that are out.
func (cell *cell) proposal(moves int) (uint64, int, operator.Tables) {
	cell.lock.Lock()
	defer cell.lock.Unlock()
	probeMoves := cell.acceptedMoves + moves
	changed := tables(probeMoves)
	changed.FailureDomainsOut = cell.out
	return cell.version, probeMoves, changed
}

// sendChange sends a change to control, records it if it is accepted, and
// reports whether it was. probeMoves is how often the probes have moved once the
// change is accepted.
func (cell *cell) sendChange(client *control.Client, id string, base uint64, probeMoves int, changed operator.Tables) bool {
	accepted := false
	cell.track(changing, func() {
		ctx, cancel := context.WithTimeout(cell.ctx, 8*time.Second)
		defer cancel()
		record := standin.ChangeRecord{ID: id, Base: base, Sent: time.Now(), Pool: changed.Routes[len(changed.Routes)-1].Pool}
		reply, err := client.Change(ctx, &operator.Change{ID: id, Base: base, Tables: changed})
		if err != nil {
			return
		}
		accepted = true
		record.Version, record.Accepted = reply.Version, time.Now()
		cell.journal.RecordChange(record)
		cell.lock.Lock()
		defer cell.lock.Unlock()
		if reply.Version > cell.version {
			cell.version, cell.out = reply.Version, changed.FailureDomainsOut
		}
		cell.acceptedMoves = max(cell.acceptedMoves, probeMoves)
	})
	return accepted
}
