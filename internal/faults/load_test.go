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

// repeat starts to call the action at an interval, each time in a new goroutine,
// until the span has passed or the cell is done. It returns at once.
func (cell *cell) repeat(interval, span time.Duration, action func()) {
	cell.running.Go(func() {
		for end := time.Now().Add(span); time.Now().Before(end); {
			select {
			case <-cell.done:
				return
			case <-time.After(interval):
				cell.running.Go(action)
			}
		}
	})
}

// startLoad starts to send searches, filings and probes from every caller, each to
// the entry that the caller has looked up, and one change of the tables, which moves
// the probes.
func (cell *cell) startLoad() {
	for callerIndex := range cell.clients {
		cell.repeat(searchInterval+time.Duration(callerIndex)*time.Millisecond, loadSpan, func() { cell.sendSearch(callerIndex, nil) })
		cell.repeat(filingInterval+time.Duration(callerIndex)*time.Millisecond, loadSpan, func() { cell.sendFiling(callerIndex) })
		cell.repeat(probeInterval+time.Duration(callerIndex)*time.Millisecond, observationSpan, func() {
			cell.send(cell.ctx, callerIndex, &caller.Request{Kind: standin.ProbeKind, Idempotent: true, RunsPerShard: 2})
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

// sendFiling sends a request that isn't idempotent. Without an answer, it sends the
// request a second time under the same ID, as the next caller.
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

// send sends a request to the entry that the caller uses, records it with its outcome
// and returns that record. It sets the request's timeout, and an ID if it has none.
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

// lookUpEntries asks entries in turn for the addresses of entries: those at the known
// addresses, or all entries if none is known. It stores the first reply for the caller
// and returns its addresses, or the addresses that it asked if no entry replied.
func (cell *cell) lookUpEntries(callerIndex int, knownAddresses []string) []string {
	if len(knownAddresses) == 0 {
		for _, entry := range cell.tier.Entries() {
			knownAddresses = append(knownAddresses, entry.Settings().HTTPAddress)
		}
	}
	cell.track(lookingUp, func() {
		for _, address := range knownAddresses {
			cell.stepReached("address lookup")
			requestedAt := time.Now()
			ctx, cancel := context.WithTimeout(cell.ctx, time.Second)
			reply, err := cell.clientOf(address).Addresses(ctx)
			cancel()
			if err == nil && len(reply.Entries) > 0 {
				cell.lock.Lock()
				cell.entryAddresses[callerIndex], cell.addressesExpireAt[callerIndex] = reply.Entries, requestedAt.Add(reply.MaxAge.Std())
				cell.lock.Unlock()
				knownAddresses = reply.Entries
				return
			}
		}
	})
	return knownAddresses
}

func (cell *cell) clientOf(address string) *caller.EntryClient {
	for number, entry := range cell.tier.Entries() {
		if entry.Settings().HTTPAddress == address {
			return cell.clients[number]
		}
	}
	return cell.clients[0]
}

// stopAndRestart performs and records a planned stop of an entry, and starts the entry
// again a second later.
func (cell *cell) stopAndRestart(entryIndex int) {
	stopped := cell.tier.Entries()[entryIndex]
	plannedStop := standin.Stop{Entry: stopped.Settings().HTTPAddress, From: time.Now()}
	cell.track(stopping, func() { _ = cell.tier.StopProcess(cell.ctx, stopped) })
	plannedStop.Until = time.Now()
	cell.journal.RecordStop(plannedStop)
	time.Sleep(time.Second)
	_ = cell.tier.StartProcess(cell.ctx, stopped)
}

// announceLeaving makes a target announce that it takes no new work. The activity
// announcing lasts 50 ms longer, while the entries inform each other.
func (cell *cell) announceLeaving() {
	leaving := cell.tier.Targets()[4]
	leaving.Change(func(announcement *target.Announcement) { announcement.State = target.Leaving })
	cell.track(announcing, func() {
		_ = leaving.Announce(cell.ctx, cell.tier.Entries()[1].Settings().HTTPAddress)
		time.Sleep(50 * time.Millisecond)
	})
}

// changeQueueLimit changes the first pool's queue limit, adds routeCount unused
// routes, and leaves the probes in their pool. changeNumber makes the change's ID
// unique.
func (cell *cell) changeQueueLimit(changeNumber, routeCount int) {
	base, probeMoves, changed := cell.proposal(0)
	changed.Pools[0].QueueLimit = 32 + changeNumber%2
	// Many routes make the log grow, so that it is compacted.
	for index := range routeCount {
		changed.Routes = append([]operator.Route{{Kind: fmt.Sprintf("unused-%d", index), Pool: "bench"}}, changed.Routes...)
	}
	cell.sendChange(cell.tier.Control(), fmt.Sprintf("repeat-%d", changeNumber), base, probeMoves, changed)
}

// moveProbes moves the probes to the next pool.
func (cell *cell) moveProbes(client *control.Client, changeID string) {
	base, probeMoves, changed := cell.proposal(1)
	cell.sendChange(client, changeID, base, probeMoves, changed)
}

// proposal returns what a change consists of that moves the probes on by the given
// number of pools: the version that it is based on, which is the newest; the total
// number of moves once it is accepted; and its tables, which keep the failure domains
// that are out.
func (cell *cell) proposal(moves int) (uint64, int, operator.Tables) {
	cell.lock.Lock()
	defer cell.lock.Unlock()
	probeMoves := cell.acceptedMoveCount + moves
	changed := tables(probeMoves)
	changed.FailureDomainsOut = cell.domainsOut
	return cell.version, probeMoves, changed
}

// sendChange sends a change to control and reports whether it was accepted. If so, it
// records the change and updates the cell's newest version, failure domains that are
// out and number of moves. probeMoves is how often the probes have moved once the
// change is accepted.
func (cell *cell) sendChange(client *control.Client, changeID string, base uint64, probeMoves int, changed operator.Tables) bool {
	accepted := false
	cell.track(changing, func() {
		ctx, cancel := context.WithTimeout(cell.ctx, 8*time.Second)
		defer cancel()
		record := standin.ChangeRecord{ID: changeID, Base: base, Sent: time.Now(), Pool: changed.Routes[len(changed.Routes)-1].Pool}
		reply, err := client.Change(ctx, &operator.Change{ID: changeID, Base: base, Tables: changed})
		if err != nil {
			return
		}
		accepted = true
		record.Version, record.Accepted = reply.Version, time.Now()
		cell.journal.RecordChange(record)
		cell.lock.Lock()
		defer cell.lock.Unlock()
		if reply.Version > cell.version {
			cell.version, cell.domainsOut = reply.Version, changed.FailureDomainsOut
		}
		cell.acceptedMoveCount = max(cell.acceptedMoveCount, probeMoves)
	})
	return accepted
}
