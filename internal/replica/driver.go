// This file exists so that a core's decisions meet the network, the disk, the
// clock and the machine in one goroutine.

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
	// minimumCompactionBytes is how much the log grows at least between two
	// snapshots.
	minimumCompactionBytes = 1 << 20
)

type (
	requestKind uint8

	// request is what callers and peers ask the driver.
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

	// driver runs a core. Its fields belong to one goroutine.
	driver struct {
		replica *Replica
		core    *core
		store   store
		random  *rand.Rand
		// emptyState is the state of a machine that has applied nothing.
		emptyState []byte
		// haltReason is why the disk is not used any more.
		haltReason error
		// diskRetryAt is when a disk that was full is tried again, zero where none
		// was.
		diskRetryAt time.Time

		pendingProposals map[uint64]chan outcome
		proposalTerm     uint64
		pendingConfirms  []pendingConfirm
	}
)

// now returns the time of the VM's clock.
func (driver *driver) now() time.Time {
	if clock := driver.replica.options.Now; clock != nil {
		return clock()
	}
	return time.Now()
}

// open reads the durable state and prepares the core. Records that are
// damaged, and those of a replica that had no group yet, are set aside.
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
		options.Logger.Error("the log is damaged; this replica joins the group anew", zap.Error(damage))
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

// initCore makes a core from durable state, or a new replica where it is nil.
func (driver *driver) initCore(now time.Time, state *durableState) error {
	options := &driver.replica.options
	core := &core{id: newID(options.Name), address: options.Address, sizes: defaultSizes(), peers: append([]string(nil), options.Peers...),
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
	// After a failed sync the system may show what the disk doesn't hold, and
	// sync it no more. A new file holds all that was read.
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

// step tells the core something, unless the disk is not used any more.
func (driver *driver) step(input input) {
	if driver.haltReason == nil {
		driver.core.step(driver.now(), input)
	}
}

// stopAt returns until when a stopping replica stays for its successor to
// lead. A replica that doesn't lead has none.
func (driver *driver) stopAt(now time.Time) time.Time {
	if driver.haltReason != nil || driver.core.role != roleLeader {
		return now
	}
	return now.Add(transferTimeout)
}

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

// handleBatch handles a request and those that wait behind it, so that they share
// one sync of the disk.
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
	// What was asked together shares one round.
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

// flush does what the core asks until it asks for nothing more.
func (driver *driver) flush() {
	for driver.haltReason == nil {
		out := driver.core.drainOutput()
		driver.replica.transport.send(out.immediate)
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
		if !wrote && len(out.immediate)+len(out.afterSync)+len(out.apply) == 0 && !driver.compact() {
			break
		}
	}
	driver.answerPending()
	driver.publish()
}

func (driver *driver) persist(out *output) (wrote bool, err error) {
	if out.rewrite {
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
	for index := range out.apply {
		applied := &out.apply[index]
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

// compact takes a snapshot once the log has grown as large as the state.
func (driver *driver) compact() bool {
	appended, rewritten := driver.store.grown()
	if appended < max(minimumCompactionBytes, rewritten) {
		return false
	}
	if driver.core.applied <= driver.core.snapshot.Index {
		// Marks and terms alone have grown the log.
		driver.core.out.rewrite = true
		return true
	}
	data, err := driver.replica.machine.Snapshot()
	if err != nil {
		driver.replica.options.Logger.Error("the machine gave no snapshot", zap.Error(err))
		return false
	}
	driver.core.step(driver.now(), snapshotTaken{index: driver.core.applied, data: data})
	return true
}

// discard starts anew with an empty disk, as a replica that the group has
// never counted.
func (driver *driver) discard() {
	driver.replica.options.Logger.Warn("this replica's disk is not what it was; it joins the group anew", zap.String("id", driver.core.id))
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

// end answers everything that waits.
func (driver *driver) end() {
	driver.haltReason = stopped()
	driver.answerPending()
	driver.publish()
	if err := driver.store.close(); err != nil {
		driver.replica.options.Logger.Warn("close the data folder", zap.Error(err))
	}
}
