// The batcher combines concurrent commands into one log entry, so that they share one disk
// write and one round of replication.

package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// maximumBatch is the maximum number of small commands in one log entry.
	maximumBatch = 1024
	// maximumQueue is the maximum number of commands that wait for a batch.
	maximumQueue = 16384
	// proposeTimeout limits the time of one proposal to the log.
	proposeTimeout = 5 * time.Second
)

type (
	// batcher queues commands while earlier batches are in flight, and proposes the queued
	// commands as one log entry.
	batcher struct {
		propose func(ctx context.Context, command []byte) ([]byte, error)
		// check returns the reason to refuse a command before it is queued.
		check func(command command) error
		// window is how long a batch waits for further commands before it is proposed.
		window time.Duration
		// maximumInFlight is the maximum number of batches in flight.
		maximumInFlight int
		// maximumBatchSize is the maximum number of commands in one batch.
		maximumBatchSize int

		lock     sync.Mutex
		queue    []*submission
		inFlight int
	}

	// submission is a queued command and its result, which is set before done is closed.
	submission struct {
		command command
		done    chan struct{}
		result  result
		err     error
	}
)

// submit queues a command and returns its result after the command is durable and applied.
func (batcher *batcher) submit(ctx context.Context, command command) (*result, error) {
	submission, err := batcher.begin(command)
	if err != nil {
		return nil, err
	}
	return submission.await(ctx)
}

// begin queues a command.
func (batcher *batcher) begin(command command) (*submission, error) {
	if err := batcher.check(command); err != nil {
		return nil, err
	}
	submission := &submission{command: command, done: make(chan struct{})}
	return submission, batcher.enqueue(submission)
}

// await returns the result of a queued command after the command is durable and applied.
func (submission *submission) await(ctx context.Context) (*result, error) {
	select {
	case <-ctx.Done():
		return nil, fault.New(fault.Unavailable, "the command's outcome isn't known in time", "send it again with the same ID")
	case <-submission.done:
	}
	if submission.err != nil {
		return nil, submission.err
	}
	if submission.result.Fault != nil {
		return nil, submission.result.Fault
	}
	return &submission.result, nil
}

// enqueue adds a submission to the queue, and starts a drain unless the maximum number is already
// running.
func (batcher *batcher) enqueue(submission *submission) error {
	batcher.lock.Lock()
	defer batcher.lock.Unlock()
	if len(batcher.queue) >= maximumQueue {
		return fault.New(fault.Unavailable, "too many commands wait for the log", "try again in a second")
	}
	batcher.queue = append(batcher.queue, submission)
	if batcher.inFlight < batcher.maximumInFlight {
		batcher.inFlight++
		go batcher.drain()
	}
	return nil
}

// drain proposes batches until the queue is empty.
func (batcher *batcher) drain() {
	for {
		if batcher.window > 0 {
			time.Sleep(batcher.window)
		}
		batch := batcher.nextBatch()
		if len(batch) == 0 {
			return
		}
		batcher.process(batch)
	}
}

// nextBatch removes the next batch from the queue. If the queue is empty, it returns nil and
// counts the calling drain as finished.
func (batcher *batcher) nextBatch() []*submission {
	batcher.lock.Lock()
	defer batcher.lock.Unlock()
	size := min(len(batcher.queue), batcher.maximumBatchSize)
	if size == 0 {
		batcher.inFlight--
		return nil
	}
	batch := batcher.queue[:size:size]
	batcher.queue = append([]*submission(nil), batcher.queue[size:]...)
	return batch
}

func (batcher *batcher) process(batch []*submission) {
	results, err := batcher.proposeBatch(batch)
	for index, submission := range batch {
		submission.err = err
		if err == nil {
			submission.result = results[index]
		}
		close(submission.done)
	}
}

func (batcher *batcher) proposeBatch(batch []*submission) ([]result, error) {
	commands := make([]command, 0, len(batch))
	for _, submission := range batch {
		commands = append(commands, submission.command)
	}
	encoded, err := encodeCommands(commands)
	if err != nil {
		return nil, errors.Wrap(err, "encode commands")
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	applied, err := batcher.propose(ctx, encoded)
	if err != nil {
		return nil, err
	}
	var results []result
	if err := msgpack.Unmarshal(applied, &results); err != nil || len(results) != len(batch) {
		return nil, fault.New(fault.Internal, "the log's results don't match its commands", "run one release on all control VMs")
	}
	return results, nil
}
