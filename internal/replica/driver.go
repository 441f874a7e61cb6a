// The driver of a core: one goroutine that connects it to the network, the disk, the clock and the
// state machine.

package replica

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/disk"
)

const (
	requestDeliver requestKind = iota
	requestPropose
	requestConfirm
	requestChange
)

const (
	// maximumBatchedRequests bounds the requests that share one sync of the disk.
	maximumBatchedRequests = 512
	// minimumCompactionBytes is the minimum growth of the log between two snapshots.
	minimumCompactionBytes = 1 << 20
)

type (
	requestKind uint8

	// request is a request of a caller or a peer to the driver.
	request struct {
		kind     requestKind
		envelope envelope
		command  []byte
		change   input
		reply    chan outcome
	}

	outcome struct {
		result []byte
		err    error
	}

	// driver runs a core. Its fields are accessed by one goroutine only.
	driver struct {
		replica *Replica
		core    *core
		store   store
		random  *rand.Rand
		// emptyState is the snapshot of a state machine that has applied nothing.
		emptyState []byte
		// haltReason is why this replica has stopped using its disk; nil while it uses it.
		haltReason error
		// diskRetryAt is when a full disk is tried again; zero if the disk isn't full.
		diskRetryAt time.Time

		// pendingProposals are the proposals without an outcome, by the index of their entry. All of
		// these entries have proposalTerm.
		pendingProposals map[uint64]chan outcome
		proposalTerm     uint64
		pendingConfirms  []pendingConfirm
	}
)

// now returns the current time of the VM's clock.
func (driver *driver) now() time.Time {
	if clock := driver.replica.options.Now; clock != nil {
		return clock()
	}
	return time.Now()
}

// open reads the durable state and prepares the core. Damaged records are set aside, as are those
// of a replica that had no group yet.
func (driver *driver) open(now time.Time) error {
	options := &driver.replica.options
	if options.Folder == "" {
		driver.store = &memoryStore{}
		return driver.initCore(now, nil)
	}
	log, err := disk.Open(options.fileSystem(), options.Folder)
	if err != nil {
		return err
	}
	store := &diskStore{log: log}
	driver.store = store
	if damage := log.Damage(); damage != nil {
		options.Logger.Error("the log is damaged; this replica rejoins the group as a new member", zap.Error(damage))
	}
	state, err := store.load()
	if err == nil && state == nil {
		err = store.discard()
	}
	if err == nil {
		err = driver.initCore(now, state)
	}
	if err != nil {
		_ = store.close()
		driver.store = &memoryStore{}
	}
	return err
}

// initCore creates a core from durable state, or that of a new replica if state is nil.
func (driver *driver) initCore(now time.Time, state *durableState) error {
	options := &driver.replica.options
	core := &core{id: newID(options.Name), address: options.Address, level: BuildLevel, sizes: defaultSizes(), peers: append([]string(nil), options.Peers...),
		joinOnly: options.JoinOnly, selfManaged: options.SelfManaged, random: driver.random}
	if len(core.peers) == 0 {
		core.peers = []string{core.address}
	}
	if state == nil {
		core.diskVerified = true
		core.advanceGeneration()
	} else {
		core.load(state)
	}
	core.start(now)
	driver.core = core
	// After a failed sync the page cache may hold data that is not on the disk and that no later
	// sync writes. A new file makes everything that was read durable.
	return driver.store.rewrite(core.durableState())
}

func (driver *driver) run() {
	defer close(driver.replica.stopped)
	defer driver.replica.transport.stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	stopping := driver.replica.stopping
	var stopAt time.Time
	for {
		select {
		case <-stopping:
			stopping = nil
			stopAt = driver.stopAt(driver.now())
			driver.step(transferRequested{})
		case request := <-driver.replica.requests:
			driver.handleBatch(request)
		case <-timer.C:
			driver.handleTimer(driver.now())
		}
		driver.flush()
		if stopping == nil && (driver.haltReason != nil || driver.core.followsLeader() || !driver.now().Before(stopAt)) {
			driver.end()
			return
		}
		driver.rearm(timer, stopAt)
	}
}

// step passes an input to the core, unless the driver has stopped using the disk.
func (driver *driver) step(input input) {
	if driver.haltReason == nil {
		driver.core.step(driver.now(), input)
	}
}

// stopAt returns the time until which a stopping leader waits for another replica to take over. A
// replica that doesn't lead stops at once.
func (driver *driver) stopAt(now time.Time) time.Time {
	if driver.haltReason != nil || driver.core.role != roleLeader {
		return now
	}
	return now.Add(transferTimeout)
}

// rearm sets the timer to when the driver must next act: the core's next wake, the retry of a full
// disk, or stopAt. A driver that has stopped using the disk for good needs no timer.
func (driver *driver) rearm(timer *time.Timer, stopAt time.Time) {
	if driver.haltReason != nil && driver.diskRetryAt.IsZero() {
		timer.Stop()
		return
	}
	wakeAt := driver.diskRetryAt
	if driver.haltReason == nil {
		wakeAt = driver.core.nextWake()
	}
	if !stopAt.IsZero() && stopAt.Before(wakeAt) {
		wakeAt = stopAt
	}
	timer.Reset(max(wakeAt.Sub(driver.now()), time.Millisecond))
}

// handleBatch handles a request and those queued behind it, up to a limit, so that they share one
// sync of the disk.
func (driver *driver) handleBatch(first request) {
	var commands [][]byte
	var replies []chan outcome
	next, more := first, true
	for count := 0; more; count++ {
		if next.kind == requestPropose {
			commands, replies = append(commands, next.command), append(replies, next.reply)
		} else {
			driver.handle(&next)
		}
		if count >= driver.replica.batchedRequests {
			break
		}
		select {
		case next = <-driver.replica.requests:
		default:
			more = false
		}
	}
	driver.propose(commands, replies)
	// Confirmations of one batch share one read round.
	driver.step(ticked{})
}

func (driver *driver) handle(request *request) {
	now := driver.now()
	switch request.kind {
	case requestDeliver:
		if driver.haltReason == nil {
			driver.core.step(now, messageReceived{envelope: request.envelope})
		}
	case requestConfirm:
		driver.confirm(request.reply)
	case requestChange:
		if err := driver.refusal(); err != nil {
			request.reply <- outcome{err: err}
			return
		}
		driver.core.out.refusal = nil
		driver.core.step(now, request.change)
		request.reply <- outcome{err: driver.core.out.refusal}
	case requestPropose:
	}
}

// flush performs the core's outputs until there are none left. Then it replies to the calls whose
// outcome is known and publishes the status.
func (driver *driver) flush() {
	for driver.haltReason == nil {
		out := driver.core.drainOutput()
		driver.replica.transport.send(out.immediate)
		driver.reportMemberChanges(out.memberChanges)
		if out.reset {
			driver.discard()
			break
		}
		wrote, err := driver.persist(&out)
		if err != nil {
			driver.fail(err)
			break
		}
		if wrote {
			driver.core.step(driver.now(), synced{})
		}
		driver.replica.transport.send(out.afterSync)
		driver.apply(&out)
		if !wrote && len(out.immediate)+len(out.afterSync)+len(out.toApply) == 0 && !driver.compact() {
			break
		}
	}
	driver.answerPending()
	driver.publish()
}

// persist makes the records of an output durable, and reports whether there were any.
func (driver *driver) persist(out *output) (wrote bool, err error) {
	if out.rewriteAll {
		return true, driver.store.rewrite(driver.core.durableState())
	}
	if out.hard == nil && len(out.entries) == 0 {
		return false, nil
	}
	return true, driver.store.append(out.hard, out.entries)
}

func (driver *driver) apply(out *output) {
	if out.restore != nil {
		if err := driver.replica.machine.Restore(out.restore.Data); err != nil {
			driver.fail(err)
			return
		}
	}
	for index := range out.toApply {
		applied := &out.toApply[index]
		var result []byte
		if applied.Kind == entryCommand {
			result = driver.replica.machine.Apply(applied.Index, applied.Data)
		}
		if reply, waiting := driver.pendingProposals[applied.Index]; waiting && applied.Term == driver.proposalTerm {
			reply <- outcome{result: result}
			delete(driver.pendingProposals, applied.Index)
		}
	}
}

// compact takes a snapshot once at least minimumCompactionBytes were appended, and as many bytes as
// the last rewrite of the store wrote. It reports whether flush must check for further outputs.
func (driver *driver) compact() bool {
	appended, rewritten := driver.store.writtenBytes()
	if appended < max(minimumCompactionBytes, rewritten) {
		return false
	}
	if driver.core.applied <= driver.core.snapshot.Index {
		// Only generations and terms have been appended, so the snapshot would be the same.
		driver.core.out.rewriteAll = true
		return true
	}
	data, err := driver.replica.machine.Snapshot()
	if err != nil {
		driver.replica.options.Logger.Error("snapshot of the state machine failed", zap.Error(err))
		return false
	}
	driver.core.step(driver.now(), snapshotTaken{index: driver.core.applied, data: data})
	return true
}

// discard sets the disk's records aside and starts over as a new replica, under an ID that the group
// has never counted toward a quorum.
func (driver *driver) discard() {
	driver.replica.options.Logger.Warn("this replica's disk is outdated; it rejoins the group as a new member", zap.String("id", driver.core.id))
	if err := driver.store.discard(); err != nil {
		driver.fail(err)
		return
	}
	if err := driver.replica.machine.Restore(driver.emptyState); err != nil {
		driver.fail(err)
		return
	}
	if err := driver.initCore(driver.now(), nil); err != nil {
		driver.fail(err)
	}
}

// end replies to all pending calls and closes the store.
func (driver *driver) end() {
	driver.haltReason = stopped()
	driver.answerPending()
	driver.publish()
	if err := driver.store.close(); err != nil {
		driver.replica.options.Logger.Warn("could not close the data folder", zap.Error(err))
	}
}
